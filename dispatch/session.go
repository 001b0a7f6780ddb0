package dispatch

import (
	"context"
	stderrors "errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// session is the state of one request while it is served.
type session struct {
	d      *Dispatcher
	r      *Request
	caller Caller
	// runs counts the attempts that may have run the request.
	runs int
	// attempts counts all attempts, those refused by a server included.
	attempts int
	// retrySpent is set if the retry budget was already spent on the next attempt.
	retrySpent atomic.Bool
	// avoided holds the servers that failed or refused this request.
	avoided map[domain.ServerID]bool
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// headSent is set once the head of a stream was sent to the caller.
	headSent  bool
	lastEvent EventID
	// resumeDeadline is until when a broken stream may wait for a server to resume it.
	resumeDeadline time.Time
	firstAt        time.Time
	// lastWriteAt is when the caller was last sent part of a stream, longestGap the
	// longest time between two such writes.
	lastWriteAt time.Time
	longestGap  time.Duration
	// attemptStart is when the latest attempt started. lateReported is set once the
	// request was counted as late.
	attemptStart time.Time
	lateReported bool
	// waitTime is how long the request has waited for a server.
	waitTime time.Duration
	server   domain.ServerID
	// chosen is the data behind the latest choice of a server, result the result of that
	// attempt.
	chosen choiceInputs
	result string
	// refusalBackoff is the next wait after every server has refused the request.
	refusalBackoff time.Duration
	// errorResponse is a server's error response, which the caller gets if no attempt
	// succeeds.
	errorResponse *Response
	errorBody     []byte
}

// Serve handles one request until it has ended. The context is cancelled when the caller
// disconnects.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, c Caller) Outcome {
	s := &session{d: d, r: r, caller: c, avoided: map[domain.ServerID]bool{}, lastEvent: r.LastEvent, refusalBackoff: initialRefusalBackoff}
	d.Demand.countArrival(r.key())
	d.countRequest(r.Service)
	withDeadline, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome, err := s.run(withDeadline)
	if ctx.Err() != nil && outcome != Served {
		outcome = Left
	}
	s.logOutcome(outcome, err)
	d.CountRequest(r.Route.Kind, outcome, s.timeToFirst())
	return outcome
}

// timeToFirst returns the time from the arrival of the request to the first part of the
// response, or 0 if there was none.
func (s *session) timeToFirst() time.Duration {
	if s.firstAt.IsZero() {
		return 0
	}
	return s.firstAt.Sub(s.r.ArrivedAt)
}

// run makes attempts until the request has a response or fails for good.
func (s *session) run(ctx context.Context) (Outcome, *verdict.Error) {
	if s.d.standing(s.r.Content) == suspects.Refused {
		return s.refuse(newRefusal(time.Now(), s.r, verdict.Quarantined, "this request was running on several servers when they crashed", 0))
	}
	for {
		server, e := s.pickServer(ctx)
		if e != nil {
			return s.fail(ctx, e)
		}
		if s.attempts > 0 && !s.retrySpent.Swap(false) && !s.d.spendRetry(s.r.Service) {
			s.d.chooser.release(server.ID)
			return s.fail(ctx, newRefusal(time.Now(), s.r, verdict.NoCapacity, "the budget for repeated sendings is used up", time.Second))
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
	if !s.r.Route.IsRetryable() || s.runs >= s.r.Route.MaxAttempts {
		return false
	}
	return s.d.standing(s.r.Content) == suspects.Clean
}

// fail ends a request without a successful response. It forwards a server's error response
// if there is one. Otherwise the error claims NotRun only if no server can have run the
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
		unknown := verdict.UnknownOutcome(reason, "the request may have run, its answer is lost", e)
		s.caller.WriteError(unknown)
		return Failed, unknown
	}
	return s.refuse(e)
}

// refuse ends a request that did not run.
func (s *session) refuse(e *verdict.Error) (Outcome, *verdict.Error) {
	s.d.Demand.countRefusal(s.r.key(), time.Now())
	s.caller.WriteError(e)
	return Refused, e
}

// attempt sends the request to one server. The last result is true if the request has
// ended.
func (s *session) attempt(ctx context.Context, server *fleet.Server) (Outcome, *verdict.Error, bool) {
	start := time.Now()
	s.attemptStart = start
	s.server = server.ID
	s.attempts++
	k := s.r.key()
	s.d.Demand.addRunning(k, 1)
	s.result = "Cut"
	inputs := s.chosen
	defer func() {
		s.logAttempt(server, inputs, start, s.result)
		s.d.chooser.release(server.ID)
		s.d.Demand.addRunning(k, -1)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := s.startTimeout(server, cancel)
	defer timeout.Stop()
	response, err := s.d.Backend.Send(ctx, server, s.r, Attempt{Timeout: s.r.Deadline.Sub(start), LastEvent: s.lastEvent, Priority: s.r.Route.Priority})
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
	s.runs++
	if !response.Verified {
		discard(response)
		return s.handleInvalidResponse(server)
	}
	s.d.chooser.recordResponse(time.Now(), server.ID, time.Since(start), response.Load)
	if response.Events != nil {
		return s.forwardStream(server, response, timeout)
	}
	return s.handleBody(server, response)
}

// startTimeout starts the timer that cancels an attempt without a response, so that the
// request can be sent to another server. If it may not be sent again, the attempt may last
// until the deadline.
func (s *session) startTimeout(server *fleet.Server, cancel context.CancelFunc) *time.Timer {
	if !s.r.Route.IsRetryable() || s.runs+1 >= s.r.Route.MaxAttempts {
		return time.AfterFunc(time.Until(s.r.Deadline)+time.Second, cancel)
	}
	expire := func() {
		// Without retry budget for another attempt, a late response is better than none.
		if s.d.spendHedge(s.r.Service) {
			s.retrySpent.Store(true)
			cancel()
		}
	}
	if s.headSent {
		return time.AfterFunc(streamIdleTimeout, expire)
	}
	goal := s.r.Route.LatencyGoal
	byDelay := timeoutDelayFactor * s.d.chooser.recentDelay(time.Now(), server.ID)
	limit := max(min(max(time.Duration(timeoutGoalShare*float64(goal)), byDelay), timeoutGoalFactor*goal), minimumAttemptTimeout)
	return time.AfterFunc(limit, expire)
}

// recordResult records the result of the current attempt for the log and the metrics.
func (s *session) recordResult(result string) {
	s.result = result
	s.d.CountAttempt(result)
}

// recordFailure records a failed attempt. The request avoids the server until
// waitForChange permits all servers again.
func (s *session) recordFailure(server *fleet.Server, result string) {
	s.avoided[server.ID] = true
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
			s.d.chooser.recordFailure(time.Now(), server.ID, true)
		}
		return 0, e, false
	}
	s.mayHaveRun = true
	s.runs++
	s.recordFailure(server, "Unanswered")
	s.d.chooser.recordNoResponse(time.Now(), server.ID)
	if ctx.Err() == nil {
		go s.d.checkCrash(server, s.r.Content, s.headSent)
	}
	return 0, e, false
}

// handleRefusal records the refusal of a server that did not run the request.
func (s *session) handleRefusal(server *fleet.Server, r *Response) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, r.Refusal.String())
	if r.Refusal == Full {
		s.d.chooser.recordOverload(time.Now(), server)
	}
	if r.Refusal == Elsewhere {
		s.d.chooser.recordMissing(time.Now(), server.ID, s.r.key())
		if s.d.ReportStaleEngineState != nil {
			s.d.ReportStaleEngineState(server.ID)
		}
	}
	return 0, verdict.Refuse(verdict.NoCapacity, "the server did not run the request"), false
}

// handleInvalidResponse records a response that is not verified as one to this request.
func (s *session) handleInvalidResponse(server *fleet.Server) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, "Spoilt")
	s.d.chooser.recordFailure(time.Now(), server.ID, false)
	return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response could not be verified", nil), false
}

// handleBody reads and forwards a response that is not a stream.
func (s *session) handleBody(server *fleet.Server, r *Response) (Outcome, *verdict.Error, bool) {
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	if err != nil {
		s.recordFailure(server, "CutShort")
		s.d.chooser.recordFailure(time.Now(), server.ID, false)
		return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response is incomplete", err), false
	}
	if !r.IsSuccess() {
		return s.handleErrorStatus(server, r, body)
	}
	s.recordResult("Answered")
	s.firstAt = time.Now()
	if s.headSent {
		// A stream whose head was sent cannot continue with a response that is not a
		// stream.
		return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the server did not resume the stream", nil), false
	}
	if err := s.caller.WriteResponse(r, body); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	return Served, nil, true
}

// handleErrorStatus stores the server's error response in case no other server succeeds.
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
	retryable := s.r.Route.IsRetryable() && s.runs < s.r.Route.MaxAttempts
	if retryable {
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
		if retryable {
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

// forward sends part of a stream to the caller, preceded by the head if that was not sent
// yet. Nil bytes end the stream.
func (s *session) forward(r *Response, raw []byte) error {
	now := time.Now()
	if !s.headSent {
		s.headSent = true
		s.firstAt = now
		if err := s.caller.StartStream(r); err != nil {
			return err
		}
	}
	if !s.lastWriteAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
	s.reportLate(now)
	return s.caller.WriteEvent(raw)
}

// reportLate counts the request as late, once, if its response misses the route's goals.
// The owner adds replicas for models with many late requests.
func (s *session) reportLate(now time.Time) {
	goal := s.r.Route.LatencyGoal
	slow := goal > 0 && now.Sub(s.attemptStart) > goal && s.firstAt.Equal(now)
	stalled := s.r.Route.EventGapGoal > 0 && s.longestGap > s.r.Route.EventGapGoal
	if s.lateReported || !slow && !stalled {
		return
	}
	s.lateReported = true
	s.d.Demand.countLate(s.r.key())
}

// finishStream ends a complete stream. It goes through forward since the head is not sent
// yet if the caller already had every event.
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
	s.d.chooser.recordFailure(time.Now(), server.ID, false)
	go s.d.checkCrash(server, s.r.Content, s.headSent)
	return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the stream ended before it was complete", err), false
}
