package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

const testDrainBound = 2 * time.Second

// notice makes a server say something of itself, as a response to an earlier request.
func notice(d *Dispatcher, id domain.ServerID, n fleet.Notice) {
	d.Notices.Record(time.Now(), fleet.Incarnation{ID: id, StartedAtMs: 1}, n)
}

// withNotices calls f with a dispatcher whose requests get the given responses. The
// servers are those of newTestView, all in their first incarnation.
func withNotices(t *testing.T, f func(t *testing.T, d *Dispatcher, b *fakeBackend), responses ...func(context.Context) (*Response, error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &fakeBackend{responses: responses}
		d := newTestDispatcher(b)
		d.Notices.DrainBound = testDrainBound
		d.Views.Publish(viewOfIncarnation(1))
		f(t, d, b)
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// viewOfIncarnation returns the test view with the given start of all servers.
func viewOfIncarnation(startedAtMs int64) *View {
	v := newTestView(true)
	for _, servers := range v.Servers {
		for _, s := range servers {
			s.EngineState.StartedAtMs = startedAtMs
		}
	}
	return v
}

func (b *fakeBackend) countAt(id domain.ServerID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, r := range b.received {
		if r.server == id {
			n++
		}
	}
	return n
}

// serveAll serves n idempotent requests one after another.
func serveAll(t *testing.T, d *Dispatcher, n int) {
	t.Helper()
	for range n {
		if got, want := d.Serve(t.Context(), plainRequest(fleet.Idempotent), &fakeCaller{}), Served; got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
	}
}

// Guards against DRAIN: a node sends new requests to a server that has said that it leaves.
func TestLeavingServerGetsNoRequestThatAnotherServerCanTake(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{Leaving: true})
		serveAll(t, d, 20)
		if got, want := b.countAt("p1"), 0; got != want {
			t.Errorf("requests at the leaving server: got %d, want %d", got, want)
		}
	}, bodyResponse(200, "ok"))
}

// Guards against DRAIN: a registration that says ready, or a store that is away, makes a
// node use a leaving server again. A published view stands for every registration, listing
// and announcement of the owner.
func TestRegistrationDoesNotEndALeavingNotice(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{Leaving: true})
		for range 20 {
			time.Sleep(time.Hour)
			d.Views.Publish(viewOfIncarnation(1))
			serveAll(t, d, 2)
		}
		d.Views.Publish(viewOfIncarnation(0))
		serveAll(t, d, 10)
		if got, want := b.countAt("p1"), 0; got != want {
			t.Errorf("requests at the leaving server: got %d, want %d", got, want)
		}
	}, bodyResponse(200, "ok"))
}

func TestNewIncarnationOfALeavingServerIsUsed(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{Leaving: true})
		notice(d, "p2", fleet.Notice{Leaving: true})
		d.Views.Publish(viewOfIncarnation(2))
		serveAll(t, d, 20)
		if b.countAt("p1") == 0 || b.countAt("p2") == 0 {
			t.Errorf("requests: got %d and %d, want some at both new incarnations", b.countAt("p1"), b.countAt("p2"))
		}
	}, bodyResponse(200, "ok"))
}

// Guards against DRAIN: the only server of a service leaves, and requests that arrive after
// the bound still go there.
func TestLeavingServerIsALastResortWithinTheDrainBound(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{Leaving: true})
		notice(d, "p2", fleet.Notice{Leaving: true})
		time.Sleep(testDrainBound)
		serveAll(t, d, 3)
		sent := len(b.received)
		if sent != 3 {
			t.Errorf("attempts within the bound: got %d, want 3", sent)
		}
		time.Sleep(time.Millisecond)
		c := &fakeCaller{}
		if got, want := d.Serve(t.Context(), plainRequest(fleet.Idempotent), c), Refused; got != want || len(b.received) != sent {
			t.Errorf("after the bound: got %v and %d attempts, want %v and none", got, len(b.received)-sent, want)
		}
		if c.writtenError == nil || c.writtenError.RetryAfter <= 0 {
			t.Errorf("got %v, want a refusal with a Retry-After", c.writtenError)
		}
	}, bodyResponse(200, "ok"))
}

// A request that arrived within the drain bound and that the other server has refused still
// finds the leaving one.
func TestRefusedRequestMayUseALeavingServer(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{Leaving: true})
		serveAll(t, d, 1)
		if len(b.received) != 2 || b.received[0].server != "p2" || b.received[1].server != "p1" {
			t.Errorf("got attempts %v, want one at p2 and then one at p1", b.received)
		}
	}, refusal(Full), bodyResponse(200, "ok"))
}

// requestAfterRetryNotice serves a request after p1 has asked for a time, and returns the
// number of attempts at p1.
func requestAfterRetryNotice(t *testing.T, r func() *Request, id domain.ServerID, first func(context.Context) (*Response, error), second func(context.Context) (*Response, error)) (Outcome, int) {
	t.Helper()
	var o Outcome
	n := 0
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, id, fleet.Notice{RetryAfter: 5 * time.Second})
		o = d.Serve(t.Context(), r(), &fakeCaller{})
		n = b.countAt(id)
	}, first, second)
	return o, n
}

// Guards against BUDGET: hedges, retries and resumed streams go to a server that has asked
// for no requests.
func TestFurtherAttemptsPassTheRestrictions(t *testing.T) {
	nonIdempotent := func() *Request { return plainRequest(fleet.NonIdempotent) }
	idempotent := func() *Request { return plainRequest(fleet.Idempotent) }
	for _, c := range []struct {
		name   string
		r      func() *Request
		server domain.ServerID
		first  func(context.Context) (*Response, error)
		second func(context.Context) (*Response, error)
	}{
		{"hedge", idempotent, "p1", blockUntilCancelled, bodyResponse(200, "ok")},
		{"hedged stream", streamRequest, "a", blockUntilCancelled, streamResponse(io.EOF, 1)},
		{"retry after a refusal", nonIdempotent, "p1", refusal(Full), bodyResponse(200, "ok")},
		{"retry after a failure", idempotent, "p1", failedAttempt(verdict.MayHaveRun), bodyResponse(200, "ok")},
		{"resumed stream", streamRequest, "a", streamResponse(errors.New("reset"), 1, 2), streamResponse(io.EOF, 3)},
	} {
		t.Run(c.name, func(t *testing.T) {
			if o, n := requestAfterRetryNotice(t, c.r, c.server, c.first, c.second); n != 0 {
				t.Errorf("got %d attempts at the server that asks for time (outcome %v), want none", n, o)
			}
		})
	}
}

// Guards against BUDGET: a request that waits for a server that has asked for time is sent
// when its own backoff ends.
func TestWaitingRequestIsSentWhenTheRequestedTimeIsOver(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		const retryAfter = 700 * time.Millisecond
		notice(d, "p1", fleet.Notice{RetryAfter: retryAfter})
		notice(d, "p2", fleet.Notice{RetryAfter: 900 * time.Millisecond})
		r := plainRequest(fleet.Idempotent)
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
		if got, want := time.Since(r.ArrivedAt), retryAfter; got != want || b.countAt("p1") != 1 {
			t.Errorf("served after %v with %d attempts at p1, want after %v with one", got, b.countAt("p1"), want)
		}
	}, bodyResponse(200, "ok"))
}

// The caller learns when a server takes requests again, and is refused at once and not at
// its deadline.
func TestRefusalTellsWhenAServerTakesRequestsAgain(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, b *fakeBackend) {
		notice(d, "p1", fleet.Notice{RetryAfter: 5 * time.Second})
		notice(d, "p2", fleet.Notice{RetryAfter: 3 * time.Second})
		c, r := &fakeCaller{}, plainRequest(fleet.Idempotent)
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want || len(b.received) != 0 {
			t.Fatalf("got %v after %d attempts, want %v after none", got, len(b.received), want)
		}
		if got, low, high := c.writtenError.RetryAfter, 3*time.Second, 3300*time.Millisecond; got < low || got > high {
			t.Errorf("Retry-After: got %v, want %v to %v", got, low, high)
		}
		if got, want := time.Since(r.ArrivedAt), time.Duration(0); got != want {
			t.Errorf("refused after %v, want %v", got, want)
		}
	}, bodyResponse(200, "ok"))
}

// The owner loads a model elsewhere only if it learns that requests wait for it.
func TestRequestWaitsForAModelThatLivesOnALeavingServer(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, _ *fakeBackend) {
		v := viewOfIncarnation(1)
		v.Servers["engines"][1].EngineState.Models = nil
		v.Servers["engines"][1].EngineState.InMemory = []domain.ModelName{"m"}
		d.Views.Publish(v)
		notice(d, "a", fleet.Notice{Leaving: true})
		time.Sleep(testDrainBound + time.Millisecond)
		r := streamRequest()
		go func() {
			time.Sleep(600 * time.Millisecond)
			if got := d.Demand.TakeAll(time.Now()); len(got) != 1 || got[0].Waiting != 1 {
				t.Errorf("demand: got %+v, want one waiting request", got)
			}
			loaded := viewOfIncarnation(1)
			loaded.Servers["engines"][0].EngineState.Models = nil
			d.Views.Publish(loaded)
		}()
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
			t.Errorf("outcome: got %v, want %v", got, want)
		}
	}, streamResponse(io.EOF, 1))
}

// crowdBackend refuses every request with a Retry-After until a time, and serves it later.
type crowdBackend struct {
	dispatcher *Dispatcher
	retryAfter time.Duration

	mu       sync.Mutex
	arrivals []time.Time
	// refusedAt is when the first request was refused; refusals end retryAfter later.
	refusedAt time.Time
}

func (b *crowdBackend) Send(_ context.Context, s *fleet.Server, _ *Request, _ Attempt) (*Response, error) {
	time.Sleep(20 * time.Millisecond)
	now := time.Now()
	b.mu.Lock()
	b.arrivals = append(b.arrivals, now)
	if b.refusedAt.IsZero() {
		b.refusedAt = now
	}
	left := b.refusedAt.Add(b.retryAfter).Sub(now)
	b.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if left > 0 {
		b.dispatcher.Notices.Record(time.Now(), s.Incarnation(), fleet.Notice{RetryAfter: left})
		return &Response{Status: 503, Refusal: Full, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
	return &Response{Status: 200, Verified: true, Body: io.NopCloser(bytes.NewBufferString("ok"))}, nil
}

func (b *crowdBackend) Reach(context.Context, *fleet.Server) error { return nil }

// Guards against BUDGET: many requests at once, waiting and new ones, reach a server that
// has asked for time. Half a second after its 503 at most two may.
func TestManyRequestsLeaveAServerAloneForTheRequestedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &crowdBackend{retryAfter: 3 * time.Second}
		d := newTestDispatcher(b)
		b.dispatcher = d
		v := viewOfIncarnation(1)
		v.Servers["plain"] = v.Servers["plain"][:1]
		d.Views.Publish(v)
		var callers sync.WaitGroup
		for i := range 600 {
			callers.Go(func() {
				r := plainRequest(fleet.Kind(i % 2))
				r.Deadline = time.Now().Add(time.Duration(1+i%5) * time.Second)
				d.Serve(t.Context(), r, &fakeCaller{})
			})
			time.Sleep(5 * time.Millisecond)
		}
		callers.Wait()
		crossed, later := 0, 0
		for _, at := range b.arrivals {
			switch since := at.Sub(b.refusedAt); {
			case since >= b.retryAfter:
				later++
			case since > 500*time.Millisecond:
				crossed++
			}
		}
		if got, limit := crossed, 2; got > limit {
			t.Errorf("requests between 0.5 s after the 503 and the end of its time: got %d, want %d at most", got, limit)
		}
		if later == 0 {
			t.Error("no request reached the server after the end of the time")
		}
	})
}

// countingCounters counts the requests that were kept away.
type countingCounters struct {
	noCounters
	keptAway [fleet.RetryLater + 1]int
}

func (c *countingCounters) CountKeptAway(r fleet.Restriction) { c.keptAway[r]++ }

func TestKeptAwayRequestsAreLoggedAndCountedOnce(t *testing.T) {
	withNotices(t, func(t *testing.T, d *Dispatcher, _ *fakeBackend) {
		var log bytes.Buffer
		counters := &countingCounters{}
		d.Logger, d.Counters = zerolog.New(&log), counters
		notice(d, "p1", fleet.Notice{Leaving: true})
		time.Sleep(testDrainBound + time.Second)
		serveAll(t, d, 1)
		if got, want := log.String(), `"KeptAway":"p1 leaving for 3000 ms"`; strings.Count(got, want) != 2 {
			t.Errorf("got lines %s, want %s in the lines of the attempt and the request", got, want)
		}
		notice(d, "p2", fleet.Notice{RetryAfter: 400 * time.Millisecond})
		serveAll(t, d, 1)
		if got, want := counters.keptAway, [...]int{0, 2, 1}; got != want {
			t.Errorf("kept away, by restriction: got %v, want %v", got, want)
		}
	}, bodyResponse(200, "ok"))
}

// benchmarkView returns a view of n servers of a service with models. All have the model m.
func benchmarkView(n int) *View {
	v := viewOfIncarnation(1)
	v.Servers["engines"] = nil
	for i := range n {
		s := &fleet.Server{ID: domain.ServerID(fmt.Sprint("i", i)), Service: "engines", Slots: 12, Zone: "z"}
		s.EngineState = fleet.EngineState{StartedAtMs: 1, Models: []fleet.LoadedModel{{Model: "m"}}}
		v.Servers["engines"] = append(v.Servers["engines"], s)
	}
	return v
}

// BenchmarkPickServer measures the choice of a server for a request, with all servers as
// candidates, where no server has said anything and where one in ten leaves.
func BenchmarkPickServer(b *testing.B) {
	for _, servers := range []int{140, 10000} {
		for _, leaving := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/leaving=%v", servers, leaving), func(b *testing.B) {
				d := newTestDispatcher(&fakeBackend{})
				d.Views.Publish(benchmarkView(servers))
				for i, s := range d.Views.Get().Servers["engines"] {
					if leaving && i%10 == 0 {
						d.Notices.Record(time.Now(), s.Incarnation(), fleet.Notice{Leaving: true})
					}
				}
				r := streamRequest()
				r.Deadline = time.Now().Add(time.Hour)
				for b.Loop() {
					s := &session{dispatcher: d, request: r}
					server, e := s.pickServer(b.Context())
					if e != nil {
						b.Fatal(e)
					}
					d.chooser.release(server, r)
				}
			})
		}
	}
}
