package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// workBackend responds to each request after the time that its ID says.
type workBackend struct {
	mu sync.Mutex
	// runs are the IDs of the requests that have run.
	runs []string
}

func (b *workBackend) Send(ctx context.Context, _ *fleet.Server, r *Request, _ Attempt) (*Response, error) {
	b.mu.Lock()
	b.runs = append(b.runs, string(r.ID))
	b.mu.Unlock()
	work, err := time.ParseDuration(string(r.ID))
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(work):
		return bodyResponse(200, "ok")(ctx)
	case <-ctx.Done():
		return nil, verdict.UnknownOutcome(verdict.BackendFailed, "no response", ctx.Err())
	}
}

func (b *workBackend) Reach(context.Context, *fleet.Server) error { return nil }

// serveWork serves a request that takes its server the given time.
func serveWork(ctx context.Context, d *Dispatcher, kind fleet.Kind, work time.Duration, c Caller) Outcome {
	r := plainRequest(kind)
	r.ID, r.Route.LatencyGoal, r.Route.Resumable = domain.RequestID(work.String()), time.Minute, kind == fleet.Streaming
	r.Deadline = r.ArrivedAt.Add(20 * time.Second)
	return d.Serve(ctx, r, c)
}

const (
	waitOfTests = 2500 * time.Millisecond
	// calmOfTests is how long before the signal the requests of a node began.
	calmOfTests = time.Second
)

// stopWhileLongRequestsRun serves short requests to their end, starts long ones, one after the
// other, and begins the shutdown calmOfTests after. It returns the context of the requests.
func stopWhileLongRequestsRun(t *testing.T, d *Dispatcher, kind fleet.Kind, short, long int) context.Context {
	ctx, cancel := context.WithCancelCause(t.Context())
	var requests sync.WaitGroup
	for i := range short {
		requests.Go(func() { serveWork(ctx, d, kind, time.Duration(100+10*i)*time.Millisecond, &fakeCaller{}) })
	}
	for i := range long {
		requests.Go(func() {
			time.Sleep(time.Duration(i) * calmOfTests / time.Duration(long))
			serveWork(ctx, d, kind, 7*time.Second, &fakeCaller{})
		})
	}
	time.Sleep(calmOfTests)
	begunAt := time.Now()
	d.Drain(Shutdown{BegunAt: begunAt, WaitUntil: begunAt.Add(waitOfTests), EndsAt: begunAt.Add(graceOfTests)})
	time.AfterFunc(graceOfTests, func() { cancel(ErrShutdown) })
	t.Cleanup(requests.Wait)
	return ctx
}

// Guards against LOST: the durations on record were those of the short requests, while the long
// ones of the same route still ran, and new long ones were passed on and cut off.
func TestShutdownCountsRequestsThatStillRun(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.NonIdempotent, fleet.Idempotent, fleet.Streaming} {
		for _, test := range []struct{ at, work time.Duration }{
			{100 * time.Millisecond, 7500 * time.Millisecond},
			{2400 * time.Millisecond, 6 * time.Second},
			{3 * time.Second, 5700 * time.Millisecond},
		} {
			t.Run(fmt.Sprintf("%v at %v", kind, test.at), func(t *testing.T) {
				b := &workBackend{}
				synctest.Test(t, func(t *testing.T) {
					d := newTestDispatcher(b)
					ctx := stopWhileLongRequestsRun(t, d, kind, 12, 12)
					time.Sleep(test.at)
					if got, want := serveWork(ctx, d, kind, test.work, &fakeCaller{}), Refused; got != want {
						t.Errorf("got %v, want %v", got, want)
					}
				})
				if got, want := len(b.runs), 24; got != want {
					t.Errorf("runs: got %d, want %d", got, want)
				}
			})
		}
	}
}

// Guards against LOST: one short request on a route was enough for the next one to count as
// short, and it was passed on and cut off.
func TestShutdownRefusesRequestsOfRoutesWithFewSamples(t *testing.T) {
	for _, kind := range []fleet.Kind{fleet.NonIdempotent, fleet.Idempotent, fleet.Streaming} {
		for _, at := range []time.Duration{100 * time.Millisecond, 2400 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprintf("%v at %v", kind, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					d := newTestDispatcher(&workBackend{})
					ctx := stopWhileLongRequestsRun(t, d, kind, 1, 0)
					time.Sleep(at)
					if got, want := serveWork(ctx, d, kind, graceOfTests, &fakeCaller{}), Refused; got != want {
						t.Errorf("got %v, want %v", got, want)
					}
				})
			})
		}
	}
}
