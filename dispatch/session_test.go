package dispatch

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// receivedAttempt is one attempt that a fakeBackend received.
type receivedAttempt struct {
	server  domain.ServerID
	attempt Attempt
}

// fakeBackend responds to each attempt with the next of its responses, and repeats the last
// response for all further attempts.
type fakeBackend struct {
	mu        sync.Mutex
	responses []func(ctx context.Context) (*Response, error)
	received  []receivedAttempt
	// reachError is the result of Reach.
	reachError error
}

func (b *fakeBackend) Send(ctx context.Context, s *fleet.Server, _ *Request, a Attempt) (*Response, error) {
	b.mu.Lock()
	i := min(len(b.received), len(b.responses)-1)
	b.received = append(b.received, receivedAttempt{server: s.ID, attempt: a})
	b.mu.Unlock()
	return b.responses[i](ctx)
}

func (b *fakeBackend) Reach(context.Context, *fleet.Server) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reachError
}

// setReachError sets the result of Reach from now on.
func (b *fakeBackend) setReachError(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reachError = err
}

// fakeEvents returns its events, each after delay, and then err. If err is nil, it blocks
// until ctx ends.
type fakeEvents struct {
	events []Event
	err    error
	delay  time.Duration
	ctx    context.Context
}

func (e *fakeEvents) Next() (Event, error) {
	if len(e.events) == 0 {
		if e.err == nil {
			<-e.ctx.Done()
			return Event{}, e.ctx.Err()
		}
		return Event{}, e.err
	}
	time.Sleep(e.delay)
	next := e.events[0]
	e.events = e.events[1:]
	return next, nil
}

func (*fakeEvents) IsWaiting() bool { return false }

func (e *fakeEvents) Close() {}

// streamResponse responds with a stream of events that ends with err.
func streamResponse(err error, ids ...EventID) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		e := &fakeEvents{err: err, ctx: ctx}
		for _, id := range ids {
			e.events = append(e.events, Event{ID: id, Raw: []byte{byte('0' + id)}})
		}
		return &Response{Status: 200, Verified: true, Events: e}, nil
	}
}

// bodyResponse responds with a body instead of a stream.
func bodyResponse(status int, body string) func(context.Context) (*Response, error) {
	return func(context.Context) (*Response, error) {
		return &Response{Status: status, Verified: true, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
	}
}

// refusal responds that the server did not run the request.
func refusal(r Refusal) func(context.Context) (*Response, error) {
	return func(context.Context) (*Response, error) {
		return &Response{Status: 503, Refusal: r, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

// failedAttempt returns an error with the given verdict instead of a response.
func failedAttempt(v verdict.Verdict) func(context.Context) (*Response, error) {
	return func(context.Context) (*Response, error) {
		e := verdict.UnknownOutcome(verdict.BackendFailed, "no response", errors.New("reset"))
		e.Verdict = v
		return nil, e
	}
}

// blockUntilCancelled simulates an unresponsive server.
func blockUntilCancelled(ctx context.Context) (*Response, error) {
	<-ctx.Done()
	return nil, verdict.UnknownOutcome(verdict.BackendFailed, "no response", ctx.Err())
}

// fakeCaller records the response or the error that it receives.
type fakeCaller struct {
	responseStarted, complete, aborted bool
	status                             int
	body                               []byte
	writtenError                       *verdict.Error
}

func (c *fakeCaller) WriteResponse(r *Response, body [][]byte) error {
	c.responseStarted, c.complete, c.status, c.body = true, true, r.Status, bytes.Join(body, nil)
	return nil
}

func (c *fakeCaller) StartResponse(r *Response) error {
	c.responseStarted, c.status = true, r.Status
	return nil
}

func (c *fakeCaller) WritePart(part []byte) error {
	c.body = append(c.body, part...)
	return nil
}

func (c *fakeCaller) StartStream(r *Response) error {
	c.responseStarted, c.status = true, r.Status
	return nil
}

func (c *fakeCaller) WriteEvent(raw []byte) error {
	c.complete = raw == nil
	c.body = append(c.body, raw...)
	return nil
}

func (c *fakeCaller) WriteError(e *verdict.Error) { c.writtenError = e }
func (c *fakeCaller) Abort()                      { c.aborted = true }

type noCounters struct{}

func (noCounters) CountRequest(fleet.Kind, Outcome, time.Duration) {}
func (noCounters) CountAttempt(string)                             {}
func (noCounters) CountKeptAway(fleet.Restriction)                 {}
func (noCounters) CountCrash()                                     {}
func (noCounters) CountEnd(bool)                                   {}
func (noCounters) CountEndedEarly(string, bool)                    {}
func (noCounters) CountTraitDecision(bool)                         {}

// newTestDispatcher returns a dispatcher with two plain servers and two engines. Both
// engines have the model "m" loaded.
func newTestDispatcher(b Backend) *Dispatcher {
	d := New(Options{
		Zone: "z", Views: &Views{}, Demand: &DemandCounter{}, Backend: b, Logger: zerolog.Nop(), Counters: noCounters{},
		SetBudget: func(w *retries.WindowBudget) { w.Length, w.Reserve = 10*time.Second, 5 },
	})
	d.Views.Publish(newTestView(true))
	return d
}

// newTestView returns a view of two plain servers and two engines. If loaded is true,
// both engines have the model "m" loaded.
func newTestView(loaded bool) *View {
	engine := &fleet.Engine{Slots: 4, Memory: 100, AdapterSlots: 2, Models: map[domain.ModelName]fleet.Model{
		"m":    {Name: "m", Memory: 10, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond},
		"cold": {Name: "cold", Memory: 10, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond},
	}}
	c := &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"engines": {Name: "engines", Engine: engine}, "plain": {Name: "plain"}}}
	engineState := fleet.EngineState{}
	if loaded {
		engineState.Models = []fleet.LoadedModel{{Model: "m"}}
	}
	return &View{Config: c, Servers: map[domain.ServiceName][]*fleet.Server{
		"plain":   {{ID: "p1", Service: "plain", Slots: 2, Zone: "z"}, {ID: "p2", Service: "plain", Slots: 2, Zone: "z"}},
		"engines": {{ID: "a", Service: "engines", Slots: 4, Zone: "z", EngineState: engineState}, {ID: "b", Service: "engines", Slots: 4, Zone: "z", EngineState: engineState}},
	}}
}

func streamRequest() *Request {
	return &Request{
		ID: "1", Service: "engines", Model: "m", ArrivedAt: time.Now(), Deadline: time.Now().Add(15 * time.Second),
		Route: &fleet.Route{Name: "r", Kind: fleet.Streaming, LatencyGoal: 600 * time.Millisecond, MaxAttempts: 2, Resumable: true},
	}
}

func plainRequest(k fleet.Kind) *Request {
	return &Request{
		ID: "1", Service: "plain", ArrivedAt: time.Now(), Deadline: time.Now().Add(time.Second),
		Route: &fleet.Route{Name: "r", Kind: k, LatencyGoal: 100 * time.Millisecond, MaxAttempts: 2},
	}
}

// serve serves one request with a backend that has the given responses.
func serve(t *testing.T, newRequest func() *Request, responses ...func(context.Context) (*Response, error)) (Outcome, *fakeCaller, *fakeBackend) {
	t.Helper()
	b := &fakeBackend{responses: responses}
	c := &fakeCaller{}
	var o Outcome
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		o = d.Serve(t.Context(), newRequest(), c)
		synctest.Wait()
		time.Sleep(time.Second)
	})
	return o, c, b
}

func TestStreamResumedAfterItsLastEventHasHead(t *testing.T) {
	request := func() *Request {
		r := streamRequest()
		r.LastEvent = 3
		return r
	}
	o, c, _ := serve(t, request, streamResponse(io.EOF, 1, 2, 3))
	if got, want := [3]bool{o == Served, c.responseStarted, c.complete}, [3]bool{true, true, true}; got != want {
		t.Errorf("served, started, complete: got %v, want %v", got, want)
	}
}

func TestStreamResumesAtAnotherServer(t *testing.T) {
	o, c, b := serve(t, streamRequest, streamResponse(errors.New("reset"), 1, 2), streamResponse(io.EOF, 1, 2, 3))
	if got, want := string(c.body), "123"; o != Served || got != want {
		t.Errorf("got %v with %q, want %q", o, got, want)
	}
	if got, want := b.received[1].attempt.LastEvent, EventID(2); got != want || b.received[0].server == b.received[1].server {
		t.Errorf("second attempt: resumes after event %d at %s, want after %d at a server other than %s", got, b.received[1].server, want, b.received[0].server)
	}
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	request := func() *Request {
		r := streamRequest()
		r.Route.Resumable = false
		return r
	}
	o, c, b := serve(t, request, streamResponse(errors.New("reset"), 1))
	if o != Broken || !c.aborted || c.complete || len(b.received) != 1 {
		t.Errorf("got %v, aborted %v, complete %v after %d attempts, want Broken and aborted after one", o, c.aborted, c.complete, len(b.received))
	}
}

func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	nonIdempotent := func() *Request { return plainRequest(fleet.NonIdempotent) }
	o, c, b := serve(t, nonIdempotent, failedAttempt(verdict.MayHaveRun))
	if got, want := len(b.received), 1; got != want || o != Failed {
		t.Errorf("got %d attempts and %v, want %d and Failed", got, o, want)
	}
	if got, want := c.writtenError.Verdict, verdict.MayHaveRun; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}

func TestNonIdempotentRequestIsRetriedAfterNotRun(t *testing.T) {
	nonIdempotent := func() *Request { return plainRequest(fleet.NonIdempotent) }
	for _, firstResponse := range []func(context.Context) (*Response, error){failedAttempt(verdict.NotRun), refusal(Full), refusal(Elsewhere)} {
		o, c, b := serve(t, nonIdempotent, firstResponse, bodyResponse(200, "done"))
		if got, want := string(c.body), "done"; o != Served || got != want {
			t.Errorf("got %v with %q after %d attempts, want %q", o, got, len(b.received), want)
		}
	}
}

func TestRefusalAfterUnknownOutcomeIsMayHaveRun(t *testing.T) {
	idempotent := func() *Request { return plainRequest(fleet.Idempotent) }
	_, c, _ := serve(t, idempotent, failedAttempt(verdict.MayHaveRun), refusal(Full))
	if got, want := c.writtenError.Verdict, verdict.MayHaveRun; got != want {
		t.Errorf("verdict: got %v, want %v", got, want)
	}
}

func TestErrorResponseIsForwarded(t *testing.T) {
	idempotent := func() *Request { return plainRequest(fleet.Idempotent) }
	o, c, b := serve(t, idempotent, bodyResponse(500, "broken"))
	if got, want := c.status, 500; got != want || o != FailedThere || len(b.received) != 2 {
		t.Errorf("got status %d and %v after %d attempts, want %d and FailedThere after 2", got, o, len(b.received), want)
	}
}

func TestUnverifiedResponseIsNotForwarded(t *testing.T) {
	nonIdempotent := func() *Request { return plainRequest(fleet.NonIdempotent) }
	unverified := func(context.Context) (*Response, error) {
		return &Response{Status: 200, Body: io.NopCloser(bytes.NewBufferString("other"))}, nil
	}
	_, c, _ := serve(t, nonIdempotent, unverified)
	if c.responseStarted || c.writtenError == nil || c.writtenError.Verdict == verdict.NotRun {
		t.Errorf("got started %v and refusal %v, want a refusal other than NotRun", c.responseStarted, c.writtenError)
	}
}

func TestUnresponsiveServerIsReplaced(t *testing.T) {
	o, c, b := serve(t, streamRequest, blockUntilCancelled, streamResponse(io.EOF, 1))
	if got, want := string(c.body), "1"; o != Served || got != want || len(b.received) != 2 {
		t.Errorf("got %v with %q after %d attempts, want %q after 2", o, got, len(b.received), want)
	}
}

// The response of a slow server arrives at the same time as its attempt times out.
func TestResponseThatRacesWithTheTimeoutIsDiscarded(t *testing.T) {
	respondAtTimeout := func(ctx context.Context) (*Response, error) {
		<-ctx.Done()
		return streamResponse(nil, 1)(ctx)
	}
	o, c, _ := serve(t, streamRequest, respondAtTimeout, refusal(Full))
	if got, want := o, Failed; got != want || c.responseStarted {
		t.Errorf("got %v, started %v, want %v and nothing sent to the caller", got, c.responseStarted, want)
	}
}

func TestUnresponsiveServerIsKeptWithoutRetryBudget(t *testing.T) {
	respondAfterASecond := func(ctx context.Context) (*Response, error) {
		select {
		case <-ctx.Done():
			return nil, verdict.UnknownOutcome(verdict.BackendFailed, "attempt cancelled", ctx.Err())
		case <-time.After(time.Second):
			return streamResponse(io.EOF, 1)(ctx)
		}
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){respondAfterASecond}}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.SetBudget = func(w *retries.WindowBudget) { w.Length = time.Second }
		if got, want := d.Serve(t.Context(), streamRequest(), c), Served; got != want || len(b.received) != 1 {
			t.Errorf("got %v after %d attempts, want %v after 1", got, len(b.received), want)
		}
	})
}

func TestRequestWaitsForModel(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(io.EOF, 1)}}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.Views.Publish(newTestView(false))
		r := streamRequest()
		r.Route.LatencyGoal = 4 * time.Second
		go func() {
			time.Sleep(5 * time.Second)
			d.Views.Publish(newTestView(true))
		}()
		if got, want := d.Serve(t.Context(), r, c), Served; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, want := time.Since(r.ArrivedAt), 5*time.Second; got != want {
			t.Errorf("took %v, want %v", got, want)
		}
	})
}

func TestColdStartBeyondStallTimeoutIsRefusedAtOnce(t *testing.T) {
	b := &fakeBackend{}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.Views.Publish(newTestView(false))
		r := streamRequest()
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, want := time.Since(r.ArrivedAt), time.Duration(0); got != want {
			t.Errorf("refused after %v, want %v", got, want)
		}
		if got, limit := c.writtenError.RetryAfter, 5*time.Second; got <= 0 || got >= limit {
			t.Errorf("Retry-After: got %v, want more than 0 and less than a third of the time left, %v", got, limit)
		}
	})
}

func TestDrainEndsWaiting(t *testing.T) {
	b := &fakeBackend{}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		d.Views.Publish(newTestView(false))
		r := streamRequest()
		r.Route.LatencyGoal = 4 * time.Second
		go func() {
			time.Sleep(time.Second)
			d.Drain(Shutdown{WaitUntil: time.Now().Add(2 * time.Second), EndsAt: time.Now().Add(time.Minute)})
		}()
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, limit := time.Since(r.ArrivedAt), 3*time.Second; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
		if got, want := c.writtenError.Verdict, verdict.NotRun; got != want {
			t.Errorf("verdict: got %v, want %v", got, want)
		}
	})
}

func TestContentThatCrashedServersIsRefused(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){failedAttempt(verdict.MayHaveRun)}, reachError: errors.New("refused")}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		for range 6 {
			r := plainRequest(fleet.NonIdempotent)
			r.Content = suspects.Content{1}
			d.Serve(t.Context(), r, &fakeCaller{})
			time.Sleep(time.Second)
		}
	})
	if got, limit := len(b.received), 3; got > limit {
		t.Errorf("got %d attempts, want at most %d", got, limit)
	}
}

// A caller disconnects while a server is unresponsive: the request is not sent again and
// no retry budget is spent on it.
func TestNoRetryAfterCallerDisconnects(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, disconnect)
		if got, want := d.Serve(ctx, streamRequest(), &fakeCaller{}), Left; got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		synctest.Wait()
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), 1; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}
