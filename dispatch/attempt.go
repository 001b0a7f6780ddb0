package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/buffers"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// attempt is one sending of the request to one server. The session's mu guards the fields
// that change after the start.
type attempt struct {
	server *fleet.Server
	// number counts the attempts of the request, from 1.
	number     int
	parameters Attempt
	inputs     choiceInputs
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelCauseFunc
	// response is the head of the response; nil before it has arrived.
	response *Response
	position streamPosition
	// buffer holds the body of the response while it is read whole; nil else.
	buffer *buffers.Buffer
	// hasWaited is true if the response waited for memory when the silence timer last expired.
	hasWaited bool
	// lastReceivedAt is when the server last sent its response head or an event; startedAt
	// before. events is the number of those events.
	lastReceivedAt time.Time
	events         int
}

// waitsForMemory reports whether this node does not read the response because it has no memory for
// it. The caller holds the session's mu.
func (a *attempt) waitsForMemory() bool {
	if a.buffer != nil {
		return a.buffer.IsWaiting()
	}
	return a.response != nil && a.response.Events != nil && a.response.Events.IsWaiting()
}

// arrivalKind says what an attempt has received.
type arrivalKind int

const (
	// noResponse: the attempt ended without a response, for the reason err.
	noResponse arrivalKind = iota
	// discardedResponse: a refusal or a response that is not verified.
	discardedResponse
	// responseHead: the head of a verified response. Its body or events follow.
	responseHead
	// wholeBody: the body of a response that is not a stream. If err is set, it is
	// incomplete.
	wholeBody
	// bodyPart: part of a body that is passed on while it arrives.
	bodyPart
	// bodyEnd: the end of such a body. If err is set, it is incomplete.
	bodyEnd
	// streamEvent: an event of the stream.
	streamEvent
	// streamEnd: the end of the stream; err is io.EOF if it is complete.
	streamEnd
)

// arrival is what an attempt has received.
type arrival struct {
	kind    arrivalKind
	attempt *attempt
	// response is set for a head and for a discarded response.
	response *Response
	// body is the body of a response, or the next of it, in parts.
	body  [][]byte
	event Event
	err   error
}

// start returns a running attempt at a server that pickServer or pickHedge has chosen. The
// caller holds mu and then calls receive.
func (s *session) start(ctx context.Context, server *fleet.Server) *attempt {
	now := time.Now()
	s.attempts++
	if s.attempts == 1 && s.request.LastEvent == 0 {
		s.measured = s.dispatcher.durations.start(now, s.request.durationKey())
	}
	a := &attempt{server: server, number: s.attempts, inputs: s.choiceInputs, startedAt: now, lastReceivedAt: now, position: s.order.start(!s.responseStartedAt.IsZero())}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	s.running = append(s.running, a)
	s.latestServer = server.ID
	s.dispatcher.Demand.addRunning(s.demandKey, 1)
	a.parameters = Attempt{Timeout: s.request.Deadline.Sub(now), LastEvent: s.order.last, Rank: s.request.Rank, OnBreak: func(err error) { s.suspectCrashAfterEnd(a, err) }}
	return a
}

// receive makes an attempt and delivers all that it receives. It returns soon after the attempt
// has ended. A panic ends the attempt alone, and not the process with all the requests that it
// has read. The context is that of the request.
func (s *session) receive(ctx context.Context, a *attempt) {
	defer func() {
		if p := recover(); p != nil {
			s.logPanic(a, p)
			s.deliver(ctx, arrival{kind: noResponse, attempt: a, err: errors.Errorf("panic: %v", p)})
		}
	}()
	response, err := s.dispatcher.Backend.Send(a.ctx, a.server, s.request, a.parameters)
	if err != nil {
		s.deliver(ctx, arrival{kind: noResponse, attempt: a, err: err})
		return
	}
	if a.ctx.Err() != nil && response.Events != nil {
		discard(response)
		e := verdict.UnknownOutcome(verdict.BackendFailed, "the attempt was cancelled as its stream began", a.ctx.Err())
		s.deliver(ctx, arrival{kind: noResponse, attempt: a, err: e})
		return
	}
	if response.Refusal != NotRefused || !response.Verified {
		discard(response)
		s.deliver(ctx, arrival{kind: discardedResponse, attempt: a, response: response})
		return
	}
	if !s.deliver(ctx, arrival{kind: responseHead, attempt: a, response: response}) {
		discard(response)
		return
	}
	if response.Events == nil {
		s.receiveBody(ctx, a, response)
		return
	}
	defer response.Events.Close()
	for {
		event, err := response.Events.Next()
		if err != nil {
			s.deliver(ctx, arrival{kind: streamEnd, attempt: a, err: err})
			return
		}
		if !s.deliver(ctx, arrival{kind: streamEvent, attempt: a, event: event}) {
			return
		}
	}
}

// deliver handles an arrival, unless its attempt has ended. It returns false if the attempt
// has ended, before or by this arrival.
func (s *session) deliver(ctx context.Context, a arrival) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isRunning(a.attempt) {
		return false
	}
	defer s.settle(a.attempt)
	outcome, e, done := s.handle(ctx, a)
	if done || e != nil {
		s.ending = ending{outcome: outcome, err: e, isDone: done}
	}
	return s.isRunning(a.attempt)
}

// isRunning reports whether what an attempt receives still counts. The caller holds mu.
func (s *session) isRunning(a *attempt) bool {
	return !s.ending.isDone && slices.Contains(s.running, a)
}

// discard closes the body and the events of a response.
func discard(r *Response) {
	if r.Events != nil {
		r.Events.Close()
	}
	if r.Body != nil {
		_ = r.Body.Close()
	}
}

// end ends an attempt and records its result for the log and the metrics.
func (s *session) end(a *attempt, result string) {
	s.running = slices.DeleteFunc(s.running, func(r *attempt) bool { return r == a })
	s.dispatcher.CountAttempt(result)
	s.logAttempt(a, result)
	s.latestEnd = endCause(a.ctx)
	a.cancel(nil)
	s.dispatcher.chooser.end(time.Now(), a, s.request, result == "Answered")
	s.dispatcher.Demand.addRunning(s.demandKey, -1)
	now := time.Now()
	if mayCrashServer(result) {
		s.keepUnfinished(now, a)
	}
	s.recordRoomEnd(now, a, result == "Answered" || result == "PassedOn")
	s.dispatcher.handleFreed(now, s.request.Service, a.server.ID)
}

// endFailed ends an attempt that failed or was refused. Its server is avoided until
// waitForChange or pickHedge permits all servers again.
func (s *session) endFailed(a *attempt, result string) {
	s.avoidedServers[a.server.ID] = true
	s.end(a, result)
}

// lead makes an attempt the only one: it was the first to receive what the caller waits for.
// The server of another attempt may have run the request, also if it has not responded.
func (s *session) lead(a *attempt) {
	s.latestServer = a.server.ID
	if len(s.running) == 1 {
		return
	}
	for _, r := range slices.Clone(s.running) {
		if r == a {
			continue
		}
		if r.response == nil {
			s.countRun()
		}
		r.cancel(errReplaced)
		s.end(r, "Replaced")
	}
}
