package relay

import (
	"cmp"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

const (
	// entryNodesPerLocalZone is the number of nodes to which the origin of a message
	// sends it in each availability zone of its region: the root of the zone and the
	// children of the root, so that no single dead node cuts off a zone.
	entryNodesPerLocalZone = 1 + FanOut
	// entryNodesPerRemoteZone is the number of nodes to which the origin sends the
	// message in each zone of another region. It is lower, because traffic between
	// regions is billed.
	entryNodesPerRemoteZone = 2
)

// Tree is the broadcast tree as seen from one node. The origin of a message sends it to
// the best-ranked nodes of each zone, and each node forwards it to its children in its
// zone. Nodes that missed a message receive its content when they compare their state
// with a partner.
type Tree struct {
	// zoneEntryNodes are the nodes of each zone to which this node sends its own
	// messages, besides its children.
	zoneEntryNodes []domain.NodeID
	children       []domain.NodeID
	// parent is "" for the root of a zone.
	parent domain.NodeID
	// otherPartners are the nodes to compare with besides the parent: all better-ranked
	// nodes of the zone and the next one in rank. The root of a zone and its children
	// also compare with the roots of the other zones.
	otherPartners []domain.NodeID
}

// NewTree returns the broadcast tree of the given members as seen from the node self.
func NewTree(self domain.NodeID, members []membership.Member) Tree {
	ranking := NewZoneRanking(self, members)
	t := Tree{children: ranking.Children()}
	if ranking.Rank > 0 {
		t.parent = ranking.Ranked[(ranking.Rank-1)/FanOut]
		t.otherPartners = append(t.otherPartners, ranking.Ranked[:ranking.Rank]...)
	}
	if next := ranking.Rank + 1; next < len(ranking.Ranked) {
		t.otherPartners = append(t.otherPartners, ranking.Ranked[next])
	}
	selfRegion := regionOf(self, members)
	for _, zoneMember := range oneMemberPerZone(members) {
		ranked := NewZoneRanking(zoneMember.Node, members).Ranked
		entryNodeCount := entryNodesPerRemoteZone
		if zoneMember.Region == selfRegion {
			entryNodeCount = entryNodesPerLocalZone
		}
		t.zoneEntryNodes = append(t.zoneEntryNodes, ranked[:min(entryNodeCount, len(ranked))]...)
		if ranking.Rank <= FanOut && !slices.Contains(ranked, self) {
			t.otherPartners = append(t.otherPartners, ranked[0])
		}
	}
	t.otherPartners = slices.DeleteFunc(t.otherPartners, func(n domain.NodeID) bool { return n == t.parent })
	t.zoneEntryNodes = slices.DeleteFunc(t.zoneEntryNodes, func(n domain.NodeID) bool {
		return n == self || slices.Contains(t.children, n)
	})
	return t
}

func regionOf(self domain.NodeID, members []membership.Member) domain.Region {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Node == self })
	if i < 0 {
		return ""
	}
	return members[i].Region
}

// oneMemberPerZone returns the first member of each availability zone.
func oneMemberPerZone(members []membership.Member) []membership.Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(sorted, func(a, b membership.Member) bool { return a.Region == b.Region && a.Zone == b.Zone })
}

// OriginTargets returns the nodes to send this node's own messages to.
func (t Tree) OriginTargets() []domain.NodeID { return slices.Concat(t.zoneEntryNodes, t.children) }

// ForwardTargets returns the nodes to which this node forwards a message of another node
// when it receives the message for the first time.
func (t Tree) ForwardTargets() []domain.NodeID { return t.children }

// ComparisonPartner returns the node to compare state with in a round: the parent in
// every second round, and the other partners in turn in the rounds between, so that a
// dead parent delays repairs only briefly. It returns "" if there is no other node.
func (t Tree) ComparisonPartner(round int) domain.NodeID {
	switch n := len(t.otherPartners); {
	case t.parent != "" && (round%2 == 0 || n == 0):
		return t.parent
	case n == 0:
		return ""
	case t.parent == "":
		return t.otherPartners[round%n]
	default:
		return t.otherPartners[round/2%n]
	}
}
