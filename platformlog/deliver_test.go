package platformlog

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// TestFaultDeliveredRecordsTolerateGapsAndDuplicates holds that a node which gets
// its records from a relay has the relay's state, though a third of the deliveries is lost and
// another third comes twice.
func TestFaultDeliveredRecordsTolerateGapsAndDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(12)
		never := func() bool { return false }
		b := start(ctx, t, l, "b", func(o *Options) {
			o.ReadsLog = never
			o.RankDelay = func() time.Duration { return time.Second }
		})
		deliveries := 0
		a := start(ctx, t, l, "a", func(o *Options) {
			o.OnRecords = func(first domain.Offset, records [][]byte) {
				for range deliveries % 3 {
					b.Deliver(first, records)
				}
				deliveries++
			}
		})
		for i := range 30 {
			from := []*Replica{a, b}[i%2]
			got, err := from.Propose(within(ctx, t, 5*time.Second), taken(domain.ServerID(fmt.Sprint("s", i))))
			if err != nil || got[0].Rejection != fold.Accepted {
				t.Fatalf("proposal %d: got %v, %v, want Accepted", i, got, err)
			}
		}
		time.Sleep(IdleRead)
		if got, want := encoded(t, b), encoded(t, a); got != want {
			t.Error("the relayed state differs")
		}
	})
}

// TestFaultRegionCutForAnHourCatchesUp holds that a node which the log cannot be
// reached from keeps its state, refuses as not run, and catches up.
func TestFaultRegionCutForAnHourCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(13)
		cut := &cutLog{fakeLog: l}
		a := start(ctx, t, l, "a", nil)
		b := start(ctx, t, l, "b", func(o *Options) { o.Log = cut })
		if _, err := a.Propose(ctx, taken("s")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		l.set(func() { cut.cut = true })
		for range 60 {
			if _, err := a.Propose(ctx, fold.SnapshotChunk{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
		}
		if b.IsLogReachable() || b.Lag() < 50*time.Minute || b.offset() == a.offset() {
			t.Errorf("cut off: got log up %v, lag %v, offset %d", b.IsLogReachable(), b.Lag(), b.offset())
		}
		l.set(func() { cut.cut = false })
		time.Sleep(10 * time.Second)
		if got, want := encoded(t, b), encoded(t, a); got != want || !b.IsLogReachable() {
			t.Errorf("after the cut the states differ, or the log is down (%v)", b.IsLogReachable())
		}
	})
}

// cutLog is a log that some nodes cannot reach.
type cutLog struct {
	*fakeLog
	cut bool
}

func (c *cutLog) isCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut
}

func (c *cutLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if c.isCut() {
		return 0, &Error{Failure: NotAppended}
	}
	return c.fakeLog.Append(ctx, stream, records)
}

func (c *cutLog) Read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (Page, error) {
	if c.isCut() {
		return Page{}, &Error{Failure: Unavailable}
	}
	return c.fakeLog.Read(ctx, stream, from, most, wait)
}

// TestFaultLostImporterIsReplacedInTime takes away the only node that imports, and
// changes the configuration once another one has its role.
func TestFaultLostImporterIsReplacedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(14)
		first, stop := context.WithCancel(ctx)
		start(first, t, l, "a", nil)
		var lost atomic.Bool
		b := start(ctx, t, l, "b", func(o *Options) {
			o.ReadsLog = lost.Load
			o.RankDelay = func() time.Duration {
				if lost.Load() {
					return 0
				}
				return time.Second
			}
		})
		time.Sleep(10 * time.Second)
		stop()
		lost.Store(true)
		// The relay's runner does so when it takes over the reading.
		b.Deliver(b.offset()+2, nil)
		offset, err := l.Append(ctx, fold.ConfigurationStream, [][]byte{operatorRecord(t, 2)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if got := b.configurationOffset(); got < offset {
			t.Errorf("got configuration %d 3 s after the change, want %d", got, offset)
		}
	})
}
