package relay

import (
	"cmp"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

const (
	// nearHeads is how many of the first ranks of each availability zone of the own
	// region get news from its origin: the root and its children, so that no one
	// dead node keeps news from a zone.
	nearHeads = 1 + FanOut
	// farHeads is the same for other regions, where bytes are billed.
	farHeads = 2
)

// Tree is how news goes from a node to all others: to the first ranks of each
// zone, and from each node to its children among the ranks of its zone.
type Tree struct {
	heads    []domain.NodeID
	children []domain.NodeID
	// parent is "" for the root of a zone.
	parent domain.NodeID
	// others are further nodes to compare with: those of a better rank, the next
	// rank, and the roots of other zones where this node is near the root itself.
	others []domain.NodeID
}

// NewTree returns the tree of a node in a view.
func NewTree(self domain.NodeID, members []membership.Member) Tree {
	plan := NewZoneRanking(self, members)
	t := Tree{children: plan.Targets()}
	if plan.Rank > 0 {
		t.parent = plan.Ranked[(plan.Rank-1)/FanOut]
		t.others = append(t.others, plan.Ranked[:plan.Rank]...)
	}
	if next := plan.Rank + 1; next < len(plan.Ranked) {
		t.others = append(t.others, plan.Ranked[next])
	}
	own := region(self, members)
	for _, first := range zones(members) {
		ranked := NewZoneRanking(first.Node, members).Ranked
		heads := farHeads
		if first.Region == own {
			heads = nearHeads
		}
		t.heads = append(t.heads, ranked[:min(heads, len(ranked))]...)
		if plan.Rank <= FanOut && !slices.Contains(ranked, self) {
			t.others = append(t.others, ranked[0])
		}
	}
	t.others = slices.DeleteFunc(t.others, func(n domain.NodeID) bool { return n == t.parent })
	t.heads = slices.DeleteFunc(t.heads, func(n domain.NodeID) bool {
		return n == self || slices.Contains(t.children, n)
	})
	return t
}

func region(self domain.NodeID, members []membership.Member) domain.Region {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Node == self })
	if i < 0 {
		return ""
	}
	return members[i].Region
}

// zones returns one member of each availability zone.
func zones(members []membership.Member) []membership.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(sorted, func(a, b membership.Member) bool { return a.Region == b.Region && a.Zone == b.Zone })
}

// OriginTargets returns to whom a node sends its own news.
func (t Tree) OriginTargets() []domain.NodeID { return slices.Concat(t.heads, t.children) }

// ForwardTargets returns to whom a node sends news of others that was new to it.
func (t Tree) ForwardTargets() []domain.NodeID { return t.children }

// ComparisonPartner returns with whom to compare in a round: the parent in every second one,
// and the others in turn. A parent that is dead and still in the view keeps nothing
// from this node for long. It returns "" for a node that is alone.
func (t Tree) ComparisonPartner(round int) domain.NodeID {
	switch n := len(t.others); {
	case t.parent != "" && (round%2 == 0 || n == 0):
		return t.parent
	case n == 0:
		return ""
	case t.parent == "":
		return t.others[round%n]
	default:
		return t.others[round/2%n]
	}
}
