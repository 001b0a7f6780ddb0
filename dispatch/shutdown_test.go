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
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// The log of a node that stops must tell when a request arrived and when it was passed on,
// relative to the signal.
func TestShutdownIsLoggedWithRequests(t *testing.T) {
	var lines bytes.Buffer
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){bodyResponse(200, "ok")}})
		d.Logger = zerolog.New(&lines)
		d.Drain(Shutdown{BegunAt: time.Now(), WaitUntil: time.Now().Add(3 * time.Second), EndsAt: time.Now().Add(7 * time.Second)})
		time.Sleep(200 * time.Millisecond)
		r := plainRequest(fleet.Idempotent)
		time.Sleep(100 * time.Millisecond)
		d.Serve(t.Context(), r, &fakeCaller{})
	})
	for _, want := range []string{`"Event":"Attempt"`, `"StartedAfterStopMs":300`, `"Event":"RequestEnded"`, `"ArrivedAfterStopMs":200`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("got lines %s, want one with %s", lines.String(), want)
		}
	}
}

// stopNow begins the shutdown of a node that cancels its requests after graceOfTests.
func stopNow(d *Dispatcher) {
	d.Drain(Shutdown{BegunAt: time.Now(), WaitUntil: time.Now().Add(3 * time.Second), EndsAt: time.Now().Add(graceOfTests)})
}

const (
	graceOfTests = 7500 * time.Millisecond
	// slowDuration is how long the requests before the shutdown took.
	slowDuration = 3 * time.Second
)

// afterDelay delays a response.
func afterDelay(d time.Duration, respond func(context.Context) (*Response, error)) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		time.Sleep(d)
		return respond(ctx)
	}
}

// breakingStream responds with the given number of events, one each second, and breaks off.
func breakingStream(events EventID) func(context.Context) (*Response, error) {
	return func(ctx context.Context) (*Response, error) {
		response, err := streamResponse(errors.New("reset"), eventIDs(events)...)(ctx)
		response.Events.(*fakeEvents).delay = time.Second
		return response, err
	}
}

// eventIDs returns the IDs from 1 to last.
func eventIDs(last EventID) []EventID {
	var ids []EventID
	for id := EventID(1); id <= last; id++ {
		ids = append(ids, id)
	}
	return ids
}

// Guards against LOST: a retry, a hedge or a resumption that the node could not finish was
// started late in its grace period and cut off at its end.
func TestShutdownStartsNoAttemptThatItCannotFinish(t *testing.T) {
	for _, test := range []struct {
		name string
		// request is sent at the start of the shutdown.
		request  func() *Request
		first    func(context.Context) (*Response, error)
		attempts int
		outcome  Outcome
	}{
		{"retry with time", streamRequest, afterDelay(3*time.Second, failedAttempt(verdict.MayHaveRun)), 2, Served},
		{"retry without time", streamRequest, afterDelay(4*time.Second, failedAttempt(verdict.MayHaveRun)), 1, Failed},
		{"refusal with time", streamRequest, afterDelay(3*time.Second, refusal(Full)), 2, Served},
		{"refusal without time", streamRequest, afterDelay(4*time.Second, refusal(Full)), 1, Refused},
		{"resumption with time", streamRequest, breakingStream(6), 2, Served},
		{"resumption without time", streamRequest, breakingStream(7), 1, Broken},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){test.first, streamResponse(io.EOF, eventIDs(9)...)}}
			var got Outcome
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(b)
				recordDurations(&d.durations, streamRequest().durationKey(), slowDuration, samplesOfTests)
				stopNow(d)
				r := test.request()
				r.Route.LatencyGoal = time.Minute
				got = d.Serve(t.Context(), r, &fakeCaller{})
				if took := time.Since(r.ArrivedAt); took > graceOfTests {
					t.Errorf("ended after %v, want at most %v", took, graceOfTests)
				}
				time.Sleep(time.Second)
			})
			if want := test.outcome; got != want {
				t.Errorf("outcome: got %v, want %v", got, want)
			}
			if got, want := len(b.received), test.attempts; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against LOST: requests that were not served made a route look fast, and one that came
// late was passed on and cut off.
func TestShutdownIgnoresRequestsThatEndedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){bodyResponse(500, "broken")}})
		d.Serve(t.Context(), plainRequest(fleet.NonIdempotent), &fakeCaller{})
		stopNow(d)
		time.Sleep(5 * time.Second)
		r := plainRequest(fleet.NonIdempotent)
		r.Deadline = r.ArrivedAt.Add(20 * time.Second)
		if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

// A stream or a request that may have run fails for good if no other attempt is made, so that a
// node that shuts down tries one although it does not know how long it takes.
func TestShutdownTriesAgainWhereRefusalsAreNotPossible(t *testing.T) {
	for name, first := range map[string]func(context.Context) (*Response, error){
		"stream":   breakingStream(1),
		"no head":  afterDelay(time.Second, failedAttempt(verdict.MayHaveRun)),
		"an error": afterDelay(time.Second, bodyResponse(500, "broken")),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){first, streamResponse(io.EOF, 1, 2, 3)}})
				time.AfterFunc(500*time.Millisecond, func() { stopNow(d) })
				r := streamRequest()
				r.Route.LatencyGoal = time.Minute
				if got, want := d.Serve(t.Context(), r, &fakeCaller{}), Served; got != want {
					t.Errorf("got %v, want %v", got, want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against LOST: an attempt beside a silent server was started although the node could
// not finish it.
func TestShutdownStartsNoHedgeThatItCannotFinish(t *testing.T) {
	for _, test := range []struct {
		name     string
		goal     time.Duration
		attempts int
	}{
		{"with time", 4 * time.Second, 2},
		{"without time", 8 * time.Second, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := &fakeBackend{responses: []func(context.Context) (*Response, error){blockUntilCancelled}}
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(b)
				// The server has no response time, so that the goal alone decides when another
				// attempt is started.
				recordDurations(&d.durations, streamRequest().durationKey(), slowDuration, samplesOfTests)
				stopNow(d)
				r := streamRequest()
				r.Route.LatencyGoal = test.goal
				ctx, cancel := context.WithTimeout(t.Context(), graceOfTests)
				defer cancel()
				d.Serve(ctx, r, &fakeCaller{})
			})
			if got, want := len(b.received), test.attempts; got != want {
				t.Errorf("attempts: got %d, want %d", got, want)
			}
		})
	}
}

// A request that waits for a model must be refused as soon as its stream could not end in time.
func TestShutdownEndsWaitingInTimeForTheResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){afterDelay(slowDuration, streamResponse(io.EOF, 1))}})
		before := streamRequest()
		before.Route.LatencyGoal = time.Minute
		d.Serve(t.Context(), before, &fakeCaller{})
		d.Views.Publish(newTestView(false))
		d.Drain(Shutdown{BegunAt: time.Now(), WaitUntil: time.Now().Add(3 * time.Second), EndsAt: time.Now().Add(slowDuration + silenceAllowance + time.Second)})
		r := streamRequest()
		r.Route.LatencyGoal = time.Minute
		c := &fakeCaller{}
		if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
			t.Errorf("got %v, want %v", got, want)
		}
		if got, limit := time.Since(r.ArrivedAt), time.Second; got > limit {
			t.Errorf("refused after %v, want at most %v", got, limit)
		}
		if got, want := c.writtenError.Verdict, verdict.NotRun; got != want {
			t.Errorf("verdict: got %v, want %v", got, want)
		}
	})
}

// What has not run is started early if it will almost certainly end in time, and late only if no
// recent one was slower and half of the late time is left; a stream or a non-idempotent request late
// only if its caller gets the end of it in any case. Guards against bookings that were cut: one that
// came 5.7 s after the signal took 2.5 s, where recent ones had taken 30 ms.
func TestShutdownStartsRequestsByTheTimeThatIsLeft(t *testing.T) {
	for _, test := range []struct {
		name    string
		request func() *Request
		// usual is how long the requests before took; zero if there was none.
		usual   time.Duration
		timeout time.Duration
		// at is when the request arrives after the signal.
		at   time.Duration
		want Outcome
	}{
		{"early stream, duration unknown", streamRequest, 0, 20 * time.Second, 2 * time.Second, Refused},
		{"early stream, duration unknown, with a short deadline", streamRequest, 0, 5 * time.Second, 2 * time.Second, Served},
		{"early stream that has time", streamRequest, 5 * time.Second, 20 * time.Second, 2 * time.Second, Served},
		{"early stream without time", streamRequest, 6 * time.Second, 20 * time.Second, 2 * time.Second, Refused},
		{"late stream, fast before", streamRequest, time.Second, 20 * time.Second, 4 * time.Second, Refused},
		{"late stream with a short deadline", streamRequest, time.Second, 3 * time.Second, 4 * time.Second, Served},
		{"late request, duration unknown", idempotentRequest, 0, 20 * time.Second, 4 * time.Second, Refused},
		{"late request, fast before", idempotentRequest, time.Second, 20 * time.Second, 5 * time.Second, Served},
		{"late request, slow before", idempotentRequest, 2 * time.Second, 20 * time.Second, 5 * time.Second, Refused},
		{"late request, very fast before", idempotentRequest, 30 * time.Millisecond, 20 * time.Second, 5700 * time.Millisecond, Refused},
		{"late booking, very fast before", bookingRequest, 30 * time.Millisecond, 20 * time.Second, 5700 * time.Millisecond, Refused},
		{"late booking, fast before", bookingRequest, time.Second, 20 * time.Second, 4 * time.Second, Refused},
		{"late booking with a short deadline", bookingRequest, 0, 2 * time.Second, 5 * time.Second, Served},
		{"early booking, fast before", bookingRequest, time.Second, 20 * time.Second, 2 * time.Second, Served},
		{"late request with a short deadline", idempotentRequest, 0, 2 * time.Second, 5 * time.Second, Served},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){bodyResponse(200, "ok")}})
				if test.usual > 0 {
					r := test.request()
					recordDurations(&d.durations, r.durationKey(), test.usual, samplesOfTests)
				}
				stopNow(d)
				time.Sleep(test.at)
				r := test.request()
				r.Deadline = r.ArrivedAt.Add(test.timeout)
				if got := d.Serve(t.Context(), r, &fakeCaller{}); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
			})
		})
	}
}

func idempotentRequest() *Request { return plainRequest(fleet.Idempotent) }

func bookingRequest() *Request { return plainRequest(fleet.NonIdempotent) }

// A model that no node can have in time is no reason to retry at once at another node.
func TestShutdownSaysWhyAModelIsNotWaitedFor(t *testing.T) {
	for timeout, want := range map[time.Duration]verdict.Reason{time.Second: verdict.NoCapacity, 12 * time.Second: verdict.Draining} {
		t.Run(timeout.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{})
				stopNow(d)
				r := streamRequest()
				r.Model, r.Route.LatencyGoal, r.Deadline = "cold", time.Minute, r.ArrivedAt.Add(timeout)
				c := &fakeCaller{}
				if got, want := d.Serve(t.Context(), r, c), Refused; got != want {
					t.Fatalf("got %v, want %v", got, want)
				}
				if got := c.writtenError.Reason; got != want {
					t.Errorf("got %v, want %v", got, want)
				}
			})
		})
	}
}

// The outcome of a request that the shutdown cancels must not be that its caller has left.
func TestShutdownCancelsRequestsWithTheirOutcome(t *testing.T) {
	for _, test := range []struct {
		name    string
		request func() *Request
		respond func(context.Context) (*Response, error)
		// stopped is true if the request comes after the cancellation.
		stopped bool
		want    Outcome
	}{
		{"running stream", streamRequest, streamResponse(nil, 1), false, Broken},
		{"running request", idempotentRequest, blockUntilCancelled, false, Failed},
		{"request after the cancellation", streamRequest, streamResponse(nil, 1), true, Refused},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDispatcher(&fakeBackend{responses: []func(context.Context) (*Response, error){test.respond}})
				ctx, cancel := context.WithCancelCause(t.Context())
				stop := func() {
					d.Drain(Shutdown{BegunAt: time.Now(), WaitUntil: time.Now(), EndsAt: time.Now()})
					cancel(ErrShutdown)
				}
				if test.stopped {
					stop()
					time.Sleep(time.Millisecond)
				} else {
					time.AfterFunc(100*time.Millisecond, stop)
				}
				r := test.request()
				r.Deadline = r.ArrivedAt.Add(10 * time.Second)
				if got := d.Serve(ctx, r, &fakeCaller{}); got != test.want {
					t.Errorf("got %v, want %v", got, test.want)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
