package dispatch

import (
	"context"
	stderrors "errors"
	"syscall"
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
			s.dispatcher.checkUnfinished(a.server)
		}
		return e
	}
	s.countRun()
	s.endFailed(a, "Unanswered")
	s.dispatcher.chooser.recordNoResponse(time.Now(), a.server.ID)
	if ctx.Err() == nil || !isEndOfContext(e) {
		s.suspectCrash(a, e)
	}
	return e
}

// isEndOfContext reports whether an attempt failed because its context ended, and not because its
// connection broke.
func isEndOfContext(err error) bool {
	return stderrors.Is(err, context.Canceled) || stderrors.Is(err, context.DeadlineExceeded)
}

// suspectCrash checks whether the server of an attempt that failed has crashed. A connection
// that the kernel gave up because its peer was silent is no sign of a crash: the link of this
// node or the path may be cut.
func (s *session) suspectCrash(a *attempt, err error) {
	if !stderrors.Is(err, syscall.ETIMEDOUT) {
		s.dispatcher.checkCrash(a.server, s.crashedRequest(time.Now(), a))
	}
}

// suspectCrashAfterEnd is suspectCrash for an attempt that has ended before its connection broke.
func (s *session) suspectCrashAfterEnd(a *attempt, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspectCrash(a, err)
}

// crashedRequest returns the request as one that ran on the server of an attempt until now.
func (s *session) crashedRequest(now time.Time, a *attempt) crashedRequest {
	return crashedRequest{id: s.request.ID, content: s.request.Content, traits: s.request.Traits, ran: now.Sub(a.startedAt), afterToken: s.headSent}
}

// handleDiscarded handles a refusal or a response that is not verified.
func (s *session) handleDiscarded(a *attempt, r *Response) *verdict.Error {
	if r.Refusal != NotRefused {
		return s.handleRefusal(a, r)
	}
	s.countRun()
	s.endFailed(a, "Spoilt")
	s.dispatcher.chooser.recordFailure(time.Now(), a.server.ID, false)
	return verdict.UnknownOutcome(verdict.BackendFailed, "the server's response could not be verified", nil)
}

// handleHead records the head of a response. The caller gets it with the first event, or with
// the whole body.
func (s *session) handleHead(a *attempt, r *Response) {
	now := time.Now()
	s.countRun()
	a.response, a.lastReceivedAt = r, now
	s.dispatcher.chooser.recordResponse(now, a.server, s.request, now.Sub(a.startedAt), r.Load)
	s.dispatcher.countCache(a)
	s.recordRoomResponse(now, a.server.ID, r)
	s.endSilence(a)
	goesOn := r.Events != nil || r.IsSuccess() && !s.headSent
	if len(s.running) > 1 && goesOn {
		s.startOverlap(a)
	}
}

// handleRefusal records the refusal of a server that did not run the request.
func (s *session) handleRefusal(a *attempt, r *Response) *verdict.Error {
	s.endFailed(a, r.Refusal.String())
	if r.Refusal == Full {
		s.dispatcher.chooser.recordOverload(time.Now(), a.server, r.Load)
	}
	s.recordRoomResponse(time.Now(), a.server.ID, r)
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
func (s *session) handleErrorStatus(a *attempt, body [][]byte) *verdict.Error {
	s.endFailed(a, "FailedThere")
	if !s.headSent {
		s.errorResponse, s.errorBody = a.response, body
	}
	return verdict.UnknownOutcome(verdict.BackendFailed, "the server returned an error response", nil)
}
