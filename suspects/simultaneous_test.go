package suspects

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// crashTogether records crashes of servers a few milliseconds apart. Each server had run requests
// for a second, with the traits that traitsOf returns for its number.
func crashTogether(s *Traits, at time.Time, count int, traitsOf func(i int) []Trait) {
	for i := range count {
		now := at.Add(time.Duration(i) * 7 * time.Millisecond)
		c := TraitCrash{Server: domain.ServerID(fmt.Sprintf("%d-%d", at.UnixNano(), i)), Traits: traitsOf(i)}
		for range c.Traits {
			c.Ran = append(c.Ran, time.Second)
		}
		s.RecordTraitCrash(now, c)
	}
}

// Guards against RECOVER: a quarter of the servers was lost at one moment under streams of one kind,
// and the part of the prompt that all requests of the kind share was refused for 10 to 20 minutes.
func TestSimultaneousCrashesAreOnePieceOfEvidence(t *testing.T) {
	for _, count := range []int{traitCrashLimit, traitCrashLimitOverall, 20} {
		var s Traits
		crashTogether(&s, start, count, func(i int) []Trait { return []Trait{sharedTrait, Trait(100 + i)} })
		now := start.Add(time.Second)
		if isRefused(&s, now, sharedTrait) {
			t.Errorf("%d simultaneous crashes: got the shared trait refused, want it served", count)
		}
		now = crashServers(&s, now, traitCrashLimit-1, sharedTrait)
		if !isRefused(&s, now, sharedTrait) {
			t.Errorf("%d simultaneous crashes and %d later ones: got the trait served, want it refused", count, traitCrashLimit-1)
		}
	}
}

// Servers that are lost together with others that ran other requests have another cause in common.
func TestServersLostTogetherWithOthersAreNoEvidence(t *testing.T) {
	var s Traits
	now := start
	for range 2 * traitCrashLimitOverall {
		crashTogether(&s, now, 6, func(i int) []Trait {
			if i == 0 {
				return []Trait{otherTrait}
			}
			return []Trait{sharedTrait}
		})
		now = now.Add(time.Second)
	}
	if isRefused(&s, now, sharedTrait) || isRefused(&s, now, otherTrait) {
		t.Errorf("refused: got %v and %v, want neither", isRefused(&s, now, sharedTrait), isRefused(&s, now, otherTrait))
	}
}

// Guards against BUDGET: the crashes of a request that is sent again follow each other closely, and
// those of requests that crash servers late must not count as one event for ever.
func TestCloseCrashesOfABadTraitAreSeveral(t *testing.T) {
	for _, c := range []struct {
		interval, ran time.Duration
		limit         int
	}{{20 * time.Millisecond, 15 * time.Millisecond, traitCrashLimit}, {100 * time.Millisecond, 5 * time.Second, 13}} {
		var s Traits
		now, count := start, 0
		for ; count < 60 && !isRefused(&s, now, badTrait); count++ {
			s.RecordTraitCrash(now, TraitCrash{Server: domain.ServerID(fmt.Sprint(count)), Traits: []Trait{badTrait}, Ran: []time.Duration{c.ran}})
			now = now.Add(c.interval)
		}
		if count > c.limit {
			t.Errorf("crashes after %v each: got the trait refused after %d, want %d at most", c.ran, count, c.limit)
		}
	}
}

// Reports of servers that are lost at one moment reach a node one after the other.
func TestLateReportsOfSimultaneousCrashes(t *testing.T) {
	var s Traits
	for i := range traitCrashLimitOverall {
		delay := time.Duration(i) * 120 * time.Millisecond
		c := TraitCrash{Server: domain.ServerID(fmt.Sprint(i)), Traits: []Trait{sharedTrait}, Ran: []time.Duration{2 * time.Second}}
		s.Apply(start.Add(delay), TraitReport{Crashes: []TraitCrash{c}})
	}
	if isRefused(&s, start.Add(time.Second), sharedTrait) {
		t.Error("got the trait of simultaneous crashes refused, want it served")
	}
}
