package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/platformlog"
	"github.com/parsleylug/parsleylug/verdict"
)

// fakeLog counts appends and keeps their records.
type fakeLog struct {
	platformlog.Log
	mu      sync.Mutex
	appends int
	records []string
	err     error
}

func (l *fakeLog) Append(_ context.Context, _ string, records [][]byte) (domain.Offset, error) {
	time.Sleep(5 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return 0, l.err
	}
	l.appends++
	first := domain.Offset(len(l.records) + 1)
	for _, r := range records {
		l.records = append(l.records, string(r))
	}
	return first, nil
}

// fakePeers passes calls to the relay, or returns err if that is set.
type fakePeers struct {
	relay *BatchedLog
	err   error
}

func (c *fakePeers) Call(ctx context.Context, _ domain.NodeID, m peer.Message) (peer.Message, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.relay.Handle(ctx, m.(peer.AppendRecords))
}

func constantRate(f float64) func() float64 { return func() float64 { return f } }

// startZone runs a relay and returns n other nodes of its zone, over one log, until
// the test ends.
func startZone(t *testing.T, l *fakeLog, n int, zoneRate float64) (nodes []*BatchedLog, mesh *fakePeers) {
	t.Helper()
	ranked := []domain.NodeID{"relay", "other"}
	mesh = &fakePeers{}
	options := BatchedLogOptions{Log: l, Mesh: mesh, ZoneAppendsPerSecond: constantRate(zoneRate), NodeAppendsPerSecond: constantRate(1)}
	options.Ranking = func() ZoneRanking { return ZoneRanking{Ranked: ranked} }
	mesh.relay = NewBatchedLog(options)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = mesh.relay.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	options.Ranking = func() ZoneRanking { return ZoneRanking{Ranked: ranked, Rank: 1} }
	for range n {
		nodes = append(nodes, NewBatchedLog(options))
	}
	return nodes, mesh
}

// TestAppendsOfAZoneAreBatched has 40 nodes append 5 times each: the relay must
// combine the appends, and each node must get the offsets of its own records.
func TestAppendsOfAZoneAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		nodes, _ := startZone(t, l, 40, 10)
		start := time.Now()
		var wait sync.WaitGroup
		for i, n := range nodes {
			wait.Go(func() {
				for j := range 5 {
					want := string(rune('A'+i)) + string(rune('0'+j))
					offset, err := n.Append(t.Context(), fold.DecisionStream, [][]byte{[]byte(want)})
					if err != nil {
						t.Errorf("got %v, want an offset", err)
						return
					}
					l.mu.Lock()
					if got := l.records[offset-1]; got != want {
						t.Errorf("got %q at the offset that was returned, want %q", got, want)
					}
					l.mu.Unlock()
				}
			})
		}
		wait.Wait()
		if got, want := l.appends, 20; got > want {
			t.Errorf("got %d appends for 200 of 40 nodes, want at most %d", got, want)
		}
		t.Logf("%d appends for 200 in %v at 10 a second", l.appends, time.Since(start))
	})
}

// TestFaultRelayFails checks that a node appends directly if the relay did not
// receive its records, and reports an unknown outcome if it may have.
func TestFaultRelayFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{}
		nodes, mesh := startZone(t, l, 1, 10)
		mesh.err = verdict.Refuse(verdict.BackendFailed, "gone")
		if _, err := nodes[0].Append(t.Context(), fold.DecisionStream, [][]byte{[]byte("a")}); err != nil {
			t.Errorf("got %v with the relay gone, want a direct append", err)
		}
		time.Sleep(2 * directAppendPeriod)
		mesh.err = verdict.UnknownOutcome(verdict.BackendFailed, "silent", errors.New("no answer"))
		_, err := nodes[0].Append(t.Context(), fold.DecisionStream, [][]byte{[]byte("b")})
		if got, want := platformlog.FailureOf(err), platformlog.OutcomeUnknown; err == nil || got != want {
			t.Errorf("got %v, want %v", err, want)
		}
		if _, err := nodes[0].Append(t.Context(), fold.DecisionStream, [][]byte{[]byte("b")}); err != nil {
			t.Errorf("got %v for the append again, want a direct one", err)
		}
		if got, want := len(l.records), 2; got != want {
			t.Errorf("got %d records, want %d", got, want)
		}
	})
}

// TestFaultRelayReportsLogFailure checks that a node gets the same failure as the relay
// got from the log.
func TestFaultRelayReportsLogFailure(t *testing.T) {
	for _, want := range []platformlog.Failure{platformlog.NotAppended, platformlog.OutcomeUnknown} {
		synctest.Test(t, func(t *testing.T) {
			l := &fakeLog{err: &platformlog.Error{Failure: want}}
			nodes, _ := startZone(t, l, 1, 10)
			_, err := nodes[0].Append(t.Context(), fold.DecisionStream, [][]byte{[]byte("a")})
			if got := platformlog.FailureOf(err); err == nil || got != want {
				t.Errorf("got %v, want %v", err, want)
			}
		})
	}
}
