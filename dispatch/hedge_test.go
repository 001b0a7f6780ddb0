package dispatch

import (
	"context"
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// threeEngines returns a dispatcher whose service has three engines with the model loaded.
func threeEngines(b Backend) *Dispatcher {
	d := newTestDispatcher(b)
	view := newTestView(true)
	third := *view.Servers["engines"][0]
	third.ID = "c"
	view.Servers["engines"] = append(view.Servers["engines"], &third)
	d.Views.Publish(view)
	return d
}

// countServers returns the number of distinct servers that received an attempt.
func countServers(b *fakeBackend) int {
	servers := map[domain.ServerID]bool{}
	for _, r := range b.received {
		servers[r.server] = true
	}
	return len(servers)
}

// Guards against BUDGET: an attempt that was replaced before its response head arrived may have
// run, but did not count toward the maximum of the route.
func TestReplacedAttemptCountsTowardMaximum(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled, streamResponse(errors.New("reset"), 1), streamResponse(io.EOF, 2, 3)}}
	synctest.Test(t, func(t *testing.T) {
		d := threeEngines(b)
		d.Serve(t.Context(), streamRequest(), &fakeCaller{})
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), streamRequest().Route.MaxAttempts; got > want {
		t.Errorf("got %d attempts at %d servers, all of which may have run, want at most %d", got, countServers(b), want)
	}
}

// pausingEvents returns its events with serverSilence before each.
type pausingEvents struct {
	ctx        context.Context
	next, last EventID
}

func (e *pausingEvents) Next() (Event, error) {
	if e.next > e.last {
		return Event{}, io.EOF
	}
	select {
	case <-time.After(serverSilence):
	case <-e.ctx.Done():
		return Event{}, e.ctx.Err()
	}
	event := Event{ID: e.next, Raw: []byte{byte('0' + e.next)}}
	e.next++
	return event, nil
}

func (*pausingEvents) IsWaiting() bool { return false }

func (e *pausingEvents) Close() {}

// Guards against BUDGET: a server that was silent several times in one stream caused an attempt
// at another server each time, beyond the maximum of the route.
func TestRepeatedSilenceKeepsToTheMaximum(t *testing.T) {
	pausing := func(ctx context.Context) (*Response, error) {
		return &Response{Status: 200, Verified: true, Events: &pausingEvents{ctx: ctx, next: 1, last: 4}}, nil
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){pausing, blockUntilCancelled}}
	synctest.Test(t, func(t *testing.T) {
		d := threeEngines(b)
		r := streamRequest()
		r.Deadline = r.ArrivedAt.Add(30 * time.Second)
		d.Serve(t.Context(), r, &fakeCaller{})
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), streamRequest().Route.MaxAttempts; got > want {
		t.Errorf("got %d attempts at %d servers, all of which may have run, want at most %d", got, countServers(b), want)
	}
}

// Guards against an ejection of a sound server: one silence was recorded as a failure each time
// that another server refused the request.
func TestOneSilenceIsOneFailure(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){silentStream, refusal(Full)}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.SetBudget = func(w *retries.WindowBudget) { w.Length, w.Reserve = 10*time.Second, 20 }
		d.Serve(t.Context(), streamRequest(), &fakeCaller{})
		silent := b.received[0].server
		if got, want := d.chooser.breakers.IsEjected(time.Now(), silent), false; got != want {
			t.Errorf("after one silence of %v and %d attempts elsewhere, ejected: got %v, want %v", serverSilence, len(b.received)-1, got, want)
		}
	})
}

// slowBody is a body that takes 500 ms.
type slowBody struct {
	ctx  context.Context
	done bool
}

func (r *slowBody) Read(p []byte) (int, error) {
	if r.done {
		return 0, io.EOF
	}
	select {
	case <-time.After(500 * time.Millisecond):
	case <-r.ctx.Done():
		return 0, r.ctx.Err()
	}
	r.done = true
	return copy(p, "body"), nil
}

func (r *slowBody) Close() error { return nil }

// Guards against needless attempts: a server that has responded and still sends its body was
// taken for silent.
func TestServerThatSendsItsBodyIsNotSilent(t *testing.T) {
	responding := func(ctx context.Context) (*Response, error) {
		return &Response{Status: 200, Verified: true, Body: &slowBody{ctx: ctx}}, nil
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){responding}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.Serve(t.Context(), plainRequest(fleet.Idempotent), &fakeCaller{})
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), 1; got != want {
		t.Errorf("got %d attempts, want %d", got, want)
	}
}

// Guards against needless attempts: a server that had gone on with its response head was still
// taken for silent when the attempt beside it was refused.
func TestHeadEndsTheSilence(t *testing.T) {
	head := func(ctx context.Context) (*Response, error) {
		time.Sleep(500 * time.Millisecond)
		return &Response{Status: 200, Verified: true, Events: &silentEvents{ctx: ctx, next: 2, last: 3, wait: 500 * time.Millisecond}}, nil
	}
	lateRefusal := func(ctx context.Context) (*Response, error) {
		time.Sleep(250 * time.Millisecond)
		return refusal(Full)(ctx)
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){head, lateRefusal}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		r := streamRequest()
		d.Serve(t.Context(), r, &fakeCaller{})
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), 2; got != want {
		t.Errorf("got %d attempts, want %d: the head had arrived 50 ms before the refusal", got, want)
	}
}

// Guards against LOST: when the retry budget lacked room at the first silence, a server whose
// connection is dead was not replaced although the budget had room soon after.
func TestHedgeIsTriedAgainWhenTheBudgetHasRoom(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){endableStream(make(chan time.Time, 1)), streamResponse(io.EOF, 2, 3)}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		for d.spendHedge("engines") {
			continue
		}
		time.Sleep(8 * time.Second)
		c := &fakeCaller{}
		r := streamRequest()
		r.Deadline = r.ArrivedAt.Add(30 * time.Second)
		if got, want := d.Serve(t.Context(), r, c), Served; got != want {
			t.Errorf("got %v with %q after %d attempts, want %v", got, c.body, len(b.received), want)
		}
		time.Sleep(time.Second)
	})
}

// Guards against a refusal of sound requests: a cut of this node's link ended both attempts of a
// request, and its content was taken for one that crashes servers.
func TestOneCutOfTheLinkIsNoReasonToRefuseAContent(t *testing.T) {
	timedOut := func(ctx context.Context) (*Response, error) {
		select {
		case <-time.After(2 * time.Second):
			return nil, verdict.UnknownOutcome(verdict.BackendFailed, "no response", errors.WithStack(syscall.ETIMEDOUT))
		case <-ctx.Done():
			return blockUntilCancelled(ctx)
		}
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){timedOut}, reachError: errors.New("timed out")}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		r := streamRequest()
		d.Serve(t.Context(), r, &fakeCaller{})
		time.Sleep(time.Second)
		if got, want := d.standing(r.Content), suspects.Refused; got == want {
			t.Errorf("got %v after one request with %d attempts", got, len(b.received))
		}
	})
}

// Guards against TWICE: a stream went on at another server, which was silent itself after its
// response head, while the server before still worked on it.
func TestSilentAttemptEndsSoonAfterTheNextRunBegins(t *testing.T) {
	const (
		prefill       = 300 * time.Millisecond
		runsTogether  = 400 * time.Millisecond
		secondSilence = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		var resumedAt time.Time
		resumption := func(ctx context.Context) (*Response, error) {
			time.Sleep(prefill)
			resumedAt = time.Now()
			return &Response{Status: 200, Verified: true, Events: &silentEvents{ctx: ctx, next: 2, last: 3, wait: secondSilence}}, nil
		}
		b := &fakeBackend{responses: []func(context.Context) (*Response, error){endableStream(ended), resumption}}
		d := newTestDispatcher(b)
		d.Serve(t.Context(), streamRequest(), &fakeCaller{})
		if got, want := (<-ended).Sub(resumedAt), runsTogether; got > want {
			t.Errorf("the silent attempt ended %v after another server had begun to go on, want at most %v", got, want)
		}
	})
}

// Guards against LOST: a panic in an attempt ended the process, and every request that it had
// read with it.
func TestPanicEndsItsAttemptAlone(t *testing.T) {
	panicking := func(context.Context) (*Response, error) { panic("attempt") }
	o, c, _ := serve(t, streamRequest, panicking, streamResponse(io.EOF, 1))
	if got, want := string(c.body), "1"; o != Served || got != want {
		t.Errorf("got %v with %q, want Served with %q", o, got, want)
	}
}
