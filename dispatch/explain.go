package dispatch

import (
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// choiceInputs is the data behind the choice of a server, for the log.
type choiceInputs struct {
	// candidates is the number of servers among which the choice was made.
	candidates int
	// attemptsInFlight is the number of this node's other attempts at the server,
	// otherLoad the load that the server reported beyond them and loadAge the age of that
	// report.
	attemptsInFlight int
	otherLoad        float64
	loadAge          time.Duration
	// keptAway describes the servers that were left out because of a restriction.
	keptAway string
}

// logAttempt logs the result of one attempt and the data behind the choice of its server.
func (s *session) logAttempt(server *fleet.Server, inputs choiceInputs, start time.Time, result string) {
	line := s.dispatcher.Logger.Info()
	if inputs.keptAway != "" {
		line = line.Str("KeptAway", inputs.keptAway)
	}
	line.Str("Event", "Attempt").Str("Request", string(s.request.ID)).Str("Server", string(server.ID)).Str("Zone", string(server.Zone)).Str("Result", result).
		Int("Number", s.attempts).Int("Candidates", inputs.candidates).Int("InFlight", inputs.attemptsInFlight).Float64("Others", inputs.otherLoad).
		Int64("OthersAgeMs", inputs.loadAge.Milliseconds()).Int64("TookMs", time.Since(start).Milliseconds()).Msg("an attempt has ended")
}

// logWaiting logs that the request waits for a server with its model or adapter, how long
// the wait is expected to be and how long it may be.
func (s *session) logWaiting(view *View, expected time.Duration, deadline time.Time) {
	line := s.dispatcher.Logger.Info()
	if text := s.keptAway.text(time.Now()); text != "" {
		line = line.Str("KeptAway", text)
	}
	line.Str("Event", "Waiting").Str("Request", string(s.request.ID)).Str("Model", string(s.request.Model)).Str("Adapter", string(s.request.Adapter)).Int("Servers", len(view.Servers[s.request.Service])).
		Int64("ExpectedMs", expected.Milliseconds()).Int64("AtMostMs", time.Until(deadline).Milliseconds()).
		Int64("Version", int64(view.Config.Version)).Msg("no server holds what the request needs")
}

// logOutcome logs how the request ended.
func (s *session) logOutcome(o Outcome, e *verdict.Error) {
	line := s.dispatcher.Logger.Info().Str("Event", "RequestEnded").Str("Request", string(s.request.ID)).Stringer("Outcome", o).
		Str("Route", string(s.request.Route.Name)).Str("Service", string(s.request.Service)).Str("Model", string(s.request.Model)).
		Str("Adapter", string(s.request.Adapter)).Str("Server", string(s.latestServer)).Int("Sends", s.attempts).Int("Runs", s.possibleRuns).
		Int64("WaitedMs", s.waitTime.Milliseconds()).Int64("FirstMs", s.timeToResponseStart().Milliseconds()).
		Int64("GoalMs", s.request.Route.LatencyGoal.Milliseconds()).Int64("GapMs", s.longestGap.Milliseconds()).
		Int64("TookMs", time.Since(s.request.ArrivedAt).Milliseconds()).Int64("LastEvent", int64(s.lastEvent))
	if text := s.keptAway.text(time.Now()); text != "" {
		line = line.Str("KeptAway", text)
	}
	message := "the caller has its answer"
	if e != nil {
		message = e.Message
		line = line.Stringer("Verdict", e.Verdict).Stringer("Reason", e.Reason).Int64("RetryAfterMs", e.RetryAfter.Milliseconds()).
			AnErr("Cause", e.Cause)
	}
	line.Msg(message)
}
