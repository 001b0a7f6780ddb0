package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// pickServer returns the server for the next attempt and counts a request in flight there.
// If no server can take the request, it waits for one as long as the request can still be
// completed in time.
func (s *session) pickServer(ctx context.Context) (*fleet.Server, *verdict.Error) {
	start := time.Now()
	waiting := false
	s.resumeDeadline = start.Add(s.stallTimeout() - resumeMargin)
	defer func() {
		if waiting {
			s.d.Demand.stopWaiting(s.r.key())
			s.waitTime += time.Since(start)
		}
	}()
	for {
		deadline := s.waitDeadline()
		view := s.d.Views.Get()
		now := time.Now()
		candidates := s.candidates(now, view)
		untried := slices.ContainsFunc(candidates, func(c *fleet.Server) bool { return !s.avoided[c.ID] })
		if untried || len(candidates) > 0 && s.attempts == 0 {
			here := location{zone: s.d.Zone, regions: s.d.Regions}
			server, inputs := s.d.chooser.choose(now, here, candidates, s.r.Prefix, s.avoided)
			s.chosen = inputs
			return server, nil
		}
		expected, e := s.estimateWait(view, candidates)
		if e != nil {
			return nil, e
		}
		if now.Add(expected).After(deadline) {
			return nil, newRefusal(now, s.r, verdict.NoCapacity, "the model cannot be had in time", expected)
		}
		if !waiting {
			waiting = true
			s.logWaiting(view, expected, deadline)
			s.d.Demand.startWaiting(s.r.key())
		}
		if e := s.waitForChange(ctx, view, deadline, len(candidates) > 0); e != nil {
			return nil, e
		}
	}
}

// waitDeadline returns until when the request may wait for a server.
func (s *session) waitDeadline() time.Time {
	deadline := s.r.Deadline.Add(-minimumServiceTime)
	if drainUntil := s.d.drainUntil.Load(); drainUntil != 0 {
		deadline = earlier(deadline, time.Unix(0, drainUntil))
	}
	if s.r.Route.Kind != fleet.Streaming {
		return deadline
	}
	stallDeadline := s.r.ArrivedAt.Add(s.stallTimeout() - refusalMargin)
	if s.headSent {
		stallDeadline = s.resumeDeadline
	}
	return earlier(stallDeadline, deadline)
}

// stallTimeout returns the gap without an event after which the caller of a stream is
// expected to disconnect.
func (s *session) stallTimeout() time.Duration {
	return max(minimumStallTimeout, stallTimeoutGoals*s.r.Route.LatencyGoal, stallTimeoutGaps*s.r.Route.EventGapGoal)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitForChange waits for a newer view. If servers have the model loaded but refused the
// request, it waits for the backoff instead and then permits all servers again.
func (s *session) waitForChange(ctx context.Context, view *View, deadline time.Time, refused bool) *verdict.Error {
	wait, changed := min(time.Until(deadline), viewPollInterval), view.Changed
	if refused {
		wait = min(wait, s.refusalBackoff)
		s.refusalBackoff = min(2*s.refusalBackoff, maximumRefusalBackoff)
		// A newer view does not make room at these servers.
		changed = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return newRefusal(time.Now(), s.r, verdict.DeadlinePassed, "the request was cancelled or reached its deadline", 0)
	case <-changed:
		return nil
	case <-timer.C:
	}
	if refused {
		clear(s.avoided)
	}
	if time.Now().Before(deadline) {
		return nil
	}
	return newRefusal(time.Now(), s.r, verdict.DeadlineTooShort, "the model was not loaded in time", time.Second)
}

// candidates returns the servers that have the model and adapter of the request loaded.
func (s *session) candidates(now time.Time, view *View) []*fleet.Server {
	servers := view.Servers[s.r.Service]
	if s.r.Model == "" {
		return servers
	}
	candidates := make([]*fleet.Server, 0, len(servers))
	for _, c := range servers {
		model, ok := c.EngineState.Find(s.r.Model)
		if ok && model.HasAdapter(s.r.Adapter) && !s.d.chooser.isMissing(now, c.ID, s.r.key()) {
			candidates = append(candidates, c)
		}
	}
	return candidates
}

// estimateWait estimates the time until a server has the model and adapter loaded, or
// returns an error if none will.
func (s *session) estimateWait(view *View, candidates []*fleet.Server) (time.Duration, *verdict.Error) {
	if len(candidates) > 0 {
		return 0, nil
	}
	servers := view.Servers[s.r.Service]
	if view.Config == nil {
		return 0, newRefusal(time.Now(), s.r, verdict.NotReady, "no configuration is known", time.Second)
	}
	if len(servers) == 0 {
		return 0, newRefusal(time.Now(), s.r, verdict.NoCapacity, "the service has no usable backend server", time.Second)
	}
	engine := view.Config.Services[s.r.Service].Engine
	if s.r.Model == "" || engine == nil {
		return 0, nil
	}
	model, ok := engine.Models[s.r.Model]
	if !ok {
		return 0, verdict.Refuse(verdict.UnknownModel, "the model is not in the configuration")
	}
	expected := model.StoreLoadTime
	for _, c := range servers {
		if _, loaded := c.EngineState.Find(s.r.Model); loaded {
			return 0, nil
		}
		expected = min(expected, model.LoadTime(c.EngineState.Tier(s.r.Model)))
	}
	if s.waitTime > 0 || time.Since(s.r.ArrivedAt) > time.Second {
		// The load has probably started already.
		expected = max(0, expected-time.Since(s.r.ArrivedAt))
	}
	return expected, nil
}
