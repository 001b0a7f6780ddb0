package suspects

import (
	"math/rand/v2"
	"time"
)

// Times of refusals.
const (
	// firstTraitRefusal is the length of the first refusal of a trait. Each further one is
	// twice as long, up to longestTraitRefusal. Each node adds a random time up to the same
	// length, so that not all nodes admit a request at the end of a refusal.
	firstTraitRefusal   = 10 * time.Minute
	longestTraitRefusal = 24 * time.Hour
	// probeInterval is the least time between two requests with a trait that a node admits
	// after a refusal, until one of them has completed.
	probeInterval = time.Minute
)

// traitRefusal is the refusal of one trait.
type traitRefusal struct {
	// number counts the refusals of the trait, from 1.
	number int
	// begunAt is when the refusal began and until when it ends.
	begunAt, until time.Time
	// probedAt is when a request with the trait was last admitted after the refusal.
	probedAt time.Time
}

// Refused returns the first of the traits that is refused now, and for how long. It returns
// false if none is.
func (s *Traits) Refused(now time.Time, traits []Trait) (Trait, time.Duration, bool) {
	if len(s.refusals) == 0 {
		return 0, 0, false
	}
	for _, t := range traits {
		if r := s.refusals[t]; r != nil && now.Before(r.admitsAt()) {
			return t, r.admitsAt().Sub(now), true
		}
	}
	return 0, 0, false
}

// admitsAt is when the next request with the trait may run.
func (r *traitRefusal) admitsAt() time.Time {
	if probed := r.probedAt.Add(probeInterval); !r.probedAt.IsZero() && probed.After(r.until) {
		return probed
	}
	return r.until
}

// Admit is Refused for a request that is about to be sent to a server. If the refusal of a
// trait has ended, it admits one request every probeInterval.
func (s *Traits) Admit(now time.Time, traits []Trait) (Trait, time.Duration, bool) {
	t, remaining, refused := s.Refused(now, traits)
	if refused || len(s.refusals) == 0 {
		return t, remaining, refused
	}
	for _, t := range traits {
		if r := s.refusals[t]; r != nil {
			r.probedAt = now
		}
	}
	return 0, 0, false
}

// refuse starts a refusal of a trait and returns its length at this node.
func (s *Traits) refuse(now time.Time, t Trait, number int) time.Duration {
	length := refusalLength(number)
	length += rand.N(length)
	s.setRefusal(t, &traitRefusal{number: number, begunAt: now, until: now.Add(length)})
	return length
}

func (s *Traits) setRefusal(t Trait, r *traitRefusal) {
	if s.refusals == nil {
		s.refusals = map[Trait]*traitRefusal{}
	}
	makeRoom(s.refusals, maximumTraitRecords, func(r *traitRefusal) time.Time { return r.until })
	s.refusals[t] = r
}

// refusalLength returns the least length of the refusal with a number.
func refusalLength(number int) time.Duration {
	length := firstTraitRefusal
	for ; number > 1 && length < longestTraitRefusal; number-- {
		length *= 2
	}
	return min(length, longestTraitRefusal)
}

// renewRefusals refuses the traits again that crashed a server after they were admitted at the
// end of a refusal, at this or at another node.
func (s *Traits) renewRefusals(now, crashedAt time.Time, traits []Trait) []Decision {
	var decisions []Decision
	for _, t := range traits {
		r := s.refusals[t]
		if r == nil || crashedAt.Sub(r.begunAt) < refusalLength(r.number)/2 {
			continue
		}
		length := s.refuse(now, t, r.number+1)
		decisions = append(decisions, Decision{Trait: t, Refused: true, Length: length})
	}
	return decisions
}
