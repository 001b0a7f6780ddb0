package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/verdict"
)

// The load of TestOverload: three nodes send to six servers, first attempts arrive at
// twice the capacity, and half of the callers retry at once and ignore Retry-After.
const (
	overloadNodes    = 3
	overloadServers  = 6
	overloadSlots    = 6
	overloadQueue    = 4
	overloadWork     = 40 * time.Millisecond
	overloadFactor   = 2.0
	overloadAbusers  = 0.5
	overloadRetries  = 3
	overloadPatience = 2 * time.Second
	overloadSettle   = 3 * time.Second
	overloadMeasured = 12 * time.Second
	overloadCapacity = overloadServers * overloadSlots / (float64(overloadWork) / float64(time.Second))
)

// queueingBackend has servers with a fixed number of slots and a short queue each; it
// refuses requests that fit into neither.
type queueingBackend struct {
	mu sync.Mutex
	// inServer counts the running and queued requests at each server.
	inServer          map[domain.ServerID]int
	slots             map[domain.ServerID]chan struct{}
	arrivals, refused int
}

func (b *queueingBackend) enter(id domain.ServerID) (chan struct{}, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	if b.slots[id] == nil {
		b.slots[id] = make(chan struct{}, overloadSlots)
	}
	if b.inServer[id] >= overloadSlots+overloadQueue {
		b.refused++
		return nil, 0, false
	}
	b.inServer[id]++
	return b.slots[id], b.inServer[id], true
}

func (b *queueingBackend) load(id domain.ServerID) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.inServer[id]
	return Load{Known: true, Running: min(n, overloadSlots), Waiting: max(0, n-overloadSlots), Slots: overloadSlots}
}

func (b *queueingBackend) Send(ctx context.Context, s *fleet.Server, _ *Request, _ Attempt) (*Response, error) {
	slots, _, ok := b.enter(s.ID)
	if !ok {
		return &Response{Status: 503, Refusal: Full, Load: b.load(s.ID), Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inServer[s.ID]--
	}()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "no answer", ctx.Err())
	}
	time.Sleep(overloadWork)
	<-slots
	return &Response{Status: 200, Verified: true, Load: b.load(s.ID), Body: io.NopCloser(bytes.NewBufferString("ok"))}, nil
}

func (b *queueingBackend) Reach(context.Context, *fleet.Server) error { return nil }

// overloadRun is one run of the load and its results.
type overloadRun struct {
	backend     *queueingBackend
	dispatchers []*Dispatcher

	mu           sync.Mutex
	served       int
	refusalTimes []time.Duration
	failed       int
}

func newOverload() *overloadRun {
	o := &overloadRun{backend: &queueingBackend{inServer: map[domain.ServerID]int{}, slots: map[domain.ServerID]chan struct{}{}}}
	v := &View{Config: &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"plain": {Name: "plain"}}}, Servers: map[domain.ServiceName][]*fleet.Server{}}
	for i := range overloadServers {
		v.Servers["plain"] = append(v.Servers["plain"], &fleet.Server{ID: domain.ServerID(fmt.Sprint("p", i)), Service: "plain", Slots: overloadSlots, Zone: "z"})
	}
	for range overloadNodes {
		d := New(Options{
			Zone: "z", Views: &Views{}, Demand: &DemandCounter{}, Backend: o.backend, Logger: zerolog.Nop(), Counters: noCounters{},
			SetBudget: func(w *retries.WindowBudget) { w.Length, w.Ratio, w.Reserve = 10*time.Second, 0.1, 4 },
		})
		d.Views.Publish(v)
		o.dispatchers = append(o.dispatchers, d)
	}
	return o
}

// caller makes one request and retries it: after the Retry-After, or at once if it is one
// of the abusers.
func (o *overloadRun) caller(ctx context.Context, measured func(time.Time) bool) {
	deadline := time.Now().Add(overloadPatience)
	abuser := rand.Float64() < overloadAbusers
	for range 1 + overloadRetries {
		start := time.Now()
		r := plainRequest(fleet.Idempotent)
		r.Deadline = deadline
		c := &fakeCaller{}
		outcome := o.dispatchers[rand.IntN(overloadNodes)].Serve(ctx, r, c)
		elapsed := time.Since(start)
		if measured(time.Now()) {
			o.count(outcome, elapsed)
		}
		if outcome != Refused {
			return
		}
		if !abuser {
			time.Sleep(c.refusal.RetryAfter)
		}
		if time.Until(deadline) < overloadWork {
			return
		}
	}
}

func (o *overloadRun) count(outcome Outcome, elapsed time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome {
	case Served:
		o.served++
	case Refused:
		o.refusalTimes = append(o.refusalTimes, elapsed)
	default:
		o.failed++
	}
}

// run offers load at factor times the capacity.
func (o *overloadRun) run(t *testing.T, factor float64) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		from, to := begin.Add(overloadSettle), begin.Add(overloadSettle+overloadMeasured)
		measured := func(at time.Time) bool { return at.After(from) && at.Before(to) }
		var all sync.WaitGroup
		for time.Now().Before(to) {
			all.Go(func() { o.caller(t.Context(), measured) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / (factor * overloadCapacity)))
		}
		all.Wait()
	})
}

func TestOverload(t *testing.T) {
	o := newOverload()
	o.run(t, overloadFactor)
	slices.Sort(o.refusalTimes)
	goodput := float64(o.served) / (overloadCapacity * overloadMeasured.Seconds())
	p95 := o.refusalTimes[len(o.refusalTimes)*95/100]
	t.Logf("goodput %.3f of capacity, %d refused, time to refusal: median %v, p95 %v; servers refused %d of %d arrivals, %d failed",
		goodput, len(o.refusalTimes), o.refusalTimes[len(o.refusalTimes)/2], p95, o.backend.refused, o.backend.arrivals, o.failed)
	if want := 0.95; goodput < want {
		t.Errorf("got goodput %.3f of capacity, want at least %v", goodput, want)
	}
	if want := 100 * time.Millisecond; p95 > want {
		t.Errorf("time to refusal, 95th percentile: got %v, want at most %v", p95, want)
	}
	if o.failed > 0 {
		t.Errorf("%d requests were neither served nor refused", o.failed)
	}
}

// Below the capacity, at most one percent of the requests are refused.
func TestLoadBelowCapacityIsServed(t *testing.T) {
	o := newOverload()
	o.run(t, 0.8)
	if got, want := float64(len(o.refusalTimes)), 0.01*float64(o.served); got > want || o.failed > 0 {
		t.Errorf("got %v refusals and %d failures with %d served, want at most %v refusals and no failures", got, o.failed, o.served, want)
	}
}

// A burst of callers is refused at one moment. With equal Retry-After values they would
// all return at once and be refused again.
func TestRetryAfterIsSpreadOverABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var times []time.Duration
		for range 300 {
			r := plainRequest(fleet.Idempotent)
			r.Deadline = now.Add(overloadPatience)
			times = append(times, newRefusal(now, r, verdict.NoCapacity, "no room", time.Second).RetryAfter)
		}
		slices.Sort(times)
		if got, limit := times[len(times)-1], overloadPatience/3; got > limit {
			t.Errorf("longest Retry-After: got %v, want at most %v", got, limit)
		}
		worst := 0
		for i := range times {
			n := 0
			for _, later := range times[i:] {
				if later-times[i] < 20*time.Millisecond {
					n++
				}
			}
			worst = max(worst, n)
		}
		if got, limit := worst, len(times)/4; got > limit {
			t.Errorf("%d of 300 callers retry within 20 ms of each other, want at most %d", got, limit)
		}
	})
}
