package dispatch

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// pickServer returns the server for the next attempt and counts an attempt in flight
// there. If no server can take the request, pickServer waits for one as long as the
// request can still be completed in time.
func (s *session) pickServer(ctx context.Context) (*fleet.Server, *verdict.Error) {
	start := time.Now()
	s.resumeDeadline = start.Add(s.stallTimeout() - resumeMargin)
	defer s.endWait(start)
	for {
		if e := s.refuseSuspect(); e != nil {
			return nil, e
		}
		deadline := s.waitDeadline()
		view := s.dispatcher.Views.Get()
		now := time.Now()
		if !s.endsInTime(now) {
			return nil, s.refuseShutdown(now)
		}
		candidates := s.candidates(now, view)
		m := s.dispatcher.rooms.find(now, s.request.Service)
		if m != nil && s.competes() && len(candidates) > 0 {
			s.room = m
			server, e := s.seekRoom(ctx, m, view, candidates, deadline)
			if server != nil || e != nil {
				return server, e
			}
			continue
		}
		if m != nil && len(candidates) > 0 {
			candidates = s.preferRoom(now, m, candidates)
		}
		if s.hasUntried(candidates) || len(candidates) > 0 && s.attempts == 0 {
			server, inputs := s.dispatcher.choose(now, s.request, candidates, s.avoidedServers)
			inputs.keptAway = s.keptAway.text(now)
			s.choiceInputs = inputs
			return server, nil
		}
		expectedWait, e := s.estimateWait(now, view, candidates)
		if e != nil {
			return nil, e
		}
		if now.Add(expectedWait).After(deadline) {
			return nil, s.refuseWait(now, expectedWait)
		}
		if !s.isWaiting {
			s.logWaiting(view, expectedWait, deadline)
		}
		s.beginWait()
		if e := s.waitForChange(ctx, view, deadline, len(candidates) > 0); e != nil {
			return nil, e
		}
	}
}

// beginWait counts the request as waiting until endWait.
func (s *session) beginWait() {
	if !s.isWaiting {
		s.isWaiting = true
		s.dispatcher.Demand.startWaiting(s.demandKey)
	}
}

// endWait ends the wait for a server that began with pickServer.
func (s *session) endWait(start time.Time) {
	if s.room != nil {
		s.leaveRoom(s.room)
		s.room, s.waiter = nil, nil
	}
	if s.isWaiting {
		s.isWaiting = false
		s.dispatcher.Demand.stopWaiting(s.demandKey)
		s.waitTime += time.Since(start)
	}
}

// waitDeadline returns the time at which the request stops waiting for a server.
func (s *session) waitDeadline() time.Time {
	deadline := s.callerWaitDeadline()
	if shutdown := s.dispatcher.shutdown.Load(); shutdown != nil {
		deadline = earlier(deadline, s.shutdownWaitDeadline(time.Now(), shutdown))
	}
	return deadline
}

// callerWaitDeadline returns until when the caller of the request can wait for a server, at this
// or at another node. A stream whose head was sent waits on, because its caller has heard of it.
func (s *session) callerWaitDeadline() time.Time {
	timeout := s.request.Deadline.Sub(s.request.ArrivedAt)
	deadline := s.request.Deadline.Add(-min(refusalMargin, time.Duration(refusalMarginShare*float64(timeout))))
	if s.headSent {
		return earlier(s.resumeDeadline, deadline)
	}
	linkDelay := min(s.request.LinkDelay, maximumLinkDelay)
	deadline = deadline.Add(-min(linkDelay, time.Duration(linkDelayShare*float64(timeout))))
	if s.request.Route.Kind != fleet.Streaming {
		return deadline
	}
	return earlier(s.request.ArrivedAt.Add(s.stallTimeout()-refusalMargin-linkDelay), deadline)
}

// stallTimeout returns the time without an event after which the caller of a stream is
// expected to disconnect.
func (s *session) stallTimeout() time.Duration {
	return max(minimumStallTimeout, stallTimeoutLatencyGoals*s.request.Route.LatencyGoal, stallTimeoutGapGoals*s.request.Route.EventGapGoal)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waitForChange waits for a newer view. If all candidates have refused or failed the
// request, it waits for the refusal backoff instead and then permits all servers again.
func (s *session) waitForChange(ctx context.Context, view *View, deadline time.Time, candidatesRefused bool) *verdict.Error {
	wait, changed := min(time.Until(deadline), viewPollInterval), view.Changed
	if untilReopening, ok := s.keptAway.untilReopening(time.Now()); ok && !candidatesRefused {
		wait = min(wait, untilReopening)
	}
	if candidatesRefused {
		wait = min(wait, s.nextRefusalBackoff())
		// A newer view does not free a slot at these servers.
		changed = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return newRefusal(time.Now(), s.request, verdict.DeadlinePassed, "the request was cancelled or reached its deadline", 0)
	case <-changed:
		return nil
	case <-timer.C:
	}
	if candidatesRefused {
		clear(s.avoidedServers)
	}
	if time.Now().Before(deadline) {
		return nil
	}
	if time.Now().Before(s.callerWaitDeadline()) {
		return s.refuseShutdown(time.Now())
	}
	return newRefusal(time.Now(), s.request, verdict.DeadlineTooShort, "the model was not loaded in time", time.Second)
}

// nextRefusalBackoff returns the wait after the candidates have refused or failed the
// request, and doubles the next one.
func (s *session) nextRefusalBackoff() time.Duration {
	d := s.refusalBackoff
	s.refusalBackoff = min(2*d, maximumRefusalBackoff)
	return d
}

// candidates returns the servers that can serve the request and may be sent it now.
func (s *session) candidates(now time.Time, view *View) []*fleet.Server {
	return s.permittedServers(now, s.dispatcher.capableServers(now, view, s.request))
}

// capableServers returns the servers that have the model and adapter of a request loaded.
func (d *Dispatcher) capableServers(now time.Time, view *View, r *Request) []*fleet.Server {
	servers := view.Servers[r.Service]
	if r.Model == "" {
		return servers
	}
	candidates := make([]*fleet.Server, 0, len(servers))
	for _, c := range servers {
		model, ok := c.EngineState.Find(r.Model)
		if ok && model.HasAdapter(r.Adapter) && !d.chooser.isMissing(now, c.ID, r.key()) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// estimateWait estimates the time until a server can take the request. It returns an error
// if none is going to.
func (s *session) estimateWait(now time.Time, view *View, candidates []*fleet.Server) (time.Duration, *verdict.Error) {
	if len(candidates) > 0 {
		return 0, nil
	}
	if view.Config == nil {
		return 0, newRefusal(now, s.request, verdict.NotReady, "no configuration is known", time.Second)
	}
	untilReopening, reopens := s.keptAway.untilReopening(now)
	servers := s.dispatcher.Notices.Select(now, s.request.ArrivedAt, view.Servers[s.request.Service]).Open
	if len(servers) == 0 && reopens {
		return untilReopening, nil
	}
	if len(servers) == 0 {
		return 0, newRefusal(now, s.request, verdict.NoCapacity, "the service has no usable backend server", time.Second)
	}
	engine := view.Config.Services[s.request.Service].Engine
	if s.request.Model == "" || engine == nil {
		return 0, nil
	}
	model, ok := engine.Models[s.request.Model]
	if !ok {
		return 0, verdict.Refuse(verdict.UnknownModel, "the model is not in the configuration")
	}
	expectedWait := s.estimateLoad(model, servers)
	if reopens {
		expectedWait = min(expectedWait, untilReopening)
	}
	return expectedWait, nil
}

// estimateLoad estimates the time until one of the servers has the model and adapter
// loaded.
func (s *session) estimateLoad(model fleet.Model, servers []*fleet.Server) time.Duration {
	expectedWait := model.StoreLoadTime
	for _, c := range servers {
		if _, loaded := c.EngineState.Find(s.request.Model); loaded {
			return 0
		}
		expectedWait = min(expectedWait, model.LoadTime(c.EngineState.Tier(s.request.Model)))
	}
	if s.waitTime > 0 || time.Since(s.request.ArrivedAt) > time.Second {
		// The load probably started when the request arrived.
		expectedWait = max(0, expectedWait-time.Since(s.request.ArrivedAt))
	}
	return expectedWait
}

// refuseWait returns the refusal of a request that cannot be served before it would have to
// wait for too long.
func (s *session) refuseWait(now time.Time, expectedWait time.Duration) *verdict.Error {
	if untilReopening, ok := s.keptAway.untilReopening(now); ok && untilReopening == expectedWait {
		return newReopeningRefusal(expectedWait)
	}
	if !now.Add(expectedWait).After(s.callerWaitDeadline()) {
		return s.refuseShutdown(now)
	}
	return newRefusal(now, s.request, verdict.NoCapacity, "the model cannot be had in time", expectedWait)
}
