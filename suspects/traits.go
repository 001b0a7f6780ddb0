package suspects

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Trait identifies something that requests which are not alike can have in common, such as a
// part of their prompts, by its hash.
type Trait uint64

// Numbers of crashes after which a trait is refused. They count since the last request with
// the trait that ran to completion. Servers that are lost at one moment count as one crash.
const (
	// traitCrashLimit applies to the trait that explains the most crashes, if it explains at
	// least half of them.
	traitCrashLimit = 3
	// traitCrashLimitOverall applies to all traits that explain the most crashes, also if
	// these are few among all crashes.
	traitCrashLimitOverall = 5
)

// Times of evidence.
const (
	// completionLifetime is how long a completed request exempts its traits from crashes.
	// While servers crash, no request may be completed for a time.
	completionLifetime = 10 * time.Second
	// crashLifetime is how long a crash is evidence.
	crashLifetime = 30 * time.Minute
	// completionReportInterval is the least time between two reports that requests with a
	// trait complete.
	completionReportInterval = time.Second
	// eventLength is the longest time between the crashes of servers that are lost at one moment,
	// as the nodes see them.
	eventLength = 500 * time.Millisecond
	// minimumRanNews is how much longer a request with a trait must have run than is known to be
	// news.
	minimumRanNews = 100 * time.Millisecond
	// snapshotCrashAge is the age up to which crashes are part of a snapshot.
	snapshotCrashAge = time.Minute
)

// Bounds of Traits.
const (
	maximumServerCrashes    = 64
	maximumTraitsPerCrash   = 256
	maximumTraitRecords     = 4096
	maximumTraitCompletions = 8192
)

// Traits decides which traits crash servers. A trait that crashes servers was in a request
// on each server that it crashed, and no request with it runs to completion. Requests with
// such a trait are refused. The zero Traits is empty. It is not safe for concurrent use.
type Traits struct {
	// crashes are the recent crashes, the oldest first; at most maximumServerCrashes.
	crashes []traitCrash
	// completions is when a request with a trait was last known to complete.
	completions map[Trait]time.Time
	// reportedAt is when this node last reported that a trait completes.
	reportedAt map[Trait]time.Time
	refusals   map[Trait]*traitRefusal
}

// traitCrash is one crash of a server. Its traits are sorted and hold none that was exempt
// at the crash; ran has as many entries, see TraitCrash.
type traitCrash struct {
	server domain.ServerID
	at     time.Time
	traits []Trait
	ran    []time.Duration
}

func (k *traitCrash) has(t Trait) bool {
	_, ok := slices.BinarySearch(k.traits, t)
	return ok
}

// Decision is a change of what is refused, for the log.
type Decision struct {
	Trait   Trait
	Refused bool
	// Servers are the servers whose crashes the trait explains; empty if another node has
	// decided or the refusal has ended.
	Servers []domain.ServerID
	// Length is the length of the refusal.
	Length time.Duration
}

// IsExplained reports whether a refused trait was on a server that crashed at a time, so that
// nothing else needs to be the cause.
func (s *Traits) IsExplained(server domain.ServerID, at time.Time) bool {
	for i := range s.crashes {
		k := &s.crashes[i]
		if k.server == server && k.at.Sub(at).Abs() < sameCrashWindow && s.hasRefused(k) {
			return true
		}
	}
	return false
}

func (s *Traits) hasRefused(k *traitCrash) bool {
	return len(s.refusals) > 0 && slices.ContainsFunc(k.traits, func(t Trait) bool { return s.refusals[t] != nil })
}

// RecordCompletion records that a request with the traits ran to completion at this node. It
// returns the report for the other nodes, which is empty unless the traits are suspected.
func (s *Traits) RecordCompletion(now time.Time, traits []Trait) (TraitReport, []Decision) {
	var r TraitReport
	var decisions []Decision
	for _, t := range traits {
		isSuspected := s.isSuspected(t)
		decisions = append(decisions, s.addCompletion(now, t)...)
		if isSuspected {
			s.reportCompletion(now, t, &r)
		}
	}
	return r, decisions
}

// isSuspected reports whether a trait is refused or a recent crash counts against it.
func (s *Traits) isSuspected(t Trait) bool {
	return s.refusals[t] != nil || slices.ContainsFunc(s.crashes, func(k traitCrash) bool { return k.has(t) })
}

// reportCompletion adds the latest completion of a trait to a report, unless the node has
// just reported one.
func (s *Traits) reportCompletion(now time.Time, t Trait, r *TraitReport) {
	if now.Sub(s.reportedAt[t]) < completionReportInterval {
		return
	}
	if s.reportedAt == nil {
		s.reportedAt = map[Trait]time.Time{}
	}
	makeRoom(s.reportedAt, maximumTraitRecords, timeItself)
	s.reportedAt[t] = now
	r.Completions = append(r.Completions, TraitCompletion{Trait: t, Age: now.Sub(s.completions[t])})
}

// addCompletion records a completion of a trait at a time and ends its refusal. Crashes until
// then no longer count against the trait.
func (s *Traits) addCompletion(at time.Time, t Trait) []Decision {
	if s.completions == nil {
		s.completions = map[Trait]time.Time{}
	}
	if !at.After(s.completions[t]) {
		return nil
	}
	makeRoom(s.completions, maximumTraitCompletions, timeItself)
	s.completions[t] = at
	for i := range s.crashes {
		k := &s.crashes[i]
		if n, ok := slices.BinarySearch(k.traits, t); ok && !k.at.After(at.Add(completionLifetime)) {
			k.traits, k.ran = slices.Delete(k.traits, n, n+1), slices.Delete(k.ran, n, n+1)
		}
	}
	if s.refusals[t] == nil {
		return nil
	}
	delete(s.refusals, t)
	return []Decision{{Trait: t}}
}

// isExempt reports whether a request with the trait had completed shortly before a time.
func (s *Traits) isExempt(t Trait, at time.Time) bool {
	completedAt, ok := s.completions[t]
	return ok && at.Sub(completedAt) < completionLifetime
}

// RecordCrash records that a server crashed while requests with the traits ran there, for an
// unknown time. It returns the report for the other nodes.
func (s *Traits) RecordCrash(now time.Time, server domain.ServerID, traits []Trait) (TraitReport, []Decision) {
	return s.RecordTraitCrash(now, TraitCrash{Server: server, Traits: traits})
}

// RecordTraitCrash records the crash of a server. It returns the report for the other nodes.
func (s *Traits) RecordTraitCrash(now time.Time, c TraitCrash) (TraitReport, []Decision) {
	var r TraitReport
	at := now.Add(-c.Age)
	added, isNew := s.addCrash(at, c)
	if isNew || len(added.Traits) > 0 {
		r.Crashes = []TraitCrash{added}
	}
	decisions := append(s.renewRefusals(now, at, added.Traits), s.decide(now)...)
	for _, d := range decisions {
		if f := s.refusals[d.Trait]; f != nil {
			r.Refusals = append(r.Refusals, TraitRefusal{Trait: d.Trait, Number: f.number, Remaining: f.until.Sub(now)})
		}
	}
	return r, decisions
}

// addCrash adds the traits that are not exempt to a crash at a time, and returns those that are
// new there or had run for longer than known. It reports whether the crash itself is new. Reports
// of the crash of one server within sameCrashWindow are about one crash.
func (s *Traits) addCrash(at time.Time, c TraitCrash) (added TraitCrash, isNew bool) {
	i := slices.IndexFunc(s.crashes, func(k traitCrash) bool { return k.server == c.Server && k.at.Sub(at).Abs() < sameCrashWindow })
	if i < 0 {
		i, isNew = s.insertCrash(at, c.Server), true
	}
	added = TraitCrash{Server: c.Server, Age: c.Age}
	k := &s.crashes[i]
	for i, t := range c.Traits {
		if s.isExempt(t, at) || !k.add(t, c.ran(i)) {
			continue
		}
		added.Traits, added.Ran = append(added.Traits, t), append(added.Ran, c.ran(i))
	}
	return added, isNew
}

// add adds a trait with which a request had run for a time. It returns false if that is no news.
func (k *traitCrash) add(t Trait, ran time.Duration) bool {
	n, ok := slices.BinarySearch(k.traits, t)
	switch {
	case ok && ran < k.ran[n]+minimumRanNews:
		return false
	case ok:
		k.ran[n] = ran
	case len(k.traits) >= maximumTraitsPerCrash:
		return false
	default:
		k.traits, k.ran = slices.Insert(k.traits, n, t), slices.Insert(k.ran, n, ran)
	}
	return true
}

// insertCrash adds a crash without traits in the order of time and returns its index. If there
// are too many crashes, it removes the oldest one.
func (s *Traits) insertCrash(at time.Time, server domain.ServerID) int {
	if len(s.crashes) >= maximumServerCrashes {
		s.crashes = slices.Delete(s.crashes, 0, 1)
	}
	i, _ := slices.BinarySearchFunc(s.crashes, at, func(k traitCrash, at time.Time) int { return k.at.Compare(at) })
	s.crashes = slices.Insert(s.crashes, i, traitCrash{server: server, at: at})
	return i
}

// decide refuses the traits that explain enough crashes, one after the other. Crashes that a
// refused trait explains do not count against other traits.
func (s *Traits) decide(now time.Time) []Decision {
	s.removeExpired(now)
	var decisions []Decision
	for {
		culprits := s.findCulprits()
		if len(culprits) == 0 {
			return decisions
		}
		for _, t := range culprits {
			d := Decision{Trait: t, Refused: true, Servers: s.crashedServers(t)}
			d.Length = s.refuse(now, t, 1)
			decisions = append(decisions, d)
		}
	}
}

// traitCounts are the crashes that count for one trait: the number of those that it explains,
// and the number of all crashes before the first of them. eventAt is when the latest of those
// crashes was that counts.
type traitCounts struct {
	explained, before int
	eventAt           time.Time
}

// findCulprits returns the traits that explain the most crashes, if these are enough.
func (s *Traits) findCulprits() []Trait {
	counts, total := s.countUnexplained()
	most := 0
	for _, n := range counts {
		most = max(most, n.explained)
	}
	var best []Trait
	for t, n := range counts {
		if n.explained == most {
			best = append(best, t)
		}
	}
	slices.Sort(best)
	isSingle := len(best) == 1 && most >= traitCrashLimit && 2*most >= total-counts[best[0]].before
	if isSingle || most >= traitCrashLimitOverall {
		return best
	}
	return nil
}

// countUnexplained counts the crashes that no refused trait explains, for each trait and in all. A
// crash that counts for none of its traits does not count at all.
//
// A request that crashes servers reaches the next one after it has crashed the one before. So a
// crash does not count for a trait if a request with it ran on the server already as another
// server crashed within eventLength before: with the trait, both are one event, and without it, both
// have another cause.
func (s *Traits) countUnexplained() (counts map[Trait]*traitCounts, total int) {
	counts = map[Trait]*traitCounts{}
	unexplained := slices.DeleteFunc(slices.Clone(s.crashes), func(k traitCrash) bool { return s.hasRefused(&k) })
	for i := range unexplained {
		k := &unexplained[i]
		isCounted := len(k.traits) == 0
		for n, t := range k.traits {
			c := counts[t]
			if c == nil {
				c = &traitCounts{before: total}
				counts[t] = c
			}
			isSameEvent := k.at.Sub(c.eventAt) <= eventLength && k.at.Add(-k.ran[n]).Before(c.eventAt)
			if isSameEvent || hasOtherCause(unexplained, i, n) {
				continue
			}
			c.explained++
			c.eventAt = k.at
			isCounted = true
		}
		if isCounted {
			total++
		}
	}
	return counts, total
}

// hasOtherCause reports whether a server without the trait with index n of crash i was lost
// together with the server of that crash, while requests ran on both.
func hasOtherCause(crashes []traitCrash, i, n int) bool {
	k := &crashes[i]
	t, startedAt := k.traits[n], k.at.Add(-k.ran[n])
	for j := range crashes {
		other := &crashes[j]
		switch {
		case j == i || other.at.Sub(k.at).Abs() > eventLength || len(other.ran) == 0 || other.has(t):
		case j < i && startedAt.Before(other.at):
			return true
		case j > i && other.at.Add(-slices.Min(other.ran)).Before(k.at):
			return true
		}
	}
	return false
}

// crashedServers returns the servers whose crashes a trait explains.
func (s *Traits) crashedServers(t Trait) []domain.ServerID {
	var servers []domain.ServerID
	for i := range s.crashes {
		if s.crashes[i].has(t) {
			servers = append(servers, s.crashes[i].server)
		}
	}
	return servers
}

// removeExpired removes the crashes that are too old to count.
func (s *Traits) removeExpired(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(k traitCrash) bool { return now.Sub(k.at) >= crashLifetime })
}
