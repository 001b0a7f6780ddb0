package suspects

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// TraitReport is the message in which a node tells the other nodes which traits it saw at
// crashes, in completed requests and in refusals.
type TraitReport struct {
	Crashes     []TraitCrash
	Completions []TraitCompletion
	Refusals    []TraitRefusal
}

// TraitCrash is a crash of a server, with the traits of the requests that ran there.
type TraitCrash struct {
	Server domain.ServerID
	// Age is the time since the crash.
	Age    time.Duration
	Traits []Trait
	// Ran is how long the request with the trait at the same index had run at the longest. It is
	// shorter than Traits if that is unknown.
	Ran []time.Duration
}

// ran returns how long the longest request with a trait had run; 0 if that is unknown.
func (c *TraitCrash) ran(i int) time.Duration {
	if i >= len(c.Ran) {
		return 0
	}
	return c.Ran[i]
}

// TraitCompletion says that a request with a trait ran to completion.
type TraitCompletion struct {
	Trait Trait
	// Age is the time since the completion.
	Age time.Duration
}

// TraitRefusal says that requests with a trait are refused.
type TraitRefusal struct {
	Trait Trait
	// Number is the number of refusals of the trait so far, from 1.
	Number int
	// Remaining is the time until the refusal ends.
	Remaining time.Duration
}

// Len returns the number of entries of a report.
func (r *TraitReport) Len() int { return len(r.Crashes) + len(r.Completions) + len(r.Refusals) }

// IsEmpty reports whether a report says nothing.
func (r *TraitReport) IsEmpty() bool { return r.Len() == 0 }

// Append adds the contents of another report.
func (r *TraitReport) Append(o TraitReport) {
	r.Crashes = append(r.Crashes, o.Crashes...)
	r.Completions = append(r.Completions, o.Completions...)
	r.Refusals = append(r.Refusals, o.Refusals...)
}

// Apply applies the report of another node. It returns what was new in it, and what this node
// knows that contradicts it.
func (s *Traits) Apply(now time.Time, r TraitReport) (news, answer TraitReport, decisions []Decision) {
	for _, c := range r.Completions {
		at := now.Add(-c.Age)
		if at.Sub(s.completions[c.Trait]) < completionReportInterval {
			continue
		}
		decisions = append(decisions, s.addCompletion(at, c.Trait)...)
		news.Completions = append(news.Completions, c)
	}
	for _, c := range r.Crashes {
		at := now.Add(-c.Age)
		s.answerExempt(now, at, c.Traits, &answer)
		if added, isNew := s.addCrash(at, c); isNew || len(added.Traits) > 0 {
			news.Crashes = append(news.Crashes, added)
			decisions = append(decisions, s.renewRefusals(now, at, added.Traits)...)
		}
	}
	for _, c := range r.Refusals {
		s.answerExempt(now, now, []Trait{c.Trait}, &answer)
		if s.applyRefusal(now, c) {
			news.Refusals = append(news.Refusals, c)
			decisions = append(decisions, Decision{Trait: c.Trait, Refused: true, Length: c.Remaining})
		}
	}
	return news, answer, append(decisions, s.decide(now)...)
}

// answerExempt adds the completions that exempt traits from a crash at a time to a report.
func (s *Traits) answerExempt(now, crashedAt time.Time, traits []Trait, answer *TraitReport) {
	for _, t := range traits {
		if s.isExempt(t, crashedAt) {
			s.reportCompletion(now, t, answer)
		}
	}
}

// applyRefusal applies the refusal of a trait by another node, unless the trait is exempt or
// as many refusals of it are known. It reports whether it did.
func (s *Traits) applyRefusal(now time.Time, c TraitRefusal) bool {
	r := s.refusals[c.Trait]
	if s.isExempt(c.Trait, now) || c.Number < 1 || c.Remaining <= 0 || r != nil && r.number >= c.Number {
		return false
	}
	remaining := min(c.Remaining, 2*longestTraitRefusal)
	s.setRefusal(c.Trait, &traitRefusal{number: c.Number, begunAt: now, until: now.Add(remaining)})
	return true
}

// Snapshot returns the report for a node that may know nothing.
func (s *Traits) Snapshot(now time.Time) TraitReport {
	var r TraitReport
	for _, k := range s.crashes {
		if age := now.Sub(k.at); age < snapshotCrashAge {
			r.Crashes = append(r.Crashes, TraitCrash{Server: k.server, Age: max(0, age), Traits: slices.Clone(k.traits), Ran: slices.Clone(k.ran)})
		}
	}
	for t, f := range s.refusals {
		if remaining := f.until.Sub(now); remaining > 0 {
			r.Refusals = append(r.Refusals, TraitRefusal{Trait: t, Number: f.number, Remaining: remaining})
		}
	}
	slices.SortFunc(r.Refusals, func(a, b TraitRefusal) int { return cmp.Compare(a.Trait, b.Trait) })
	return r
}
