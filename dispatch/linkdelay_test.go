package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/fleet"
)

// Guards against LOST: a request that had waited on a link behind a large configuration was
// refused after its caller had left without a response.
func TestDelayedRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	plain := func() *Request {
		r := plainRequest(fleet.NonIdempotent)
		r.Deadline = r.ArrivedAt.Add(4 * time.Second)
		return r
	}
	for name, c := range map[string]struct {
		request func() *Request
		// wait is how long the caller waits for the response to begin.
		wait time.Duration
	}{
		"a stream without its model":        {coldRequest, 12 * time.Second},
		"a request that all servers refuse": {plain, 4 * time.Second},
	} {
		for _, linkDelay := range []time.Duration{0, 300 * time.Millisecond, time.Second} {
			t.Run(name+" after "+linkDelay.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){refusal(Full)}})
					d.SetBudget = unlimitedBudget
					r := c.request()
					r.LinkDelay = linkDelay
					if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Refused; got != want {
						t.Errorf("got %v, want %v", got, want)
					}
					if got, want := time.Since(r.ArrivedAt), c.wait-linkDelay-timeToCaller; got > want {
						t.Errorf("refused after %v, want within %v", got, want)
					}
				})
			})
		}
	}
}

// A stream whose head its caller has received is not given up sooner.
func TestDelayedStreamIsResumed(t *testing.T) {
	request := func() *Request {
		r := streamRequest()
		r.LinkDelay = time.Second
		return r
	}
	late := afterDelay(1500*time.Millisecond, streamResponse(io.EOF, 3))
	o, c, _ := serve(t, request, streamResponse(errors.New("reset"), 1, 2), refusal(Full), refusal(Full), late)
	if got, want := string(c.body), "123"; o != Served || got != want {
		t.Errorf("got %v with %q, want %v with %q", o, got, Served, want)
	}
}
