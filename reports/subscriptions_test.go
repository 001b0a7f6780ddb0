package reports

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

const tickInterval = 50 * time.Millisecond

func TestLoadsAreRateLimitedAndArrive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Subscriptions
		nodes := rapid.IntRange(1, 30).Draw(t, "Nodes")
		for i := range nodes {
			s.Renew(domain.NodeID(fmt.Sprintf("n%d", i)), "s", start)
		}
		at := map[domain.NodeID]time.Time{}
		delivered := map[domain.NodeID]int{}
		sent, running := 0, 0
		const steps = 100
		for i := range steps {
			now := start.Add(time.Duration(i) * tickInterval)
			if i < steps/2 && rapid.Bool().Draw(t, "Changes") {
				running++
			}
			for _, n := range s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", running, 0}}}, now) {
				if got := now.Sub(at[n]); got < LoadsInterval {
					t.Errorf("got %v between two loads to %s, want at least %v", got, n, LoadsInterval)
				}
				at[n], delivered[n] = now, running
				sent++
			}
		}
		// The interval of 30 subscribers is 6 s, so that a change may not be sent yet at
		// the end.
		last := s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", running, 0}}}, start.Add(20*time.Second))
		for i := range nodes {
			n := domain.NodeID(fmt.Sprintf("n%d", i))
			if delivered[n] != running && !slices.Contains(last, n) {
				t.Errorf("got %s without the last loads", n)
			}
		}
		if most := nodes + int(5*steps*tickInterval/time.Second); sent > most {
			t.Errorf("got %d loads sent in 5 s to %d nodes, want at most %d", sent, nodes, most)
		}
	})
}

func TestSubscriptionExpires(t *testing.T) {
	var s Subscriptions
	changed := 0
	due := func(after time.Duration) []domain.NodeID {
		changed++
		return s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", changed, 0}}}, start.Add(after))
	}
	s.Renew("a", "s", start)
	s.Renew("b", "s", start)
	if got := due(0); len(got) != 2 {
		t.Errorf("got %v, want both to be sent loads at once", got)
	}
	s.Renew("a", "s", start.Add(RenewInterval))
	if got := due(SubscriptionLifetime); len(got) != 2 {
		t.Errorf("got %v, want both until their lifetime ends", got)
	}
	if got := due(SubscriptionLifetime + time.Second); !slices.Equal(got, []domain.NodeID{"a"}) {
		t.Errorf("got %v, want only the one that renewed", got)
	}
	if got := due(RenewInterval + SubscriptionLifetime + time.Second); len(got) != 0 {
		t.Errorf("got %v, want nobody", got)
	}
}

func TestRenewalRepeatsLoads(t *testing.T) {
	var s Subscriptions
	l := Loads{Server: "s", Models: []Load{{"m", 4, 0}}}
	s.Renew("a", "s", start)
	for i, want := range []int{1, 0, 0, 1, 0} {
		now := start.Add(time.Duration(i) * time.Second)
		if i == 3 {
			s.Renew("a", "s", now)
		}
		if got := len(s.DueSubscribers(l, now)); got != want {
			t.Errorf("after %d s: got %d loads, want %d", i, got, want)
		}
	}
}

func TestInterestsFollowOwnerAndUsage(t *testing.T) {
	var s Interests
	owner := domain.NodeID("one")
	renewals := func(after time.Duration) int {
		return len(s.DueRenewals(start.Add(after), func(domain.ServerID) domain.NodeID { return owner })[owner])
	}
	for i := range 3 * MaximumInterests {
		d := OtherRegion
		if i%3 == 0 {
			d = SameZone
		}
		s.RecordUse(domain.ServerID(fmt.Sprintf("s%02d", i)), d, start)
	}
	due := s.DueRenewals(start, func(domain.ServerID) domain.NodeID { return owner })[owner]
	if got, want := len(due), MaximumInterests; got != want {
		t.Fatalf("got %d servers, want %d", got, want)
	}
	for _, id := range due {
		if s.servers[id].distance != SameZone {
			t.Errorf("got %s followed, want the nearest", id)
		}
	}
	if got := renewals(time.Second); got != 0 {
		t.Errorf("got %d subscriptions renewed early, want none", got)
	}
	owner = "two"
	if got, want := renewals(time.Second), MaximumInterests; got != want {
		t.Errorf("got %d subscriptions with the new owner, want %d", got, want)
	}
	s.RecordUse("s00", SameZone, start.Add(9*time.Second))
	if got, want := renewals(11*time.Second), 1; got != want {
		t.Errorf("got %d renewed, want the %d in use", got, want)
	}
	if got := renewals(interestLifetime + 10*time.Second); got != 0 || len(s.servers) != 0 {
		t.Errorf("got %d servers and %d kept, want none", got, len(s.servers))
	}
}

func TestQuantisedLoadsKeepFullAndFreeApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, n := rapid.IntRange(1, 512).Draw(t, "Concurrency"), rapid.IntRange(0, 5000).Draw(t, "Running")
		got := QuantiseRunning(n, c)
		if got > n || (got >= c) != (n >= c) {
			t.Errorf("got %d for %d of %d", got, n, c)
		}
		if n < c && n-got >= max(c/concurrencySteps, 1) || n >= c && 2*got <= n {
			t.Errorf("got %d for %d of %d, too coarse", got, n, c)
		}
		if w := QuantiseWaiting(n); w > n || n > 0 && 2*w <= n {
			t.Errorf("got %d waiting for %d", w, n)
		}
	})
}
