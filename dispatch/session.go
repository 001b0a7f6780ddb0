package dispatch

import (
	"context"
	stderrors "errors"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// session handles one request. An attempt receives on the goroutine of the session, and one
// that is started beside it on a goroutine of its own. What an attempt receives is handled
// where it is received.
type session struct {
	// mu guards the session and its attempts while attempts run.
	mu         sync.Mutex
	dispatcher *Dispatcher
	request    *Request
	caller     Caller
	// demandKey is what the request counts as in the demand.
	demandKey placement.ModelKey
	// begunAt is when the whole request, with its body, was there.
	begunAt time.Time
	// possibleRuns is the number of attempts that may have run the request.
	possibleRuns int
	// attempts is the number of all attempts, including those that a server refused.
	attempts int
	// measured is set from the first attempt on, unless the request is only the rest of a
	// stream.
	measured *measuredRequest
	// avoidedServers holds the servers that failed or refused this request since the last
	// refusal backoff.
	avoidedServers map[domain.ServerID]bool
	// mayHaveRun is true once a server may have run the request.
	mayHaveRun bool
	// headSent is true once the head of a stream, or of a body that is passed on while it
	// arrives, was sent to the caller. isPassedOn is true in the second case, in which the
	// request is not sent again.
	headSent, isPassedOn bool
	// order joins the streams of the attempts.
	order eventOrder
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
	// isCountedLate is true once the request was counted as late.
	isCountedLate bool
	// isWaiting is true while the request waits for a server. room and waiter are set while it needs
	// room at servers that report their load.
	isWaiting bool
	room      *room
	waiter    *waiter
	// waitTime is the total time for which the request has waited for a server.
	waitTime time.Duration
	// keptAway is what kept the request away from servers.
	keptAway keptAway
	// latestServer is the server of the latest attempt, or of the one whose response the
	// caller gets; choiceInputs is the data behind the latest choice.
	latestServer domain.ServerID
	choiceInputs choiceInputs
	// latestEnd is what ended the latest attempt; empty before.
	latestEnd string
	// running are the attempts that have not ended, at most maximumRunningAttempts, the
	// oldest first.
	running []*attempt
	// ending is the end of the request, or the latest failure of an attempt. settled is
	// signalled when the request has ended or no attempt runs.
	ending  ending
	settled sync.Cond
	// silence expires when the server of the running attempt has been silent for too long.
	// silent is the attempt beside which another one was started for that reason; nil if it
	// has gone on since.
	silence silenceTimer
	silent  *attempt
	// next is the latest attempt whose response has begun beside another attempt.
	next *attempt
	// refusalBackoff is the duration of the next wait after every candidate has refused or
	// failed the request.
	refusalBackoff time.Duration
	// errorResponse is the latest error response of a server, with its body. The caller
	// gets it if no attempt succeeds.
	errorResponse *Response
	errorBody     [][]byte
	// quotaCharge is what the request is charged; nil if it has no quota. quotaDecision is the latest
	// decision on it.
	quotaCharge   *QuotaCharge
	quotaDecision QuotaDecision
	// refusedTrait is the trait for which the request was refused; 0 if it was not.
	refusedTrait suspects.Trait
	// bodies hold the responses that were read whole. They are released when the session is
	// closed, which isClosed tells.
	bodies   []*buffers.Buffer
	isClosed bool
}

func newSession(d *Dispatcher, r *Request, c Caller) *session {
	s := &session{
		dispatcher: d, request: r, caller: c, begunAt: time.Now(), avoidedServers: map[domain.ServerID]bool{}, order: eventOrder{last: r.LastEvent, step: d.eventSteps.of(r.Service)},
		refusalBackoff: initialRefusalBackoff,
	}
	s.settled.L = &s.mu
	s.demandKey = r.demandKey(d.Views.Get())
	s.quotaCharge = d.quotaCharge(r)
	return s
}

// close ends the attempts that still run when the request has ended, and releases its memory.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.running) > 0 {
		s.end(s.running[0], "Cut")
	}
	s.isClosed = true
	s.dispatcher.durations.forget(s.measured)
	for _, b := range s.bodies {
		b.Release()
	}
}

// Serve handles one request until it has ended. The context is cancelled when the caller
// disconnects.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, c Caller) Outcome {
	s := newSession(d, r, c)
	defer s.close()
	withDeadline, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome, err := s.serveWithinQuota(withDeadline)
	s.recordDuration(time.Now(), outcome)
	if ctx.Err() != nil && outcome != Served && !stderrors.Is(context.Cause(ctx), ErrShutdown) {
		outcome = Left
	}
	s.logOutcome(outcome, err)
	d.CountRequest(r.Route.Kind, outcome, s.timeToResponseStart())
	s.countEnd(time.Now(), outcome)
	return outcome
}

// recordDuration records how long the request took, unless it did not run.
func (s *session) recordDuration(now time.Time, o Outcome) {
	if o != Refused && s.measured != nil {
		s.dispatcher.durations.end(now, s.measured, o == Served)
	}
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
	for {
		server, e := s.pickServer(ctx)
		if e != nil {
			return s.fail(ctx, e)
		}
		if e := s.admit(); e != nil {
			s.dispatcher.chooser.release(server, s.request)
			return s.fail(ctx, e)
		}
		if s.attempts == 0 {
			// The request may have waited since it was charged.
			if e := s.takeQuota(ctx); e != nil {
				s.dispatcher.chooser.release(server, s.request)
				return s.fail(ctx, e)
			}
		}
		if s.attempts > 0 && !s.dispatcher.spendRetry(s.request.Service) {
			s.dispatcher.chooser.release(server, s.request)
			return s.fail(ctx, newRefusal(time.Now(), s.request, verdict.NoCapacity, "the budget for repeated sendings is used up", time.Second))
		}
		outcome, e, done := s.attempt(ctx, server)
		if done {
			return outcome, e
		}
		if !s.canRetry(ctx) {
			return s.fail(ctx, e)
		}
	}
}

// canRetry reports whether the request may be sent again after its last attempt failed.
func (s *session) canRetry(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	if !s.mayHaveRun {
		return true
	}
	if s.isPassedOn {
		return false
	}
	if !s.request.Route.IsRetryable() || s.possibleRuns >= s.request.Route.MaxAttempts {
		return false
	}
	return s.dispatcher.standing(s.request.Content) == suspects.Clean
}

// fail ends a request without a successful response. It aborts the response if its head was
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
	if e.Reason != verdict.Quarantined && e.Reason != verdict.LimitReached {
		s.dispatcher.Demand.countRefusal(s.demandKey, time.Now())
	}
	s.caller.WriteError(e)
	return Refused, e
}
