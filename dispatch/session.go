package dispatch

import (
	"context"
	stderrors "errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// maximumBody limits the body of a response that is not a stream. The whole body is held in
// memory until it is complete.
const maximumBody = 8 * domain.Mebibyte

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

// discard closes the body and the events of a response.
func discard(r *Response) {
	if r.Events != nil {
		r.Events.Close()
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// handleNoResponse records an attempt that failed without a response.
func (s *session) handleNoResponse(ctx context.Context, server *fleet.Server, e *verdict.Error) (Outcome, *verdict.Error, bool) {
	if e.Verdict == verdict.NotRun {
		s.recordFailure(server, "Unreached")
		if ctx.Err() == nil {
			s.dispatcher.chooser.recordFailure(time.Now(), server.ID, true)
		}
		return 0, e, false
	}
	s.mayHaveRun = true
	s.possibleRuns++
	s.recordFailure(server, "Unanswered")
	s.dispatcher.chooser.recordNoResponse(time.Now(), server.ID)
	if ctx.Err() == nil {
		go s.dispatcher.checkCrash(server, s.request.Content, s.headSent)
	}
	return 0, e, false
}

// handleRefusal records the refusal of a server that did not run the request.
func (s *session) handleRefusal(server *fleet.Server, r *Response) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, r.Refusal.String())
	if r.Refusal == Full {
		s.dispatcher.chooser.recordOverload(time.Now(), server)
	}
	if r.Refusal == Elsewhere {
		s.dispatcher.chooser.recordMissing(time.Now(), server.ID, s.request.key())
		if s.dispatcher.ReportStaleEngineState != nil {
			s.dispatcher.ReportStaleEngineState(server.ID)
		}
	}
	return 0, verdict.Refuse(verdict.NoCapacity, "the server did not run the request"), false
}

// handleInvalidResponse records a response that is not verified.
func (s *session) handleInvalidResponse(server *fleet.Server) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, "Spoilt")
	s.dispatcher.chooser.recordFailure(time.Now(), server.ID, false)
	return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response could not be verified", nil), false
}

// handleBody reads and forwards a response that is not a stream.
func (s *session) handleBody(server *fleet.Server, r *Response) (Outcome, *verdict.Error, bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(maximumBody)+1))
	_ = r.Body.Close()
	if err == nil && len(body) > int(maximumBody) {
		err = errors.Errorf("the body is longer than %d bytes", maximumBody)
	}
	if err != nil {
		s.recordFailure(server, "CutShort")
		s.dispatcher.chooser.recordFailure(time.Now(), server.ID, false)
		return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response is incomplete", err), false
	}
	if !r.IsSuccess() {
		return s.handleErrorStatus(server, r, body)
	}
	s.recordResult("Answered")
	s.responseStartedAt = time.Now()
	if s.headSent {
		// A response that is not a stream cannot continue a stream.
		return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the server did not resume the stream", nil), false
	}
	if err := s.caller.WriteResponse(r, body); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	return Served, nil, true
}

// handleErrorStatus stores an error response, which is forwarded if no other attempt
// succeeds.
func (s *session) handleErrorStatus(server *fleet.Server, r *Response, body []byte) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, "FailedThere")
	e := verdict.UnknownOutcome(verdict.BackendFailed, "the server returned an error response", nil)
	if s.headSent {
		return 0, e, false
	}
	s.errorResponse, s.errorBody = r, body
	return 0, e, false
}

// forwardStream forwards events to the caller until the stream ends or breaks. It skips
// events that the caller has already received.
func (s *session) forwardStream(server *fleet.Server, r *Response, timeout *time.Timer) (Outcome, *verdict.Error, bool) {
	defer r.Events.Close()
	isRetryable := s.request.Route.IsRetryable() && s.possibleRuns < s.request.Route.MaxAttempts
	if isRetryable {
		timeout.Reset(streamIdleTimeout)
	}
	for {
		event, err := r.Events.Next()
		if stderrors.Is(err, io.EOF) {
			return s.finishStream(r)
		}
		if err != nil {
			return s.handleBrokenStream(server, err)
		}
		if isRetryable {
			timeout.Reset(streamIdleTimeout)
		}
		if event.ID != 0 && event.ID <= s.lastEvent {
			continue
		}
		if err := s.forward(r, event.Raw); err != nil {
			return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
		}
		if event.ID != 0 {
			s.lastEvent = event.ID
		}
	}
}

// forward sends part of a stream to the caller. If the head was not sent yet, forward
// sends it first. Nil bytes end the stream.
func (s *session) forward(r *Response, raw []byte) error {
	now := time.Now()
	if !s.headSent {
		s.headSent = true
		s.responseStartedAt = now
		if err := s.caller.StartStream(r); err != nil {
			return err
		}
	}
	if !s.lastWriteAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
	s.countIfLate(now)
	return s.caller.WriteEvent(raw)
}

// countIfLate counts the request as late, at most once, if its stream misses the goals of
// the route. The owner adds replicas for models with many late responses.
func (s *session) countIfLate(now time.Time) {
	goal := s.request.Route.LatencyGoal
	missesLatencyGoal := goal > 0 && now.Sub(s.attemptStart) > goal && s.responseStartedAt.Equal(now)
	missesGapGoal := s.request.Route.EventGapGoal > 0 && s.longestGap > s.request.Route.EventGapGoal
	if s.isCountedLate || !missesLatencyGoal && !missesGapGoal {
		return
	}
	s.isCountedLate = true
	s.dispatcher.Demand.countLate(s.request.key())
}

// finishStream ends a complete stream. If the caller had received every event before,
// forward still has to send the head.
func (s *session) finishStream(r *Response) (Outcome, *verdict.Error, bool) {
	if err := s.forward(r, nil); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	s.recordResult("Answered")
	return Served, nil, true
}

// handleBrokenStream records a stream that broke and checks whether its server crashed.
func (s *session) handleBrokenStream(server *fleet.Server, err error) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, "BrokenOff")
	s.dispatcher.chooser.recordFailure(time.Now(), server.ID, false)
	go s.dispatcher.checkCrash(server, s.request.Content, s.headSent)
	return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the stream ended before it was complete", err), false
}
