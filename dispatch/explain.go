package dispatch

import (
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// choiceInputs are the data behind the choice of a server, for the log.
type choiceInputs struct {
	candidates int
	// inFlight is the number of this node's requests at the server, otherLoad the reported
	// load beyond them, loadAge the age of that report.
	inFlight  int
	otherLoad float64
	loadAge   time.Duration
}

// logAttempt logs the result of one attempt and the data behind the choice of its server.
func (s *session) logAttempt(server *fleet.Server, inputs choiceInputs, start time.Time, result string) {
	s.d.Logger.Info().Str("Event", "Attempt").Str("Request", string(s.r.ID)).Str("Server", string(server.ID)).Str("Zone", string(server.Zone)).Str("Result", result).
		Int("Number", s.attempts).Int("Candidates", inputs.candidates).Int("InFlight", inputs.inFlight).Float64("Others", inputs.otherLoad).
		Int64("OthersAgeMs", inputs.loadAge.Milliseconds()).Int64("TookMs", time.Since(start).Milliseconds()).Msg("an attempt has ended")
}

// logWaiting logs that the request waits for a model or adapter, with the estimated and
// the longest permitted wait.
func (s *session) logWaiting(view *View, expected time.Duration, limit time.Time) {
	s.d.Logger.Info().Str("Event", "Waiting").Str("Request", string(s.r.ID)).Str("Model", string(s.r.Model)).Str("Adapter", string(s.r.Adapter)).Int("Servers", len(view.Servers[s.r.Service])).
		Int64("ExpectedMs", expected.Milliseconds()).Int64("AtMostMs", time.Until(limit).Milliseconds()).
		Int64("Version", int64(view.Config.Version)).Msg("no server holds what the request needs")
}

// logOutcome logs how the request ended.
func (s *session) logOutcome(o Outcome, e *verdict.Error) {
	line := s.d.Logger.Info().Str("Event", "RequestEnded").Str("Request", string(s.r.ID)).Stringer("Outcome", o).
		Str("Route", string(s.r.Route.Name)).Str("Service", string(s.r.Service)).Str("Model", string(s.r.Model)).
		Str("Adapter", string(s.r.Adapter)).Str("Server", string(s.server)).Int("Sends", s.attempts).Int("Runs", s.runs).
		Int64("WaitedMs", s.waitTime.Milliseconds()).Int64("FirstMs", s.timeToFirst().Milliseconds()).
		Int64("GoalMs", s.r.Route.LatencyGoal.Milliseconds()).Int64("GapMs", s.longestGap.Milliseconds()).
		Int64("TookMs", time.Since(s.r.ArrivedAt).Milliseconds()).Int64("LastEvent", int64(s.lastEvent))
	message := "the caller has its answer"
	if e != nil {
		message = e.Message
		line = line.Stringer("Verdict", e.Verdict).Stringer("Reason", e.Reason).Int64("RetryAfterMs", e.RetryAfter.Milliseconds()).
			AnErr("Cause", e.Cause)
	}
	line.Msg(message)
}
