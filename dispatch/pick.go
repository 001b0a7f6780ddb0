package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// pick returns a server for the next sending and counts the request in flight
// there. It waits while a model or adapter is being loaded, for as long as that
// can still serve the caller.
func (s *session) pick(ctx context.Context) (*fleet.Server, *verdict.Error) {
	began := time.Now()
	waiting := false
	s.resumeBy = began.Add(s.patience() - resumeMargin)
	defer func() {
		if waiting {
			s.d.Demand.stopWaiting(s.r.key())
			s.waited += time.Since(began)
		}
	}()
	for {
		limit := s.waitLimit()
		view := s.d.Views.Get()
		now := time.Now()
		candidates := s.candidates(now, view)
		fresh := slices.ContainsFunc(candidates, func(c *fleet.Server) bool { return !s.avoid[c.ID] })
		if fresh || len(candidates) > 0 && s.sends == 0 {
			p := place{zone: s.d.Zone, regions: s.d.Regions}
			server, chosen := s.d.chooser.choose(now, p, candidates, s.r.Prefix, s.avoid)
			s.chosen = chosen
			return server, nil
		}
		expected, e := s.expect(view, candidates)
		if e != nil {
			return nil, e
		}
		if now.Add(expected).After(limit) {
			return nil, refusal(now, s.r, verdict.NoCapacity, "the model cannot be had in time", expected)
		}
		if !waiting {
			waiting = true
			s.logWaiting(view, expected, limit)
			s.d.Demand.wait(s.r.key())
		}
		if e := s.await(ctx, view, limit, len(candidates) > 0); e != nil {
			return nil, e
		}
	}
}

// waitLimit is until when the request may wait for a server.
func (s *session) waitLimit() time.Time {
	limit := s.r.Deadline.Add(-leastLeft)
	if leaving := s.d.leaving.Load(); leaving != 0 {
		limit = earlier(limit, time.Unix(0, leaving))
	}
	if s.r.Route.Kind != fleet.Streaming {
		return limit
	}
	left := s.r.Arrived.Add(s.patience() - patienceMargin)
	if s.begun {
		left = s.resumeBy
	}
	return earlier(left, limit)
}

// patience is after how long without an event the caller of a stream leaves.
func (s *session) patience() time.Duration {
	return max(shortestPatience, patienceGoals*s.r.Route.LatencyGoal, patienceGaps*s.r.Route.EventGapGoal)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// await waits for a newer view. Where servers hold the model but refused, they
// are tried again after a pause.
func (s *session) await(ctx context.Context, view *View, limit time.Time, refused bool) *verdict.Error {
	wait, changed := min(time.Until(limit), lookAgain), view.Changed
	if refused {
		wait = min(wait, s.turnedAwayWait)
		s.turnedAwayWait = min(2*s.turnedAwayWait, longestTurnedAway)
		// A newer view does not make room there.
		changed = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return refusal(time.Now(), s.r, verdict.DeadlinePassed, "the time for the request is over", 0)
	case <-changed:
		return nil
	case <-timer.C:
	}
	if refused {
		clear(s.avoid)
	}
	if time.Now().Before(limit) {
		return nil
	}
	return refusal(time.Now(), s.r, verdict.DeadlineTooShort, "the model was not loaded in time", time.Second)
}

// candidates are the servers that hold what the request needs.
func (s *session) candidates(now time.Time, view *View) []*fleet.Server {
	servers := view.Servers[s.r.Service]
	if s.r.Model == "" {
		return servers
	}
	list := make([]*fleet.Server, 0, len(servers))
	for _, c := range servers {
		held, ok := c.EngineState.Find(s.r.Model)
		if ok && held.HasAdapter(s.r.Adapter) && !s.d.chooser.lacks(now, c.ID, s.r.key()) {
			list = append(list, c)
		}
	}
	return list
}

// expect estimates how long it takes until a server holds what the request
// needs, or returns why none will.
func (s *session) expect(view *View, candidates []*fleet.Server) (time.Duration, *verdict.Error) {
	if len(candidates) > 0 {
		return 0, nil
	}
	servers := view.Servers[s.r.Service]
	if view.Config == nil {
		return 0, refusal(time.Now(), s.r, verdict.NotReady, "no configuration is known", time.Second)
	}
	if len(servers) == 0 {
		return 0, refusal(time.Now(), s.r, verdict.NoCapacity, "the service has no server", time.Second)
	}
	engine := view.Config.Services[s.r.Service].Engine
	if s.r.Model == "" || engine == nil {
		return 0, nil
	}
	model, ok := engine.Models[s.r.Model]
	if !ok {
		return 0, verdict.Refuse(verdict.UnknownModel, "the configuration has no such model")
	}
	expected := model.StoreLoadTime
	for _, c := range servers {
		if _, held := c.EngineState.Find(s.r.Model); held {
			return 0, nil
		}
		expected = min(expected, model.LoadTime(c.EngineState.Tier(s.r.Model)))
	}
	if s.waited > 0 || time.Since(s.r.Arrived) > time.Second {
		// The load has probably begun.
		expected = max(0, expected-time.Since(s.r.Arrived))
	}
	return expected, nil
}
