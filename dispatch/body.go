package dispatch

import (
	"context"
	stderrors "errors"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// maximumBody limits the body of a response that is not a stream. The whole body is held in
	// memory until it is complete, unless it is passed on because there is no memory for it.
	maximumBody = 8 * domain.Mebibyte
	// passOnDelay is how long a body waits for memory before it is passed on while it arrives.
	passOnDelay = 250 * time.Millisecond
	// passOnPart is the size of the parts in which a body is passed on.
	passOnPart = 32 * domain.Kibibyte
)

// receiveBody delivers the body of a response that is not a stream: whole, or in parts if there
// is no memory for the whole of it. The body stays in memory until the session is closed.
func (s *session) receiveBody(ctx context.Context, a *attempt, r *Response) {
	defer func() { _ = r.Body.Close() }()
	canPassOn := s.canPassOn(r)
	var body io.Reader = r.Body
	giveUp := func() { _ = r.Body.Close() }
	isInterruptible := canPassOn && s.isInterruptible(r)
	if isInterruptible {
		body, giveUp = newInterruptibleReader(r.Body)
		defer giveUp()
	}
	buffer := s.dispatcher.bodies.NewBuffer(giveUp)
	s.setBuffer(a, buffer)
	if canPassOn {
		buffer.Wait = passOnDelay
	}
	err := buffer.ReadAll(a.ctx, body, maximumBody, r.BodyLength)
	if err == nil && s.keep(buffer) {
		s.deliver(ctx, arrival{kind: wholeBody, attempt: a, body: buffer.Parts()})
		return
	}
	defer buffer.Release()
	isInterrupted := stderrors.Is(err, buffers.ErrStalled) && isInterruptible
	if canPassOn && a.ctx.Err() == nil && (stderrors.Is(err, buffers.ErrFull) || isInterrupted) {
		s.passOn(ctx, a, body, buffer)
		return
	}
	s.deliver(ctx, arrival{kind: wholeBody, attempt: a, err: err})
}

// canPassOn reports whether a body may be passed on before it is whole: not that of an error
// response, nor one without a declared length that another one may replace.
func (s *session) canPassOn(r *Response) bool {
	return r.IsSuccess() && (r.BodyLength > 0 || !s.request.Route.IsRetryable())
}

// isInterruptible reports whether a body is passed on in place of being given up: a long one of a
// declared length that no other one can replace.
func (s *session) isInterruptible(r *Response) bool {
	return r.BodyLength > int64(buffers.FreeSize) && !s.request.Route.IsRetryable()
}

// setBuffer records the buffer into which the body of an attempt is read.
func (s *session) setBuffer(a *attempt, b *buffers.Buffer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.buffer = b
}

// keep keeps a body in memory until the session is closed. It returns false if it is closed.
func (s *session) keep(b *buffers.Buffer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isClosed {
		s.bodies = append(s.bodies, b)
	}
	return !s.isClosed
}

// passOn delivers a body in parts while it arrives, first what has arrived, whose memory it
// releases then.
func (s *session) passOn(ctx context.Context, a *attempt, body io.Reader, arrived *buffers.Buffer) {
	if !s.deliver(ctx, arrival{kind: bodyPart, attempt: a, body: arrived.Parts()}) {
		return
	}
	size := length(arrived.Parts())
	arrived.Release()
	part := make([]byte, passOnPart)
	for {
		n, err := body.Read(part)
		size += domain.Bytes(n)
		if size > maximumBody {
			s.deliver(ctx, arrival{kind: bodyEnd, attempt: a, err: errors.WithStack(buffers.ErrTooLong)})
			return
		}
		if n > 0 && !s.deliver(ctx, arrival{kind: bodyPart, attempt: a, body: [][]byte{part[:n]}}) {
			return
		}
		if stderrors.Is(err, io.EOF) {
			s.deliver(ctx, arrival{kind: bodyEnd, attempt: a})
			return
		}
		if err != nil {
			s.deliver(ctx, arrival{kind: bodyEnd, attempt: a, err: errors.WithStack(err)})
			return
		}
	}
}

// length returns the length of a body in parts.
func length(body [][]byte) domain.Bytes {
	sum := 0
	for _, part := range body {
		sum += len(part)
	}
	return domain.Bytes(sum)
}

// handleBody handles the body of a response that is not a stream.
func (s *session) handleBody(a *attempt, body [][]byte, err error) (Outcome, *verdict.Error, bool) {
	if err != nil {
		return 0, s.handleCutBody(a, err), false
	}
	if !a.response.IsSuccess() {
		return 0, s.handleErrorStatus(a, body), false
	}
	return s.forwardBody(a, body)
}

// handleCutBody records an attempt whose response is incomplete. That is no failure of its server
// if this node had no memory for it.
func (s *session) handleCutBody(a *attempt, err error) *verdict.Error {
	e := verdict.UnknownOutcome(verdict.BackendFailed, "the server's response is incomplete", err)
	if stderrors.Is(err, buffers.ErrFull) {
		s.endFailed(a, "NoMemory")
		return e
	}
	isBroken := a.ctx.Err() == nil && !stderrors.Is(err, buffers.ErrTooLong)
	s.endFailed(a, "CutShort")
	s.dispatcher.chooser.recordFailure(time.Now(), a.server.ID, false)
	if isBroken {
		s.suspectCrash(a, err)
	}
	return e
}

// handleNotResumed records an attempt that has responded to the rest of a stream with a response
// that is not a stream, which cannot continue it.
func (s *session) handleNotResumed(a *attempt) *verdict.Error {
	s.endFailed(a, "NotResumed")
	return verdict.UnknownOutcome(verdict.StreamBroken, "the server did not resume the stream", nil)
}

// forwardBody forwards a successful response that is not a stream.
func (s *session) forwardBody(a *attempt, body [][]byte) (Outcome, *verdict.Error, bool) {
	if s.headSent {
		return 0, s.handleNotResumed(a), false
	}
	s.lead(a)
	s.recordCompletion(a)
	s.end(a, "Answered")
	s.responseStartedAt = time.Now()
	if err := s.caller.WriteResponse(a.response, body); err != nil {
		return Left, errCallerLeft(err), true
	}
	return Served, nil, true
}

// handleBodyPart forwards part of a body. From the first part on, the caller gets this response
// or an incomplete one.
func (s *session) handleBodyPart(a *attempt, parts [][]byte) (Outcome, *verdict.Error, bool) {
	if !s.isPassedOn && s.headSent {
		return 0, s.handleNotResumed(a), false
	}
	if !s.isPassedOn {
		s.isPassedOn, s.headSent = true, true
		s.lead(a)
		s.silence.stop()
		s.responseStartedAt = time.Now()
		if err := s.caller.StartResponse(a.response); err != nil {
			return Left, errCallerLeft(err), true
		}
	}
	for _, part := range parts {
		if err := s.caller.WritePart(part); err != nil {
			return Left, errCallerLeft(err), true
		}
	}
	return 0, nil, false
}

// handleBodyEnd ends a response whose body was passed on.
func (s *session) handleBodyEnd(a *attempt, err error) *verdict.Error {
	if err != nil {
		return s.handleCutBody(a, err)
	}
	s.recordCompletion(a)
	s.end(a, "PassedOn")
	return nil
}

// errCallerLeft returns the error of a request whose response could not be written.
func errCallerLeft(err error) *verdict.Error {
	return verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err)
}
