// Package suspects keeps count of request contents that were running when backend
// servers crashed, and decides which run apart from others and which are
// refused. It has no input, output or clock.
package suspects

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Content is a hash of what a request asks, the same for every resend.
type Content [32]byte

// Standing is how a content may run.
type Standing int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Standing -output=standing_string.go

// The standings.
const (
	// Clean contents run like any other.
	Clean Standing = iota
	// Suspected contents run alone.
	Suspected
	// Refused contents do not run.
	Refused
)

// Numbers of crashes after which a content is refused: where it crashed a server
// before it gave a token and ran alone in one of them or shared in both, and where
// it had given tokens.
const (
	RefusedAfter      = 2
	RefusedAfterBegun = 3
)

// How long a content is refused after its latest crash. One that crashed a server
// while it ran alone is taken for the cause; the others may only have shared a
// server with it, and afterwards run alone.
const (
	RefusedAlone            = 24 * time.Hour
	RefusalAfterSharedCrash = time.Minute
)

// Bounds of a list.
const (
	maximumContents = 4096
	maximumCrashes  = 4
	// sameCrash is how far apart two reports of one crash of a server can be.
	sameCrash = 3 * time.Second
	// forgetAfter is how long a suspected content is remembered.
	forgetAfter = 24 * time.Hour
)

// Report is what nodes tell each other of one content.
type Report struct {
	Content [32]byte
	// Crashes counts the servers that crashed while they ran it; zero clears it.
	Crashes int
	// Server is the one that crashed last, so that one crash counts once.
	Server domain.ServerID
	// Alone tells that it ran apart from others in the last crash, Begun that it
	// had given tokens before.
	Alone, Begun bool
}

// List holds the contents under suspicion. The zero List is empty. It is not
// safe for concurrent use.
type List struct {
	contents map[Content]*content
}

type content struct {
	crashes []crash
	latest  time.Time
}

// crash is one server that crashed while it ran the content.
type crash struct {
	server domain.ServerID
	at     time.Time
	// alone is true where the content ran apart from others.
	alone bool
	// begun is true where the content had already given tokens: a poison mostly
	// kills before its first one.
	begun bool
}

// Len returns how many contents are under suspicion.
func (l *List) Len() int { return len(l.contents) }

// Standing returns how a content may run now, and for a refused one how long it
// will be refused.
func (l *List) Standing(now time.Time, c Content) (Standing, time.Duration) {
	e := l.contents[c]
	if e == nil || now.Sub(e.latest) >= forgetAfter {
		return Clean, 0
	}
	n := l.count(c, e)
	period := time.Duration(0)
	switch {
	case n.all >= RefusedAfter && n.aloneFresh > 0, n.all >= RefusedAfterBegun && n.alone > 0, n.all >= maximumCrashes:
		period = RefusedAlone
	case n.fresh >= RefusedAfter, n.all >= RefusedAfterBegun:
		period = RefusalAfterSharedCrash
	}
	if left := e.latest.Add(period).Sub(now); left > 0 {
		return Refused, left
	}
	if n.fresh > 0 || n.all >= RefusedAfter {
		return Suspected, 0
	}
	return Clean, 0
}

// counts are the crashes of one content: in all, before its first token, while it
// ran alone, and both.
type counts struct {
	all, fresh, alone, aloneFresh int
}

func (l *List) count(c Content, e *content) counts {
	var n counts
	for _, k := range e.crashes {
		n.all++
		if !k.begun {
			n.fresh++
		}
		alone := k.alone && !l.crowded(c, k)
		if alone {
			n.alone++
		}
		if alone && !k.begun {
			n.aloneFresh++
		}
	}
	return n
}

// crowded tells whether another content, at another node, ran on the server too
// in the belief that it was alone, and is as likely to be the cause.
func (l *List) crowded(c Content, k crash) bool {
	for other, e := range l.contents {
		if other == c {
			continue
		}
		for _, o := range e.crashes {
			if o.alone && (k.begun || !o.begun) && o.server == k.server && o.at.Sub(k.at).Abs() < sameCrash {
				return true
			}
		}
	}
	return false
}

// Slots keep the starts of different suspects apart, also of those that run at
// different nodes: each content starts at its own times of the wall clock. Clocks
// that differ only make it likelier that two start together.
const (
	slotLength = 125 * time.Millisecond
	slots      = 16
)

// DelayToNextSlot returns how long a suspected content waits for its next slot.
func DelayToNextSlot(now time.Time, c Content) time.Duration {
	const cycle = slots * slotLength
	own := time.Duration(c[len(c)-1]%slots) * slotLength
	at := time.Duration(now.UnixNano() % int64(cycle))
	return (own - at + cycle) % cycle
}

// RecordCrash counts a server that crashed while this node ran a content there, and
// returns what the other nodes should learn.
func (l *List) RecordCrash(now time.Time, c Content, s domain.ServerID, alone, begun bool) Report {
	l.add(now, c, crash{server: s, at: now, alone: alone, begun: begun})
	return Report{Content: c, Crashes: len(l.contents[c].crashes), Server: s, Alone: alone, Begun: begun}
}

// RecordCompletion clears a content that ran to its end. It returns false where the
// content was not under suspicion; else the other nodes should learn the result.
func (l *List) RecordCompletion(c Content) (Report, bool) {
	if l.contents[c] == nil {
		return Report{}, false
	}
	delete(l.contents, c)
	return Report{Content: c}, true
}

// ApplyReports takes in what other nodes saw.
func (l *List) ApplyReports(now time.Time, reports []Report) {
	for _, s := range reports {
		if s.Crashes == 0 {
			delete(l.contents, s.Content)
			continue
		}
		l.add(now, s.Content, crash{server: s.Server, at: now, alone: s.Alone, begun: s.Begun})
	}
}

// add counts a crash unless it is one that was counted before.
func (l *List) add(now time.Time, c Content, k crash) {
	e := l.contents[c]
	if e == nil {
		e = l.insert(now, c)
	}
	e.latest = now
	for i := range e.crashes {
		o := &e.crashes[i]
		if o.server == k.server && now.Sub(o.at) < sameCrash {
			o.alone = o.alone || k.alone
			o.begun = o.begun && k.begun
			return
		}
	}
	if len(e.crashes) < maximumCrashes {
		e.crashes = append(e.crashes, k)
		return
	}
	e.crashes[len(e.crashes)-1] = k
}

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

// evict drops the forgotten contents, else the one that crashed longest ago.
func (l *List) evict(now time.Time) {
	var oldest Content
	found := false
	for c, e := range l.contents {
		if now.Sub(e.latest) >= forgetAfter {
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
