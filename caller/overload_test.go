package caller

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/engine"
)

// batchingEngine returns a fake engine that runs at most size attempts at once, each for
// the duration hold, and queues the others.
func batchingEngine(size int, hold time.Duration) behaviour {
	slots := make(chan struct{}, size)
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		time.AfterFunc(hold, func() { <-slots })
		p := responseTokens(r)
		return &fakeStream{ctx: ctx, e: e, tokens: p, pace: hold / time.Duration(len(p))}, nil
	}
}

// TestOverloadAtThreeTimesCapacityKeepsGoodput sends 96 requests a second for 30 s to two
// engines with 16 slots each and requests of 1 s, three times their capacity. It guards
// against lost capacity and late refusals under overload. The first second does not
// count, because no request can finish in it.
func TestOverloadAtThreeTimesCapacityKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots    = 32
			hold     = time.Second
			duration = 30 * time.Second
		)
		b := newFixture(batchingEngine(slots/2, hold), batchingEngine(slots/2, hold))
		var mu sync.Mutex
		var refused []time.Duration
		completedInTime := 0
		begin := time.Now()
		var requests sync.WaitGroup
		for i := range int(duration / hold * slots * 3) {
			requests.Go(func() {
				timeout := 2 + i%9
				start := time.Now()
				w := b.post(t.Context(), helloBody, requestTimeoutHeader, strconv.Itoa(timeout))
				elapsed := time.Since(start)
				mu.Lock()
				defer mu.Unlock()
				if elapsed > time.Duration(timeout)*time.Second+250*time.Millisecond {
					t.Errorf("got the end of a request after %v, want at most %d s and 250 ms", elapsed, timeout)
				}
				if w.Code != http.StatusOK {
					refused = append(refused, elapsed)
					return
				}
				if _, last := parseStream(t, w); last == "[DONE]" && time.Since(begin) <= duration {
					completedInTime++
				}
			})
			time.Sleep(hold / slots / 3)
		}
		requests.Wait()
		slices.Sort(refused)
		ratio := float64(completedInTime) / (slots * (duration - hold).Seconds())
		p95 := refused[len(refused)*95/100]
		t.Logf("goodput %.3f of capacity, %d refused, 95th percentile %v, latest %v", ratio, len(refused), p95, refused[len(refused)-1])
		if want := 0.95; ratio < want {
			t.Errorf("got goodput %.3f of capacity, want %v", ratio, want)
		}
		if want := 100 * time.Millisecond; p95 > want {
			t.Errorf("got refusals after %v at the 95th percentile, want %v", p95, want)
		}
	})
}

// BenchmarkWaitingRequestMemory reports the memory that one waiting request of about 100
// bytes takes, including its goroutines.
func BenchmarkWaitingRequestMemory(b *testing.B) {
	const requests = 500
	for b.Loop() {
		bench := newFixture(stallAfter(0))
		bench.placer.replicas[0].Concurrency = 1
		ctx, cancel := context.WithCancel(b.Context())
		before := usedMemory()
		var callers sync.WaitGroup
		for range requests {
			callers.Go(func() { bench.post(ctx, helloBody) })
		}
		for bench.api.InFlight() < requests {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		b.ReportMetric(float64(usedMemory()-before)/requests, "B/request")
		cancel()
		callers.Wait()
	}
}

func usedMemory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

func TestBufferedBodiesAreBounded(t *testing.T) {
	b := newFixture(respond)
	if !b.api.queues.reserveBytes(MaximumBufferedBytes - 10) {
		t.Fatal("got no room in an empty node")
	}
	w := b.post(t.Context(), helloBody)
	if got := parseRefusal(t, w); w.Code != http.StatusServiceUnavailable || got.Reason != "QueueFull" || got.Verdict != "NotRun" {
		t.Errorf("got %s, want 503 QueueFull NotRun", fmt.Sprint(w.Code, got))
	}
}
