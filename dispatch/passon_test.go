package dispatch

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/fleet"
)

// longBody is a body that is too long to be held without memory from the pool.
var longBody = strings.Repeat("x", 3*int(buffers.FreeSize))

// longResponse responds with longBody, of which the last byte arrives after a pause, or an error
// in place of it.
func longResponse(declared int, pause time.Duration, err error) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		r, w := io.Pipe()
		go func() {
			_, _ = io.WriteString(w, longBody[1:])
			time.Sleep(pause)
			if err == nil {
				_, _ = io.WriteString(w, longBody[:1])
			}
			_ = w.CloseWithError(err)
		}()
		context.AfterFunc(ctx, func() { _ = r.CloseWithError(ctx.Err()) })
		return &Response{Status: 200, Verified: true, Body: r, BodyLength: int64(declared)}, nil
	}
}

// serveWithoutMemory handles a request while other responses take the memory for the time held.
func serveWithoutMemory(t *testing.T, b *fakeBackend, k fleet.Kind, held time.Duration) (o Outcome, c *fakeCaller, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		holder := d.bodies.NewBuffer(nil)
		if err := holder.Reserve(t.Context(), buffers.DefaultSize+buffers.FreeSize); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(held, holder.Release)
		c = &fakeCaller{}
		start := time.Now()
		r := plainRequest(k)
		r.Deadline = start.Add(10 * time.Second)
		o = d.Serve(t.Context(), r, c)
		took = time.Since(start)
		time.Sleep(time.Minute)
		if got := d.bodies.Used(); got != 0 {
			t.Errorf("memory used at the end: got %d, want 0", got)
		}
	})
	return o, c, took
}

// Guards against TWICE: after its head was passed on, a response was joined with another one or
// its request sent again.
func TestPassedOnResponseIsTheOnlyOne(t *testing.T) {
	whole := longResponse(len(longBody), 3*time.Second, nil)
	broken := longResponse(len(longBody), 0, errors.New("reset"))
	for name, c := range map[string]struct {
		responses []func(context.Context) (*Response, error)
		want      Outcome
		attempts  int
	}{
		"whole":                 {[]func(context.Context) (*Response, error){whole}, Served, 1},
		"broken off":            {[]func(context.Context) (*Response, error){broken, whole}, Broken, 1},
		"first server is mute":  {[]func(context.Context) (*Response, error){blockUntilCancelled, whole}, Served, 2},
		"second one breaks off": {[]func(context.Context) (*Response, error){blockUntilCancelled, broken, whole}, Broken, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{responses: c.responses}
			got, caller, _ := serveWithoutMemory(t, b, fleet.Idempotent, time.Minute)
			if got != c.want || caller.aborted != (c.want == Broken) {
				t.Errorf("got outcome %v, aborted %v, want %v", got, caller.aborted, c.want)
			}
			if got, want := len(b.received), c.attempts; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
			if c.want == Served && string(caller.body) != longBody {
				t.Errorf("got a body of %d bytes, want the %d of one response", len(caller.body), len(longBody))
			}
			if c.want == Broken && !bytes.HasPrefix([]byte(longBody), caller.body) {
				t.Error("got bytes that are not of one response")
			}
		})
	}
}

// Guards against LOST: a response without a length waits for memory until its request ends. The
// node does not read meanwhile, and does not take that for a silence of the server.
func TestResponseWaitsUntilItsRequestEnds(t *testing.T) {
	for name, c := range map[string]struct {
		held time.Duration
		want Outcome
	}{
		"memory in time": {2 * time.Second, Served},
		"none in time":   {time.Minute, Failed},
	} {
		t.Run(name, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){longResponse(-1, 0, nil)}}
			got, caller, took := serveWithoutMemory(t, b, fleet.Idempotent, c.held)
			if got != c.want {
				t.Errorf("outcome: got %v after %v, want %v", got, took, c.want)
			}
			if c.want == Served && (took != c.held || string(caller.body) != longBody) {
				t.Errorf("got %d bytes after %v, want %d after %v", len(caller.body), took, len(longBody), c.held)
			}
			if got, want := len(b.received), 1; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(p []byte) (int, error) { return len(p), nil }

func (endlessBody) Close() error { return nil }

// Guards against bytes without end: a response without a length that is passed on must end at the
// limit of those that are held whole.
func TestPassedOnResponseWithoutEndIsCutAtTheLimit(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){func(context.Context) (*Response, error) {
		return &Response{Status: 200, Verified: true, Body: endlessBody{}, BodyLength: -1}, nil
	}}}
	got, caller, _ := serveWithoutMemory(t, b, fleet.NonIdempotent, time.Minute)
	if want := Broken; got != want || !caller.aborted {
		t.Errorf("got outcome %v, aborted %v, want %v", got, caller.aborted, want)
	}
	if got, limit := len(caller.body), int(maximumBody); got > limit {
		t.Errorf("got %d bytes, want %d at most", got, limit)
	}
}

// waitingEvents waits for memory for a time before its only event.
type waitingEvents struct {
	fakeEvents
	until time.Time
}

func (e *waitingEvents) Next() (Event, error) {
	time.Sleep(time.Until(e.until))
	return e.fakeEvents.Next()
}

func (e *waitingEvents) IsWaiting() bool { return time.Now().Before(e.until) }

// Guards against an ejection of a sound server: a stream whose event waits for memory was taken for
// one of a silent server.
func TestStreamThatWaitsForMemoryIsNotHedged(t *testing.T) {
	response := func(context.Context) (*Response, error) {
		e := &waitingEvents{fakeEvents{events: []Event{{ID: 1, Raw: []byte("1")}}, err: io.EOF}, time.Now().Add(3 * streamIdleTimeout)}
		return &Response{Status: 200, Verified: true, Events: e}, nil
	}
	got, caller, b := serve(t, streamRequest, response)
	if got != Served || string(caller.body) != "1" {
		t.Errorf("got outcome %v with %q, want %v with the event", got, caller.body, Served)
	}
	if got, want := len(b.received), 1; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}
