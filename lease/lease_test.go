package lease

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func testLease(fenced bool) *Lease {
	return &Lease{TimeToLive: 2500 * time.Millisecond, Settle: 500 * time.Millisecond, Fenced: fenced}
}

var testGrant = Grant{Generation: 7, Shards: []Shard{0}}

func TestNewHolderWaitsForTheSettleTime(t *testing.T) {
	l := testLease(false)
	l.Granted(0, testGrant)
	if _, ok := l.Valid(499 * time.Millisecond); ok {
		t.Error("valid before the settle time has passed")
	}
	if got, ok := l.Valid(500 * time.Millisecond); !ok || got != domain.Fence(7) {
		t.Errorf("got fence %d, valid %v, want 7", got, ok)
	}
	l.Granted(time.Second, Grant{Generation: 9, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 2*time.Second), domain.Fence(7); got != want {
		t.Errorf("fence after a renewal: got %d, want %d", got, want)
	}
}

func mustFence(t *testing.T, l *Lease, now time.Duration) domain.Fence {
	t.Helper()
	f, ok := l.Valid(now)
	if !ok {
		t.Fatalf("not valid at %v", now)
	}
	return f
}

func TestLeaseExpiresBeforeTheStoreCanReassignTheShard(t *testing.T) {
	l := testLease(false)
	l.Granted(0, testGrant)
	l.Unreached(time.Second)
	if _, ok := l.Valid(l.TimeToLive); ok {
		t.Error("valid though the store may have assigned the shard to another node")
	}
}

func TestLeaseEndsWhenTheGrantOmitsTheShard(t *testing.T) {
	l := testLease(true)
	l.Granted(0, testGrant)
	l.Granted(time.Second, Grant{Generation: 8})
	if _, ok := l.Valid(1100 * time.Millisecond); ok || l.Held(1100*time.Millisecond) {
		t.Error("held after a grant without the shard")
	}
}

func TestFencedHolderKeepsLeaseDuringStoreOutage(t *testing.T) {
	l := testLease(true)
	l.Granted(0, testGrant)
	for now := time.Second; now < 20*time.Second; now += 1500 * time.Millisecond {
		l.Unreached(now)
		mustFence(t, l, now)
	}
	l.Rejected()
	if _, ok := l.Valid(20 * time.Second); ok {
		t.Error("valid after a server rejected the fencing token")
	}
}

func TestLeaseExpiresDuringSuspension(t *testing.T) {
	l := testLease(true)
	l.Granted(0, testGrant)
	// The VM was suspended for six seconds; its clock counts them.
	l.Unreached(7 * time.Second)
	if _, ok := l.Valid(7 * time.Second); ok {
		t.Error("valid after a suspension")
	}
	l.Granted(8*time.Second, Grant{Generation: 12, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 9*time.Second), domain.Fence(12); got != want {
		t.Errorf("fence: got %d, want %d", got, want)
	}
}
