package dispatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// report records a load report of each engine.
func report(d *Dispatcher, l Load) {
	l.Pace = 1
	now := time.Now()
	for _, s := range d.Views.Get().Servers["engines"] {
		d.chooser.recordResponse(now, s, streamRequest(), 10*time.Millisecond, l)
	}
	d.rooms.recordReport(now, "engines", &d.chooser)
	d.grantAll(now)
}

// repeatReport reports the load again and again until the context ends.
func repeatReport(ctx context.Context, d *Dispatcher, l Load) {
	for ctx.Err() == nil {
		report(d, l)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

var fullLoad = Load{Known: true, Running: 4, Waiting: 6, Slots: 4, Pace: 1}

// A request that waits at full servers until its deadline is refused too late for another node.
func TestRequestIsRefusedEarlyIfServersAreFull(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(io.EOF, 1)}}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newTestDispatcher(b)
		go repeatReport(ctx, d, fullLoad)
		synctest.Wait()
		r := streamRequest()
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, limit := time.Since(r.ArrivedAt), r.Route.LatencyGoal/8; got > limit {
			t.Errorf("refused after %v, want at most an eighth of the goal, %v", got, limit)
		}
		if got, limit := c.writtenError.RetryAfter, time.Duration(0.3*float64(15*time.Second)); got <= 0 || got > limit {
			t.Errorf("Retry-After: got %v, want more than 0 and at most %v", got, limit)
		}
	})
	if got := len(b.received); got != 0 || c.writtenError.Verdict != verdict.NotRun {
		t.Errorf("got %d attempts and %v, want none and NotRun", got, c.writtenError.Verdict)
	}
}

// Reports older than 1.5 s say nothing: the request is sent.
func TestStaleReportsDoNotRefuse(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){streamResponse(io.EOF, 1)}}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		report(d, fullLoad)
		time.Sleep(loadReportLifetime)
		if got, want := d.Serve(t.Context(), streamRequest(), &fakeCaller{}), Served; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// rankBackend runs one request after the other for holdTime and records their order.
type rankBackend struct {
	mu       sync.Mutex
	order    []domain.RequestID
	holdTime time.Duration
}

func (b *rankBackend) Send(ctx context.Context, s *fleet.Server, r *Request, _ Attempt) (*Response, error) {
	b.mu.Lock()
	b.order = append(b.order, r.ID)
	b.mu.Unlock()
	time.Sleep(b.holdTime)
	return streamResponse(io.EOF, 1)(ctx)
}

func (*rankBackend) Reach(context.Context, *fleet.Server) error { return nil }

// Requests wait in the order of their ranks, also if a less urgent one came first, and count as
// waiting in the demand, so that the owner adds replicas.
func TestWaitingRequestsGetRoomByRank(t *testing.T) {
	b := &rankBackend{holdTime: 100 * time.Millisecond}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newTestDispatcher(b)
		// All slots are in use, and so is the queue for the most urgent rank.
		go repeatReport(ctx, d, Load{Known: true, Running: 4, Waiting: 2, Slots: 4})
		synctest.Wait()
		var requests sync.WaitGroup
		for i, rank := range []int{5, 9, 0} {
			r := streamRequest()
			r.ID, r.Rank = domain.RequestID(rune('0'+rank)), rank
			r.Route.LatencyGoal = 4 * time.Second
			requests.Go(func() {
				if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
					t.Errorf("rank %d: got %v, want %v", rank, got, want)
				}
			})
			synctest.Wait()
			if got, want := d.Demand.TakeAll(time.Now())[0].Waiting, i+1; got != want {
				t.Errorf("waiting requests in the demand: got %d, want %d", got, want)
			}
		}
		cancel()
		time.Sleep(300 * time.Millisecond)
		// One more place than the less urgent ranks may use, then one at a time.
		for free := range 3 {
			report(d, Load{Known: true, Running: 3 - free, Slots: 4})
			time.Sleep(150 * time.Millisecond)
		}
		requests.Wait()
	})
	if got, want := b.order[0], domain.RequestID("0"); got != want {
		t.Errorf("first request: got rank %s, want %s", got, want)
	}
}

// A request whose first server rejects it goes to the other one; if that rejects it too, it is not
// held until its deadline.
func TestRejectedRequestIsNotHeld(t *testing.T) {
	reject := func(context.Context) (*Response, error) {
		r, _ := refusal(Full)(nil)
		r.Load = fullLoad
		return r, nil
	}
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){reject}}
	c := &fakeCaller{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		r := streamRequest()
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, limit := time.Since(r.ArrivedAt), r.Route.LatencyGoal; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
	})
	if got, want := len(b.received), 2; got != want || b.received[0].server == b.received[1].server {
		t.Errorf("got %d attempts, want %d at two servers", got, want)
	}
}

// A hedge at a full server takes a place from a request that has none.
func TestNoHedgeAtFullServers(t *testing.T) {
	b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newTestDispatcher(b)
		report(d, Load{Known: true, Slots: 4})
		go func() {
			time.Sleep(10 * time.Millisecond)
			repeatReport(ctx, d, fullLoad)
		}()
		r := streamRequest()
		r.Deadline = r.ArrivedAt.Add(2 * time.Second)
		d.Serve(t.Context(), r, &fakeCaller{})
	})
	if got, want := len(b.received), 1; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}

// A refusal says that the request has not run. This one may have, and goes to a full server instead.
func TestRequestThatMayHaveRunIsNotRefusedForRoom(t *testing.T) {
	b := &fakeBackend{}
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(b)
		failAsServersFill := func(ctx context.Context) (*Response, error) {
			report(d, fullLoad)
			return failedAttempt(verdict.MayHaveRun)(ctx)
		}
		b.responses = []func(context.Context) (*Response, error){failAsServersFill, streamResponse(io.EOF, 1)}
		report(d, Load{Known: true, Slots: 4})
		if got, want := d.Serve(t.Context(), streamRequest(), &fakeCaller{}), Served; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		time.Sleep(time.Second)
	})
	if got, want := len(b.received), 2; got != want {
		t.Errorf("attempts: got %d, want %d", got, want)
	}
}
