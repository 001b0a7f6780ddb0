package dispatch

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// RoomCounters count the requests that compete for room at servers that report their load. They are
// safe for concurrent use.
type RoomCounters interface {
	// CountRoomRefusal counts a request that was refused for lack of room.
	CountRoomRefusal(rank int)
	// RecordRoomWait records how long a request waited for room, whether it got some or not.
	RecordRoomWait(rank int, wait time.Duration)
	// SetWaitingForRoom sets the number of requests of a rank that wait for room.
	SetWaitingForRoom(rank, waiting int)
}

// competes reports whether the request needs room: it has not run. One that may have run, or whose
// caller has part of the response, is sent to any server, because its refusal would be a failure.
func (s *session) competes() bool { return !s.mayHaveRun && !s.headSent }

// seekRoom returns a server with room for the request. Without one it waits for the next change and
// returns nil, or an error if the request is refused. There is at least one candidate.
func (s *session) seekRoom(ctx context.Context, m *room, view *View, candidates []*fleet.Server, deadline time.Time) (*fleet.Server, *verdict.Error) {
	m.mu.Lock()
	now := time.Now()
	g, e, backoff := s.tryRoom(now, m, view, candidates, deadline)
	if g != nil || e != nil {
		m.mu.Unlock()
		return s.accept(now, g), e
	}
	if backoff {
		s.dispatcher.dequeue(now, m, s.waiter)
	} else if !s.waiter.isQueued {
		s.logWaitingForRoom(now, m, candidates)
		s.dispatcher.enqueue(now, m, s.waiter)
	}
	wakeAt := s.nextLook(now, m, deadline)
	m.mu.Unlock()
	s.beginWait()
	if backoff {
		return nil, s.waitForChange(ctx, view, deadline, true)
	}
	return s.awaitGrant(ctx, view, wakeAt)
}

// tryRoom returns a server with room, or an error if the request is refused. backoff is true if
// there is room only at servers that have failed or refused the request. The caller holds the mutex
// of the room.
func (s *session) tryRoom(now time.Time, m *room, view *View, candidates []*fleet.Server, deadline time.Time) (g *grant, e *verdict.Error, backoff bool) {
	d := s.dispatcher
	m.observe(now, view.Servers[s.request.Service])
	if s.waiter == nil {
		s.waiter = &waiter{contender: d.rooms.newContender(now, s.request), request: s.request, granted: make(chan grant, 1)}
		if s.attempts == 0 {
			m.contention.RecordArrival(now, &s.waiter.contender)
		}
	}
	w := s.waiter
	w.avoidedServers = maps.Clone(s.avoidedServers)
	d.grantRoom(now, m, "")
	select {
	case granted := <-w.granted:
		return &granted, nil, false
	default:
	}
	if !w.isQueued {
		if g := d.takeRoom(now, m, w, candidates, ""); g != nil {
			return g, nil, false
		}
	}
	roomy := m.withRoom(now, &w.contender, candidates)
	if len(roomy) > 0 && !s.hasUntried(roomy) {
		return nil, nil, true
	}
	return s.assessRoom(now, m, candidates, roomy, deadline)
}

// assessRoom decides whether the request waits for room. The caller holds the mutex of the room.
func (s *session) assessRoom(now time.Time, m *room, candidates, roomy []*fleet.Server, deadline time.Time) (*grant, *verdict.Error, bool) {
	w, d := s.waiter, s.dispatcher
	if !now.Before(deadline) && now.Before(s.callerWaitDeadline()) {
		return nil, s.refuseShutdown(now), false
	}
	isDue := w.isQueued && !w.isReviewed && !now.Before(w.contender.ReviewAt())
	if w.isQueued && !isDue && now.Before(m.contention.WaitsUntil(&w.contender)) && now.Before(deadline) {
		return nil, nil, false
	}
	w.isReviewed = w.isReviewed || isDue
	outlook, wait := m.contention.Assess(now, &w.contender, m.loadsOf(now, candidates), isDue)
	if outlook != admission.NotServable && now.Before(deadline) {
		return nil, nil, false
	}
	if !w.isQueued && len(roomy) > 0 {
		// The request cannot wait, and a server has room by the reports.
		server, inputs := d.choose(now, s.request, roomy, s.avoidedServers)
		m.contention.RecordSending(now, &w.contender)
		return &grant{server: server, inputs: inputs}, nil, false
	}
	return nil, s.refuseRoom(now, m, candidates, wait), false
}

// refuseRoom returns the refusal of a request for lack of room. The caller holds the mutex of the
// room.
func (s *session) refuseRoom(now time.Time, m *room, candidates []*fleet.Server, wait time.Duration) *verdict.Error {
	c := &s.waiter.contender
	m.contention.RecordRefusal(c)
	s.dispatcher.rooms.recordRefusal(now, s.request.Content)
	if s.dispatcher.RoomCounters != nil {
		s.dispatcher.RoomCounters.CountRoomRefusal(c.Rank)
	}
	e := verdict.Refuse(verdict.NoCapacity, "no server has room for the request").WithRetryAfter(m.contention.RetryAfter(now, c, wait, rand.Float64()))
	e.Cause = fmt.Errorf("rank %d, estimated wait %v; %s", c.Rank, wait.Round(time.Millisecond), s.describeRoom(now, m, candidates))
	return e
}

// describeRoom describes the loads of the candidates. The caller holds the mutex of the room.
func (s *session) describeRoom(now time.Time, m *room, candidates []*fleet.Server) string {
	text := fmt.Sprintf("%d servers", len(candidates))
	for _, c := range candidates[:min(len(candidates), maximumLoggedServers)] {
		l := m.load(now, c)
		text += fmt.Sprintf(", %s: %.1f requests, limit %.1f, load known: %t", c.ID, l.InUse, m.contention.Limit(now, &s.waiter.contender, l), l.IsKnown)
	}
	return text
}

// nextLook returns when a waiting request looks for room again if nothing wakes it. The caller holds
// the mutex of the room.
func (s *session) nextLook(now time.Time, m *room, deadline time.Time) time.Time {
	at := earlier(now.Add(admission.PollInterval), deadline)
	if !s.waiter.isReviewed {
		at = earlier(at, later(now, s.waiter.contender.ReviewAt()))
	}
	return earlier(at, later(now, m.contention.WaitsUntil(&s.waiter.contender)))
}

// awaitGrant waits until the request has got room or should look for it again.
func (s *session) awaitGrant(ctx context.Context, view *View, wakeAt time.Time) (*fleet.Server, *verdict.Error) {
	timer := time.NewTimer(time.Until(wakeAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, newRefusal(time.Now(), s.request, verdict.DeadlinePassed, "the request was cancelled or reached its deadline", 0)
	case g := <-s.waiter.granted:
		return s.accept(time.Now(), &g), nil
	case <-view.Changed:
	case <-timer.C:
	}
	return nil, nil
}

// accept returns the server of a grant; nil for no grant.
func (s *session) accept(now time.Time, g *grant) *fleet.Server {
	if g == nil {
		return nil
	}
	g.inputs.keptAway = s.keptAway.text(now)
	s.choiceInputs = g.inputs
	return g.server
}

// leaveRoom ends the wait for room. A place that the request got meanwhile goes to another one.
func (s *session) leaveRoom(m *room) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	s.dispatcher.dequeue(now, m, s.waiter)
	select {
	case g := <-s.waiter.granted:
		s.dispatcher.chooser.release(g.server, s.request)
		s.dispatcher.grantRoom(now, m, g.server.ID)
	default:
	}
}

// preferRoom returns the servers with room for a request that may have run, or all if none has.
func (s *session) preferRoom(now time.Time, m *room, servers []*fleet.Server) []*fleet.Server {
	c := s.dispatcher.rooms.newContender(now, s.request)
	m.mu.Lock()
	defer m.mu.Unlock()
	if roomy := m.withRoom(now, &c, servers); s.hasUntried(roomy) {
		return roomy
	}
	return servers
}

// logWaitingForRoom logs that the request waits for room. The caller holds the mutex of the room.
func (s *session) logWaitingForRoom(now time.Time, m *room, candidates []*fleet.Server) {
	waiting := 0
	for _, n := range m.contention.Waiting() {
		waiting += n
	}
	s.dispatcher.Logger.Info().Str("Event", "WaitingForRoom").Str("Request", string(s.request.ID)).Str("Model", string(s.request.Model)).Int("Rank", s.request.Rank).
		Int("Waiting", waiting).Bool("IsRetried", s.waiter.contender.IsRetried).Bool("ExceedsFairShare", m.contention.ExceedsFairShare(now, s.waiter.contender.Workspace)).
		Int64("AtMostMs", m.contention.WaitsUntil(&s.waiter.contender).Sub(now).Milliseconds()).Str("Servers", s.describeRoom(now, m, candidates)).
		Msg("no server has room for the request")
}
