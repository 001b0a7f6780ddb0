package dispatch

import (
	stderrors "errors"
	"io"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/verdict"
)

// forwardStream forwards events to the caller until the stream ends or breaks. It skips
// events that the caller has already received.
func (s *session) forwardStream(server *fleet.Server, r *Response, timeout *time.Timer) (Outcome, *verdict.Error, bool) {
	defer r.Events.Close()
	isRetryable := s.request.Route.IsRetryable() && s.possibleRuns < s.request.Route.MaxAttempts
	if isRetryable {
		timeout.Reset(streamIdleTimeout)
	}
	for {
		event, err := r.Events.Next()
		if stderrors.Is(err, io.EOF) {
			return s.finishStream(r)
		}
		if err != nil {
			return s.handleBrokenStream(server, err)
		}
		s.lastReceivedAt = time.Now()
		s.receivedEvents++
		if isRetryable {
			timeout.Reset(streamIdleTimeout)
		}
		if event.ID != 0 && event.ID <= s.lastEvent {
			continue
		}
		if err := s.forward(r, event.Raw); err != nil {
			return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
		}
		if event.ID != 0 {
			s.lastEvent = event.ID
		}
	}
}

// forward sends part of a stream to the caller. If the head was not sent yet, forward
// sends it first. Nil bytes end the stream.
func (s *session) forward(r *Response, raw []byte) error {
	now := time.Now()
	if !s.headSent {
		s.headSent = true
		s.responseStartedAt = now
		if err := s.caller.StartStream(r); err != nil {
			return err
		}
	}
	if !s.lastWriteAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
	s.countIfLate(now)
	return s.caller.WriteEvent(raw)
}

// countIfLate counts the request as late, at most once, if its stream misses the goals of
// the route. The owner adds replicas for models with many late responses.
func (s *session) countIfLate(now time.Time) {
	goal := s.request.Route.LatencyGoal
	missesLatencyGoal := goal > 0 && now.Sub(s.attemptStart) > goal && s.responseStartedAt.Equal(now)
	missesGapGoal := s.request.Route.EventGapGoal > 0 && s.longestGap > s.request.Route.EventGapGoal
	if s.isCountedLate || !missesLatencyGoal && !missesGapGoal {
		return
	}
	s.isCountedLate = true
	s.dispatcher.Demand.countLate(s.request.key())
}

// finishStream ends a complete stream. If the caller had received every event before,
// forward still has to send the head.
func (s *session) finishStream(r *Response) (Outcome, *verdict.Error, bool) {
	if err := s.forward(r, nil); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	s.recordResult("Answered")
	return Served, nil, true
}

// handleBrokenStream records a stream that broke and checks whether its server crashed.
func (s *session) handleBrokenStream(server *fleet.Server, err error) (Outcome, *verdict.Error, bool) {
	s.recordFailure(server, "BrokenOff")
	s.dispatcher.chooser.recordFailure(time.Now(), server.ID, false)
	go s.dispatcher.checkCrash(server, s.request.Content, s.headSent)
	return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the stream ended before it was complete", err), false
}
