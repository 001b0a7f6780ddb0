package dispatch

import (
	"context"
	stderrors "errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/serverload"
	"github.com/parsleylug/parsleylug/verdict"
)

// ErrShutdown is the cause with which the requests in flight are cancelled when the grace
// period of a node that shuts down is over.
var ErrShutdown = errors.New("the node shuts down")

// errReplaced is the cause with which an attempt is cancelled when another one was first.
var errReplaced = errors.New("another attempt was first")

// endCause names what ended an attempt or a request with the given context: the backend
// server if the context was not cancelled.
func endCause(ctx context.Context) string {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return "Server"
	case stderrors.Is(cause, errReplaced):
		return "Replaced"
	case stderrors.Is(cause, ErrShutdown):
		return "Shutdown"
	case stderrors.Is(cause, context.DeadlineExceeded):
		return "Deadline"
	}
	return "Caller"
}

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
	// estimate is the estimated delay at the server, if isEstimated.
	estimate    serverload.Estimate
	isEstimated bool
	// cachedTokens are the prompt tokens that the server has probably cached. isByCache is true if
	// the server was chosen for them.
	cachedTokens domain.Tokens
	isByCache    bool
	// keptAway describes the servers that were left out because of a restriction.
	keptAway string
}

// logAttempt logs the result of one attempt, what ended it and the data behind the choice of
// its server.
func (s *session) logAttempt(a *attempt, result string) {
	line := s.dispatcher.Logger.Info()
	if a.inputs.keptAway != "" {
		line = line.Str("KeptAway", a.inputs.keptAway)
	}
	s.dispatcher.logShutdown(line, "StartedAfterStopMs", a.startedAt)
	if e := a.inputs.estimate; a.inputs.isEstimated {
		line = line.Int64("QueueMs", e.Queue.Milliseconds()).Int64("PrefillMs", e.Prefill.Milliseconds()).Int64("DistanceMs", e.Distance.Milliseconds()).Int64("CachedTokens", int64(a.inputs.cachedTokens)).Bool("ByCache", a.inputs.isByCache)
	}
	line.Str("Event", "Attempt").Str("Request", string(s.request.ID)).Str("Server", string(a.server.ID)).Str("Zone", string(a.server.Zone)).Str("Result", result).
		Int("Number", a.number).Int("Candidates", a.inputs.candidates).Int("InFlight", a.inputs.attemptsInFlight).Float64("Others", a.inputs.otherLoad).
		Int64("OthersAgeMs", a.inputs.loadAge.Milliseconds()).
		Str("EndedBy", endCause(a.ctx)).Int("Events", a.events).Int64("SilentMs", time.Since(a.lastReceivedAt).Milliseconds()).
		Int64("TookMs", time.Since(a.startedAt).Milliseconds()).Msg("an attempt has ended")
}

// logPanic logs a panic of the goroutine of an attempt.
func (s *session) logPanic(a *attempt, value any) {
	s.dispatcher.Logger.Error().Str("Event", "AttemptPanicked").Str("Request", string(s.request.ID)).Str("Server", string(a.server.ID)).
		Interface("Panic", value).Bytes("Stack", debug.Stack()).Msg("an attempt ended with a panic")
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
		Int64("LinkDelayMs", s.request.LinkDelay.Milliseconds()).Int64("Version", int64(view.Config.Version)).Msg("no server holds what the request needs")
}

// logOutcome logs how the request ended.
func (s *session) logOutcome(o Outcome, e *verdict.Error) {
	line := s.dispatcher.Logger.Info().Str("Event", "RequestEnded").Str("Request", string(s.request.ID)).Stringer("Outcome", o).
		Str("Route", string(s.request.Route.Name)).Str("Service", string(s.request.Service)).Str("Model", string(s.request.Model)).
		Str("Adapter", string(s.request.Adapter)).Str("Server", string(s.latestServer)).Int("Sends", s.attempts).Int("Runs", s.possibleRuns).
		Int64("WaitedMs", s.waitTime.Milliseconds()).Int64("FirstMs", s.timeToResponseStart().Milliseconds()).
		Int64("GoalMs", s.request.Route.LatencyGoal.Milliseconds()).Int64("GapMs", s.longestGap.Milliseconds()).
		Int64("TookMs", time.Since(s.request.ArrivedAt).Milliseconds()).Int64("LastEvent", int64(s.order.last)).Bool("HeadSent", s.headSent)
	if text := s.keptAway.text(time.Now()); text != "" {
		line = line.Str("KeptAway", text)
	}
	if s.refusedTrait != 0 {
		line = line.Str("Trait", fmt.Sprintf("%x", s.refusedTrait))
	}
	if s.quotaCharge != nil {
		line = line.Str("Workspace", string(s.quotaCharge.Workspace)).Float64("QuotaAmount", s.quotaCharge.Amount).Str("QuotaBasis", s.quotaDecision.Basis)
	}
	s.dispatcher.logShutdown(line, "ArrivedAfterStopMs", s.request.ArrivedAt)
	if s.isTimingLogged(o) {
		s.dispatcher.LogTiming(line, s.request.Timing())
	}
	message := "the caller has its answer"
	if e != nil {
		message = e.Message
		line = line.Stringer("Verdict", e.Verdict).Stringer("Reason", e.Reason).Int64("RetryAfterMs", e.RetryAfter.Milliseconds()).
			AnErr("Cause", e.Cause)
	}
	line.Msg(message)
}
