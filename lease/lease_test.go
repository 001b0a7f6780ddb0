package lease

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func testLease(fenced bool) *Lease {
	return &Lease{TimeToLive: 2500 * time.Millisecond, SettleTime: 500 * time.Millisecond, ServersCheckFence: fenced}
}

var holds = Grant{Generation: 7, Shards: []Shard{0}}

func TestHolderWaitsAndThenHolds(t *testing.T) {
	l := testLease(false)
	l.ApplyGrant(0, holds)
	if _, ok := l.Fence(499 * time.Millisecond); ok {
		t.Error("valid before it has settled")
	}
	if got, ok := l.Fence(500 * time.Millisecond); !ok || got != domain.Fence(7) {
		t.Errorf("got fence %d, valid %v, want 7", got, ok)
	}
	l.ApplyGrant(time.Second, Grant{Generation: 9, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 2*time.Second), domain.Fence(7); got != want {
		t.Errorf("fence after a renewal: got %d, want %d", got, want)
	}
}

func mustFence(t *testing.T, l *Lease, now time.Duration) domain.Fence {
	t.Helper()
	f, ok := l.Fence(now)
	if !ok {
		t.Fatalf("not valid at %v", now)
	}
	return f
}

func TestHoldEndsBeforeTheStoreMayGiveItToAnother(t *testing.T) {
	l := testLease(false)
	l.ApplyGrant(0, holds)
	l.RecordRenewalFailure(time.Second)
	if _, ok := l.Fence(l.TimeToLive); ok {
		t.Error("valid though the store may have given the shard away")
	}
}

func TestShardThatIsNoLongerListedIsLeftAtOnce(t *testing.T) {
	l := testLease(true)
	l.ApplyGrant(0, holds)
	l.ApplyGrant(time.Second, Grant{Generation: 8})
	if _, ok := l.Fence(1100 * time.Millisecond); ok || l.IsHeld(1100*time.Millisecond) {
		t.Error("still held")
	}
}

func TestFencedHolderGoesOnWhileTheStoreIsAway(t *testing.T) {
	l := testLease(true)
	l.ApplyGrant(0, holds)
	for now := time.Second; now < 20*time.Second; now += 1500 * time.Millisecond {
		l.RecordRenewalFailure(now)
		mustFence(t, l, now)
	}
	l.Invalidate()
	if _, ok := l.Fence(20 * time.Second); ok {
		t.Error("valid after a server has seen a newer holder")
	}
}

func TestSuspendedHolderHoldsNothing(t *testing.T) {
	l := testLease(true)
	l.ApplyGrant(0, holds)
	// The VM was suspended for six seconds; its clock counts them.
	l.RecordRenewalFailure(7 * time.Second)
	if _, ok := l.Fence(7 * time.Second); ok {
		t.Error("valid after a suspension")
	}
	l.ApplyGrant(8*time.Second, Grant{Generation: 12, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 9*time.Second), domain.Fence(12); got != want {
		t.Errorf("fence: got %d, want %d", got, want)
	}
}
