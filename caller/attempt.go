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

// Travel is taken off what is left of a deadline at the hop to an engine.
const (
	travelInRegion    = 2 * time.Millisecond
	travelCrossRegion = 30 * time.Millisecond
)

// failure tells how an attempt failed.
type failure int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=failure -output=failure_string.go

const (
	// broken connections may come of a crashed server.
	broken failure = iota
	// silent connections made no progress.
	silent
	// notLoaded servers do not have the model; nothing ran.
	notLoaded
	// adapterMissing servers do not have the adapter; nothing ran.
	adapterMissing
	// overloaded servers refused; nothing ran.
	overloaded
	// unreached servers got nothing of the request.
	unreached
)

func failureOf(err error, wentSilent bool) failure {
	switch {
	case wentSilent || errors.Is(err, engine.ErrIdleTimeout):
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

// attempt is one chat request at one engine.
type attempt struct {
	api    *API
	id     domain.AttemptID
	server domain.ServerID
	target routing.Replica
	ctx    context.Context
	cancel context.CancelCauseFunc
	stream engine.Stream
	// alone is true for a suspected content; begun once a part came.
	alone, begun bool
	// resumed attempts did not make the whole answer.
	resumed bool
	// progress ends the attempt where it fires.
	progress *time.Timer
}

func (a *API) newAttempt(s *session, r *routing.Replica) *attempt {
	t := &attempt{api: a, id: a.nextAttempt(), server: r.Server, target: *r}
	t.ctx, t.cancel = context.WithCancelCause(s.ctx)
	return t
}

// request is what the attempt asks of its engine.
func (s *session) request(t *attempt) engine.ChatRequest {
	travel := travelInRegion
	if t.target.Region != s.api.Region {
		travel = travelCrossRegion
	}
	return engine.ChatRequest{
		RequestID:   s.call.id,
		AttemptID:   t.id,
		Model:       s.call.model.Name,
		Adapter:     s.call.adapter,
		Priority:    s.call.team.Priority,
		Timeout:     max(0, s.call.deadline.Remaining(time.Now())-travel),
		Body:        s.call.body,
		ResumeIndex: s.relay.NextIndex(),
	}
}

// first opens the stream and returns its first part.
func (t *attempt) first(r engine.ChatRequest) (engine.Token, error) {
	t.resumed = r.ResumeIndex > 0
	t.progress = time.AfterFunc(streams.ProgressTimeout(false, r.Timeout), func() { t.cancel(errSilent) })
	stream, err := t.api.ChatClient.Chat(t.ctx, t.target.Address, r)
	if err != nil {
		return engine.Token{}, err
	}
	t.stream = stream
	return t.next()
}

// next returns the next part. The end of the stream before a part with Finish is
// an error like any other.
func (t *attempt) next() (engine.Token, error) {
	token, err := t.stream.Next()
	if errors.Is(err, io.EOF) {
		return token, io.ErrUnexpectedEOF
	}
	if err == nil {
		t.begun = true
		t.progress.Reset(streams.TokenGapTimeout)
	}
	return token, err
}

func (t *attempt) wentSilent() bool { return errors.Is(context.Cause(t.ctx), errSilent) }

// close ends the attempt and takes it off the server's count.
func (t *attempt) close() {
	if t.progress != nil {
		t.progress.Stop()
	}
	t.cancel(context.Canceled)
	if t.stream != nil {
		_ = t.stream.Close()
	}
	t.api.chooser.Done(t.server)
}
