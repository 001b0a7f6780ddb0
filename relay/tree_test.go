package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

func regions(n, zones int) []membership.Member {
	var members []membership.Member
	for i := range n {
		z := i % zones
		members = append(members, membership.Member{
			Node:   domain.NodeID(fmt.Sprintf("n%03d", i)),
			Region: domain.Region(fmt.Sprintf("r%d", z%3)), Zone: domain.Zone(fmt.Sprintf("z%d", z)),
		})
	}
	return members
}

// spread passes news on from a node the way that nodes do, and returns who has it
// and how many messages it took.
func spread(trees map[domain.NodeID]Tree, origin, dead domain.NodeID) (map[domain.NodeID]bool, int) {
	has := map[domain.NodeID]bool{origin: true}
	queue := trees[origin].OriginTargets()
	sent := len(queue)
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		if has[n] || n == dead {
			continue
		}
		has[n] = true
		queue = append(queue, trees[n].ForwardTargets()...)
		sent += len(trees[n].ForwardTargets())
	}
	return has, sent
}

func TestNewsReachesAllAlongTheTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones := rapid.IntRange(1, 150).Draw(t, "Nodes"), rapid.IntRange(1, 6).Draw(t, "Zones")
		members := regions(n, zones)
		trees := map[domain.NodeID]Tree{}
		for _, m := range members {
			trees[m.Node] = NewTree(m.Node, members)
		}
		origin := members[rapid.IntRange(0, n-1).Draw(t, "Origin")].Node
		has, sent := spread(trees, origin, "")
		if got := len(has); got != n {
			t.Errorf("got news at %d nodes, want %d", got, n)
		}
		if most := n + zones*nearHeads + FanOut; sent > most {
			t.Errorf("got %d messages, want at most %d", sent, most)
		}
		for _, m := range members {
			if got, most := len(trees[m.Node].ForwardTargets()), FanOut; got > most {
				t.Errorf("got %d messages from %s, want at most %d", got, m.Node, most)
			}
			p := trees[m.Node].ComparisonPartner(rapid.IntRange(0, 9).Draw(t, "Round"))
			if p == m.Node || (p == "") != (n == 1) {
				t.Errorf("got partner %q of %s", p, m.Node)
			}
		}
	})
}

func TestDeadRootKeepsNoNewsFromItsZone(t *testing.T) {
	members := regions(60, 3)
	trees := map[domain.NodeID]Tree{}
	for i := range members {
		members[i].Region = "one"
	}
	for _, m := range members {
		trees[m.Node] = NewTree(m.Node, members)
	}
	root := NewZoneRanking(members[1].Node, members).Ranked[0]
	origin := members[0].Node
	if has, _ := spread(trees, origin, root); len(has) != len(members)-1 {
		t.Errorf("got news at %d nodes without the root of a zone, want %d", len(has), len(members)-1)
	}
}

// TestComparisonsAreShared holds the load that docs/CAPACITY.md counts for the node
// that most others compare with.
func TestComparisonsAreShared(t *testing.T) {
	const zones, rounds, most = 22, 200, 10
	members := regions(zones*43, zones)
	asked := map[domain.NodeID]int{}
	for _, m := range members {
		tree := NewTree(m.Node, members)
		for round := range rounds {
			asked[tree.ComparisonPartner(round)]++
		}
	}
	highest := 0
	for _, n := range asked {
		highest = max(highest, n)
	}
	if got := float64(highest) / rounds; got > most {
		t.Errorf("got %.1f comparisons a round at one node, want at most %d", got, most)
	}
	t.Logf("most comparisons a round at one of %d nodes: %.1f", len(members), float64(highest)/rounds)
}
