package dispatch

import (
	"context"
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

// benchmarkEvents is the number of events of a stream of the benchmark.
const benchmarkEvents = 34

// arrivingEvents returns its events as they arrive on a channel, and then the regular end.
type arrivingEvents struct {
	arriving <-chan Event
}

func (e *arrivingEvents) Next() (Event, error) {
	event, ok := <-e.arriving
	if !ok {
		return Event{}, io.EOF
	}
	return event, nil
}

func (*arrivingEvents) IsWaiting() bool { return false }

func (e *arrivingEvents) Close() {}

// lossyCaller takes all that it gets and keeps nothing.
type lossyCaller struct{ fakeCaller }

func (c *lossyCaller) WriteEvent([]byte) error { return nil }

// panickingCaller panics when it gets an event.
type panickingCaller struct{ fakeCaller }

func (c *panickingCaller) WriteEvent([]byte) error { panic("caller") }

// Guards against LOST: a panic of the caller's side, which comes where the event was received,
// counted as the end of the attempt, and the caller got an event again or a stream without an end.
func TestPanicOfTheCallerEndsItsRequest(t *testing.T) {
	for name, responses := range map[string][]func(context.Context) (*Response, error){
		"only attempt":             {streamResponse(io.EOF, 1, 2)},
		"beside a silent attempt":  {blockUntilCancelled, streamResponse(io.EOF, 1, 2)},
		"silent attempt that goes": {lateStream, blockUntilCancelled},
	} {
		b := &fakeBackend{responses: responses}
		synctest.Test(t, func(t *testing.T) {
			d := newTestDispatcher(b)
			defer func() {
				if got, want := recover(), any("caller"); got != want {
					t.Errorf("%s: panic of Serve: got %v, want %v", name, got, want)
				}
				if got, want := d.Running(), 0; got != want || len(b.received) != len(responses) {
					t.Errorf("%s: got %d attempts in flight after %d attempts, want %d after %d", name, got, len(b.received), want, len(responses))
				}
			}()
			d.Serve(t.Context(), streamRequest(), &panickingCaller{})
		})
	}
}

// BenchmarkStreamOfEvents measures a request whose only attempt gets a stream, with one
// processor, as a node uses. The events are all there at once, or arrive one by one.
func BenchmarkStreamOfEvents(b *testing.B) {
	var events []Event
	for id := range EventID(benchmarkEvents) {
		events = append(events, Event{ID: id + 1, Raw: []byte("data: token\n\n")})
	}
	b.Run("AtOnce", func(b *testing.B) {
		benchmarkStream(b, func() Events { return &fakeEvents{events: events, err: io.EOF} })
	})
	b.Run("OneByOne", func(b *testing.B) {
		benchmarkStream(b, func() Events {
			arriving := make(chan Event)
			go func() {
				defer close(arriving)
				for _, e := range events {
					arriving <- e
				}
			}()
			return &arrivingEvents{arriving: arriving}
		})
	})
}

// benchmarkStream measures requests that are answered with a stream of the given events.
func benchmarkStream(b *testing.B, newEvents func() Events) {
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	respond := func(context.Context) (*Response, error) {
		return &Response{Status: 200, Verified: true, Events: newEvents()}, nil
	}
	backend := &fakeBackend{responses: []func(context.Context) (*Response, error){respond}}
	d := newTestDispatcher(backend)
	b.ReportAllocs()
	for b.Loop() {
		backend.received = backend.received[:0]
		r := streamRequest()
		r.Deadline = r.ArrivedAt.Add(time.Minute)
		if got, want := d.Serve(b.Context(), r, &lossyCaller{}), Served; got != want {
			b.Fatalf("got %v, want %v", got, want)
		}
	}
}
