package dispatch

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/verdict"
)

// countRun records that a server may have run the request.
func (s *session) countRun() {
	s.mayHaveRun = true
	s.possibleRuns++
}

// handleNoResponse records an attempt that failed without a response.
func (s *session) handleNoResponse(ctx context.Context, a *attempt, e *verdict.Error) *verdict.Error {
	if e.Verdict == verdict.NotRun {
		s.endFailed(a, "Unreached")
		if ctx.Err() == nil {
			s.dispatcher.chooser.recordFailure(time.Now(), a.server.ID, true)
		}
		return e
	}
	s.countRun()
	s.endFailed(a, "Unanswered")
	s.dispatcher.chooser.recordNoResponse(time.Now(), a.server.ID)
	if ctx.Err() == nil {
		go s.dispatcher.checkCrash(a.server, s.request.Content, s.headSent)
	}
	return e
}

// handleWholeResponse handles a response that is not a stream, or one that is not forwarded.
func (s *session) handleWholeResponse(a arrival) (Outcome, *verdict.Error, bool) {
	if a.response.Refusal != NotRefused {
		return 0, s.handleRefusal(a.attempt, a.response), false
	}
	s.countRun()
	if !a.response.Verified {
		s.endFailed(a.attempt, "Spoilt")
		s.dispatcher.chooser.recordFailure(time.Now(), a.attempt.server.ID, false)
		return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response could not be verified", nil), false
	}
	s.dispatcher.chooser.recordResponse(time.Now(), a.attempt.server.ID, a.receivedAt.Sub(a.attempt.startedAt), a.response.Load)
	if a.err != nil {
		s.endFailed(a.attempt, "CutShort")
		s.dispatcher.chooser.recordFailure(time.Now(), a.attempt.server.ID, false)
		return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's response is incomplete", a.err), false
	}
	if !a.response.IsSuccess() {
		return 0, s.handleErrorStatus(a), false
	}
	return s.forwardWhole(a)
}

// handleRefusal records the refusal of a server that did not run the request.
func (s *session) handleRefusal(a *attempt, r *Response) *verdict.Error {
	s.endFailed(a, r.Refusal.String())
	if r.Refusal == Full {
		s.dispatcher.chooser.recordOverload(time.Now(), a.server)
	}
	if r.Refusal == Elsewhere {
		s.dispatcher.chooser.recordMissing(time.Now(), a.server.ID, s.request.key())
		if s.dispatcher.ReportStaleEngineState != nil {
			s.dispatcher.ReportStaleEngineState(a.server.ID)
		}
	}
	return verdict.Refuse(verdict.NoCapacity, "the server did not run the request")
}

// handleErrorStatus stores an error response, which is forwarded if no other attempt
// succeeds.
func (s *session) handleErrorStatus(a arrival) *verdict.Error {
	s.endFailed(a.attempt, "FailedThere")
	if !s.headSent {
		s.errorResponse, s.errorBody = a.response, a.body
	}
	return verdict.UnknownOutcome(verdict.BackendFailed, "the server returned an error response", nil)
}

// forwardWhole forwards a successful response that is not a stream. Such a response cannot
// continue a stream.
func (s *session) forwardWhole(a arrival) (Outcome, *verdict.Error, bool) {
	if s.headSent {
		s.endFailed(a.attempt, "NotResumed")
		return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the server did not resume the stream", nil), false
	}
	s.lead(a.attempt)
	s.end(a.attempt, "Answered")
	s.responseStartedAt = time.Now()
	if err := s.caller.WriteResponse(a.response, a.body); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	return Served, nil, true
}
