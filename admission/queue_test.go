package admission

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

func deadlineAfter(d time.Duration) domain.Deadline { return domain.Deadline{At: start.Add(d)} }

func TestEarliestDeadlineGoesFirst(t *testing.T) {
	var q Queue
	q.Offer(start, Item{ID: 1, Deadline: deadlineAfter(time.Minute)})
	q.Offer(start, Item{ID: 2, Deadline: deadlineAfter(3 * time.Minute)})
	q.Offer(start, Item{ID: 3, Deadline: deadlineAfter(2 * time.Minute)})
	if got, want := q.Finish(start, 1).AdmittedIDs, []ID{3}; !slices.Equal(got, want) {
		t.Errorf("got %v admitted, want %v", got, want)
	}
}

func TestTeamsShareByTheirWeights(t *testing.T) {
	var q Queue
	nextID := ID(1)
	for range 100 {
		q.Offer(start, Item{ID: nextID, Team: "coral", Share: 3, Deadline: deadlineAfter(time.Hour)})
		q.Offer(start, Item{ID: nextID + 1, Team: "imnar", Share: 1, Deadline: deadlineAfter(time.Hour)})
		nextID += 2
	}
	coralSlots, runningID := 0, ID(1)
	for range 80 {
		admitted := q.Finish(start, runningID).AdmittedIDs
		runningID = admitted[0]
		coralSlots += int(runningID % 2)
	}
	if want := 60; coralSlots < want-1 || coralSlots > want+1 {
		t.Errorf("got %d of 80 slots for the team with three quarters of the shares, want %d", coralSlots, want)
	}
}

func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	var q Queue
	q.Offer(start, Item{ID: 1})
	q.Finish(start.Add(time.Second), 1)
	now := start.Add(time.Second)
	q.Offer(now, Item{ID: 2})
	for id := ID(3); id < 6; id++ {
		if got := q.Offer(now, Item{ID: id, Deadline: deadlineAfter(time.Minute)}).Outcome; got != Queued {
			t.Errorf("got %v, want Queued", got)
		}
	}
	got := q.Offer(now, Item{ID: 9, Deadline: deadlineAfter(1500 * time.Millisecond), Team: "imnar"})
	if got.Outcome != RefusedLate || got.RetryAfter < minimumRetryAfter || got.RetryAfter > 4*time.Second {
		t.Errorf("got %+v, want RefusedLate with a Retry-After of 1 to 4 s", got)
	}
}

// TestSlotsStayWithinCapacityAndNoItemIsLost checks with random operations that the
// slots in use never exceed the capacity, and that no item is lost or admitted twice.
func TestSlotsStayWithinCapacityAndNoItemIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var q Queue
		now, lastID := start, ID(0)
		running, waiting := map[ID]bool{}, map[ID]bool{}
		apply := func(c DequeuedItems) {
			for _, id := range c.AdmittedIDs {
				if !waiting[id] {
					rt.Fatalf("got %d admitted, which was not queued", id)
				}
				delete(waiting, id)
				running[id] = true
			}
			for _, id := range c.LateIDs {
				delete(waiting, id)
			}
		}
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				lastID++
				remaining := time.Duration(rapid.IntRange(1, 5000).Draw(rt, "remaining")) * time.Millisecond
				name := rapid.SampledFrom([]domain.TeamName{"a", "b", "c"}).Draw(rt, "team")
				d := q.Offer(now, Item{ID: lastID, Team: name, Deadline: domain.Deadline{At: now.Add(remaining)}})
				apply(DequeuedItems{LateIDs: d.LateIDs})
				switch d.Outcome {
				case Admitted:
					running[lastID] = true
				case Queued:
					waiting[lastID] = true
				}
			case 2:
				for id := range lastID + 1 {
					if running[id] {
						delete(running, id)
						apply(q.Finish(now, id))
						break
					}
				}
			case 3:
				apply(q.SetCapacity(now, max(len(running), rapid.IntRange(1, 8).Draw(rt, "capacity"))))
			}
			if q.Running() != len(running) || q.Waiting() != len(waiting) || len(running) > q.slots() {
				rt.Fatalf("got %d running of %d slots and %d queued, want %d and %d", q.Running(), q.slots(), q.Waiting(), len(running), len(waiting))
			}
		}
	})
}

// TestOverloadKeepsGoodput offers three times the capacity for a minute: 16 slots,
// each held for 0.5 to 1.5 s, and deadlines of 2 to 10 s.
func TestOverloadKeepsGoodput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots       = 16
			serviceTime = time.Second
			duration    = time.Minute
		)
		// mu guards the queue and what follows: items end on goroutines of timers.
		var mu sync.Mutex
		var q Queue
		q.SetCapacity(time.Now(), slots)
		offered, deadlines := map[ID]time.Time{}, map[ID]time.Time{}
		completedInTime := 0
		var refusalDelays []time.Duration
		var apply func(c DequeuedItems)
		startItem := func(id ID) {
			holdTime := serviceTime/2 + time.Duration(id*7919%1000)*serviceTime/1000
			time.AfterFunc(holdTime, func() {
				mu.Lock()
				defer mu.Unlock()
				if !time.Now().After(deadlines[id]) {
					completedInTime++
				}
				apply(q.Finish(time.Now(), id))
			})
		}
		apply = func(c DequeuedItems) {
			for _, id := range c.AdmittedIDs {
				startItem(id)
			}
			for _, id := range c.LateIDs {
				refusalDelays = append(refusalDelays, time.Since(offered[id]))
			}
		}
		startedAt := time.Now()
		for id := ID(1); time.Since(startedAt) < duration; id++ {
			mu.Lock()
			offered[id] = time.Now()
			deadlines[id] = time.Now().Add(time.Duration(2+id%9) * time.Second)
			d := q.Offer(time.Now(), Item{ID: id, Deadline: domain.Deadline{At: deadlines[id]}})
			apply(DequeuedItems{LateIDs: d.LateIDs})
			switch d.Outcome {
			case Admitted:
				startItem(id)
			case RefusedLate, RefusedFull:
				refusalDelays = append(refusalDelays, 0)
			}
			mu.Unlock()
			time.Sleep(serviceTime / slots / 3)
			synctest.Wait()
		}
		mu.Lock()
		defer mu.Unlock()
		slices.Sort(refusalDelays)
		ratio := float64(completedInTime) / (slots * duration.Seconds())
		p95 := refusalDelays[len(refusalDelays)*95/100]
		t.Logf("goodput %.3f of capacity, %d refusals, 95th percentile %v, latest %v", ratio, len(refusalDelays), p95, refusalDelays[len(refusalDelays)-1])
		if want := 0.95; ratio < want {
			t.Errorf("got goodput %.3f of capacity, want at least %v", ratio, want)
		}
		if want := 100 * time.Millisecond; p95 > want {
			t.Errorf("got refusals after %v at the 95th percentile, want at most %v", p95, want)
		}
	})
}

func BenchmarkOffer(b *testing.B) {
	var q Queue
	q.SetCapacity(start, 16)
	for id := ID(0); id < 16+MaximumWaiting/2; id++ {
		q.Offer(start, Item{ID: id, Deadline: deadlineAfter(time.Hour)})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id := ID(i + 10_000)
		q.Offer(start, Item{ID: id, Deadline: deadlineAfter(2 * time.Hour)})
		q.Cancel(id)
	}
}
