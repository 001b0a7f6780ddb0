// Package suspects detects request contents that crash backend servers ("queries of
// death") and quarantines them. It records which content was running on a server that
// crashed, and decides whether that content runs as usual, in isolation or not at all.
//
// Packages dispatch and caller hold one List each, and nodes exchange Reports so that
// their lists agree. Package suspects has no input, output or clock.
package suspects

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Content is the hash of a request's content, which is the same in every retry.
type Content [32]byte

// Standing is the way in which a content may run.
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

// Numbers of crashes after which a content is refused. CrashLimit applies if a crash was
// in isolation and before the first token, or if that many crashes were before the first
// token. CrashLimitBegun applies to crashes of any kind.
const (
	CrashLimit      = 2
	CrashLimitBegun = 3
)

// How long a content is refused after its latest crash. A crash in isolation identifies
// the content as the cause, and so do maximumCrashes crashes of any kind. With fewer, the
// content may only have shared a server with the cause: it is refused briefly and then
// runs in isolation.
const (
	RefusalAfterIsolatedCrash = 24 * time.Hour
	RefusalAfterSharedCrash   = time.Minute
)

// Bounds of a List.
const (
	maximumContents = 4096
	maximumCrashes  = 4
	// sameCrashWindow is the longest time between two reports of one crash of a server.
	sameCrashWindow = 3 * time.Second
	// entryLifetime is how long a content is remembered after its latest crash.
	entryLifetime = 24 * time.Hour
)

// Report is the message with which nodes share a crash, or the clearing, of one content.
type Report struct {
	Content [32]byte
	// Crashes counts the crashes that the sender has recorded for the content; 0 clears
	// the content.
	Crashes int
	// Server is the server that crashed last. Several reports of one crash are counted
	// once by it.
	Server domain.ServerID
	// Isolated is true if the content ran in isolation in the last crash, Begun if it had
	// already generated tokens.
	Isolated, AfterToken bool
}

// List holds the contents that ran on crashed servers. The zero List is empty. It is not
// safe for concurrent use.
type List struct {
	contents map[Content]*content
}

type content struct {
	crashes []crash
	latest  time.Time
}

// crash is the crash of one server that ran the content.
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

// Standing returns how a content may run now and, if it is refused, for how much longer.
func (l *List) Standing(now time.Time, c Content) (Standing, time.Duration) {
	e := l.contents[c]
	if e == nil || now.Sub(e.latest) >= entryLifetime {
		return Clean, 0
	}
	n := l.countCrashes(c, e)
	refusal := time.Duration(0)
	switch {
	case n.all >= CrashLimit && n.isolatedBeforeToken > 0, n.all >= CrashLimitBegun && n.isolated > 0, n.all >= maximumCrashes:
		refusal = RefusalAfterIsolatedCrash
	case n.beforeToken >= CrashLimit, n.all >= CrashLimitBegun:
		refusal = RefusalAfterSharedCrash
	}
	if left := e.latest.Add(refusal).Sub(now); left > 0 {
		return Refused, left
	}
	if n.beforeToken > 0 || n.all >= CrashLimit {
		return Suspected, 0
	}
	return Clean, 0
}

// counts are numbers of crashes of one content: all, before the first token, in isolation,
// and both.
type counts struct {
	all, beforeToken, isolated, isolatedBeforeToken int
}

// countCrashes counts the crashes of a content. A crash in isolation does not count as
// such if the content was not the only suspect on the server.
func (l *List) countCrashes(c Content, e *content) counts {
	var n counts
	for _, k := range e.crashes {
		n.all++
		if !k.afterToken {
			n.beforeToken++
		}
		isolated := k.isolated && !l.hasConcurrentSuspect(c, k)
		if isolated {
			n.isolated++
		}
		if isolated && !k.afterToken {
			n.isolatedBeforeToken++
		}
	}
	return n
}

// hasConcurrentSuspect reports whether another suspect ran on the server at the time of
// the crash and is as likely to be the cause. This happens if two nodes each run a suspect
// in isolation there.
func (l *List) hasConcurrentSuspect(c Content, k crash) bool {
	for other, e := range l.contents {
		if other == c {
			continue
		}
		for _, o := range e.crashes {
			if o.isolated && (k.afterToken || !o.afterToken) && o.server == k.server && o.at.Sub(k.at).Abs() < sameCrashWindow {
				return true
			}
		}
	}
	return false
}

// Start slots separate the starts of different suspects across all nodes: each content
// starts in its own slot of the wall clock. Clock skew between nodes only makes concurrent
// starts likelier.
const (
	slotLength = 125 * time.Millisecond
	slots      = 16
)

// DelayToNextSlot returns how long a suspected content waits for its next start slot.
func DelayToNextSlot(now time.Time, c Content) time.Duration {
	const cycle = slots * slotLength
	offset := time.Duration(c[len(c)-1]%slots) * slotLength
	position := time.Duration(now.UnixNano() % int64(cycle))
	return (offset - position + cycle) % cycle
}

// RecordCrash records that a server crashed while this node ran the content there, and
// returns the report for the other nodes.
func (l *List) RecordCrash(now time.Time, c Content, s domain.ServerID, isolated, afterToken bool) Report {
	l.addCrash(now, c, crash{server: s, at: now, isolated: isolated, afterToken: afterToken})
	return Report{Content: c, Crashes: len(l.contents[c].crashes), Server: s, Isolated: isolated, AfterToken: afterToken}
}

// RecordCompletion clears a content that ran to completion, and returns the report for the
// other nodes. It returns false if no crash of the content was recorded.
func (l *List) RecordCompletion(c Content) (Report, bool) {
	if l.contents[c] == nil {
		return Report{}, false
	}
	delete(l.contents, c)
	return Report{Content: c}, true
}

// ApplyReports applies the reports of other nodes.
func (l *List) ApplyReports(now time.Time, reports []Report) {
	for _, r := range reports {
		if r.Crashes == 0 {
			delete(l.contents, r.Content)
			continue
		}
		l.addCrash(now, r.Content, crash{server: r.Server, at: now, isolated: r.Isolated, afterToken: r.AfterToken})
	}
}

// addCrash records a crash unless it is a further report of a recorded one, into which it
// is merged: the crash is taken as isolated if one report says so, and as after the first
// token if all do.
func (l *List) addCrash(now time.Time, c Content, k crash) {
	e := l.contents[c]
	if e == nil {
		e = l.insert(now, c)
	}
	e.latest = now
	for i := range e.crashes {
		o := &e.crashes[i]
		if o.server == k.server && now.Sub(o.at) < sameCrashWindow {
			o.isolated = o.isolated || k.isolated
			o.afterToken = o.afterToken && k.afterToken
			return
		}
	}
	if len(e.crashes) < maximumCrashes {
		e.crashes = append(e.crashes, k)
		return
	}
	e.crashes[len(e.crashes)-1] = k
}

// insert adds a content to the list. It evicts first if the list is full.
func (l *List) insert(now time.Time, c Content) *content {
	if l.contents == nil {
		l.contents = make(map[Content]*content)
	}
	if len(l.contents) >= maximumContents {
		l.evict(now)
	}
	e := new(content)
	l.contents[c] = e
	return e
}

// evict removes the expired contents or, if there are none, the one with the oldest latest
// crash.
func (l *List) evict(now time.Time) {
	var oldest Content
	found := false
	for c, e := range l.contents {
		if now.Sub(e.latest) >= entryLifetime {
			delete(l.contents, c)
			continue
		}
		if !found || e.latest.Before(l.contents[oldest].latest) {
			oldest, found = c, true
		}
	}
	if found && len(l.contents) >= maximumContents {
		delete(l.contents, oldest)
	}
}
