package dispatch

import (
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// choice is what a choice of server was based on.
type choice struct {
	candidates int
	// inFlight is this node's own count at the server, others what the server said
	// of the rest, age old.
	inFlight int
	others   float64
	age      time.Duration
}

// logAttempt tells what became of one sending, and why it went there.
func (s *session) logAttempt(server *fleet.Server, c choice, sent time.Time, result string) {
	s.d.Logger.Info().Str("Event", "Attempt").Str("Request", string(s.r.ID)).Str("Server", string(server.ID)).Str("Zone", string(server.Zone)).Str("Result", result).
		Int("Number", s.sends).Int("Candidates", c.candidates).Int("InFlight", c.inFlight).Float64("Others", c.others).
		Int64("OthersAgeMs", c.age.Milliseconds()).Int64("TookMs", time.Since(sent).Milliseconds()).Msg("a sending has ended")
}

// logWaiting tells that the request waits, and for how long it expects to.
func (s *session) logWaiting(view *View, expected time.Duration, limit time.Time) {
	s.d.Logger.Info().Str("Event", "Waiting").Str("Request", string(s.r.ID)).Str("Model", string(s.r.Model)).Str("Adapter", string(s.r.Adapter)).Int("Servers", len(view.Servers[s.r.Service])).
		Int64("ExpectedMs", expected.Milliseconds()).Int64("AtMostMs", time.Until(limit).Milliseconds()).
		Int64("Version", int64(view.Config.Version)).Msg("no server holds what the request needs")
}

// log tells how the request ended.
func (s *session) log(o Outcome, e *verdict.Error) {
	line := s.d.Logger.Info().Str("Event", "RequestEnded").Str("Request", string(s.r.ID)).Stringer("Outcome", o).
		Str("Route", string(s.r.Route.Name)).Str("Service", string(s.r.Service)).Str("Model", string(s.r.Model)).
		Str("Adapter", string(s.r.Adapter)).Str("Server", string(s.server)).Int("Sends", s.sends).Int("Runs", s.runs).
		Int64("WaitedMs", s.waited.Milliseconds()).Int64("FirstMs", s.firstAfter().Milliseconds()).
		Int64("GoalMs", s.r.Route.LatencyGoal.Milliseconds()).Int64("GapMs", s.gap.Milliseconds()).
		Int64("TookMs", time.Since(s.r.Arrived).Milliseconds()).Int64("LastEvent", int64(s.last))
	message := "the caller has its answer"
	if e != nil {
		message = e.Message
		line = line.Stringer("Verdict", e.Verdict).Stringer("Reason", e.Reason).Int64("RetryAfterMs", e.RetryAfter.Milliseconds()).
			AnErr("Cause", e.Cause)
	}
	line.Msg(message)
}
