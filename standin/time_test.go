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
			startedAt := time.Now()
			var all sync.WaitGroup
			for range c.transfers {
				all.Go(func() { s.transfer(t.Context(), loadTimeCheckpointSize) })
			}
			all.Wait()
			if got := time.Since(startedAt); got < c.least || got > c.most {
				t.Errorf("%d at once: got %v, want %v to %v", c.transfers, got, c.least, c.most)
			}
			if s.peakActive != c.transfers || s.transferCount != c.transfers {
				t.Errorf("got most %d, loads %d, want %d", s.peakActive, s.transferCount, c.transfers)
			}
		})
	}
}

func TestVMListLagsAndExpiresUnrepeatedAnnouncements(t *testing.T) {
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
			if got := len(l.laggedVMs(time.Now())); got != step.want {
				t.Errorf("after %v more: got %d VMs, want %d", step.wait, got, step.want)
			}
		}
		l.announce(wireVM{ID: "n1", Kind: "Entry"}, time.Now())
		l.reclaim("n1", time.Now())
		if l.announce(wireVM{ID: "n1", Kind: "Entry"}, time.Now()) {
			t.Error("a reclaimed VM was listed again")
		}
		if l.announce(wireVM{ID: "engine-1", Kind: "Entry"}, time.Now()) {
			t.Error("an entry VM replaced an engine with the same ID")
		}
	})
}

func TestAcceleratorSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ob := newObserver()
		e := ob.addEngine("e", 1)
		r := ob.recordLoadStart(e, "m")
		time.Sleep(2 * time.Second)
		r.recordReady()
		time.Sleep(3 * time.Second)
		r.recordRequestStart()
		time.Sleep(4 * time.Second)
		r.recordRequestEnd()
		time.Sleep(5 * time.Second)
		r.recordUnload()
		r.recordUnload()
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
		var h countHistory
		for n := range 10 {
			h.add(countSnapshot{at: time.Now(), counts: map[string]requestCounts{"m": {running: n}}}, 3*time.Second)
			time.Sleep(time.Second)
		}
		if got, want := h.asOf(time.Now().Add(-3 * time.Second))["m"].running, 7; got != want {
			t.Errorf("got %d, want %d", got, want)
		}
		if got := len(h.snapshots); got > 5 {
			t.Errorf("got %d reports kept", got)
		}
	})
}

// TestBatchAdmitsByPriorityThenArrival compares the admitted entries with a model that
// searches a list of waiting entries for the next one.
func TestBatchAdmitsByPriorityThenArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := batch{slots: rapid.IntRange(1, 3).Draw(t, "slots")}
		var waiting, running []*batchEntry
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			if len(running) > 0 && rapid.Bool().Draw(t, "leave") {
				b.release(running[0])
				running = running[1:]
			} else {
				waiting = append(waiting, b.enqueue(rapid.IntRange(-2, 2).Draw(t, "priority")))
			}
			for len(running) < b.slots && len(waiting) > 0 {
				i := indexOfNext(waiting)
				running = append(running, waiting[i])
				waiting = append(waiting[:i:i], waiting[i+1:]...)
			}
			check := func(entries []*batchEntry, want bool) {
				for _, k := range entries {
					if got := isAdmitted(k); got != want {
						t.Fatalf("entry %d with priority %d: got admitted %v, want %v", k.sequence, k.priority, got, want)
					}
				}
			}
			check(running, true)
			check(waiting, false)
		}
	})
}

func indexOfNext(entries []*batchEntry) int {
	best := 0
	for i, k := range entries {
		if k.priority > entries[best].priority {
			best = i
		}
	}
	return best
}

func isAdmitted(entry *batchEntry) bool {
	select {
	case <-entry.admitted:
		return true
	default:
		return false
	}
}

func TestAdapterLoadsSlowDownBeyondThirtyInFlight(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		slowdown float64
	}{{1, 1}, {30, 1}, {90, 3}} {
		synctest.Test(t, func(t *testing.T) {
			l := adapterLoader{seed: 3}
			l.inFlight.Store(int64(c.inFlight - 1))
			startedAt := time.Now()
			l.load(t.Context(), "m:a")
			baseTime := l.baseLoadTime("m:a")
			if baseTime < 3*time.Millisecond || baseTime > 15*time.Millisecond {
				t.Errorf("got base time %v, want 3 to 15 ms", baseTime)
			}
			if got, want := time.Since(startedAt), time.Duration(float64(baseTime)*c.slowdown); got != want {
				t.Errorf("%d in flight: got %v, want %v", c.inFlight, got, want)
			}
		})
	}
}

func TestSlowStreamSendsComments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := httptest.NewRecorder()
		s := newEventStream(w, "a1")
		if !s.simulateWork(t.Context(), 3500*time.Millisecond) {
			t.Error("simulateWork failed")
		}
		never, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		if s.waitForAdmission(never, nil) {
			t.Error("waitForAdmission succeeded without an admission")
		}
		if got, want := strings.Count(w.Body.String(), ": waiting\n"), 5; got != want {
			t.Errorf("got %d comments in 6 s, want %d", got, want)
		}
	})
}
