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

func operatorRecord(t *testing.T, copies domain.Copies) []byte {
	t.Helper()
	raw, err := configuration.Encode(configuration.Record{Model: &configuration.Model{Name: "m", Memory: 1 << 30, Copies: copies}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func within(ctx context.Context, t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, d)
	t.Cleanup(cancel)
	return ctx
}

// TestFaultClientTellsNotAppendedFromUnknown holds that only a refusal by the log
// counts as not appended.
func TestFaultClientTellsNotAppendedFromUnknown(t *testing.T) {
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

// TestFaultUnknownAppendAtTheDeadlineMayHaveRun holds that a proposal whose append
// was lost is not called not run.
func TestFaultUnknownAppendAtTheDeadlineMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(5)
		r := start(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.set(func() { l.loseBefore = 1 })
		_, err := r.Propose(within(ctx, t, 2*time.Second), taken("s"))
		if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		l.set(func() { l.loseBefore = 0 })
		time.Sleep(10 * time.Second)
		r.View(func(s *fold.State) {
			if _, ok := s.Lease("s"); !ok {
				t.Error("the append was given up though its outcome was unknown")
			}
		})
	})
}

// TestFaultFullQueueRefusesNotRun holds that the queue is bounded and says so.
func TestFaultFullQueueRefusesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l := newFakeLog(6)
		r := start(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.set(func() { l.down = true })
		var all sync.WaitGroup
		for i := range MaximumQueuedRecords {
			all.Go(func() { _, _ = r.Propose(ctx, fold.CommandClaimed{Key: fold.CommandKey{byte(i), byte(i >> 8)}}) })
		}
		time.Sleep(10 * time.Second)
		_, err := r.Propose(ctx, taken("s"))
		if got := verdict.Of(err); got.Verdict != verdict.NotRun || got.Reason != verdict.LogUnavailable {
			t.Errorf("got %v, want LogUnavailable (NotRun)", err)
		}
		cancel()
		all.Wait()
	})
}

// TestFaultOneHolderPerKey holds that a key which is claimed at five nodes at once
// has one holder, under lost answers and refusals.
func TestFaultOneHolderPerKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(7)
		l.loseBefore, l.loseAfter, l.refuse, l.delay = 0.1, 0.3, 0.1, 20*time.Millisecond
		holders := make([]int, 50)
		var mu sync.Mutex
		var all sync.WaitGroup
		for n := range 5 {
			r := start(ctx, t, l, domain.NodeID(fmt.Sprint("n", n)), nil)
			for k := range holders {
				all.Go(func() {
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
		all.Wait()
		for k, got := range holders {
			if want := 1; got != want {
				t.Errorf("key %d: got %d holders, want %d", k, got, want)
			}
		}
		t.Logf("250 claims at 5 nodes: %d appends", l.appended())
	})
}

// TestFaultLostConfigurationAnswerIsFoundNotRepeated holds that an operator record
// whose answer was lost is in the stream once.
func TestFaultLostConfigurationAnswerIsFoundNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(8)
		r := start(ctx, t, l, "a", nil)
		time.Sleep(time.Second)
		l.set(func() { l.loseAfter = 1 })
		at, err := r.AppendConfiguration(within(ctx, t, 10*time.Second), operatorRecord(t, 1))
		if err != nil || at != 1 {
			t.Errorf("got offset %d, %v, want 1", at, err)
		}
		l.set(func() { l.loseBefore = 1 })
		_, err = r.AppendConfiguration(within(ctx, t, 10*time.Second), operatorRecord(t, 2))
		if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, want := l.length(fold.ConfigurationStream), 1; got != want {
			t.Errorf("got %d records, want %d", got, want)
		}
	})
}

// TestFaultConfigurationNeverReverts holds that a node's configuration offset only
// rises while nodes restart, the log forgets, and a stale snapshot is offered.
func TestFaultConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(9)
		l.loseAfter = 0.2
		a := start(ctx, t, l, "a", func(o *Options) { o.SnapshotEvery = 5 })
		var staleThrough domain.Offset
		var stale []byte
		for i := range 20 {
			at, err := a.AppendConfiguration(ctx, operatorRecord(t, domain.Copies(i)))
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
				t.Error("a stale snapshot was taken")
			}
			b := start(ctx, t, l, domain.NodeID(fmt.Sprint("b", i)), func(o *Options) { o.SnapshotEvery = -1 })
			time.Sleep(3 * time.Second)
			for _, r := range []*Replica{a, b} {
				if got := r.configurationOffset(); got != at || !r.IsReady() {
					t.Errorf("change %d: got %d (ready %v), want %d", i, got, r.IsReady(), at)
				}
			}
		}
	})
}

// TestFaultStartWhileTheLogIsDown holds that a node starts from a peer and goes on
// with the log afterwards.
func TestFaultStartWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(10)
		a := start(ctx, t, l, "a", nil)
		if _, err := a.Propose(ctx, taken("s")); err != nil {
			t.Fatal(err)
		}
		l.set(func() { l.down = true })
		b := start(ctx, t, l, "b", func(o *Options) {
			o.PeerSnapshot = func(context.Context, domain.Offset) (domain.Offset, []byte, error) { return a.EncodedSnapshot() }
		})
		time.Sleep(2 * time.Second)
		if !b.IsReady() || b.offset() != a.offset() {
			t.Errorf("got ready %v at %d, want true at %d", b.IsReady(), b.offset(), a.offset())
		}
		time.Sleep(time.Hour)
		l.set(func() { l.down = false })
		if _, err := b.Propose(within(ctx, t, 20*time.Second), fold.CommandClaimed{Key: fold.CommandKey{1}}); err != nil {
			t.Errorf("after an outage of an hour: %v", err)
		}
	})
}

// TestIdleNodesAppendSnapshotsOnly counts the appends of eight nodes in an hour
// without decisions, and those of one operator record.
func TestIdleNodesAppendSnapshotsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(11)
		var first *Replica
		for i := range 8 {
			delay := func() time.Duration { return time.Duration(i) * 500 * time.Millisecond }
			r := start(ctx, t, l, domain.NodeID(fmt.Sprint("n", i)), func(o *Options) { o.RankDelay = delay })
			if i == 0 {
				first = r
			}
		}
		if _, err := first.AppendConfiguration(ctx, operatorRecord(t, 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if got, want := l.appended(), 2; got != want {
			t.Errorf("one operator record: got %d appends, want %d", got, want)
		}
		time.Sleep(time.Hour)
		if got, want := l.appended(), 2+6; got > want {
			t.Errorf("an hour without decisions: got %d appends, want at most %d", got, want)
		}
	})
}
