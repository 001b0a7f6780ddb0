package engine

import (
	"bufio"
	"context"
	stderrors "errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// maximumLine limits the length of one line of an event stream.
const maximumLine = domain.Mebibyte

// stream reads the event stream of one attempt.
type stream struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	idleTimeout time.Duration
	attemptID   domain.AttemptID
	// nextIndex is the index of the first token that the caller does not have.
	nextIndex domain.Tokens
	body      io.ReadCloser
	lines     *bufio.Scanner
	// hasReturnedToken is set once Next has returned a token; finished once it has returned one
	// with FinishReason.
	hasReturnedToken bool
	finished         bool
}

// sendRequest sends the request and waits for the response's header.
func (s *stream) sendRequest(c *Client, r *http.Request) (*http.Response, error) {
	defer s.startIdleTimer()()
	response, err := c.send(r)
	if err != nil {
		return nil, s.withCancelCause(err)
	}
	return response, nil
}

// acceptResponse checks the status and content type of the response and returns the stream of
// its body. It closes the body of a response that it does not accept.
func (s *stream) acceptResponse(r *http.Response) (Stream, error) {
	if r.StatusCode != http.StatusOK {
		defer s.startIdleTimer()()
		err := refusalError(r)
		_ = r.Body.Close()
		s.cancel(nil)
		return nil, err
	}
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		_ = r.Body.Close()
		s.cancel(nil)
		return nil, malformedResponse(errors.New("response is not an event stream"))
	}
	s.body = r.Body
	s.lines = bufio.NewScanner(r.Body)
	s.lines.Buffer(nil, int(maximumLine))
	return s, nil
}

// Next returns the next token that the caller does not have. It skips tokens of other attempts
// and tokens that the caller already has. After the token with FinishReason it returns io.EOF;
// every other error is a *verdict.Error.
func (s *stream) Next() (Token, error) {
	if s.finished {
		return Token{}, io.EOF
	}
	for {
		t, err := s.readToken()
		if err != nil {
			return Token{}, s.streamError(err)
		}
		if t.AttemptID != s.attemptID || t.Index < s.nextIndex {
			continue
		}
		if t.Index > s.nextIndex {
			return Token{}, s.streamError(errors.Errorf("received token %d, expected %d", t.Index, s.nextIndex))
		}
		s.nextIndex++
		s.hasReturnedToken = true
		s.finished = t.FinishReason != ""
		return t, nil
	}
}

// Close ends the attempt; the engine cancels it if it is still running.
func (s *stream) Close() error {
	s.cancel(nil)
	return errors.WithStack(s.body.Close())
}

// readToken reads the next token of any attempt.
func (s *stream) readToken() (Token, error) {
	for {
		data, err := s.readData()
		if err != nil {
			return Token{}, err
		}
		if data != nil {
			return decodeToken(data)
		}
	}
}

// readData reads one line and returns its data, or nil for a line without data.
func (s *stream) readData() ([]byte, error) {
	defer s.startIdleTimer()()
	if !s.lines.Scan() {
		if err := s.lines.Err(); err != nil {
			return nil, err
		}
		return nil, io.ErrUnexpectedEOF
	}
	data, ok := eventData(s.lines.Bytes())
	if !ok {
		return nil, nil
	}
	return data, nil
}

// startIdleTimer cancels the attempt unless the returned function is called within the idle
// timeout.
func (s *stream) startIdleTimer() (stop func()) {
	t := time.AfterFunc(s.idleTimeout, func() { s.cancel(ErrIdleTimeout) })
	return func() { t.Stop() }
}

// streamError returns the error for a stream that ended early. The verdict is Ran if Next has
// returned a token.
func (s *stream) streamError(cause error) *verdict.Error {
	e := verdict.UnknownOutcome(verdict.StreamBroken, "the engine's answer broke off", errors.WithStack(cause))
	if s.hasReturnedToken {
		e.Verdict = verdict.Ran
	}
	return s.withCancelCause(e)
}

// withCancelCause converts an error to a *verdict.Error. If the idle timeout or the deadline
// cancelled the attempt, the result says so.
func (s *stream) withCancelCause(err error) *verdict.Error {
	e := *verdict.Of(err)
	cause := context.Cause(s.ctx)
	switch {
	case stderrors.Is(cause, ErrIdleTimeout):
		e.Message = "the connection to the engine went silent"
		e.Cause = ErrIdleTimeout
	case stderrors.Is(cause, context.DeadlineExceeded):
		e.Reason = verdict.DeadlinePassed
	}
	return &e
}
