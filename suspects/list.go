// Package suspects detects request contents that crash backend servers ("queries of
// death") and quarantines them. It records which content was running on a server that
// crashed, and decides whether that content runs as usual, in isolation or not at all.
//
// Packages dispatch and caller hold one List each, and nodes exchange Reports so that
// their lists agree. Package suspects does no I/O and reads no clock.
package suspects

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Content is the hash of a request's content, which is the same in every retry.
type Content [32]byte

// Standing says whether a content runs as usual, in isolation or not at all.
type Standing int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Standing -output=standing_string.go

// The standings, from the most to the least permissive.
const (
	// Clean contents run as usual.
	Clean Standing = iota
	// Suspected contents run in isolation.
	Suspected
	// Refused contents do not run.
	Refused
)

// Limits of the number of crashes.
const (
	// A content is refused after CrashLimit crashes if one of them was in isolation and
	// before the first token, or if CrashLimit of its crashes were before the first token.
	// It is refused after CrashLimitOverall crashes of any kind.
	CrashLimit        = 2
	CrashLimitOverall = 3
)

// Durations of a refusal, from the latest crash of the content. A crash in isolation or
// maximumCrashes crashes of any kind identify the content as the cause. After fewer
// crashes, the cause may be another content that ran on the same servers: the content is
// refused briefly and then runs in isolation.
const (
	RefusalAfterIsolatedCrash = 24 * time.Hour
	RefusalAfterSharedCrash   = time.Minute
)

// Bounds of a List.
const (
	maximumContents = 4096
	// maximumContentCompletions bounds the completed contents that are remembered.
	maximumContentCompletions = 4096
	maximumCrashes            = 4
	// sameCrashWindow is the time within which two reports that name the same server
	// count as reports of one crash.
	sameCrashWindow = 3 * time.Second
	// entryLifetime is how long a content stays in the list after its latest crash.
	entryLifetime = 24 * time.Hour
)

// Report is the message in which a node reports to the other nodes that a server crashed
// while it ran a content, or that the content is cleared.
type Report struct {
	Content [32]byte
	// Crashes is the number of crashes that the sender has recorded for the content; 0
	// clears the content.
	Crashes int
	// Server is the server that crashed last. Reports that name the same server within
	// sameCrashWindow count as one crash.
	Server domain.ServerID
	// Isolated is true if the content ran in isolation in the last crash, AfterToken if
	// it had already generated tokens.
	Isolated, AfterToken bool
	// Age is the time since that crash, or since the content was cleared.
	Age time.Duration
}

// List holds the contents that ran on crashed servers. The zero List is empty. It is not
// safe for concurrent use.
type List struct {
	// IsExplained reports whether the cause of a crash of a server at a time is known, so that
	// the crash does not count. It may be nil.
	IsExplained func(s domain.ServerID, at time.Time) bool

	contents map[Content]*crashRecord
	// completions is when a content was last known to run to completion. Crashes until
	// completionLifetime later do not count, as for traits.
	completions map[Content]time.Time
}

// crashRecord holds the crashes of one content.
type crashRecord struct {
	// crashes holds at most maximumCrashes crashes.
	crashes []crash
	// latestCrashAt is when the latest crash or report of a crash was recorded.
	latestCrashAt time.Time
}

// crash is one crash of a server that ran the content.
type crash struct {
	server domain.ServerID
	at     time.Time
	// isolated is true if the content ran in isolation.
	isolated bool
	// afterToken is true if the content had already generated tokens. A content that crashes
	// servers mostly does so before its first token.
	afterToken bool
}

// Len returns the number of contents with recorded crashes.
func (l *List) Len() int { return len(l.contents) }

// Standing returns the standing of a content now and, if it is refused, the remaining
// time of the refusal.
func (l *List) Standing(now time.Time, c Content) (Standing, time.Duration) {
	e := l.contents[c]
	if e == nil || now.Sub(e.latestCrashAt) >= entryLifetime {
		return Clean, 0
	}
	n := l.countCrashes(c, e)
	refusal := time.Duration(0)
	switch {
	case n.all >= CrashLimit && n.isolatedBeforeToken > 0, n.all >= CrashLimitOverall && n.isolated > 0, n.all >= maximumCrashes:
		refusal = RefusalAfterIsolatedCrash
	case n.beforeToken >= CrashLimit, n.all >= CrashLimitOverall:
		refusal = RefusalAfterSharedCrash
	}
	if remaining := e.latestCrashAt.Add(refusal).Sub(now); remaining > 0 {
		return Refused, remaining
	}
	if n.beforeToken > 0 || n.all >= CrashLimit {
		return Suspected, 0
	}
	return Clean, 0
}

// crashCounts are the numbers of crashes of one content: all of them, those before the
// first token, those in isolation, and those in isolation before the first token.
type crashCounts struct {
	all, beforeToken, isolated, isolatedBeforeToken int
}

// countCrashes counts the crashes of a content. If another suspect ran on the server, a
// crash in isolation does not count as one in isolation.
func (l *List) countCrashes(c Content, e *crashRecord) crashCounts {
	var n crashCounts
	for _, k := range e.crashes {
		if l.isExempt(c, k.at) || l.IsExplained != nil && l.IsExplained(k.server, k.at) {
			continue
		}
		n.all++
		if !k.afterToken {
			n.beforeToken++
		}
		isIsolated := k.isolated && !l.hasConcurrentSuspect(c, k)
		if isIsolated {
			n.isolated++
		}
		if isIsolated && !k.afterToken {
			n.isolatedBeforeToken++
		}
	}
	return n
}

// hasConcurrentSuspect reports whether another suspect ran in isolation on the server at
// the time of the crash and is as likely to be the cause: it had generated as few tokens, or
// ran in as many crashes. This happens if two nodes each run a suspect in isolation there.
func (l *List) hasConcurrentSuspect(c Content, k crash) bool {
	for other, e := range l.contents {
		if other == c {
			continue
		}
		for _, o := range e.crashes {
			isAsLikely := k.afterToken || !o.afterToken || len(e.crashes) >= len(l.contents[c].crashes)
			if o.isolated && isAsLikely && o.server == k.server && o.at.Sub(k.at).Abs() < sameCrashWindow {
				return true
			}
		}
	}
	return false
}

// All nodes start a suspected content only in its start slot: one of startSlots equal
// parts of a repeating period of the wall clock, selected by the content. Two suspects
// in different slots therefore do not start at the same time. Clock skew between nodes
// makes concurrent starts more likely but has no other effect.
const (
	startSlotLength = 125 * time.Millisecond
	startSlots      = 16
)

// DelayToNextSlot returns the time until the next start slot of a suspected content.
func DelayToNextSlot(now time.Time, c Content) time.Duration {
	const cycle = startSlots * startSlotLength
	slotStart := time.Duration(c[len(c)-1]%startSlots) * startSlotLength
	cycleTime := time.Duration(now.UnixNano() % int64(cycle))
	return (slotStart - cycleTime + cycle) % cycle
}

// RecordCrash records that a server crashed while this node ran the content there. It
// returns the report for the other nodes.
func (l *List) RecordCrash(now time.Time, c Content, s domain.ServerID, isolated, afterToken bool) Report {
	l.addCrash(now, c, crash{server: s, at: now, isolated: isolated, afterToken: afterToken})
	return Report{Content: c, Crashes: len(l.contents[c].crashes), Server: s, Isolated: isolated, AfterToken: afterToken}
}

// RecordCompletion removes a content that ran to completion from the list. It returns the
// report for the other nodes, or false if no crash of the content was recorded.
func (l *List) RecordCompletion(now time.Time, c Content) (Report, bool) {
	wasSuspected := l.contents[c] != nil
	l.clear(now, c)
	return Report{Content: c}, wasSuspected
}

// clear records that a content ran to completion at a time, and removes its crashes that do not count
// any more. A report may have waited since then, and the content have crashed servers meanwhile.
func (l *List) clear(at time.Time, c Content) {
	if l.completions == nil {
		l.completions = map[Content]time.Time{}
	}
	makeRoom(l.completions, maximumContentCompletions, timeItself)
	l.completions[c] = later(l.completions[c], at)
	e := l.contents[c]
	if e == nil {
		return
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(k crash) bool { return l.isExempt(c, k.at) })
	if len(e.crashes) == 0 {
		delete(l.contents, c)
	}
}

// isExempt reports whether a content had completed shortly before a time, or later.
func (l *List) isExempt(c Content, at time.Time) bool {
	completedAt, ok := l.completions[c]
	return ok && at.Sub(completedAt) < completionLifetime
}

// ApplyReports records the crashes that other nodes report. A report with 0 crashes removes
// the content from the list.
func (l *List) ApplyReports(now time.Time, reports []Report) {
	for _, r := range reports {
		at := now.Add(-max(0, r.Age))
		if r.Crashes == 0 {
			l.clear(at, r.Content)
			continue
		}
		l.addCrash(now, r.Content, crash{server: r.Server, at: at, isolated: r.Isolated, afterToken: r.AfterToken})
	}
}

// addCrash adds a crash to those of a content. If it is a crash that is already recorded,
// the two are merged: the merged crash is isolated if either is, and afterToken only if
// both are. If the content already has maximumCrashes crashes, a later
// crash replaces the last of them.
func (l *List) addCrash(now time.Time, c Content, k crash) {
	e := l.contents[c]
	if e == nil {
		e = l.insert(now, c)
	}
	e.latestCrashAt = later(e.latestCrashAt, k.at)
	for i := range e.crashes {
		o := &e.crashes[i]
		if o.server == k.server && k.at.Sub(o.at).Abs() < sameCrashWindow {
			o.isolated = o.isolated || k.isolated
			o.afterToken = o.afterToken && k.afterToken
			return
		}
	}
	if len(e.crashes) < maximumCrashes {
		e.crashes = append(e.crashes, k)
		return
	}
	if last := len(e.crashes) - 1; k.at.After(e.crashes[last].at) {
		e.crashes[last] = k
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// insert adds a content to the list. If the list is full, it evicts another content
// first.
func (l *List) insert(now time.Time, c Content) *crashRecord {
	if l.contents == nil {
		l.contents = make(map[Content]*crashRecord)
	}
	if len(l.contents) >= maximumContents {
		l.evict(now)
	}
	e := new(crashRecord)
	l.contents[c] = e
	return e
}

// evict removes the expired contents. If there are none, it removes the content whose
// latest crash is the oldest, of those with fewer than CrashLimit crashes if there are any: most of these
// ran beside the cause of one crash.
func (l *List) evict(now time.Time) {
	var oldest Content
	found := false
	for c, e := range l.contents {
		if now.Sub(e.latestCrashAt) >= entryLifetime {
			delete(l.contents, c)
			continue
		}
		if !found || e.isEvictedBefore(l.contents[oldest]) {
			oldest, found = c, true
		}
	}
	if found && len(l.contents) >= maximumContents {
		delete(l.contents, oldest)
	}
}

// isEvictedBefore reports whether a record is of less use than another one.
func (e *crashRecord) isEvictedBefore(o *crashRecord) bool {
	if hasFew := len(e.crashes) < CrashLimit; hasFew != (len(o.crashes) < CrashLimit) {
		return hasFew
	}
	return e.latestCrashAt.Before(o.latestCrashAt)
}
