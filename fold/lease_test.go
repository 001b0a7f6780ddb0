package fold

import (
	"testing"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// folded applies one record a batch and returns what became of the last.
func folded(s *State, n domain.NodeID, records ...Record) Rejection {
	var got Rejection
	for _, r := range records {
		b := Batch{Node: n, First: s.Sequence(n) + 1, Records: []Record{r}}
		got = s.Apply(s.Offset()+1, b)[0].Rejection
	}
	return got
}

func lease(owner domain.NodeID, expect domain.Fence) LeaseTaken {
	return LeaseTaken{Server: "s", Owner: owner, Expect: expect, Facts: ServerFacts{Memory: 10}}
}

// TestFaultAcknowledgementClearsItsOwnLeaseOnly holds that a node which had the
// lease twice and has nothing left of the second time keeps the first in doubt.
func TestFaultAcknowledgementClearsItsOwnLeaseOnly(t *testing.T) {
	s := &State{}
	folded(s, "a", lease("a", 0))
	folded(s, "b", lease("b", 1))
	folded(s, "a", lease("a", 2))
	folded(s, "b", lease("b", 3))
	if got := folded(s, "a", DoubtCleared{Server: "s", Proof: OwnerAcknowledged, Earlier: 3}); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
	l, _ := s.Lease("s")
	if got, want := len(l.Doubts), 2; got != want {
		t.Errorf("got %d doubts (%v), want %d", got, l.Doubts, want)
	}
	if got := folded(s, "b", DoubtCleared{Server: "s", Fence: 4, Proof: OwnerVMGone, Earlier: 1}); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
}

func TestFaultWeakProofsAreRejected(t *testing.T) {
	s := &State{}
	folded(s, "a", lease("a", 0))
	folded(s, "b", lease("b", 1))
	for _, c := range []struct {
		node  domain.NodeID
		proof DoubtProof
		fence domain.Fence
		want  Rejection
	}{
		{"b", BarrierPassed, 2, WeakProof}, {"b", ServerRestarted, 2, WeakProof}, {"b", OwnerAcknowledged, 2, NotHeld},
		{"a", OwnerVMGone, 1, StaleFence},
	} {
		got := folded(s, c.node, DoubtCleared{Server: "s", Fence: c.fence, Proof: c.proof, Earlier: 1})
		if got != c.want {
			t.Errorf("%v by %s: got %v, want %v", c.proof, c.node, got, c.want)
		}
	}
}

// TestFaultGoneServerComesBackInDoubt holds that a server which the list lost by
// mistake keeps its fence and the doubt about its owner.
func TestFaultGoneServerComesBackInDoubt(t *testing.T) {
	s := &State{}
	folded(s, "a", lease("a", 0))
	if got := folded(s, "b", ServerGone{Server: "s"}); got != LostRace {
		t.Errorf("stale list: got %v, want LostRace", got)
	}
	folded(s, "b", ServerGone{Server: "s", Fence: 1})
	if got := folded(s, "b", lease("b", 0)); got != LostRace {
		t.Errorf("got %v, want LostRace", got)
	}
	if got := folded(s, "b", lease("b", s.LastFence("s"))); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
	if l, _ := s.Lease("s"); len(l.Doubts) != 1 {
		t.Errorf("got doubts %v, want one", l.Doubts)
	}
}

// TestInvariantForgottenNodeCannotPropose holds that a fold which forgets nodes
// takes no old batch for new.
func TestInvariantForgottenNodeCannotPropose(t *testing.T) {
	s := &State{}
	old := Batch{Node: "old", First: 1, Records: []Record{CommandClaimed{Key: CommandKey{1}}}}
	s.Apply(1, old)
	folded(s, "old", CommandAbandoned{Key: CommandKey{1}})
	for i := range MaximumNodes {
		n := domain.NodeID([]byte{byte(i), byte(i >> 8)})
		s.Apply(s.Offset()+1, Batch{Node: n, First: 1, Started: s.Offset(), Records: []Record{SnapshotChunk{}}})
	}
	if got, want := s.Apply(s.Offset()+1, old)[0].Rejection, NodeForgotten; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := len(s.nodes), MaximumNodes; got != want {
		t.Errorf("got %d nodes, want %d", got, want)
	}
}

// TestInvariantCommandWindow holds that a key is known for MaximumCommands later
// claims and its answer for MaximumOutcomes.
func TestInvariantCommandWindow(t *testing.T) {
	s := &State{}
	folded(s, "a", CommandClaimed{Key: CommandKey{0xff}}, CommandFinished{Key: CommandKey{0xff}, Body: []byte("b")})
	for i := 1; i <= MaximumCommands; i++ {
		c, known := s.Command(CommandKey{0xff})
		if got, want := c.Truncated, i > MaximumOutcomesWithBody; !known || got != want {
			t.Fatalf("after %d claims: got known %v, truncated %v, want %v", i-1, known, got, want)
		}
		folded(s, "a", CommandClaimed{Key: CommandKey{byte(i), byte(i >> 8), 1}})
	}
	if _, known := s.Command(CommandKey{0xff}); known {
		t.Error("the key is known after the window")
	}
}

// TestFaultUndecodableOperatorRecordsAreSkippedAlike holds that records which are
// left out of an import have a result, and that a faulty import cannot pass over all that
// are to come.
func TestFaultUndecodableOperatorRecordsAreSkippedAlike(t *testing.T) {
	s := &State{}
	m := configuration.Model{Name: "m", Copies: 1}
	imported := ConfigurationImported{Through: 3, Changes: []Change{{Offset: 2, Record: configuration.Record{Model: &m}}}}
	folded(s, "a", imported)
	for o, want := range map[domain.Offset]Rejection{1: Malformed, 2: Accepted, 3: Malformed} {
		if got, known := s.ConfigurationResult(o); !known || got != want {
			t.Errorf("offset %d: got %v (%v), want %v", o, got, known, want)
		}
	}
	if _, known := s.ConfigurationResult(4); known {
		t.Error("offset 4 has a result before it is in force")
	}
	if got, want := s.Rejected(Malformed), uint64(2); got != want {
		t.Errorf("got %d counted, want %d", got, want)
	}
	if got, want := folded(s, "a", ConfigurationImported{After: 3, Through: 1 << 60}), Malformed; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
