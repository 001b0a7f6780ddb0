package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// maximumBody limits the body of a response that is not a stream. The whole body is held in
// memory until it is complete.
const maximumBody = 8 * domain.Mebibyte

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
