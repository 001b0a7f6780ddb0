package dispatch

import (
	stderrors "errors"
	"io"
	"time"

	"github.com/parsleylug/parsleylug/verdict"
)

// handleEvent forwards an event, unless the caller has already received it, and ends the
// other attempts.
func (s *session) handleEvent(a *attempt, event Event) (Outcome, *verdict.Error, bool) {
	if event.IsComment {
		return s.handleComment(a, event.Raw)
	}
	a.lastReceivedAt = time.Now()
	a.events++
	isNew, err := s.order.accept(&a.position, event.ID)
	if err != nil {
		return s.handleBrokenStream(a, err)
	}
	if !isNew {
		s.endSilence(a)
		return 0, nil, false
	}
	s.lead(a)
	s.armSilence(a.lastReceivedAt)
	if err := s.forward(a, event.Raw); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	s.order.advance(event.ID)
	return 0, nil, false
}

// handleComment forwards comments, which some servers send while they have no event. They do not
// end the silence of the server: it may have stalled. Those of a stream that resumes another one,
// or that runs beside another one without an event so far, are dropped.
func (s *session) handleComment(a *attempt, raw []byte) (Outcome, *verdict.Error, bool) {
	if a.position.isResuming || len(s.running) > 1 && !s.headSent {
		return 0, nil, false
	}
	if err := s.write(a, raw); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	return 0, nil, false
}

// handleStreamEnd ends the response if the stream is complete.
func (s *session) handleStreamEnd(a *attempt, err error) (Outcome, *verdict.Error, bool) {
	if stderrors.Is(err, io.EOF) {
		err = s.order.end(a.position)
	}
	if err != nil {
		return s.handleBrokenStream(a, err)
	}
	s.dispatcher.eventSteps.learn(s.request.Service, a.position)
	return s.finishStream(a)
}

// handleBrokenStream records a stream that broke or cannot be joined to the caller's, and
// checks whether its server crashed.
func (s *session) handleBrokenStream(a *attempt, err error) (Outcome, *verdict.Error, bool) {
	s.endFailed(a, "BrokenOff")
	s.dispatcher.chooser.recordFailure(time.Now(), a.server.ID, false)
	s.suspectCrash(a, err)
	return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the stream ended before it was complete", err), false
}

// finishStream ends a complete stream. If the caller had received every event before,
// forward still has to send the head.
func (s *session) finishStream(a *attempt) (Outcome, *verdict.Error, bool) {
	s.lead(a)
	s.recordCompletion(a)
	if err := s.forward(a, nil); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	s.end(a, "Answered")
	return Served, nil, true
}

// forward sends an event to the caller, and the head first if it was not sent yet. Nil bytes end
// the stream.
func (s *session) forward(a *attempt, raw []byte) error {
	now := time.Now()
	if s.responseStartedAt.IsZero() {
		s.responseStartedAt = now
	}
	if !s.lastWriteAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastWriteAt))
	}
	s.lastWriteAt = now
	s.countIfLate(now, a)
	return s.write(a, raw)
}

// write writes part of a stream, after the head if that was not sent yet.
func (s *session) write(a *attempt, raw []byte) error {
	if !s.headSent {
		s.headSent = true
		if err := s.caller.StartStream(a.response); err != nil {
			return err
		}
	}
	return s.caller.WriteEvent(raw)
}

// countIfLate counts the request as late, at most once, if its stream misses the goals of
// the route. The owner adds replicas for models with many late responses.
func (s *session) countIfLate(now time.Time, a *attempt) {
	goal := s.request.Route.LatencyGoal
	missesLatencyGoal := goal > 0 && now.Sub(a.startedAt) > goal && s.responseStartedAt.Equal(now)
	missesGapGoal := s.request.Route.EventGapGoal > 0 && s.longestGap > s.request.Route.EventGapGoal
	if s.isCountedLate || !missesLatencyGoal && !missesGapGoal {
		return
	}
	s.isCountedLate = true
	s.dispatcher.Demand.countLate(s.demandKey)
}
