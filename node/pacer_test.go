package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

// TestFaultDeadHolderFreesItsSlots checks that another node gets a slot soon after the holder
// of all slots has died.
func TestFaultDeadHolderFreesItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dead := false
		p := NewPacer(func(n domain.NodeID) bool { return n != "a" || !dead })
		for range maximumConcurrentLoads {
			if _, err := p.Acquire(t.Context(), "a", peer.AcquirePace{}); err != nil {
				t.Fatal(err)
			}
		}
		dead = true
		start := time.Now()
		if _, err := p.Acquire(t.Context(), "b", peer.AcquirePace{}); err != nil {
			t.Fatal(err)
		}
		if got, want := time.Since(start), deadHolderSlotLifetime+2*time.Second; got > want {
			t.Errorf("got a slot after %v, want at most %v", got, want)
		}
	})
}

// TestPacerLimitsSlotsAndGrantRate checks that no more than maximumConcurrentLoads slots are
// granted at once, and that 20 loads are not delayed more than the limits require.
func TestPacerLimitsSlotsAndGrantRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(nil)
		start := time.Now()
		var mu sync.Mutex
		slotsHeld, peakSlots := 0, 0
		count := func(n int) {
			mu.Lock()
			defer mu.Unlock()
			slotsHeld += n
			peakSlots = max(peakSlots, slotsHeld)
		}
		done := make(chan struct{})
		for range 20 {
			go func() {
				defer func() { done <- struct{}{} }()
				s, err := p.Acquire(t.Context(), "a", peer.AcquirePace{})
				if err != nil {
					t.Error(err)
					return
				}
				count(1)
				time.Sleep(time.Second)
				count(-1)
				p.Release(peer.ReleasePace{Slot: s.Slot})
			}()
		}
		for range 20 {
			<-done
		}
		if peakSlots > maximumConcurrentLoads {
			t.Errorf("got %d slots held at once, want at most %d", peakSlots, maximumConcurrentLoads)
		}
		// 20 loads of a second each over 4 slots take 5 s, started 200 ms apart.
		if got, want := time.Since(start), 6*time.Second; got > want {
			t.Errorf("got %v for 20 loads, want at most %v", got, want)
		}
	})
}

// TestPacerServesMostWaitingCallersFirst lets a load with 1 waiting caller and a load with 9
// wait for a slot, in this order. The next free slot must go to the load with 9.
func TestPacerServesMostWaitingCallersFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(nil)
		var slots []peer.Paced
		for range maximumConcurrentLoads {
			s, err := p.Acquire(t.Context(), "a", peer.AcquirePace{})
			if err != nil {
				t.Fatal(err)
			}
			slots = append(slots, s)
		}
		grantedCallers := make(chan int, 2)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, w := range []int{1, 9} {
			go func() {
				if _, err := p.Acquire(ctx, "a", peer.AcquirePace{Waiting: w}); err == nil {
					grantedCallers <- w
				}
			}()
			synctest.Wait()
		}
		p.Release(peer.ReleasePace{Slot: slots[0].Slot})
		if got, want := <-grantedCallers, 9; got != want {
			t.Errorf("got the load with %d callers first, want the one with %d", got, want)
		}
	})
}
