package platformlog

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/verdict"
)

func leaseTaken(server domain.ServerID) fold.LeaseTaken {
	return fold.LeaseTaken{Server: server, Owner: "a",
		Facts: fold.ServerFacts{Memory: 100 * domain.Gibibyte, Region: "r", Zone: "z"}}
}

// TestFaultProposalsSurviveLostAppends checks that each proposal is accepted while appends
// lose requests and responses and are rate limited. A repeated append must not change the
// result of the first one that took effect.
func TestFaultProposalsSurviveLostAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(1)
		l.lostRequestShare, l.lostResponseShare, l.rateLimitedShare = 0.2, 0.3, 0.2
		r := startReplica(ctx, t, l, "a", nil)
		for i := range 30 {
			got, err := r.Propose(ctx, leaseTaken(domain.ServerID(fmt.Sprint("s", i))))
			if err != nil {
				t.Fatal(err)
			}
			if got[0].Rejection != fold.Accepted {
				t.Errorf("proposal %d: got %v, want Accepted", i, got[0].Rejection)
			}
		}
	})
}

// TestFaultConfigurationReachesEveryNode checks that an accepted operator record is
// in force at every node within 3 s while appends lose responses.
func TestFaultConfigurationReachesEveryNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(2)
		l.lostResponseShare = 0.3
		var nodes []*Replica
		for i := range 3 {
			delay := func() time.Duration { return time.Duration(i) * 500 * time.Millisecond }
			nodes = append(nodes, startReplica(ctx, t, l, domain.NodeID(fmt.Sprint("n", i)), func(o *Options) { o.RankDelay = delay }))
		}
		time.Sleep(time.Second)
		raw, _ := configuration.Encode(configuration.Record{Model: &configuration.Model{Name: "m", Copies: 2, Memory: 1}})
		at, err := nodes[2].AppendConfiguration(ctx, raw)
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		for i, r := range nodes {
			r.View(func(s *fold.State) {
				if got := s.ConfigurationOffset(); got != at {
					t.Errorf("node %d: got configuration %d, want %d", i, got, at)
				}
				if got, _ := s.ConfigurationResult(at); got != fold.Accepted {
					t.Errorf("node %d: got %v, want Accepted", i, got)
				}
			})
		}
	})
}

// TestFaultStartFromLogSnapshotAfterRetention checks that a node starts from a
// snapshot in the log when the log no longer has the oldest records.
func TestFaultStartFromLogSnapshotAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(3)
		a := startReplica(ctx, t, l, "a", func(o *Options) { o.BatchesPerSnapshot = 10 })
		for i := range 25 {
			if _, err := a.Propose(ctx, leaseTaken(domain.ServerID(fmt.Sprint("s", i)))); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(5 * time.Second)
		l.truncate(fold.DecisionStream, a.offset()-2)
		b := startReplica(ctx, t, l, "b", nil)
		time.Sleep(5 * time.Second)
		got, want := stateBytes(t, b), stateBytes(t, a)
		if got != want {
			t.Error("the state from the snapshot differs from the state from the log")
		}
	})
}

// TestFaultUnavailableLogRejectsAsNotRun checks that a proposal fails as NotRun if the log
// rejected all its appends, and that proposals succeed after the outage.
func TestFaultUnavailableLogRejectsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(4)
		r := startReplica(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = true })
		shortCtx, cancelShort := context.WithTimeout(ctx, 10*time.Second)
		defer cancelShort()
		_, err := r.Propose(shortCtx, leaseTaken("s"))
		if got, want := verdict.Of(err).Verdict, verdict.NotRun; got != want {
			t.Errorf("got %v (%v), want %v", got, err, want)
		}
		l.update(func() { l.unavailable = false })
		got, err := r.Propose(ctx, leaseTaken("s"))
		if err != nil || got[0].Rejection != fold.Accepted {
			t.Errorf("after the outage: got %v, %v, want Accepted", got, err)
		}
	})
}

// stateBytes returns the encoded state of a replica, to compare it with others.
func stateBytes(t *testing.T, r *Replica) string {
	t.Helper()
	_, data, err := r.EncodedSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
