package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// serverSilence is how long the servers of these tests are silent, which is longer than
// every timeout of the node for a silent server.
const serverSilence = 1600 * time.Millisecond

// silentEvents returns one event at once, is silent for serverSilence and then returns the
// rest of the events and a regular end. It ends early if ctx does.
type silentEvents struct {
	ctx  context.Context
	next EventID
	last EventID
	wait time.Duration
}

func (e *silentEvents) Next() (Event, error) {
	if e.next > e.last {
		return Event{}, io.EOF
	}
	if e.next > 1 {
		select {
		case <-time.After(e.wait):
			e.wait = 0
		case <-e.ctx.Done():
			return Event{}, e.ctx.Err()
		}
	}
	event := Event{ID: e.next, Raw: fmt.Appendf(nil, "%d", e.next)}
	e.next++
	return event, nil
}

func (*silentEvents) IsWaiting() bool { return false }

func (e *silentEvents) Close() {}

// silentStream responds with a stream of three events that pauses after the first one.
func silentStream(ctx context.Context) (*Response, error) {
	return &Response{Status: 200, Verified: true, Events: &silentEvents{ctx: ctx, next: 1, last: 3, wait: serverSilence}}, nil
}

// lateStream responds with a whole stream after serverSilence.
func lateStream(ctx context.Context) (*Response, error) {
	select {
	case <-time.After(serverSilence):
		return streamResponse(io.EOF, 1, 2, 3)(ctx)
	case <-ctx.Done():
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "attempt cancelled", ctx.Err())
	}
}

// unavailableServers are the ways in which no other server takes over a request.
var unavailableServers = map[string]func(context.Context) (*Response, error){
	"full":                refusal(Full),
	"without the model":   refusal(Elsewhere),
	"unreachable":         failedAttempt(verdict.NotRun),
	"resets":              failedAttempt(verdict.MayHaveRun),
	"responds with error": bodyResponse(500, "broken"),
	"not a stream":        bodyResponse(200, "text"),
	"breaks off at once":  streamResponse(errors.New("reset")),
	"silent":              blockUntilCancelled,
}

// Guards against LOST: a node gave up a server that had been silent for a second, and ended
// the caller's stream when no other server could resume it.
func TestSilentServerKeepsItsStreamWhenNoOtherCanResumeIt(t *testing.T) {
	for name, other := range unavailableServers {
		t.Run(name, func(t *testing.T) {
			o, c, b := serve(t, streamRequest, silentStream, other)
			if got, want := string(c.body), "123"; o != Served || got != want || !c.complete || c.aborted {
				t.Errorf("got %v with %q, complete %v, aborted %v after %d attempts, want %q", o, got, c.complete, c.aborted, len(b.received), want)
			}
		})
	}
}

// Guards against LOST: the same for a server that is silent before its response.
func TestSilentServerKeepsItsRequestWhenNoOtherCanRunIt(t *testing.T) {
	for name, other := range unavailableServers {
		t.Run(name, func(t *testing.T) {
			o, c, b := serve(t, streamRequest, lateStream, other)
			if got, want := string(c.body), "123"; name != "not a stream" && (o != Served || got != want) {
				t.Errorf("got %v with %q after %d attempts, want %q", o, got, len(b.received), want)
			}
		})
	}
}

// Guards against LOST: the same for a request without a stream.
func TestSilentServerKeepsItsPlainRequest(t *testing.T) {
	lateBody := func(ctx context.Context) (*Response, error) {
		select {
		case <-time.After(serverSilence):
			return &Response{Status: 200, Verified: true, Body: io.NopCloser(bytes.NewBufferString("late"))}, nil
		case <-ctx.Done():
			return nil, verdict.UnknownOutcome(verdict.BackendFailed, "attempt cancelled", ctx.Err())
		}
	}
	request := func() *Request {
		r := plainRequest(fleet.Idempotent)
		r.Deadline = r.ArrivedAt.Add(3 * time.Second)
		return r
	}
	for name, other := range unavailableServers {
		if name == "not a stream" || name == "breaks off at once" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			o, c, b := serve(t, request, lateBody, other)
			if got, want := string(c.body), "late"; o != Served || got != want {
				t.Errorf("got %v with %q after %d attempts, want %q", o, got, len(b.received), want)
			}
		})
	}
}

// Guards against LOST: the only server with a model is silent in the middle of a stream and
// has no room for a second run of the request.
func TestOnlyServerOfAModelKeepsItsStream(t *testing.T) {
	testOnlyServer(t, silentStream, refusal(Full))
}

// endableStream responds with a stream of one event that then is silent, and closes ended
// when the attempt is cancelled.
func endableStream(ended chan<- time.Time) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		context.AfterFunc(ctx, func() { ended <- time.Now() })
		return streamResponse(nil, 1)(ctx)
	}
}

// Guards against TWICE: the silent attempt must be cancelled as soon as another one goes on
// with the stream, and not before.
func TestSilentAttemptIsCancelledWhenAnotherGoesOn(t *testing.T) {
	const prefill = 700 * time.Millisecond
	lateResumption := func(ctx context.Context) (*Response, error) {
		time.Sleep(prefill)
		return streamResponse(io.EOF, 2, 3)(ctx)
	}
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		b := &fakeBackend{responses: []func(context.Context) (*Response, error){endableStream(ended), lateResumption}}
		c := &fakeCaller{}
		d := newTestDispatcher(b)
		start := time.Now()
		if got, want := d.Serve(t.Context(), streamRequest(), c), Served; got != want || string(c.body) != "123" {
			t.Errorf("got %v with %q, want %v with %q", got, c.body, want, "123")
		}
		if got, want := (<-ended).Sub(start), streamIdleTimeout+prefill; got != want {
			t.Errorf("the silent attempt was cancelled after %v, want %v", got, want)
		}
		if got, want := d.Running(), 0; got != want {
			t.Errorf("got %d attempts in flight after the request, want %d", got, want)
		}
	})
}

// Guards against BUDGET: attempts beside each other count toward the maximum of the route,
// and refused ones do not.
func TestAttemptsBesideEachOtherAreBounded(t *testing.T) {
	for name, other := range map[string]func(context.Context) (*Response, error){"silent": blockUntilCancelled, "full": refusal(Full)} {
		b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled, other}}
		synctest.Test(t, func(t *testing.T) {
			d := newTestDispatcher(b)
			d.Serve(t.Context(), streamRequest(), &fakeCaller{})
		})
		budget := 5
		limit := map[string]int{"silent": 2, "full": 1 + budget}[name]
		if got := len(b.received); got > limit || got < 2 {
			t.Errorf("%s: got %d attempts, want 2 to %d", name, got, limit)
		}
	}
}

// Guards against LOST: the connection to the only server of a model is dead, and the server
// answers on another one.
func TestOnlyServerIsTriedOnAnotherConnection(t *testing.T) {
	testOnlyServer(t, endableStream(make(chan time.Time, 1)), streamResponse(io.EOF, 2, 3))
}

// testOnlyServer checks that a caller gets a whole stream from the only server of a model,
// which has the given responses.
func testOnlyServer(t *testing.T, responses ...func(context.Context) (*Response, error)) {
	t.Helper()
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: responses})
		view := newTestView(true)
		view.Servers["engines"] = view.Servers["engines"][:1]
		d.Views.Publish(view)
		if got, want := d.Serve(t.Context(), streamRequest(), c), Served; got != want || string(c.body) != "123" {
			t.Errorf("got %v with %q, want %v with %q", got, c.body, want, "123")
		}
	})
}
