package dispatch

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
)

const (
	// unfinishedWindow is how long before the crash of a server an attempt there may have ended
	// without a whole response and still count as one that ran there. The server learns late that
	// the attempt has ended, and some servers go on.
	unfinishedWindow = 500 * time.Millisecond
	// unfinishedLifetime is how long such an attempt is kept for the reports of other nodes.
	unfinishedLifetime = 3 * time.Second
	// maximumUnfinished bounds the attempts that are kept.
	maximumUnfinished = 1024
	// idleCheckDelay is the time between the end of such an attempt and the check of a server at
	// which no other attempt of this node would notice a crash. There is one such check in
	// idleCheckInterval, since each costs the server a connection.
	idleCheckDelay    = 300 * time.Millisecond
	idleCheckInterval = 500 * time.Millisecond
)

// unfinishedAttempts holds the attempts that ended lately without a whole response though their
// connections did not break: the caller has left, the time limit has passed, or another attempt
// was first. Their servers may crash of them all the same.
type unfinishedAttempts struct {
	// list is ordered by the ends of the attempts and has at most maximumUnfinished entries.
	list []unfinishedAttempt
	// idleCheckAt is when an idle server was last checked, or will be.
	idleCheckAt time.Time
}

type unfinishedAttempt struct {
	server  domain.ServerID
	request crashedRequest
	endedAt time.Time
}

// add adds an attempt that has ended.
func (u *unfinishedAttempts) add(a unfinishedAttempt) {
	u.expire(a.endedAt)
	if len(u.list) >= maximumUnfinished {
		u.list = slices.Delete(u.list, 0, 1)
	}
	u.list = append(u.list, a)
}

// expire removes the attempts that ended more than unfinishedLifetime ago.
func (u *unfinishedAttempts) expire(now time.Time) {
	first := slices.IndexFunc(u.list, func(a unfinishedAttempt) bool { return now.Sub(a.endedAt) <= unfinishedLifetime })
	if first < 0 {
		first = len(u.list)
	}
	u.list = slices.Delete(u.list, 0, first)
}

// has reports whether a request ran at a server if it crashed at a time.
func (u *unfinishedAttempts) has(s domain.ServerID, crashedAt time.Time) bool {
	return slices.ContainsFunc(u.list, func(a unfinishedAttempt) bool { return a.ranAt(s, crashedAt) })
}

// take removes and returns the requests that ran at a server that crashed at a time.
func (u *unfinishedAttempts) take(s domain.ServerID, crashedAt time.Time) []crashedRequest {
	var requests []crashedRequest
	u.list = slices.DeleteFunc(u.list, func(a unfinishedAttempt) bool {
		isTaken := a.ranAt(s, crashedAt)
		if isTaken {
			requests = append(requests, a.request)
		}
		return isTaken
	})
	return requests
}

// ranAt reports whether the attempt counts as one that ran at a server as it crashed.
func (a *unfinishedAttempt) ranAt(s domain.ServerID, crashedAt time.Time) bool {
	return a.server == s && crashedAt.Sub(a.endedAt) <= unfinishedWindow
}

// reserveIdleCheck reports whether an idle server may be checked at a time.
func (u *unfinishedAttempts) reserveIdleCheck(at time.Time) bool {
	if at.Sub(u.idleCheckAt) < idleCheckInterval {
		return false
	}
	u.idleCheckAt = at
	return true
}

// mayCrashServer reports whether the server of an attempt that ended with a result may still work on
// the request. A server that has refused the request or answered it whole does not.
func mayCrashServer(result string) bool {
	switch result {
	case "Answered", "PassedOn", "FailedThere", "Unreached", Full.String(), Elsewhere.String():
		return false
	}
	return true
}

// keepUnfinished keeps an attempt that has ended without a whole response, in case its server turns
// out to have crashed. If this node has no other attempt there that would notice a crash, the server
// is checked. The caller holds the session's mu.
func (s *session) keepUnfinished(now time.Time, a *attempt) {
	d := s.dispatcher
	isIdle := d.chooser.isIdle(a.server.ID)
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	u := &d.crashes.unfinished
	u.add(unfinishedAttempt{server: a.server.ID, request: s.crashedRequest(now, a), endedAt: now})
	if isIdle && a.response == nil && u.reserveIdleCheck(now.Add(idleCheckDelay)) {
		time.AfterFunc(idleCheckDelay, func() { d.checkUnfinished(a.server) })
	}
}

// checkUnfinished checks whether a server has crashed if an attempt ended there lately without a
// whole response. It is called when the server may have crashed.
func (d *Dispatcher) checkUnfinished(s *fleet.Server) {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	if d.crashes.unfinished.has(s.ID, time.Now()) {
		d.checkCrashLocked(s)
	}
}

// recordReportedCrashes records the requests of this node that ended without a whole response shortly
// before servers crashed, of which another node has told. It returns at once, because its caller may hold the
// locks that reports need.
func (d *Dispatcher) recordReportedCrashes(now time.Time, crashes []suspects.TraitCrash) {
	d.crashes.mu.Lock()
	defer d.crashes.mu.Unlock()
	for _, k := range crashes {
		at := now.Add(-k.Age)
		if requests := d.crashes.unfinished.take(k.Server, at); len(requests) > 0 {
			go d.recordCrash(now, k.Server, &crashCheck{brokenAt: at, requests: requests})
		}
	}
}
