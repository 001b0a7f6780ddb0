package platformlog

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/verdict"
)

func operatorRecord(t *testing.T, copies domain.ReplicaCount) []byte {
	t.Helper()
	raw, err := configuration.Encode(configuration.Record{Model: &configuration.Model{Name: "m", Memory: 1 << 30, Copies: copies}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func withTimeout(ctx context.Context, t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, d)
	t.Cleanup(cancel)
	return ctx
}

// TestFaultClientDistinguishesNotAppendedFromUnknown checks that only a rejection by
// the log or a refused connection counts as NotAppended.
func TestFaultClientDistinguishesNotAppendedFromUnknown(t *testing.T) {
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	}))
	client := &Client{URL: server.URL}
	for _, c := range []struct {
		status int
		want   Failure
	}{{429, NotAppended}, {503, NotAppended}, {400, NotAppended}, {500, OutcomeUnknown}, {502, OutcomeUnknown}, {200, OutcomeUnknown}, {0, OutcomeUnknown}} {
		status = c.status
		_, err := client.Append(t.Context(), "decisions", [][]byte{{1}})
		if got := FailureOf(err); got != c.want {
			t.Errorf("status %d: got %v, want %v", c.status, got, c.want)
		}
	}
	server.Close()
	_, err := client.Append(t.Context(), "decisions", [][]byte{{1}})
	if got, want := FailureOf(err), NotAppended; got != want {
		t.Errorf("refused connection: got %v, want %v", got, want)
	}
}

// TestFaultUnknownAppendAtTheDeadlineMayHaveRun checks that a proposal fails as MayHaveRun
// if the outcome of its append is unknown at the deadline. The node must still repeat the
// append until the proposal is in the log.
func TestFaultUnknownAppendAtTheDeadlineMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(5)
		r := startReplica(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.update(func() { l.lostRequestShare = 1 })
		_, err := r.Propose(withTimeout(ctx, t, 2*time.Second), leaseTaken("s"))
		if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		l.update(func() { l.lostRequestShare = 0 })
		time.Sleep(10 * time.Second)
		r.View(func(s *fold.State) {
			if _, ok := s.Lease("s"); !ok {
				t.Error("the append was not retried although its outcome was unknown")
			}
		})
	})
}

// TestFaultFullQueueRejectsAsNotRun checks that a full queue rejects further
// proposals as NotRun, with LogUnavailable while the log is unavailable.
func TestFaultFullQueueRejectsAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newFakeLog(6)
		r := startReplica(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = true })
		var proposals sync.WaitGroup
		for i := range MaximumQueuedRecords {
			proposals.Go(func() { _, _ = r.Propose(ctx, fold.CommandClaimed{Key: fold.CommandKey{byte(i), byte(i >> 8)}}) })
		}
		time.Sleep(10 * time.Second)
		_, err := r.Propose(ctx, leaseTaken("s"))
		if got := verdict.Of(err); got.Verdict != verdict.NotRun || got.Reason != verdict.LogUnavailable {
			t.Errorf("got %v, want LogUnavailable (NotRun)", err)
		}
		cancel()
		proposals.Wait()
	})
}

// TestFaultConcurrentClaimsHaveOneHolder checks that an idempotency key has exactly one
// holder if five nodes claim it at once. Meanwhile appends lose requests and responses and
// are rate limited.
func TestFaultConcurrentClaimsHaveOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(7)
		l.lostRequestShare, l.lostResponseShare, l.rateLimitedShare, l.delay = 0.1, 0.3, 0.1, 20*time.Millisecond
		holders := make([]int, 50)
		var mu sync.Mutex
		var claims sync.WaitGroup
		for n := range 5 {
			r := startReplica(ctx, t, l, domain.NodeID(fmt.Sprint("n", n)), nil)
			for k := range holders {
				claims.Go(func() {
					time.Sleep(time.Duration(k) * 100 * time.Millisecond)
					got, err := r.Propose(ctx, fold.CommandClaimed{Key: fold.CommandKey{byte(k)}})
					mu.Lock()
					defer mu.Unlock()
					if err == nil && got[0].Rejection == fold.Accepted {
						holders[k]++
					}
				})
			}
		}
		claims.Wait()
		for k, got := range holders {
			if want := 1; got != want {
				t.Errorf("key %d: got %d holders, want %d", k, got, want)
			}
		}
		t.Logf("250 claims at 5 nodes: %d appends", l.appendAttemptCount())
	})
}

// TestFaultConfigurationRecordIsAppendedOnce checks that AppendConfiguration does not
// repeat an append with an unknown outcome. If the response was lost, it must find the
// record in the stream. If the request was lost, it must fail as MayHaveRun.
func TestFaultConfigurationRecordIsAppendedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(8)
		r := startReplica(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.update(func() { l.lostResponseShare = 1 })
		at, err := r.AppendConfiguration(withTimeout(ctx, t, 10*time.Second), operatorRecord(t, 1))
		if err != nil || at != 1 {
			t.Errorf("got offset %d, %v, want 1", at, err)
		}
		l.update(func() { l.lostRequestShare = 1 })
		_, err = r.AppendConfiguration(withTimeout(ctx, t, 10*time.Second), operatorRecord(t, 2))
		if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, want := l.recordCount(fold.ConfigurationStream), 1; got != want {
			t.Errorf("got %d records, want %d", got, want)
		}
	})
}

// TestFaultConfigurationNeverReverts checks that nodes have the newest configuration
// offset while nodes start and the log drops its oldest records, and that they reject a
// stale snapshot.
func TestFaultConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(9)
		l.lostResponseShare = 0.2
		a := startReplica(ctx, t, l, "a", func(o *Options) { o.BatchesPerSnapshot = 5 })
		var staleThrough domain.Offset
		var stale []byte
		for i := range 20 {
			at, err := a.AppendConfiguration(ctx, operatorRecord(t, domain.ReplicaCount(i)))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Second)
			if stale == nil {
				staleThrough, stale, _ = a.EncodedSnapshot()
			}
			if i%5 == 4 {
				l.truncate(fold.DecisionStream, a.offset()-3)
			}
			if err := a.restore(staleThrough, stale); err == nil && i > 0 {
				t.Error("a stale snapshot was restored")
			}
			b := startReplica(ctx, t, l, domain.NodeID(fmt.Sprint("b", i)), func(o *Options) { o.BatchesPerSnapshot = -1 })
			time.Sleep(3 * time.Second)
			for _, r := range []*Replica{a, b} {
				if got := r.configurationOffset(); got != at || !r.IsReady() {
					t.Errorf("change %d: got %d (ready %v), want %d", i, got, r.IsReady(), at)
				}
			}
		}
	})
}

// TestFaultStartFromPeerWhileLogUnavailable checks that a node starts from a peer's
// snapshot while the log is unavailable, and proposes after the outage.
func TestFaultStartFromPeerWhileLogUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(10)
		a := startReplica(ctx, t, l, "a", nil)
		if _, err := a.Propose(ctx, leaseTaken("s")); err != nil {
			t.Fatal(err)
		}
		l.update(func() { l.unavailable = true })
		b := startReplica(ctx, t, l, "b", func(o *Options) {
			o.PeerSnapshot = func(context.Context, domain.Offset) (domain.Offset, []byte, error) { return a.EncodedSnapshot() }
		})
		time.Sleep(2 * time.Second)
		if !b.IsReady() || b.offset() != a.offset() {
			t.Errorf("got ready %v at %d, want true at %d", b.IsReady(), b.offset(), a.offset())
		}
		time.Sleep(time.Hour)
		l.update(func() { l.unavailable = false })
		if _, err := b.Propose(withTimeout(ctx, t, 20*time.Second), fold.CommandClaimed{Key: fold.CommandKey{1}}); err != nil {
			t.Errorf("after an outage of an hour: %v", err)
		}
	})
}

// TestIdleNodesAppendSnapshotsOnly checks the number of appends of eight nodes. One operator
// record needs two appends: that of the record and that of its import. In an hour without
// decisions the nodes make at most six more, for snapshots.
func TestIdleNodesAppendSnapshotsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(11)
		var first *Replica
		for i := range 8 {
			delay := func() time.Duration { return time.Duration(i) * 500 * time.Millisecond }
			r := startReplica(ctx, t, l, domain.NodeID(fmt.Sprint("n", i)), func(o *Options) { o.RankDelay = delay })
			if i == 0 {
				first = r
			}
		}
		if _, err := first.AppendConfiguration(ctx, operatorRecord(t, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if got, want := l.appendAttemptCount(), 2; got != want {
			t.Errorf("one operator record: got %d appends, want %d", got, want)
		}
		time.Sleep(time.Hour)
		if got, want := l.appendAttemptCount(), 2+6; got > want {
			t.Errorf("an hour without decisions: got %d appends, want at most %d", got, want)
		}
	})
}
