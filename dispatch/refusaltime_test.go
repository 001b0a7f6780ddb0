package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/verdict"
)

// timeToCaller is how long a refusal may take to reach its caller, on a link between regions
// with a queue.
const timeToCaller = 50 * time.Millisecond

// Guards against LOST: a request that waited for a server until 5 ms before its deadline was
// refused so late that its caller had left without a response.
func TestRefusalReachesTheCallerBeforeItsDeadline(t *testing.T) {
	plain := func() *Request { return plainRequest(fleet.NonIdempotent) }
	waitingStream := func() *Request {
		r := streamRequest()
		r.Deadline = r.ArrivedAt.Add(time.Second)
		return r
	}
	for name, c := range map[string]struct {
		request  func() *Request
		response func(context.Context) (*Response, error)
	}{
		"every server is full":           {plain, refusal(Full)},
		"every server is unreachable":    {plain, failedAttempt(verdict.NotRun)},
		"no server has room for streams": {waitingStream, refusal(Full)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){c.response}})
				d.SetBudget = unlimitedBudget
				r := c.request()
				if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Refused; got != want {
					t.Errorf("got %v, want %v", got, want)
				}
				if got := time.Until(r.Deadline); got < timeToCaller {
					t.Errorf("refused %v before the deadline, want at least %v", got, timeToCaller)
				}
			})
		})
	}
}

// unlimitedBudget lets a request be sent again until its deadline.
func unlimitedBudget(w *retries.WindowBudget) { w.Length, w.Reserve = 10*time.Second, 1e6 }

// Guards against a failure of this node in place of the server's own: a server that ends a
// request at its deadline responds just after the node has given it up.
func TestErrorResponseAtTheDeadlineIsForwarded(t *testing.T) {
	respondAtDeadline := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return bodyResponse(504, "deadline")(ctx)
	}
	nonIdempotent := func() *Request { return plainRequest(fleet.NonIdempotent) }
	o, c, _ := serve(t, nonIdempotent, respondAtDeadline)
	if got, want := string(c.body), "deadline"; o != FailedThere || got != want {
		t.Errorf("got %v with %q, want %v with %q", o, got, FailedThere, want)
	}
}
