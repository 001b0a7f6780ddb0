package quota

import (
	"testing"
	"time"
)

// BenchmarkRecord measures what one report with one ask costs the owner of 940 nodes and 16
// workspaces.
func BenchmarkRecord(b *testing.B) {
	s := newSimulation(1, 940, siteLimits())
	r := Report{Uses: []Use{{Workspace: "workspace-00", Used: 0.1, Asks: []Ask{{ID: 1, Amount: 0.1}}}}}
	now := s.now
	for i := range b.N {
		now += 100 * time.Microsecond
		id := s.nodes[i%940].id
		s.ledger.Reply(now, id, r, s.ledger.Record(now, id, r))
		s.ledger.Update(now)
	}
}

// BenchmarkTake measures what a request costs a node that may admit freely.
func BenchmarkTake(b *testing.B) {
	s := newSimulation(1, 940, siteLimits())
	a := s.nodes[1].allowance
	a.Apply(s.now, Update{Nodes: 940, Levels: []Level{{Workspace: "workspace-00", Amount: 1e12, Free: true}}})
	for range b.N {
		a.Take(s.now, "workspace-00", 0.1)
	}
}
