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

// The load of TestOverload: three nodes before six servers, a steady stream of
// first attempts of twice what these can answer, and callers of whom half repeat at
// once instead of when they were told to.
const (
	overloadNodes    = 3
	overloadServers  = 6
	overloadSlots    = 6
	overloadQueue    = 4
	overloadWork     = 40 * time.Millisecond
	overloadFactor   = 2.0
	overloadAbusers  = 0.5
	overloadRepeats  = 3
	overloadPatience = 2 * time.Second
	overloadSettle   = 3 * time.Second
	overloadMeasured = 12 * time.Second
	overloadCapacity = overloadServers * overloadSlots / (float64(overloadWork) / float64(time.Second))
)

// crowdedBackend has servers of so many slots and a short queue each; it refuses
// what fits into neither.
type crowdedBackend struct {
	mu sync.Mutex
	// inside counts the requests at each server, running ones and queued ones.
	inside            map[domain.ServerID]int
	slots             map[domain.ServerID]chan struct{}
	arrivals, refused int
}

func (b *crowdedBackend) enter(id domain.ServerID) (chan struct{}, int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals++
	if b.slots[id] == nil {
		b.slots[id] = make(chan struct{}, overloadSlots)
	}
	if b.inside[id] >= overloadSlots+overloadQueue {
		b.refused++
		return nil, 0, false
	}
	b.inside[id]++
	return b.slots[id], b.inside[id], true
}

func (b *crowdedBackend) load(id domain.ServerID) Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.inside[id]
	return Load{Known: true, Running: min(n, overloadSlots), Waiting: max(0, n-overloadSlots), Slots: overloadSlots}
}

func (b *crowdedBackend) Send(ctx context.Context, s *fleet.Server, _ *Request, _ Attempt) (*Response, error) {
	slots, _, ok := b.enter(s.ID)
	if !ok {
		return &Response{Status: 503, Refusal: Full, Load: b.load(s.ID), Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inside[s.ID]--
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

func (b *crowdedBackend) Reach(context.Context, *fleet.Server) error { return nil }

// overload is one run of the load.
type overload struct {
	backend     *crowdedBackend
	dispatchers []*Dispatcher

	mu       sync.Mutex
	served   int
	refusals []time.Duration
	late     int
}

func newOverload() *overload {
	o := &overload{backend: &crowdedBackend{inside: map[domain.ServerID]int{}, slots: map[domain.ServerID]chan struct{}{}}}
	v := &View{Config: &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"plain": {Name: "plain"}}}, Servers: map[domain.ServiceName][]*fleet.Server{}}
	for i := range overloadServers {
		v.Servers["plain"] = append(v.Servers["plain"], &fleet.Server{ID: domain.ServerID(fmt.Sprint("p", i)), Service: "plain", Slots: overloadSlots, Zone: "z"})
	}
	for range overloadNodes {
		d := New(Options{
			Zone: "z", Views: &Views{}, Demand: &Demand{}, Backend: o.backend, Logger: zerolog.Nop(), Counters: noCounters{},
			SetBudget: func(w *retries.WindowBudget) { w.Length, w.Ratio, w.Reserve = 10*time.Second, 0.1, 4 },
		})
		d.Views.Publish(v)
		o.dispatchers = append(o.dispatchers, d)
	}
	return o
}

// caller makes one request and repeats it as its kind does.
func (o *overload) caller(ctx context.Context, measured func(time.Time) bool) {
	deadline := time.Now().Add(overloadPatience)
	abuser := rand.Float64() < overloadAbusers
	for range 1 + overloadRepeats {
		began := time.Now()
		r := plainRequest(fleet.Idempotent)
		r.Deadline = deadline
		c := &fakeCaller{}
		outcome := o.dispatchers[rand.IntN(overloadNodes)].Serve(ctx, r, c)
		took := time.Since(began)
		if measured(time.Now()) {
			o.count(outcome, took)
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

func (o *overload) count(outcome Outcome, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch outcome {
	case Served:
		o.served++
	case Refused:
		o.refusals = append(o.refusals, took)
	default:
		o.late++
	}
}

// run plays the load at so many times the capacity.
func (o *overload) run(t *testing.T, factor float64) {
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
	slices.Sort(o.refusals)
	goodput := float64(o.served) / (overloadCapacity * overloadMeasured.Seconds())
	p95 := o.refusals[len(o.refusals)*95/100]
	t.Logf("goodput %.3f of capacity, %d refused, half of them after %v, 95 in 100 after %v, %d of %d arrivals turned away by servers, %d failed",
		goodput, len(o.refusals), o.refusals[len(o.refusals)/2], p95, o.backend.refused, o.backend.arrivals, o.late)
	if want := 0.95; goodput < want {
		t.Errorf("got goodput %.3f of capacity, want %v", goodput, want)
	}
	if want := 100 * time.Millisecond; p95 > want {
		t.Errorf("got refusals after %v at the 95th percentile, want %v", p95, want)
	}
	if o.late > 0 {
		t.Errorf("%d requests neither had an answer nor a refusal", o.late)
	}
}

// Below the capacity nobody is refused for long.
func TestLoadBelowCapacityIsServed(t *testing.T) {
	o := newOverload()
	o.run(t, 0.8)
	if got, want := float64(len(o.refusals)), 0.01*float64(o.served); got > want || o.late > 0 {
		t.Errorf("got %v refusals and %d failures beside %d served, want %v and none", got, o.late, o.served, want)
	}
}

// A burst of callers is refused in one moment; they must not come back in one.
func TestBurstIsToldToComeBackSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		var times []time.Duration
		for range 300 {
			r := plainRequest(fleet.Idempotent)
			r.Deadline = now.Add(overloadPatience)
			times = append(times, refusal(now, r, verdict.NoCapacity, "no room", time.Second).RetryAfter)
		}
		slices.Sort(times)
		if got, limit := times[len(times)-1], overloadPatience/3; got > limit {
			t.Errorf("got a Retry-After of %v, want %v at most", got, limit)
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
			t.Errorf("%d of 300 callers come back within 20 ms, want %d at most", got, limit)
		}
	})
}
