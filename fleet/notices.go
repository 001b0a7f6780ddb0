package fleet

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// noticeRetention is how long a notice is kept after the registration of its server has
	// left the directory.
	noticeRetention = 10 * time.Minute
	// invalidNoticeInterval is the least time between two invalid notices of a server that
	// are reported.
	invalidNoticeInterval = time.Minute
)

// NoticeNumber numbers the servers that were known to leave, from 1.
type NoticeNumber uint64

// noticeEntry is what one incarnation has said.
type noticeEntry struct {
	// startedAtMs is 0 if the start is not known. The entry then holds for every
	// incarnation of the server.
	startedAtMs int64
	// leavingSince is zero if the server has not said that it leaves.
	leavingSince time.Time
	// leavingNumber numbers the entries by when they were first known to leave.
	leavingNumber NoticeNumber
	// retryAt is the end of the time for which the server wants no requests.
	// retryRecordedAt is when the server last asked for time.
	retryAt, retryRecordedAt time.Time
	// invalidAt is when an invalid notice was last reported.
	invalidAt time.Time
	// absentSince is when the server was first found without a registration, zero while
	// it has one.
	absentSince time.Time
}

// appliesTo reports whether the entry holds for a server with the given start. It does
// for the same and for older incarnations.
func (e *noticeEntry) appliesTo(startedAtMs int64) bool {
	return e.startedAtMs == 0 || startedAtMs <= e.startedAtMs
}

// mustWait reports whether the requested time lasts and holds for a server with the given
// start. It also holds for a newer incarnation that had started when it was recorded:
// responses name no incarnation, so that it may be the one that asked for the time. The
// clocks of servers may differ; an error costs the requested time at most. Leaving does not
// end by time, and so holds for the known incarnation alone.
func (e *noticeEntry) mustWait(now time.Time, startedAtMs int64) bool {
	return now.Before(e.retryAt) && (e.appliesTo(startedAtMs) || startedAtMs <= e.retryRecordedAt.UnixMilli())
}

// isLeaving reports whether the entry says that a server with the given start leaves.
func (e *noticeEntry) isLeaving(startedAtMs int64) bool {
	return !e.leavingSince.IsZero() && e.appliesTo(startedAtMs)
}

// Notices holds what backend servers have said of themselves in responses. Registrations
// do not change it, except that a newer incarnation ends the notices of the one before.
// The zero Notices is ready for use. It is safe for concurrent use.
type Notices struct {
	// DrainBound is the time for which a leaving server may still get requests as a last
	// resort. It counts from the first notice to the arrival of the request at this node.
	DrainBound time.Duration

	mu      sync.RWMutex
	entries map[domain.ServerID]*noticeEntry
	// lastLeaving is the highest leavingNumber that was given.
	lastLeaving NoticeNumber
}

// Record records a notice of an incarnation and returns what it changed. An incarnation
// that is older than the known one can no longer be leaving.
func (n *Notices) Record(now time.Time, i Incarnation, notice Notice) NoticeChange {
	if !notice.Leaving && notice.RetryAfter <= 0 && notice.Invalid == "" {
		return NoticeChange{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entryFor(now, i)
	if i.StartedAtMs != 0 && i.StartedAtMs < e.startedAtMs {
		notice.Leaving = false
	}
	change := e.apply(now, notice)
	if change.BeganLeaving {
		n.lastLeaving++
		e.leavingNumber = n.lastLeaving
	}
	return change
}

// entryFor returns the entry of an incarnation. For a newer one than the known it makes
// another, which keeps a requested time that holds for it. The caller holds mu.
func (n *Notices) entryFor(now time.Time, i Incarnation) *noticeEntry {
	e := n.entries[i.ID]
	if e != nil && e.appliesTo(i.StartedAtMs) {
		return e
	}
	newer := &noticeEntry{startedAtMs: i.StartedAtMs}
	if e != nil && e.mustWait(now, i.StartedAtMs) {
		newer.retryAt, newer.retryRecordedAt = e.retryAt, e.retryRecordedAt
	}
	if n.entries == nil {
		n.entries = map[domain.ServerID]*noticeEntry{}
	}
	n.entries[i.ID] = newer
	return newer
}

// apply adds a notice of the same incarnation. The longest time that the server has asked
// for is in force, because each of its responses holds by itself.
func (e *noticeEntry) apply(now time.Time, notice Notice) NoticeChange {
	change := NoticeChange{}
	if notice.Leaving && e.leavingSince.IsZero() {
		e.leavingSince = now
		change.BeganLeaving = true
	}
	if notice.RetryAfter > 0 {
		change.BeganRetryLater = !now.Before(e.retryAt)
		e.retryRecordedAt = now
		e.retryAt = later(e.retryAt, now.Add(notice.RetryAfter))
	}
	if notice.Invalid != "" && now.Sub(e.invalidAt) >= invalidNoticeInterval {
		e.invalidAt = now
		change.BeganInvalid = true
	}
	change.RetryAt = e.retryAt
	return change
}

// IsLeaving reports whether the incarnation that registered has said that it leaves.
func (n *Notices) IsLeaving(s *Server) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	e := n.entries[s.ID]
	return e != nil && e.isLeaving(s.EngineState.StartedAtMs)
}

// Select divides servers by whether a request that arrived at this node at arrivedAt may
// be sent to them now. It looks up each server once.
func (n *Notices) Select(now, arrivedAt time.Time, servers []*Server) Selection {
	n.mu.RLock()
	defer n.mu.RUnlock()
	if len(n.entries) == 0 {
		return Selection{Open: servers}
	}
	var selection Selection
	isOpen := func(s *Server) bool { return n.classify(now, arrivedAt, s, &selection) }
	first := slices.IndexFunc(servers, func(s *Server) bool { return !isOpen(s) })
	if first < 0 {
		return Selection{Open: servers}
	}
	selection.Open = append(make([]*Server, 0, len(servers)), servers[:first]...)
	for _, s := range servers[first+1:] {
		if isOpen(s) {
			selection.Open = append(selection.Open, s)
		}
	}
	return selection
}

// classify reports whether a server is open; if not, it adds the server to the other
// servers of the selection. The caller holds mu.
func (n *Notices) classify(now, arrivedAt time.Time, s *Server, selection *Selection) bool {
	e := n.entries[s.ID]
	if e == nil {
		return true
	}
	isLeaving, mustWait := e.isLeaving(s.EngineState.StartedAtMs), e.mustWait(now, s.EngineState.StartedAtMs)
	isTooLate := isLeaving && arrivedAt.After(e.leavingSince.Add(n.DrainBound))
	switch {
	case isTooLate:
		selection.Restricted = append(selection.Restricted, RestrictedServer{Server: s, Restriction: Leaving, Since: e.leavingSince})
	case mustWait:
		selection.Restricted = append(selection.Restricted, RestrictedServer{Server: s, Restriction: RetryLater, Until: e.retryAt})
	case isLeaving:
		selection.LastResort = append(selection.LastResort, RestrictedServer{Server: s, Restriction: Leaving, Since: e.leavingSince})
	}
	return !isLeaving && !mustWait
}

// LeavingAfter returns the servers with a higher number than after, and the highest number
// that was given.
func (n *Notices) LeavingAfter(after NoticeNumber) ([]LeavingServer, NoticeNumber) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	var list []LeavingServer
	for id, e := range n.entries {
		if e.leavingNumber > after {
			list = append(list, LeavingServer{Incarnation: Incarnation{ID: id, StartedAtMs: e.startedAtMs}, Since: e.leavingSince})
		}
	}
	return list, n.lastLeaving
}

// Prune removes the entries that can have no effect any more: those of servers that have
// registered a newer incarnation, those of servers that have been absent from find for
// noticeRetention, and those whose requested time is over. The function find returns the
// last registration of a server.
func (n *Notices) Prune(now time.Time, find func(domain.ServerID) (*Server, bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, e := range n.entries {
		s, isRegistered := find(id)
		switch {
		case isRegistered:
			e.absentSince = time.Time{}
		case e.absentSince.IsZero():
			e.absentSince = now
		}
		isReplaced := isRegistered && !e.appliesTo(s.EngineState.StartedAtMs) && !e.mustWait(now, s.EngineState.StartedAtMs)
		isAbsent := !isRegistered && now.Sub(e.absentSince) >= noticeRetention
		isOver := e.leavingSince.IsZero() && !now.Before(e.retryAt) && now.Sub(e.invalidAt) >= invalidNoticeInterval
		if isReplaced || isAbsent || isOver {
			delete(n.entries, id)
		}
	}
}

// Len returns the number of servers with an entry.
func (n *Notices) Len() int {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return len(n.entries)
}
