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

// TestFaultDeliveredRecordsTolerateGapsAndDuplicates checks that a node which gets
// its records from a relay has the same state as the relay in the end. A third of the
// deliveries is lost and another third arrives twice.
func TestFaultDeliveredRecordsTolerateGapsAndDuplicates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(12)
		readsNoLog := func() bool { return false }
		b := startReplica(ctx, t, l, "b", func(o *Options) {
			o.ReadsLog = readsNoLog
			o.RankDelay = func() time.Duration { return time.Second }
		})
		deliveries := 0
		a := startReplica(ctx, t, l, "a", func(o *Options) {
			o.OnRecords = func(first domain.Offset, records [][]byte) {
				for range deliveries % 3 {
					b.Deliver(first, records)
				}
				deliveries++
			}
		})
		for i := range 30 {
			from := []*Replica{a, b}[i%2]
			got, err := from.Propose(withTimeout(ctx, t, 5*time.Second), leaseTaken(domain.ServerID(fmt.Sprint("s", i))))
			if err != nil || got[0].Rejection != fold.Accepted {
				t.Fatalf("proposal %d: got %v, %v, want Accepted", i, got, err)
			}
		}
		time.Sleep(RelayedReadInterval)
		if got, want := stateBytes(t, b), stateBytes(t, a); got != want {
			t.Error("the state from relayed records differs from the state from the log")
		}
	})
}

// TestFaultRegionPartitionedForAnHourCatchesUp checks a node that cannot reach the log for
// an hour. It must report the log as unreachable and how far it lags behind, and catch up
// afterwards.
func TestFaultRegionPartitionedForAnHourCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(13)
		client := &partitionedLog{fakeLog: l}
		a := startReplica(ctx, t, l, "a", nil)
		b := startReplica(ctx, t, l, "b", func(o *Options) { o.Log = client })
		if _, err := a.Propose(ctx, leaseTaken("s")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		l.update(func() { client.partitioned = true })
		for range 60 {
			if _, err := a.Propose(ctx, fold.SnapshotChunk{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Minute)
		}
		if b.IsLogReachable() || b.Lag() < 50*time.Minute || b.offset() == a.offset() {
			t.Errorf("during the partition: got log reachable %v, lag %v, offset %d", b.IsLogReachable(), b.Lag(), b.offset())
		}
		l.update(func() { client.partitioned = false })
		time.Sleep(10 * time.Second)
		if got, want := stateBytes(t, b), stateBytes(t, a); got != want || !b.IsLogReachable() {
			t.Errorf("after the partition the states differ or the log is unreachable (reachable %v)", b.IsLogReachable())
		}
	})
}

// partitionedLog is a fakeLog whose calls fail while partitioned is true. fakeLog.mu
// guards partitioned.
type partitionedLog struct {
	*fakeLog
	partitioned bool
}

func (c *partitionedLog) isPartitioned() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.partitioned
}

func (c *partitionedLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if c.isPartitioned() {
		return 0, &Error{Failure: NotAppended}
	}
	return c.fakeLog.Append(ctx, stream, records)
}

func (c *partitionedLog) Read(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (Page, error) {
	if c.isPartitioned() {
		return Page{}, &Error{Failure: Unavailable}
	}
	return c.fakeLog.Read(ctx, stream, from, limit, wait)
}

// TestFaultStoppedImporterIsReplacedInTime checks that an operator record is in force
// within 3 s of its append although the only importer has stopped and another node has just
// taken over.
func TestFaultStoppedImporterIsReplacedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		l := newFakeLog(14)
		importerCtx, stopImporter := context.WithCancel(ctx)
		startReplica(importerCtx, t, l, "a", nil)
		var importerLost atomic.Bool
		b := startReplica(ctx, t, l, "b", func(o *Options) {
			o.ReadsLog = importerLost.Load
			o.RankDelay = func() time.Duration {
				if importerLost.Load() {
					return 0
				}
				return time.Second
			}
		})
		time.Sleep(10 * time.Second)
		stopImporter()
		importerLost.Store(true)
		// relay.Forwarder makes this call when its node starts to read the log.
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
