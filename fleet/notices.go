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

// noticeEntry is what the incarnations of one server have said.
type noticeEntry struct {
	// leavingSince is when the incarnation that leaves was first known to leave, zero if none
	// is. leavingStart is the start of that incarnation, leavingNumber numbers the servers by
	// when they were first known to leave.
	leavingSince  time.Time
	leavingStart  startTime
	leavingNumber NoticeNumber
	// retryAt is the end of the time for which the server wants no requests. retryStart is
	// the start of the newest incarnation that asked for it, retryRecordedAt when one last did.
	retryAt         time.Time
	retryStart      startTime
	retryRecordedAt time.Time
	// invalidAt is when an invalid notice was last reported.
	invalidAt time.Time
	// unusedSince is when leaving was first found to hold for no registration, zero while it
	// holds for one.
	unusedSince time.Time
}

// startTime is the start of an incarnation in Unix milliseconds, 0 if it is not known.
type startTime int64

// covers reports whether a fact about an incarnation that started at t holds for one with
// the given start: the same, an older one and, if t is not known, any.
func (t startTime) covers(startedAtMs int64) bool {
	return t == 0 || startedAtMs <= int64(t)
}

// mustWait reports whether the requested time lasts and holds for a server with the given
// start. It also holds for a newer incarnation that had started when it was recorded:
// responses name no incarnation, so that it may be the one that asked for the time. The
// clocks of servers may differ; an error costs the requested time at most. Leaving does not
// end by time, and so holds for the known incarnation alone.
func (e *noticeEntry) mustWait(now time.Time, startedAtMs int64) bool {
	return now.Before(e.retryAt) && (e.retryStart.covers(startedAtMs) || startedAtMs <= e.retryRecordedAt.UnixMilli())
}

// isLeaving reports whether the entry says that a server with the given start leaves.
func (e *noticeEntry) isLeaving(startedAtMs int64) bool {
	return !e.leavingSince.IsZero() && e.leavingStart.covers(startedAtMs)
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

// Record records a notice of an incarnation and returns what it changed.
func (n *Notices) Record(now time.Time, i Incarnation, notice Notice) NoticeChange {
	if !notice.Leaving && notice.RetryAfter <= 0 && notice.Invalid == "" {
		return NoticeChange{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.entries[i.ID]
	if e == nil {
		e = &noticeEntry{}
		if n.entries == nil {
			n.entries = map[domain.ServerID]*noticeEntry{}
		}
		n.entries[i.ID] = e
	}
	change := NoticeChange{BeganLeaving: notice.Leaving && !e.isLeaving(i.StartedAtMs)}
	if change.BeganLeaving {
		n.lastLeaving++
		e.leavingSince, e.leavingStart, e.leavingNumber = now, startTime(i.StartedAtMs), n.lastLeaving
		e.unusedSince = time.Time{}
	}
	if notice.RetryAfter > 0 {
		change.BeganRetryLater = !now.Before(e.retryAt)
		e.extendRetry(now, i, notice.RetryAfter)
	}
	if notice.Invalid != "" && now.Sub(e.invalidAt) >= invalidNoticeInterval {
		e.invalidAt = now
		change.BeganInvalid = true
	}
	change.RetryAt = e.retryAt
	return change
}

// extendRetry adds a time that an incarnation asks for. The longest of the times that were
// asked for is in force, because each response holds by itself.
func (e *noticeEntry) extendRetry(now time.Time, i Incarnation, d time.Duration) {
	if !now.Before(e.retryAt) || !e.retryStart.covers(i.StartedAtMs) || i.StartedAtMs == 0 {
		e.retryStart = startTime(i.StartedAtMs)
	}
	e.retryRecordedAt = now
	e.retryAt = later(e.retryAt, now.Add(d))
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
			list = append(list, LeavingServer{Incarnation: Incarnation{ID: id, StartedAtMs: int64(e.leavingStart)}, Since: e.leavingSince})
		}
	}
	return list, n.lastLeaving
}

// Prune removes the entries that can have no effect any more: those of leaving servers for
// which find has returned no registration of the leaving incarnation for noticeRetention,
// and others whose requested time is over. The function find returns the last registration of
// a server. A newer registration does not end an entry at once: it may be another writer's.
func (n *Notices) Prune(now time.Time, find func(domain.ServerID) (*Server, bool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, e := range n.entries {
		s, isRegistered := find(id)
		switch {
		case isRegistered && e.isLeaving(s.EngineState.StartedAtMs):
			e.unusedSince = time.Time{}
		case e.unusedSince.IsZero():
			e.unusedSince = now
		}
		isLeavingOver := e.leavingSince.IsZero() || !e.unusedSince.IsZero() && now.Sub(e.unusedSince) >= noticeRetention
		if isLeavingOver && !now.Before(e.retryAt) && now.Sub(e.invalidAt) >= invalidNoticeInterval {
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
