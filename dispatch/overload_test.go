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
// twice the capacity, and half of the callers ignore Retry-After and retry at once.
// overloadCapacity is in requests per second. overloadMeasurementTime starts after
// overloadWarmUp.
const (
	overloadNodes               = 3
	overloadServers             = 6
	overloadSlots               = 6
	overloadQueueLength         = 4
	overloadServiceTime         = 40 * time.Millisecond
	overloadFactor              = 2.0
	overloadImmediateRetryShare = 0.5
	overloadMaxRetries          = 3
	overloadDeadline            = 2 * time.Second
	overloadWarmUp              = 3 * time.Second
	overloadMeasurementTime     = 12 * time.Second
	overloadCapacity            = overloadServers * overloadSlots / (float64(overloadServiceTime) / float64(time.Second))
)

// queueingBackend simulates servers with a fixed number of slots and a short queue each.
// They refuse requests that fit into neither.
type queueingBackend struct {
	mu sync.Mutex
	// requests is the number of running and queued requests at each server.
	requests map[domain.ServerID]int
	// slots holds a value in the channel of a server for each running request.
	slots map[domain.ServerID]chan struct{}
	// arrivals and refusals are the numbers of requests over all servers.
	arrivals, refusals int
}

// admit adds a request to those at a server. It returns the channel of the server's slots
// and the number of its requests, or false if the server refuses the request.
func (b *queueingBackend) admit(id domain.ServerID) (chan struct{}, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	if b.slots[id] == nil {
		b.slots[id] = make(chan struct{}, overloadSlots)
	}
	if b.requests[id] >= overloadSlots+overloadQueueLength {
		b.refusals++
		return nil, 0, false
	}
	b.requests[id]++
	return b.slots[id], b.requests[id], true
}

func (b *queueingBackend) load(id domain.ServerID) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.requests[id]
	return Load{Known: true, Running: min(n, overloadSlots), Waiting: max(0, n-overloadSlots), Slots: overloadSlots}
}

func (b *queueingBackend) Send(ctx context.Context, s *fleet.Server, _ *Request, _ Attempt) (*Response, error) {
	slots, _, ok := b.admit(s.ID)
	if !ok {
		return &Response{Status: 503, Refusal: Full, Load: b.load(s.ID), Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.requests[s.ID]--
	}()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "no response", ctx.Err())
	}
	time.Sleep(overloadServiceTime)
	<-slots
	return &Response{Status: 200, Verified: true, Load: b.load(s.ID), Body: io.NopCloser(bytes.NewBufferString("ok"))}, nil
}

func (b *queueingBackend) Reach(context.Context, *fleet.Server) error { return nil }

// overloadRun is one run of the simulated load, with the outcomes of the requests in the
// measured period.
type overloadRun struct {
	backend     *queueingBackend
	view        *View
	dispatchers []*Dispatcher

	mu sync.Mutex
	// served and failed are numbers of requests. timesToRefusal has the time from the
	// arrival of each refused request to its refusal.
	served         int
	timesToRefusal []time.Duration
	failed         int
}

func newOverloadRun() *overloadRun {
	o := &overloadRun{backend: &queueingBackend{requests: map[domain.ServerID]int{}, slots: map[domain.ServerID]chan struct{}{}}}
	o.view = &View{Config: &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"plain": {Name: "plain"}}}, Servers: map[domain.ServiceName][]*fleet.Server{}}
	for i := range overloadServers {
		o.view.Servers["plain"] = append(o.view.Servers["plain"], &fleet.Server{ID: domain.ServerID(fmt.Sprint("p", i)), Service: "plain", Slots: overloadSlots, Zone: "z"})
	}
	for range overloadNodes {
		d := New(Options{
			Zone: "z", Views: &Views{}, Demand: &DemandCounter{}, Backend: o.backend, Logger: zerolog.Nop(), Counters: noCounters{},
			SetBudget: func(w *retries.WindowBudget) { w.Length, w.Ratio, w.Reserve = 10*time.Second, 0.1, 4 },
		})
		o.dispatchers = append(o.dispatchers, d)
	}
	return o
}

// simulateCaller makes one request and retries it after a refusal. A share of the callers
// retries at once, the others after the Retry-After.
func (o *overloadRun) simulateCaller(ctx context.Context, isMeasured func(time.Time) bool) {
	deadline := time.Now().Add(overloadDeadline)
	retriesAtOnce := rand.Float64() < overloadImmediateRetryShare
	for range 1 + overloadMaxRetries {
		start := time.Now()
		r := plainRequest(fleet.Idempotent)
		r.Deadline = deadline
		c := &fakeCaller{}
		outcome := o.dispatchers[rand.IntN(overloadNodes)].Serve(ctx, r, c)
		elapsed := time.Since(start)
		if isMeasured(time.Now()) {
			o.count(outcome, elapsed)
		}
		if outcome != Refused {
			return
		}
		if !retriesAtOnce {
			time.Sleep(c.writtenError.RetryAfter)
		}
		if time.Until(deadline) < overloadServiceTime {
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
		o.timesToRefusal = append(o.timesToRefusal, elapsed)
	default:
		o.failed++
	}
}

// run sends first attempts at factor times the capacity.
func (o *overloadRun) run(t *testing.T, factor float64) {
	synctest.Test(t, func(t *testing.T) {
		// Requests wait for a channel of the view, which must belong to the bubble.
		for _, d := range o.dispatchers {
			v := *o.view
			d.Views.Publish(&v)
		}
		start := time.Now()
		measuredFrom, measuredUntil := start.Add(overloadWarmUp), start.Add(overloadWarmUp+overloadMeasurementTime)
		isMeasured := func(at time.Time) bool { return at.After(measuredFrom) && at.Before(measuredUntil) }
		var callers sync.WaitGroup
		for time.Now().Before(measuredUntil) {
			callers.Go(func() { o.simulateCaller(t.Context(), isMeasured) })
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / (factor * overloadCapacity)))
		}
		callers.Wait()
	})
}

func TestOverload(t *testing.T) {
	o := newOverloadRun()
	o.run(t, overloadFactor)
	slices.Sort(o.timesToRefusal)
	goodput := float64(o.served) / (overloadCapacity * overloadMeasurementTime.Seconds())
	p95 := o.timesToRefusal[len(o.timesToRefusal)*95/100]
	t.Logf("goodput %.3f of capacity, %d refused, time to refusal: median %v, p95 %v; servers refused %d of %d arrivals, %d failed",
		goodput, len(o.timesToRefusal), o.timesToRefusal[len(o.timesToRefusal)/2], p95, o.backend.refusals, o.backend.arrivals, o.failed)
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

// At 0.8 times the capacity, at most one percent of the requests are refused.
func TestLoadBelowCapacityIsServed(t *testing.T) {
	o := newOverloadRun()
	o.run(t, 0.8)
	if got, want := float64(len(o.timesToRefusal)), 0.01*float64(o.served); got > want || o.failed > 0 {
		t.Errorf("got %v refusals and %d failures with %d served, want at most %v refusals and no failures", got, o.failed, o.served, want)
	}
}

// A burst of callers is refused at the same time. With equal Retry-After values, all
// callers would retry at the same time and be refused again.
func TestRetryAfterIsSpreadOverABurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var retryAfters []time.Duration
		for range 300 {
			r := plainRequest(fleet.Idempotent)
			r.Deadline = now.Add(overloadDeadline)
			retryAfters = append(retryAfters, newRefusal(now, r, verdict.NoCapacity, "no room", time.Second).RetryAfter)
		}
		slices.Sort(retryAfters)
		if got, limit := retryAfters[len(retryAfters)-1], overloadDeadline/3; got > limit {
			t.Errorf("longest Retry-After: got %v, want at most %v", got, limit)
		}
		maxConcurrentRetries := 0
		for i := range retryAfters {
			n := 0
			for _, later := range retryAfters[i:] {
				if later-retryAfters[i] < 20*time.Millisecond {
					n++
				}
			}
			maxConcurrentRetries = max(maxConcurrentRetries, n)
		}
		if got, limit := maxConcurrentRetries, len(retryAfters)/4; got > limit {
			t.Errorf("%d of 300 callers retry within 20 ms of each other, want at most %d", got, limit)
		}
	})
}
