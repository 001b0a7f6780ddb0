package caller

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/streams"
	"github.com/parsleylug/parsleylug/verdict"
)

// Network delay to an engine, which is subtracted from the time left until the deadline.
const (
	sameRegionAllowance  = 2 * time.Millisecond
	crossRegionAllowance = 30 * time.Millisecond
)

// minimumEngineTimeout is the least time limit of an attempt, since engines read none from zero.
const minimumEngineTimeout = time.Millisecond

// failure classifies the failure of an attempt.
type failure int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=failure -output=failure_string.go

const (
	// broken means that the connection broke, possibly because the server crashed.
	broken failure = iota
	// silent means that the attempt made no progress in time.
	silent
	// notLoaded means that the server does not have the model; nothing ran.
	notLoaded
	// adapterMissing means that the server does not have the adapter; nothing ran.
	adapterMissing
	// overloaded means that the server refused the request; nothing ran.
	overloaded
	// unreached means that the server received no byte of the request.
	unreached
)

func classifyFailure(err error, timedOut bool) failure {
	switch {
	case timedOut || errors.Is(err, engine.ErrIdleTimeout):
		return silent
	case errors.Is(err, engine.ErrModelNotLoaded):
		return notLoaded
	case errors.Is(err, engine.ErrAdapterNotLoaded):
		return adapterMissing
	case errors.Is(err, engine.ErrOverloaded):
		return overloaded
	case verdict.Of(err).Verdict == verdict.NotRun:
		return unreached
	default:
		return broken
	}
}

// attempt is one chat request to one engine.
type attempt struct {
	api     *API
	id      domain.AttemptID
	server  domain.ServerID
	replica routing.Replica
	ctx     context.Context
	cancel  context.CancelCauseFunc
	stream  engine.Stream
	// isolated is true if a suspected content runs in isolation, hasOutput once a token was
	// received.
	isolated, hasOutput bool
	// resumed attempts generate only the rest of a response.
	resumed bool
	// progressTimer cancels the attempt if it makes no progress.
	progressTimer *time.Timer
}

func (a *API) newAttempt(s *session, r *routing.Replica) *attempt {
	t := &attempt{api: a, id: a.newAttemptID(), server: r.Server, replica: *r}
	t.ctx, t.cancel = context.WithCancelCause(s.ctx)
	return t
}

// timeLeft returns how long a replica may take for the rest of a response. It is not positive if
// the response cannot reach this node before the deadline.
func (s *session) timeLeft(r *routing.Replica) time.Duration {
	allowance := sameRegionAllowance
	if r.Region != s.api.Region {
		allowance = crossRegionAllowance
	}
	return s.call.deadline.Remaining(time.Now()) - allowance
}

// engineRequest returns the request that an attempt sends to its engine.
func (s *session) engineRequest(t *attempt) engine.ChatRequest {
	return engine.ChatRequest{
		RequestID:   s.call.id,
		AttemptID:   t.id,
		Model:       s.call.model.Name,
		Adapter:     s.call.adapter,
		Priority:    s.call.team.Priority,
		Timeout:     max(minimumEngineTimeout, s.timeLeft(&t.replica)),
		Body:        s.call.body,
		ResumeIndex: s.sequencer.NextIndex(),
	}
}

// start opens the stream and returns its first token.
func (t *attempt) start(r engine.ChatRequest) (engine.Token, error) {
	t.resumed = r.ResumeIndex > 0
	t.progressTimer = time.AfterFunc(streams.ProgressTimeout(false, r.Timeout), func() { t.cancel(errNoProgress) })
	stream, err := t.api.ChatClient.Chat(t.ctx, t.replica.Address, r)
	if err != nil {
		return engine.Token{}, err
	}
	t.stream = stream
	return t.nextToken()
}

// nextToken returns the next token. It returns an error if the stream ends before a token
// with a finish reason.
func (t *attempt) nextToken() (engine.Token, error) {
	token, err := t.stream.Next()
	if errors.Is(err, io.EOF) {
		return token, io.ErrUnexpectedEOF
	}
	if err == nil {
		t.hasOutput = true
		t.progressTimer.Reset(streams.TokenGapTimeout)
	}
	return token, err
}

func (t *attempt) hasTimedOut() bool { return errors.Is(context.Cause(t.ctx), errNoProgress) }

// close cancels the attempt and removes it from the requests in flight at its server.
func (t *attempt) close() {
	if t.progressTimer != nil {
		t.progressTimer.Stop()
	}
	t.cancel(context.Canceled)
	if t.stream != nil {
		_ = t.stream.Close()
	}
	t.api.chooser.Done(t.server)
}
