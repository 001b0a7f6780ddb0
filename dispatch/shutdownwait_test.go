package dispatch

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// newColdView returns a view in which no engine holds the model "m" and its load takes 100 ms.
func newColdView() *View {
	view := newTestView(false)
	model := view.Config.Services["engines"].Engine.Models["m"]
	model.StoreLoadTime = 100 * time.Millisecond
	view.Config.Services["engines"].Engine.Models["m"] = model
	return view
}

// refusalBound is the time in which a request that a stopping node does not serve is refused,
// from its arrival or from the signal to stop.
const refusalBound = 500 * time.Millisecond

// A stream that waits for its model must be refused at once when its node stops, whether it came
// before the signal or after: it can wait as well at another node, which has the time to serve it.
func TestShutdownRefusesRequestsThatWait(t *testing.T) {
	for _, test := range []struct {
		name string
		// stopAfter is when the node stops after the arrival of the request; less than 0 if
		// it does before.
		stopAfter time.Duration
		timeout   time.Duration
	}{
		{"from after the signal", -time.Millisecond, 5 * time.Second},
		{"from right before the signal", time.Millisecond, 5 * time.Second},
		{"from long before the signal", 2 * time.Second, 5 * time.Second},
		{"with a deadline after the end", 2 * time.Second, 20 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{})
				d.Views.Publish(newColdView())
				stoppedAt := time.Now()
				if test.stopAfter < 0 {
					stopNow(d)
					time.Sleep(-test.stopAfter)
				} else {
					stoppedAt = stoppedAt.Add(test.stopAfter)
					time.AfterFunc(test.stopAfter, func() { stopNow(d) })
				}
				r := streamRequest()
				r.Route.LatencyGoal, r.Deadline = time.Minute, r.ArrivedAt.Add(test.timeout)
				c := &fakeCaller{}
				if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
					t.Fatalf("got %v, want %v", got, want)
				}
				if got, want := c.writtenError.Reason, verdict.Draining; got != want {
					t.Errorf("reason: got %v, want %v", got, want)
				}
				if took := time.Since(stoppedAt); took > refusalBound || took < 0 {
					t.Errorf("refused %v after the signal, want at most %v", took, refusalBound)
				}
			})
		})
	}
}

// A stream that broke off cannot be refused, so that it must still wait for a server that may
// resume it.
func TestShutdownLetsBrokenStreamsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){
			func(ctx context.Context) (*Response, error) {
				response, err := streamResponse(errors.New("reset"), 1)(ctx)
				response.Events.(*fakeEvents).delay = 100 * time.Millisecond
				return response, err
			},
			streamResponse(io.EOF, 1, 2, 3),
		}})
		time.AfterFunc(50*time.Millisecond, func() {
			d.Views.Publish(newColdView())
			stopNow(d)
		})
		time.AfterFunc(time.Second, func() { d.Views.Publish(newTestView(true)) })
		r := streamRequest()
		r.Route.LatencyGoal = time.Minute
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// A few slow requests must not make a stopping node refuse all others of their route.
func TestShutdownServesBesideOutliers(t *testing.T) {
	for _, test := range []struct {
		name  string
		kind  fleet.Kind
		slow  int
		fast  int
		wants Outcome
	}{
		{"retryable, 1 of 64 slow", fleet.Idempotent, 1, 63, Served},
		{"retryable, 3 of 64 slow", fleet.Idempotent, 3, 61, Served},
		{"retryable, 6 of 64 slow", fleet.Idempotent, 6, 58, Refused},
		{"not retryable, 1 of 200 slow", fleet.NonIdempotent, 1, 199, Served},
		{"not retryable, 4 of 200 slow", fleet.NonIdempotent, 4, 196, Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&workBackend{})
				k := plainRequest(test.kind).durationKey()
				recordDurations(&d.durations, k, 10*time.Second, test.slow)
				recordDurations(&d.durations, k, time.Second, test.fast)
				stopNow(d)
				time.Sleep(time.Second)
				if got, want := serveWork(t.Context(), d, test.kind, time.Second, &fakeCaller{}), test.wants; got != want {
					t.Errorf("got %v, want %v", got, want)
				}
			})
		})
	}
}
