package lease

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func newTestLease(serversCheckFences bool) *Lease {
	return &Lease{TimeToLive: 2500 * time.Millisecond, FirstOrderDelay: 500 * time.Millisecond, ServersCheckFences: serversCheckFences}
}

var testGrant = Grant{Generation: 7, Shards: []Shard{0}}

func TestNewHolderWaitsForTheSettleTime(t *testing.T) {
	l := newTestLease(false)
	l.ApplyGrant(0, 0, testGrant)
	if _, ok := l.Fence(499 * time.Millisecond); ok {
		t.Error("an order is permitted before the settle time has passed")
	}
	if got, ok := l.Fence(500 * time.Millisecond); !ok || got != domain.Fence(7) {
		t.Errorf("got fencing token %d, permitted %v, want 7", got, ok)
	}
	l.ApplyGrant(time.Second, time.Second, Grant{Generation: 9, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 2*time.Second), domain.Fence(7); got != want {
		t.Errorf("fencing token after a renewal: got %d, want %d", got, want)
	}
}

// mustFence returns the fencing token. It fails the test if no order is permitted at now.
func mustFence(t *testing.T, l *Lease, now time.Duration) domain.Fence {
	t.Helper()
	f, ok := l.Fence(now)
	if !ok {
		t.Fatalf("no order is permitted at %v", now)
	}
	return f
}

func TestLeaseExpiresBeforeTheStoreCanReassignTheShard(t *testing.T) {
	l := newTestLease(false)
	l.ApplyGrant(0, 0, testGrant)
	l.RecordRenewalFailure(time.Second)
	if _, ok := l.Fence(l.TimeToLive); ok {
		t.Error("an order is permitted though the store may have assigned the shard to another node")
	}
}

func TestLeaseEndsWhenTheGrantOmitsTheShard(t *testing.T) {
	l := newTestLease(true)
	l.ApplyGrant(0, 0, testGrant)
	l.ApplyGrant(time.Second, time.Second, Grant{Generation: 8})
	if _, ok := l.Fence(1100 * time.Millisecond); ok || l.IsHeld(1100*time.Millisecond) {
		t.Error("held after a grant without the shard")
	}
}

func TestFencedHolderKeepsLeaseDuringStoreOutage(t *testing.T) {
	l := newTestLease(true)
	l.ApplyGrant(0, 0, testGrant)
	for now := time.Second; now < 20*time.Second; now += 1500 * time.Millisecond {
		l.RecordRenewalFailure(now)
		mustFence(t, l, now)
	}
	l.Invalidate()
	if _, ok := l.Fence(20 * time.Second); ok {
		t.Error("an order is permitted after a server rejected the fencing token")
	}
}

func TestLeaseExpiresDuringSuspension(t *testing.T) {
	l := newTestLease(true)
	l.ApplyGrant(0, 0, testGrant)
	// The VM was suspended for six seconds; its clock counts them.
	l.RecordRenewalFailure(7 * time.Second)
	if _, ok := l.Fence(7 * time.Second); ok {
		t.Error("an order is permitted after a suspension")
	}
	l.ApplyGrant(8*time.Second, 8*time.Second, Grant{Generation: 12, Shards: []Shard{0}})
	if got, want := mustFence(t, l, 9*time.Second), domain.Fence(12); got != want {
		t.Errorf("fencing token: got %d, want %d", got, want)
	}
}

// Guards against ONE: a new holder whose grant arrived late ordered at once, right after the last
// order of the holder before it.
func TestSettleTimeRunsFromTheArrivalOfTheGrant(t *testing.T) {
	l := newTestLease(false)
	l.ApplyGrant(0, 1400*time.Millisecond, testGrant)
	if _, ok := l.Fence(1800 * time.Millisecond); ok {
		t.Error("an order is permitted 400 ms after the grant arrived, before the settle time has passed")
	}
	mustFence(t, l, 1900*time.Millisecond)
}

// Guards against ONE: a renewal that was answered after the lease had expired kept the fencing
// token, though the store may have granted the shard to another holder meanwhile. Servers that
// check fencing tokens reject the old one.
func TestRenewalAnsweredAfterExpiry(t *testing.T) {
	for serversCheckFences, want := range map[bool]domain.Fence{false: 9, true: 7} {
		l := newTestLease(serversCheckFences)
		l.ApplyGrant(0, 0, testGrant)
		l.ApplyGrant(1900*time.Millisecond, 2600*time.Millisecond, Grant{Generation: 9, Shards: []Shard{0}})
		if got := mustFence(t, l, 3100*time.Millisecond); got != want {
			t.Errorf("servers check fences %v: got fencing token %d, want %d", serversCheckFences, got, want)
		}
		if _, ok := l.Fence(2600 * time.Millisecond); ok && !serversCheckFences {
			t.Error("an order is permitted before the settle time of the new token has passed")
		}
	}
}

// Guards against an owner that drops the links of all nodes because a renewal took long, and
// serves all of them again when the next one grants the same shard.
func TestExpiredLeaseIsRetainedForATimeToLive(t *testing.T) {
	for _, serversCheckFences := range []bool{false, true} {
		l := newTestLease(serversCheckFences)
		l.ApplyGrant(0, 0, testGrant)
		for _, c := range []struct {
			at             time.Duration
			held, retained bool
		}{
			{1900 * time.Millisecond, true, true},
			{2100 * time.Millisecond, false, true},
			{4400 * time.Millisecond, false, true},
			{4600 * time.Millisecond, false, false},
		} {
			if got := l.IsHeld(c.at); got != c.held {
				t.Errorf("held at %v: got %v, want %v", c.at, got, c.held)
			}
			if _, got := l.Fence(c.at); got != c.held {
				t.Errorf("order permitted at %v: got %v, want %v", c.at, got, c.held)
			}
			if got := l.IsRetained(c.at); got != c.retained {
				t.Errorf("retained at %v: got %v, want %v", c.at, got, c.retained)
			}
		}
		l.ApplyGrant(2200*time.Millisecond, 2200*time.Millisecond, Grant{Generation: 8})
		if l.IsRetained(2300 * time.Millisecond) {
			t.Error("retained after the store has given the shard to another member")
		}
	}
}

func TestRenewalIsLateBeforeTheLeaseEnds(t *testing.T) {
	l := newTestLease(true)
	l.ApplyGrant(0, 0, testGrant)
	for _, c := range []struct {
		at   time.Duration
		late bool
	}{{time.Second, false}, {1300 * time.Millisecond, true}, {1900 * time.Millisecond, true}, {2100 * time.Millisecond, false}} {
		if got := l.IsRenewalLate(c.at); got != c.late {
			t.Errorf("at %v: got %v, want %v", c.at, got, c.late)
		}
	}
}
