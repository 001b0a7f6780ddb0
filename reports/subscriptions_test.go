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
		lastSentAt := map[domain.NodeID]time.Time{}
		deliveredRunning := map[domain.NodeID]int{}
		sent, running := 0, 0
		const steps = 100
		for i := range steps {
			now := start.Add(time.Duration(i) * tickInterval)
			if i < steps/2 && rapid.Bool().Draw(t, "Changes") {
				running++
			}
			for _, n := range s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", running, 0}}}, now) {
				if got := now.Sub(lastSentAt[n]); got < LoadsInterval {
					t.Errorf("got %v between two loads to %s, want at least %v", got, n, LoadsInterval)
				}
				lastSentAt[n], deliveredRunning[n] = now, running
				sent++
			}
		}
		// With 30 subscribers the interval between loads is 6 s, so that the last change
		// may not have been sent to all subscribers at the end.
		last := s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", running, 0}}}, start.Add(20*time.Second))
		for i := range nodes {
			n := domain.NodeID(fmt.Sprintf("n%d", i))
			if deliveredRunning[n] != running && !slices.Contains(last, n) {
				t.Errorf("got %s without the last loads", n)
			}
		}
		if maximumSent := nodes + int(5*steps*tickInterval/time.Second); sent > maximumSent {
			t.Errorf("got %d loads sent in 5 s to %d nodes, want at most %d", sent, nodes, maximumSent)
		}
	})
}

func TestSubscriptionExpires(t *testing.T) {
	var s Subscriptions
	running := 0
	dueSubscribers := func(after time.Duration) []domain.NodeID {
		running++
		return s.DueSubscribers(Loads{Server: "s", Models: []Load{{"m", running, 0}}}, start.Add(after))
	}
	s.Renew("a", "s", start)
	s.Renew("b", "s", start)
	if got := dueSubscribers(0); len(got) != 2 {
		t.Errorf("got %v, want both to be sent loads at once", got)
	}
	s.Renew("a", "s", start.Add(RenewInterval))
	if got := dueSubscribers(SubscriptionLifetime); len(got) != 2 {
		t.Errorf("got %v, want both until their lifetime ends", got)
	}
	if got := dueSubscribers(SubscriptionLifetime + time.Second); !slices.Equal(got, []domain.NodeID{"a"}) {
		t.Errorf("got %v, want only the one that renewed", got)
	}
	if got := dueSubscribers(RenewInterval + SubscriptionLifetime + time.Second); len(got) != 0 {
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
	countRenewals := func(after time.Duration) int {
		return len(s.DueRenewals(start.Add(after), func(domain.ServerID) domain.NodeID { return owner })[owner])
	}
	for i := range 3 * MaximumInterests {
		d := OtherRegion
		if i%3 == 0 {
			d = SameZone
		}
		s.RecordUse(domain.ServerID(fmt.Sprintf("s%02d", i)), d, start)
	}
	followed := s.DueRenewals(start, func(domain.ServerID) domain.NodeID { return owner })[owner]
	if got, want := len(followed), MaximumInterests; got != want {
		t.Fatalf("got %d servers, want %d", got, want)
	}
	for _, id := range followed {
		if s.servers[id].priority != SameZone {
			t.Errorf("got %s followed, want the nearest", id)
		}
	}
	if got := countRenewals(time.Second); got != 0 {
		t.Errorf("got %d subscriptions renewed early, want none", got)
	}
	owner = "two"
	if got, want := countRenewals(time.Second), MaximumInterests; got != want {
		t.Errorf("got %d subscriptions with the new owner, want %d", got, want)
	}
	s.RecordUse("s00", SameZone, start.Add(9*time.Second))
	if got, want := countRenewals(11*time.Second), 1; got != want {
		t.Errorf("got %d renewed, want the %d in use", got, want)
	}
	if got := countRenewals(interestLifetime + 10*time.Second); got != 0 || len(s.servers) != 0 {
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
