package lease

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// newFencedLease returns a lease of a holder whose servers check fencing tokens.
func newFencedLease() *Lease {
	return &Lease{TimeToLive: 2500 * time.Millisecond, FirstOrderDelay: 600 * time.Millisecond, ServersCheckFences: true}
}

func grantIn(e domain.Era, number uint64) Grant {
	return Grant{Generation: GenerationIn(e, number), Era: e, Shards: []Shard{0}}
}

// Guards against two owners: the restored store gives the shard to another member at once, while the
// former holder does not know of its loss. The new one waits until that lease has ended.
func TestNewHolderOfALaterEraWaitsForTheFormerOne(t *testing.T) {
	former, next := newFencedLease(), newFencedLease()
	former.ApplyGrant(0, 0, grantIn(0, 7))
	lastRenewal := 10 * time.Second
	former.ApplyGrant(lastRenewal, lastRenewal, grantIn(0, 7))
	restored := lastRenewal + time.Millisecond
	next.ApplyGrant(restored, restored, grantIn(1, 5))
	for now := restored; now < restored+5*time.Second; now += 10 * time.Millisecond {
		if now-next.renewedAt >= 600*time.Millisecond {
			next.ApplyGrant(now, now, grantIn(1, 5))
		}
		formerFence, formerOrders := former.Fence(now)
		nextFence, nextOrders := next.Fence(now)
		if formerOrders && nextOrders {
			t.Fatalf("both holders may order %v after the return of the store", now-restored)
		}
		if nextOrders && nextFence <= formerFence {
			t.Fatalf("the new holder has fence %d, want a higher one than %d", nextFence, formerFence)
		}
	}
	if _, ok := next.Fence(next.renewedAt); !ok {
		t.Error("the new holder may not order after the former lease has ended")
	}
}

// Guards against a fence that falls with the generation of the restored store: the servers would
// reject the orders of the only holder.
func TestFenceRisesWhenTheGenerationFalls(t *testing.T) {
	l := newFencedLease()
	l.ApplyGrant(0, 0, grantIn(0, 9))
	l.ApplyGrant(time.Second, time.Second, grantIn(0, 9))
	former, ok := l.Fence(time.Second)
	if !ok {
		t.Fatal("no order is permitted in era 0")
	}
	l.ApplyGrant(2*time.Second, 2*time.Second, grantIn(1, 3))
	if _, ok := l.Fence(2 * time.Second); ok {
		t.Error("an order is permitted at the first grant of the new era, want the settle time first")
	}
	l.ApplyGrant(2600*time.Millisecond, 2600*time.Millisecond, grantIn(1, 3))
	fence, ok := l.Fence(2600 * time.Millisecond)
	if !ok || fence <= former {
		t.Errorf("got fence %d, permitted %v, 600 ms after the grant, want a higher one than %d", fence, ok, former)
	}
}

// Guards against a late grant of the former era that gives a lost shard back.
func TestGrantOfAFormerEraIsIgnored(t *testing.T) {
	l := newFencedLease()
	l.ApplyGrant(0, 0, grantIn(0, 9))
	l.ApplyGrant(time.Second, time.Second, Grant{Era: 1, Generation: GenerationIn(1, 3)})
	l.ApplyGrant(time.Second, 1100*time.Millisecond, grantIn(0, 9))
	if l.IsRetained(1100 * time.Millisecond) {
		t.Error("the lease is held by a grant of the former era")
	}
	if got, want := l.Generation(), GenerationIn(1, 3); got != want {
		t.Errorf("generation: got %d, want %d", got, want)
	}
}

// Guards against an owner that extends the lease of the former era for ever, because it reaches the
// restored store for reads but not for renewals.
func TestLeaseOfAFormerEraIsNotExtended(t *testing.T) {
	l := newFencedLease()
	l.ApplyGrant(0, 0, grantIn(0, 9))
	l.RecordEra(time.Second, 1)
	l.RecordRenewalFailure(1900 * time.Millisecond)
	if _, ok := l.Fence(2100 * time.Millisecond); ok {
		t.Error("an order is permitted after the lease of the former era has ended")
	}
}

// The long wait is for the first seconds of an era. A new holder waits for FirstOrderDelay afterwards.
func TestTakeoverIsQuickLaterInAnEra(t *testing.T) {
	l := newFencedLease()
	l.RecordEra(time.Second, 1)
	l.ApplyGrant(20*time.Second, 20*time.Second, grantIn(1, 3))
	if _, ok := l.Fence(20*time.Second + l.FirstOrderDelay); !ok {
		t.Errorf("no order is permitted %v after the grant", l.FirstOrderDelay)
	}
}

// Where servers check no fencing tokens, a holder that gets the shard again from the restored store
// goes on only while no other one can have issued an order.
func TestBoundHolderGoesOnInALaterEra(t *testing.T) {
	for _, c := range []struct {
		away time.Duration
		want bool
	}{{300 * time.Millisecond, true}, {1500 * time.Millisecond, false}} {
		l := newBoundLease()
		l.ApplyGrant(0, 0, testGrant)
		renewUntil(l, 9*time.Second)
		regained := l.renewedAt + c.away
		l.ApplyGrant(regained, regained, grantIn(1, 3))
		if _, got := l.Fence(regained); got != c.want {
			t.Errorf("order permitted %v after the last renewal of the former era: got %v, want %v", c.away, got, c.want)
		}
	}
}
