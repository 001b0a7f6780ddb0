package dispatch

import (
	"context"
	stderrors "errors"
	"sync/atomic"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// session handles one request.
type session struct {
	dispatcher *Dispatcher
	request    *Request
	caller     Caller
	// possibleRuns is the number of attempts that may have run the request.
	possibleRuns int
	// attempts is the number of all attempts, including those that a server refused.
	attempts int
	// nextRetryPaid is true if the retry budget for the next attempt was already spent
	// when the latest attempt timed out.
	nextRetryPaid atomic.Bool
	// avoidedServers holds the servers that failed or refused this request since the last
	// refusal backoff.
	avoidedServers map[domain.ServerID]bool
	// mayHaveRun is true once a server may have run the request.
	mayHaveRun bool
	// headSent is true once the head of a stream was sent to the caller.
	headSent bool
	// lastEvent is the last event that the caller has received, 0 for none.
	lastEvent EventID
	// resumeDeadline is the time at which a broken stream stops waiting for a server to
	// resume it.
	resumeDeadline time.Time
	// responseStartedAt is when the first part of the response was available; zero
	// before.
	responseStartedAt time.Time
	// lastWriteAt is when part of a stream was last sent to the caller. longestGap is the
	// longest time between two such writes.
	lastWriteAt time.Time
	longestGap  time.Duration
	// attemptStart is when the latest attempt started. isCountedLate is true once the
	// request was counted as late.
	attemptStart  time.Time
	isCountedLate bool
	// waitTime is the total time for which the request has waited for a server.
	waitTime time.Duration
	// keptAway is what kept the request away from servers.
	keptAway keptAway
	// latestServer is the server of the latest attempt, choiceInputs the data behind its
	// choice and attemptResult the result of the attempt.
	latestServer  domain.ServerID
	choiceInputs  choiceInputs
	attemptResult string
	// refusalBackoff is the duration of the next wait after every candidate has refused or
	// failed the request.
	refusalBackoff time.Duration
	// errorResponse is the latest error response of a server, with its body. The caller
	// gets it if no attempt succeeds.
	errorResponse *Response
	errorBody     []byte
}

// Serve handles one request until it has ended. The context is cancelled when the caller
// disconnects.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, c Caller) Outcome {
	s := &session{dispatcher: d, request: r, caller: c, avoidedServers: map[domain.ServerID]bool{}, lastEvent: r.LastEvent, refusalBackoff: initialRefusalBackoff}
	d.Demand.countArrival(r.key())
	d.countRequest(r.Service)
	withDeadline, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome, err := s.run(withDeadline)
	if ctx.Err() != nil && outcome != Served {
		outcome = Left
	}
	s.logOutcome(outcome, err)
	d.CountRequest(r.Route.Kind, outcome, s.timeToResponseStart())
	return outcome
}

// timeToResponseStart returns the time from the arrival of the request to the first part
// of the response, or 0 if there was no response.
func (s *session) timeToResponseStart() time.Duration {
	if s.responseStartedAt.IsZero() {
		return 0
	}
	return s.responseStartedAt.Sub(s.request.ArrivedAt)
}

// run makes attempts until the request has a response or has failed for good.
func (s *session) run(ctx context.Context) (Outcome, *verdict.Error) {
	if s.dispatcher.standing(s.request.Content) == suspects.Refused {
		return s.refuse(newRefusal(time.Now(), s.request, verdict.Quarantined, "this request was running on several servers when they crashed", 0))
	}
	for {
		server, e := s.pickServer(ctx)
		if e != nil {
			return s.fail(ctx, e)
		}
		if s.attempts > 0 && !s.nextRetryPaid.Swap(false) && !s.dispatcher.spendRetry(s.request.Service) {
			s.dispatcher.chooser.release(server.ID)
			return s.fail(ctx, newRefusal(time.Now(), s.request, verdict.NoCapacity, "the budget for repeated sendings is used up", time.Second))
		}
		outcome, e, done := s.attempt(ctx, server)
		if done {
			return outcome, e
		}
		if !s.canRetry(ctx, e) {
			return s.fail(ctx, e)
		}
	}
}

// canRetry reports whether the request may be sent again after a failed attempt.
func (s *session) canRetry(ctx context.Context, e *verdict.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if e.Verdict == verdict.NotRun {
		return true
	}
	if !s.request.Route.IsRetryable() || s.possibleRuns >= s.request.Route.MaxAttempts {
		return false
	}
	return s.dispatcher.standing(s.request.Content) == suspects.Clean
}

// fail ends a request without a successful response. It aborts the stream if its head was
// sent, or else forwards the latest error response of a server if there is one. Otherwise
// it writes an error, which has the verdict NotRun only if no server can have run the
// request.
func (s *session) fail(ctx context.Context, e *verdict.Error) (Outcome, *verdict.Error) {
	if s.headSent {
		s.caller.Abort()
		return Broken, e
	}
	if s.errorResponse != nil {
		if err := s.caller.WriteResponse(s.errorResponse, s.errorBody); err != nil {
			return Left, e
		}
		return FailedThere, e
	}
	if s.mayHaveRun {
		reason := e.Reason
		if e.Verdict == verdict.NotRun || reason == verdict.Unknown {
			reason = verdict.BackendFailed
		}
		if stderrors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = verdict.DeadlinePassed
		}
		unknownOutcome := verdict.UnknownOutcome(reason, "the request may have run, its answer is lost", e)
		s.caller.WriteError(unknownOutcome)
		return Failed, unknownOutcome
	}
	return s.refuse(e)
}

// refuse ends a request that did not run at any server. Its caller is expected to retry
// it.
func (s *session) refuse(e *verdict.Error) (Outcome, *verdict.Error) {
	s.dispatcher.Demand.countRefusal(s.request.key(), time.Now())
	s.caller.WriteError(e)
	return Refused, e
}

// attempt sends the request to one server. The last result is true if the request has
// ended.
func (s *session) attempt(ctx context.Context, server *fleet.Server) (Outcome, *verdict.Error, bool) {
	start := time.Now()
	s.attemptStart = start
	s.latestServer = server.ID
	s.attempts++
	k := s.request.key()
	s.dispatcher.Demand.addRunning(k, 1)
	s.attemptResult = "Cut"
	inputs := s.choiceInputs
	defer func() {
		s.logAttempt(server, inputs, start, s.attemptResult)
		s.dispatcher.chooser.release(server.ID)
		s.dispatcher.Demand.addRunning(k, -1)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := s.startTimeout(server, cancel)
	defer timeout.Stop()
	response, err := s.dispatcher.Backend.Send(ctx, server, s.request, Attempt{Timeout: s.request.Deadline.Sub(start), LastEvent: s.lastEvent, Priority: s.request.Route.Priority})
	if err != nil {
		return s.handleNoResponse(ctx, server, verdict.Of(err))
	}
	if !timeout.Stop() && ctx.Err() != nil {
		// The timeout expired just as the response arrived.
		discard(response)
		return s.handleNoResponse(ctx, server, verdict.UnknownOutcome(verdict.BackendFailed, "no response from the server before the attempt timed out", nil))
	}
	if response.Refusal != NotRefused {
		discard(response)
		return s.handleRefusal(server, response)
	}
	s.mayHaveRun = true
	s.possibleRuns++
	if !response.Verified {
		discard(response)
		return s.handleInvalidResponse(server)
	}
	s.dispatcher.chooser.recordResponse(time.Now(), server.ID, time.Since(start), response.Load)
	if response.Events != nil {
		return s.forwardStream(server, response, timeout)
	}
	return s.handleBody(server, response)
}

// startTimeout starts the timer that cancels an attempt without a response, so that the
// request can be sent to another server. If the request must not run again, the timer
// expires only after the deadline.
func (s *session) startTimeout(server *fleet.Server, cancel context.CancelFunc) *time.Timer {
	if !s.request.Route.IsRetryable() || s.possibleRuns+1 >= s.request.Route.MaxAttempts {
		return time.AfterFunc(time.Until(s.request.Deadline)+time.Second, cancel)
	}
	expire := func() {
		// Without retry budget for another attempt, a late response is better than none.
		if s.dispatcher.spendHedge(s.request.Service) {
			s.nextRetryPaid.Store(true)
			cancel()
		}
	}
	if s.headSent {
		return time.AfterFunc(streamIdleTimeout, expire)
	}
	latencyGoal := s.request.Route.LatencyGoal
	timeoutByResponseTime := timeoutResponseTimeFactor * s.dispatcher.chooser.recentResponseTime(time.Now(), server.ID)
	timeout := max(min(max(time.Duration(timeoutGoalShare*float64(latencyGoal)), timeoutByResponseTime), timeoutGoalFactor*latencyGoal), minimumAttemptTimeout)
	return time.AfterFunc(timeout, expire)
}

// recordResult records the result of the latest attempt for the log and the metrics.
func (s *session) recordResult(result string) {
	s.attemptResult = result
	s.dispatcher.CountAttempt(result)
}

// recordFailure records an attempt that failed or was refused. Its server is avoided
// until waitForChange permits all servers again.
func (s *session) recordFailure(server *fleet.Server, result string) {
	s.avoidedServers[server.ID] = true
	s.recordResult(result)
}
