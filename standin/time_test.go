package standin

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func TestTransfersSlowDownBeyondFourAtOnce(t *testing.T) {
	for _, c := range []struct {
		transfers int
		most      time.Duration
		least     time.Duration
	}{
		{1, 1100 * time.Millisecond, time.Second},
		{4, 1100 * time.Millisecond, time.Second},
		{10, 6 * time.Second, 2500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newWeightStore(Options{LoadTime: time.Second})
			began := time.Now()
			var all sync.WaitGroup
			for range c.transfers {
				all.Go(func() { s.transfer(t.Context(), loadTimeBytes) })
			}
			all.Wait()
			if got := time.Since(began); got < c.least || got > c.most {
				t.Errorf("%d at once: got %v, want %v to %v", c.transfers, got, c.least, c.most)
			}
			if s.most != c.transfers || s.loads != c.transfers {
				t.Errorf("got most %d, loads %d, want %d", s.most, s.loads, c.transfers)
			}
		})
	}
}

func TestVMListLagsAndForgetsTheSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newVMList(Options{VMListLag: time.Second})
		l.seed([]wireVM{{ID: "engine-1", Kind: "Engine"}})
		l.announce(wireVM{ID: "n1", Kind: "Entry"}, time.Now())
		for _, step := range []struct {
			wait time.Duration
			want int
		}{
			{500 * time.Millisecond, 1},
			{600 * time.Millisecond, 2},
			{5500 * time.Millisecond, 2},
			{time.Second, 1},
		} {
			time.Sleep(step.wait)
			if got := len(l.listed(time.Now())); got != step.want {
				t.Errorf("after %v more: got %d VMs, want %d", step.wait, got, step.want)
			}
		}
		l.announce(wireVM{ID: "n1", Kind: "Entry"}, time.Now())
		l.reclaim("n1", time.Now())
		if l.announce(wireVM{ID: "n1", Kind: "Entry"}, time.Now()) {
			t.Error("a reclaimed VM was listed again")
		}
		if l.announce(wireVM{ID: "engine-1", Kind: "Entry"}, time.Now()) {
			t.Error("an entry VM took the id of an engine")
		}
	})
}

func TestAcceleratorSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ob := newObserver()
		e := ob.addEngine("e", 1)
		r := ob.loading(e, "m")
		time.Sleep(2 * time.Second)
		r.loadDone()
		time.Sleep(3 * time.Second)
		r.enter()
		time.Sleep(4 * time.Second)
		r.leave()
		time.Sleep(5 * time.Second)
		r.unloaded()
		r.unloaded()
		time.Sleep(time.Hour)
		got := ob.snapshot().AcceleratorSeconds
		if want := (AcceleratorSeconds{Loaded: 14, Idle: 8}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
		if got, want := ob.snapshot().Models["m"], (ObservedModel{MostLoaded: 1}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	})
}

func TestReportedCountsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var h loadHistory
		for n := range 10 {
			h.add(loadReport{at: time.Now(), loads: map[string]load{"m": {running: n}}}, 3*time.Second)
			time.Sleep(time.Second)
		}
		if got, want := h.before(time.Now().Add(-3 * time.Second))["m"].running, 7; got != want {
			t.Errorf("got %d, want %d", got, want)
		}
		if got := len(h.past); got > 5 {
			t.Errorf("got %d reports kept", got)
		}
	})
}

// TestBatchAdmitsByPriorityThenArrival checks each admission against a list that
// is searched from the start.
func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := batch{slots: rapid.IntRange(1, 3).Draw(t, "slots")}
		var waiting, running []*ticket
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "leave") {
				b.leave(running[0])
				running = running[1:]
			} else {
				waiting = append(waiting, b.join(rapid.IntRange(-2, 2).Draw(t, "priority")))
			}
			for len(running) < b.slots && len(waiting) > 0 {
				i := first(waiting)
				running = append(running, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			}
			check := func(tickets []*ticket, want bool) {
				for _, k := range tickets {
					if got := admitted(k); got != want {
						t.Fatalf("ticket %d with priority %d: got admitted %v, want %v", k.sequence, k.priority, got, want)
					}
				}
			}
			check(running, true)
			check(waiting, false)
		}
	})
}

func first(tickets []*ticket) int {
	best := 0
	for i, k := range tickets {
		if k.priority > tickets[best].priority {
			best = i
		}
	}
	return best
}

func admitted(k *ticket) bool {
	select {
	case <-k.admitted:
		return true
	default:
		return false
	}
}

func TestAdapterLoadsSlowDownBeyondThirtyInFlight(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		crowding float64
	}{{1, 1}, {30, 1}, {90, 3}} {
		synctest.Test(t, func(t *testing.T) {
			s := adapterStore{seed: 3}
			s.inFlight.Store(int64(c.inFlight - 1))
			began := time.Now()
			s.load(t.Context(), "m:a")
			alone := s.timeOf("m:a")
			if alone < 3*time.Millisecond || alone > 15*time.Millisecond {
				t.Errorf("got %v alone, want 3 to 15 ms", alone)
			}
			if got, want := time.Since(began), time.Duration(float64(alone)*c.crowding); got != want {
				t.Errorf("%d in flight: got %v, want %v", c.inFlight, got, want)
			}
		})
	}
}

func TestSlowStreamSendsComments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := httptest.NewRecorder()
		s := newEventStream(w, "a1")
		if !s.work(t.Context(), 3500*time.Millisecond) {
			t.Error("the work broke off")
		}
		never, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		if s.await(never, nil) {
			t.Error("a request was admitted that never was")
		}
		if got, want := strings.Count(w.Body.String(), ": waiting\n"), 5; got != want {
			t.Errorf("got %d comments in 6 s, want %d", got, want)
		}
	})
}
