package fold

import (
	"testing"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// applyRecords applies each record in its own batch and returns the result of the last.
func applyRecords(s *State, n domain.NodeID, records ...Record) Rejection {
	var got Rejection
	for _, r := range records {
		b := Batch{Node: n, First: s.Sequence(n) + 1, Records: []Record{r}}
		got = s.Apply(s.Offset()+1, b)[0].Rejection
	}
	return got
}

func leaseTaken(owner domain.NodeID, expect domain.Fence) LeaseTaken {
	return LeaseTaken{Server: "s", Owner: owner, Expect: expect, Facts: ServerFacts{Memory: 10}}
}

// TestFaultAcknowledgementClearsOneLeaseOnly guards against clearing too many doubts. A
// node that held the lease twice acknowledges the loss of its second lease. The doubt about
// its first lease must stay.
func TestFaultAcknowledgementClearsOneLeaseOnly(t *testing.T) {
	s := &State{}
	applyRecords(s, "a", leaseTaken("a", 0))
	applyRecords(s, "b", leaseTaken("b", 1))
	applyRecords(s, "a", leaseTaken("a", 2))
	applyRecords(s, "b", leaseTaken("b", 3))
	if got := applyRecords(s, "a", DoubtCleared{Server: "s", Proof: OwnerAcknowledged, EarlierFence: 3}); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
	l, _ := s.Lease("s")
	if got, want := len(l.Doubts), 2; got != want {
		t.Errorf("got %d doubts (%v), want %d", got, l.Doubts, want)
	}
	if got := applyRecords(s, "b", DoubtCleared{Server: "s", Fence: 4, Proof: OwnerVMGone, EarlierFence: 1}); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
}

// TestFaultWeakProofsAreRejected checks that DoubtCleared is rejected if its proof is too
// weak or the proposer is not the node that the proof requires.
func TestFaultWeakProofsAreRejected(t *testing.T) {
	s := &State{}
	applyRecords(s, "a", leaseTaken("a", 0))
	applyRecords(s, "b", leaseTaken("b", 1))
	for _, c := range []struct {
		node  domain.NodeID
		proof DoubtProof
		fence domain.Fence
		want  Rejection
	}{
		{"b", BarrierPassed, 2, WeakProof}, {"b", ServerRestarted, 2, WeakProof}, {"b", OwnerAcknowledged, 2, NotHeld},
		{"a", OwnerVMGone, 1, StaleFence},
	} {
		got := applyRecords(s, c.node, DoubtCleared{Server: "s", Fence: c.fence, Proof: c.proof, EarlierFence: 1})
		if got != c.want {
			t.Errorf("%v by %s: got %v, want %v", c.proof, c.node, got, c.want)
		}
	}
}

// TestFaultReturningServerKeepsFenceAndDoubt checks that a server which returns after
// ServerGone still has its fencing token and the doubt about its owner. The platform's list
// may lack a server by mistake.
func TestFaultReturningServerKeepsFenceAndDoubt(t *testing.T) {
	s := &State{}
	applyRecords(s, "a", leaseTaken("a", 0))
	if got := applyRecords(s, "b", ServerGone{Server: "s"}); got != LostRace {
		t.Errorf("ServerGone with a stale fencing token: got %v, want LostRace", got)
	}
	applyRecords(s, "b", ServerGone{Server: "s", Fence: 1})
	if got := applyRecords(s, "b", leaseTaken("b", 0)); got != LostRace {
		t.Errorf("got %v, want LostRace", got)
	}
	if got := applyRecords(s, "b", leaseTaken("b", s.LastFence("s"))); got != Accepted {
		t.Errorf("got %v, want Accepted", got)
	}
	if l, _ := s.Lease("s"); len(l.Doubts) != 1 {
		t.Errorf("got doubts %v, want one", l.Doubts)
	}
}

// TestInvariantEvictedProposerIsRejected checks that no old batch of an evicted node is
// applied as a new one.
func TestInvariantEvictedProposerIsRejected(t *testing.T) {
	s := &State{}
	old := Batch{Node: "old", First: 1, Records: []Record{CommandClaimed{Key: CommandKey{1}}}}
	s.Apply(1, old)
	applyRecords(s, "old", CommandAbandoned{Key: CommandKey{1}})
	for i := range MaximumProposers {
		n := domain.NodeID([]byte{byte(i), byte(i >> 8)})
		s.Apply(s.Offset()+1, Batch{Node: n, First: 1, StartOffset: s.Offset(), Records: []Record{SnapshotChunk{}}})
	}
	if got, want := s.Apply(s.Offset()+1, old)[0].Rejection, NodeForgotten; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := len(s.proposers), MaximumProposers; got != want {
		t.Errorf("got %d nodes, want %d", got, want)
	}
}

// TestInvariantCommandWindow checks that a claim is kept until MaximumCommands later claims
// have been accepted, and the body of its response until MaximumOutcomesWithBody have.
func TestInvariantCommandWindow(t *testing.T) {
	s := &State{}
	applyRecords(s, "a", CommandClaimed{Key: CommandKey{0xff}}, CommandFinished{Key: CommandKey{0xff}, Body: []byte("b")})
	for i := 1; i <= MaximumCommands; i++ {
		c, known := s.Command(CommandKey{0xff})
		if got, want := c.Truncated, i > MaximumOutcomesWithBody; !known || got != want {
			t.Fatalf("after %d claims: got known %v, truncated %v, want %v", i-1, known, got, want)
		}
		applyRecords(s, "a", CommandClaimed{Key: CommandKey{byte(i), byte(i >> 8), 1}})
	}
	if _, known := s.Command(CommandKey{0xff}); known {
		t.Error("the key is known after the deduplication window")
	}
}

// TestFaultUndecodableOperatorRecordsAreMalformed checks that records which an import
// leaves out get the result Malformed, and that a faulty import cannot skip all future
// records.
func TestFaultUndecodableOperatorRecordsAreMalformed(t *testing.T) {
	s := &State{}
	m := configuration.Model{Name: "m", Copies: 1}
	imported := ConfigurationImported{Through: 3, Changes: []Change{{Offset: 2, Record: configuration.Record{Model: &m}}}}
	applyRecords(s, "a", imported)
	for o, want := range map[domain.Offset]Rejection{1: Malformed, 2: Accepted, 3: Malformed} {
		if got, known := s.ConfigurationResult(o); !known || got != want {
			t.Errorf("offset %d: got %v (%v), want %v", o, got, known, want)
		}
	}
	if _, known := s.ConfigurationResult(4); known {
		t.Error("offset 4 has a result before it is imported")
	}
	if got, want := s.Rejected(Malformed), uint64(2); got != want {
		t.Errorf("got %d malformed records, want %d", got, want)
	}
	if got, want := applyRecords(s, "a", ConfigurationImported{After: 3, Through: 1 << 60}), Malformed; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}
