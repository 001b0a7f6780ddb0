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

// maximumLine bounds one line of an event stream.
const maximumLine = domain.Mebibyte

// stream reads the event stream of one attempt.
type stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	silence time.Duration
	attempt domain.AttemptID
	// next is the index of the first token that the caller does not have.
	next     domain.Tokens
	body     io.ReadCloser
	lines    *bufio.Scanner
	produced bool
	finished bool
}

// open sends the request and waits for the response's header.
func (s *stream) open(c *Client, r *http.Request) (*http.Response, error) {
	defer s.watch()()
	response, err := c.do(r)
	if err != nil {
		return nil, s.explain(err)
	}
	return response, nil
}

func (s *stream) accept(r *http.Response) (Stream, error) {
	if r.StatusCode != http.StatusOK {
		defer s.watch()()
		err := refusal(r)
		_ = r.Body.Close()
		s.cancel(nil)
		return nil, err
	}
	if !strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		_ = r.Body.Close()
		s.cancel(nil)
		return nil, malformed(errors.New("the answer is not an event stream"))
	}
	s.body = r.Body
	s.lines = bufio.NewScanner(r.Body)
	s.lines.Buffer(nil, int(maximumLine))
	return s, nil
}

// Next returns the next token that the caller does not have. Tokens of another
// attempt and tokens that came before are left out. After the token with Finish
// it returns io.EOF; every other error is a *verdict.Error.
func (s *stream) Next() (Token, error) {
	if s.finished {
		return Token{}, io.EOF
	}
	for {
		t, err := s.read()
		if err != nil {
			return Token{}, s.broken(err)
		}
		if t.Attempt != s.attempt || t.Index < s.next {
			continue
		}
		if t.Index > s.next {
			return Token{}, s.broken(errors.Errorf("token %d came where %d is due", t.Index, s.next))
		}
		s.next++
		s.produced = true
		s.finished = t.Finish != ""
		return t, nil
	}
}

// Close ends the attempt; the engine cancels it if it is still running.
func (s *stream) Close() error {
	s.cancel(nil)
	return errors.WithStack(s.body.Close())
}

func (s *stream) read() (Token, error) {
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

// readData reads one line; it returns nil for a line without data.
func (s *stream) readData() ([]byte, error) {
	defer s.watch()()
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

// watch cancels the attempt if the returned function is not called in time.
func (s *stream) watch() (stop func()) {
	t := time.AfterFunc(s.silence, func() { s.cancel(ErrSilent) })
	return func() { t.Stop() }
}

func (s *stream) broken(cause error) *verdict.Error {
	e := verdict.UnknownOutcome(verdict.StreamBroken, "the engine's answer broke off", errors.WithStack(cause))
	if s.produced {
		e.Verdict = verdict.Ran
	}
	return s.explain(e)
}

// explain names the reason why the attempt was cancelled, if it was.
func (s *stream) explain(err error) *verdict.Error {
	e := *verdict.Of(err)
	cause := context.Cause(s.ctx)
	switch {
	case stderrors.Is(cause, ErrSilent):
		e.Message = "the connection to the engine went silent"
		e.Cause = ErrSilent
	case stderrors.Is(cause, context.DeadlineExceeded):
		e.Reason = verdict.DeadlinePassed
	}
	return &e
}
