package membership

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// TestInvariantsHoldForAnyUpdates applies arbitrary calls and updates, contradictory
// ones included, to a table.
func TestInvariantsHoldForAnyUpdates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		self := Member{Node: "a", Region: "r", Zone: "z"}
		table := NewTable(self)
		now := time.Unix(1000, 0)
		member := rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Node:   rapid.SampledFrom([]domain.NodeID{"", "a", "b", "c", "d"}).Draw(t, "node"),
				Region: rapid.SampledFrom([]domain.Region{"r", "s"}).Draw(t, "region"),
				Zone:   "z", Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		})
		update := rapid.Custom(func(t *rapid.T) Update {
			return Update{member.Draw(t, "member"), Status(rapid.IntRange(0, 3).Draw(t, "status")), uint64(rapid.IntRange(0, 4).Draw(t, "incarnation"))}
		})
		t.Repeat(map[string]func(*rapid.T){
			"Contact": func(t *rapid.T) { table.RecordContact(now, update.Draw(t, "update")) },
			"Merge":   func(t *rapid.T) { table.Merge(now, rapid.SliceOf(update).Draw(t, "updates")) },
			"Listed":  func(t *rapid.T) { table.ApplyListing(now, rapid.SliceOf(member).Draw(t, "members")) },
			"Timeout": func(t *rapid.T) { table.RecordTimeout(now, member.Draw(t, "member").Node) },
			"Refused": func(t *rapid.T) { table.MarkGone(now, member.Draw(t, "member").Node) },
			"Gossip":  func(*rapid.T) { table.TakeGossip() },
			"Leave":   func(*rapid.T) { table.MarkLeaving() },
			"Tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "milliseconds")) * time.Millisecond)
				table.Tick(now)
				table.DueProbes(now)
			},
			"": invariantChecker(table),
		})
	})
}

func invariantChecker(table *Table) func(*rapid.T) {
	var members []Member
	var version, incarnation uint64
	return func(t *rapid.T) {
		current := table.Members()
		if !slices.IsSortedFunc(current, func(m, n Member) int { return strings.Compare(string(m.Node), string(n.Node)) }) {
			t.Fatalf("got members %v, want them sorted", current)
		}
		if !slices.Contains(current, table.Self().Member) {
			t.Fatalf("got members %v, want this node among them", current)
		}
		if table.Version() == version && !slices.Equal(current, members) {
			t.Fatalf("got members %v at the version of %v", current, members)
		}
		if table.Self().Incarnation < incarnation {
			t.Fatalf("got incarnation %d after %d", table.Self().Incarnation, incarnation)
		}
		for _, n := range table.Neighbours() {
			if u, ok := table.Lookup(n); !ok || u.Status == Gone || n == "a" || n == "" {
				t.Fatalf("got neighbour %q %v, want one that is not Gone", n, u)
			}
		}
		members, version, incarnation = current, table.Version(), table.Self().Incarnation
	}
}
