package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

func membersOfZones(n, zones int) []membership.Member {
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

// broadcast sends a message along the trees from origin, with one dead node, and
// returns the nodes that received it and the number of sends.
func broadcast(trees map[domain.NodeID]Tree, origin, dead domain.NodeID) (map[domain.NodeID]bool, int) {
	reached := map[domain.NodeID]bool{origin: true}
	queue := trees[origin].OriginTargets()
	sentCount := len(queue)
	for len(queue) > 0 {
		n := queue[0]
		queue = queue[1:]
		if reached[n] || n == dead {
			continue
		}
		reached[n] = true
		queue = append(queue, trees[n].ForwardTargets()...)
		sentCount += len(trees[n].ForwardTargets())
	}
	return reached, sentCount
}

func TestBroadcastReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones := rapid.IntRange(1, 150).Draw(t, "Nodes"), rapid.IntRange(1, 6).Draw(t, "Zones")
		members := membersOfZones(n, zones)
		trees := map[domain.NodeID]Tree{}
		for _, m := range members {
			trees[m.Node] = NewTree(m.Node, members)
		}
		origin := members[rapid.IntRange(0, n-1).Draw(t, "Origin")].Node
		reached, sentCount := broadcast(trees, origin, "")
		if got := len(reached); got != n {
			t.Errorf("got the message at %d nodes, want %d", got, n)
		}
		if maximumSent := n + zones*entryNodesPerLocalZone + FanOut; sentCount > maximumSent {
			t.Errorf("got %d messages, want at most %d", sentCount, maximumSent)
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

func TestBroadcastSurvivesADeadRoot(t *testing.T) {
	members := membersOfZones(60, 3)
	trees := map[domain.NodeID]Tree{}
	for i := range members {
		members[i].Region = "one"
	}
	for _, m := range members {
		trees[m.Node] = NewTree(m.Node, members)
	}
	root := NewZoneRanking(members[1].Node, members).Ranked[0]
	origin := members[0].Node
	if reached, _ := broadcast(trees, origin, root); len(reached) != len(members)-1 {
		t.Errorf("got the message at %d nodes without the root of a zone, want %d", len(reached), len(members)-1)
	}
}

// TestComparisonLoadIsBounded checks the load that docs/CAPACITY.md gives for the
// node that most others compare with.
func TestComparisonLoadIsBounded(t *testing.T) {
	const zones, rounds, most = 22, 200, 10
	members := membersOfZones(zones*43, zones)
	comparisons := map[domain.NodeID]int{}
	for _, m := range members {
		tree := NewTree(m.Node, members)
		for round := range rounds {
			comparisons[tree.ComparisonPartner(round)]++
		}
	}
	highest := 0
	for _, n := range comparisons {
		highest = max(highest, n)
	}
	if got := float64(highest) / rounds; got > most {
		t.Errorf("got %.1f comparisons a round at one node, want at most %d", got, most)
	}
	t.Logf("most comparisons a round at one of %d nodes: %.1f", len(members), float64(highest)/rounds)
}
