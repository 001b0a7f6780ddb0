package dispatch

import (
	"context"
	stderrors "errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// session is the handling of one request.
type session struct {
	d      *Dispatcher
	r      *Request
	caller Caller
	// runs counts the servers that may have run the request.
	runs int
	// sends counts the sendings.
	sends int
	// prepaid is set where the budget has already been asked for the next sending.
	prepaid atomic.Bool
	// avoid holds the servers that failed or refused this request.
	avoid map[domain.ServerID]bool
	// ran is set once the request may have run.
	ran bool
	// begun is set once the head of the answer is with the caller.
	begun bool
	last  EventID
	// resumeBy is until when a stream that broke off may wait for a server.
	resumeBy time.Time
	first    time.Time
	// latest is when the caller last got an event, gap the longest time between two.
	latest time.Time
	gap    time.Duration
	// sent is when the latest sending began; late is set once its answer was late.
	sent time.Time
	late bool
	// waited is how long the request waited for a model.
	waited time.Duration
	server domain.ServerID
	// chosen is what the latest choice was based on, result what became of it.
	chosen choice
	result string
	// turnedAwayWait is the next wait after every server has refused.
	turnedAwayWait time.Duration
	// failure is the server's own failure that is passed on if nothing better comes.
	failure     *Response
	failureBody []byte
}

// Serve handles one request to its end. Its context ends when the caller leaves.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, c Caller) Outcome {
	s := &session{d: d, r: r, caller: c, avoid: map[domain.ServerID]bool{}, last: r.LastEvent, turnedAwayWait: turnedAwayPause}
	d.Demand.arrived(r.key())
	d.countRequest(r.Service)
	bounded, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	outcome, err := s.run(bounded)
	if ctx.Err() != nil && outcome != Served {
		outcome = Left
	}
	s.log(outcome, err)
	d.CountRequest(r.Route.Kind, outcome, s.firstAfter())
	return outcome
}

// firstAfter is the time to the first part of the answer, or 0 without one.
func (s *session) firstAfter() time.Duration {
	if s.first.IsZero() {
		return 0
	}
	return s.first.Sub(s.r.Arrived)
}

// run tries until the request has an answer or cannot have one.
func (s *session) run(ctx context.Context) (Outcome, *verdict.Error) {
	if s.d.standing(s.r.Content) == suspects.Refused {
		return s.refuse(refusal(time.Now(), s.r, verdict.Quarantined, "this request has crashed several servers", 0))
	}
	for {
		server, e := s.pick(ctx)
		if e != nil {
			return s.giveUp(ctx, e)
		}
		if s.sends > 0 && !s.prepaid.Swap(false) && !s.d.mayRepeat(s.r.Service) {
			s.d.chooser.done(server.ID)
			return s.giveUp(ctx, refusal(time.Now(), s.r, verdict.NoCapacity, "the budget for repeated sendings is used up", time.Second))
		}
		outcome, e, done := s.attempt(ctx, server)
		if done {
			return outcome, e
		}
		if !s.mayGoOn(ctx, e) {
			return s.giveUp(ctx, e)
		}
	}
}

// mayGoOn tells whether the request may be sent again after a failure.
func (s *session) mayGoOn(ctx context.Context, e *verdict.Error) bool {
	if ctx.Err() != nil {
		return false
	}
	if e.Verdict == verdict.NotRun {
		return true
	}
	if !s.r.Route.IsRetryable() || s.runs >= s.r.Route.MaxAttempts {
		return false
	}
	return s.d.standing(s.r.Content) == suspects.Clean
}

// giveUp ends a request that gets no answer. Where a run cannot be ruled out it
// does not say that there was none.
func (s *session) giveUp(ctx context.Context, e *verdict.Error) (Outcome, *verdict.Error) {
	if s.begun {
		s.caller.Abort()
		return Broken, e
	}
	if s.failure != nil {
		if err := s.caller.WriteResponse(s.failure, s.failureBody); err != nil {
			return Left, e
		}
		return FailedThere, e
	}
	if s.ran {
		reason := e.Reason
		if e.Verdict == verdict.NotRun || reason == verdict.Unknown {
			reason = verdict.BackendFailed
		}
		if stderrors.Is(ctx.Err(), context.DeadlineExceeded) {
			reason = verdict.DeadlinePassed
		}
		doubt := verdict.UnknownOutcome(reason, "the request may have run, its answer is lost", e)
		s.caller.WriteError(doubt)
		return Failed, doubt
	}
	return s.refuse(e)
}

func (s *session) refuse(e *verdict.Error) (Outcome, *verdict.Error) {
	s.d.Demand.refused(s.r.key(), time.Now())
	s.caller.WriteError(e)
	return Refused, e
}

// attempt sends the request to one server. Done means that the request has its
// final answer.
func (s *session) attempt(ctx context.Context, server *fleet.Server) (Outcome, *verdict.Error, bool) {
	sent := time.Now()
	s.sent = sent
	s.server = server.ID
	s.sends++
	k := s.r.key()
	s.d.Demand.run(k, 1)
	s.result = "Cut"
	chosen := s.chosen
	defer func() {
		s.logAttempt(server, chosen, sent, s.result)
		s.d.chooser.done(server.ID)
		s.d.Demand.run(k, -1)
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := s.watchSilence(server, cancel)
	defer silence.Stop()
	answer, err := s.d.Backend.Send(ctx, server, s.r, Attempt{Timeout: s.r.Deadline.Sub(sent), LastEvent: s.last, Priority: s.r.Route.Priority})
	if err != nil {
		return s.unanswered(ctx, server, verdict.Of(err))
	}
	if !silence.Stop() && ctx.Err() != nil {
		// The attempt was cut just as its answer came.
		discard(answer)
		return s.unanswered(ctx, server, verdict.UnknownOutcome(verdict.BackendFailed, "the server was silent for too long", nil))
	}
	if answer.Refusal != NotRefused {
		discard(answer)
		return s.turnedAway(server, answer)
	}
	s.ran = true
	s.runs++
	if !answer.Verified {
		discard(answer)
		return s.spoilt(server)
	}
	s.d.chooser.answered(time.Now(), server.ID, time.Since(sent), answer.Load)
	if answer.Events != nil {
		return s.stream(server, answer, silence)
	}
	return s.whole(server, answer)
}

// watchSilence cuts an attempt that nothing is heard of, where the request may
// be sent to another server instead.
func (s *session) watchSilence(server *fleet.Server, cancel context.CancelFunc) *time.Timer {
	if !s.r.Route.IsRetryable() || s.runs+1 >= s.r.Route.MaxAttempts {
		return time.AfterFunc(time.Until(s.r.Deadline)+time.Second, cancel)
	}
	cut := func() {
		// Without a repeat to follow, a late answer is better than none.
		if s.d.mayHedge(s.r.Service) {
			s.prepaid.Store(true)
			cancel()
		}
	}
	if s.begun {
		return time.AfterFunc(streamSilence, cut)
	}
	goal := s.r.Route.LatencyGoal
	usual := silenceDelays * s.d.chooser.delay(time.Now(), server.ID)
	limit := max(min(max(time.Duration(silenceShare*float64(goal)), usual), silenceGoals*goal), shortestSilence)
	return time.AfterFunc(limit, cut)
}

// attempted notes what became of the sending at hand.
func (s *session) attempted(result string) {
	s.result = result
	s.d.CountAttempt(result)
}

// passOver notes a sending that brought no answer to pass on: other servers come
// first from now on.
func (s *session) passOver(server *fleet.Server, result string) {
	s.avoid[server.ID] = true
	s.attempted(result)
}

func discard(a *Response) {
	if a.Events != nil {
		a.Events.Close()
	}
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// unanswered deals with a sending that brought no answer.
func (s *session) unanswered(ctx context.Context, server *fleet.Server, e *verdict.Error) (Outcome, *verdict.Error, bool) {
	if e.Verdict == verdict.NotRun {
		s.passOver(server, "Unreached")
		if ctx.Err() == nil {
			s.d.chooser.failed(time.Now(), server.ID, true)
		}
		return 0, e, false
	}
	s.ran = true
	s.runs++
	s.passOver(server, "Unanswered")
	s.d.chooser.silent(time.Now(), server.ID)
	if ctx.Err() == nil {
		go s.d.checkCrash(server, s.r.Content, s.begun)
	}
	return 0, e, false
}

// turnedAway deals with a server that did not run the request.
func (s *session) turnedAway(server *fleet.Server, a *Response) (Outcome, *verdict.Error, bool) {
	s.passOver(server, a.Refusal.String())
	if a.Refusal == Full {
		s.d.chooser.full(time.Now(), server)
	}
	if a.Refusal == Elsewhere {
		s.d.chooser.lacking(time.Now(), server.ID, s.r.key())
		if s.d.ReportStaleHoldings != nil {
			s.d.ReportStaleHoldings(server.ID)
		}
	}
	return 0, verdict.Refuse(verdict.NoCapacity, "the server did not run the request"), false
}

func (s *session) spoilt(server *fleet.Server) (Outcome, *verdict.Error, bool) {
	s.passOver(server, "Spoilt")
	s.d.chooser.failed(time.Now(), server.ID, false)
	return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's answer cannot be used", nil), false
}

// whole passes on an answer that is not a stream.
func (s *session) whole(server *fleet.Server, a *Response) (Outcome, *verdict.Error, bool) {
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close()
	if err != nil {
		s.passOver(server, "CutShort")
		s.d.chooser.failed(time.Now(), server.ID, false)
		return 0, verdict.UnknownOutcome(verdict.BackendFailed, "the server's answer is incomplete", err), false
	}
	if !a.Success() {
		return s.failedThere(server, a, body)
	}
	s.attempted("Answered")
	s.first = time.Now()
	if s.begun {
		// A stream that was begun cannot go on with an answer that is none.
		return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the server did not resume the stream", nil), false
	}
	if err := s.caller.WriteResponse(a, body); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	return Served, nil, true
}

// failedThere keeps the server's own failure and lets another server try.
func (s *session) failedThere(server *fleet.Server, a *Response, body []byte) (Outcome, *verdict.Error, bool) {
	s.passOver(server, "FailedThere")
	e := verdict.UnknownOutcome(verdict.BackendFailed, "the server failed the request", nil)
	if s.begun {
		return 0, e, false
	}
	s.failure, s.failureBody = a, body
	return 0, e, false
}

// stream passes on events until the stream ends.
func (s *session) stream(server *fleet.Server, a *Response, silence *time.Timer) (Outcome, *verdict.Error, bool) {
	defer a.Events.Close()
	repeatable := s.r.Route.IsRetryable() && s.runs < s.r.Route.MaxAttempts
	if repeatable {
		silence.Reset(streamSilence)
	}
	for {
		event, err := a.Events.Next()
		if stderrors.Is(err, io.EOF) {
			return s.streamEnded(a)
		}
		if err != nil {
			return s.broken(server, err)
		}
		if repeatable {
			silence.Reset(streamSilence)
		}
		if event.ID != 0 && event.ID <= s.last {
			continue
		}
		if err := s.pass(a, event.Raw); err != nil {
			return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
		}
		if event.ID != 0 {
			s.last = event.ID
		}
	}
}

// pass hands bytes of a stream to the caller, after the head of the answer where
// that is not there yet.
func (s *session) pass(a *Response, raw []byte) error {
	now := time.Now()
	if !s.begun {
		s.begun = true
		s.first = now
		if err := s.caller.StartStream(a); err != nil {
			return err
		}
	}
	if !s.latest.IsZero() {
		s.gap = max(s.gap, now.Sub(s.latest))
	}
	s.latest = now
	s.noteLate(now)
	return s.caller.WriteEvent(raw)
}

// noteLate tells the owner once of an answer whose server is too crowded for the
// route's goals.
func (s *session) noteLate(now time.Time) {
	goal := s.r.Route.LatencyGoal
	slow := goal > 0 && now.Sub(s.sent) > goal && s.first.Equal(now)
	paused := s.r.Route.EventGapGoal > 0 && s.gap > s.r.Route.EventGapGoal
	if s.late || !slow && !paused {
		return
	}
	s.late = true
	s.d.Demand.late(s.r.key())
}

// streamEnded ends the answer as complete. A stream of which the caller had every
// event already still needs its head.
func (s *session) streamEnded(a *Response) (Outcome, *verdict.Error, bool) {
	if err := s.pass(a, nil); err != nil {
		return Left, verdict.UnknownOutcome(verdict.Unknown, "the caller has left", err), true
	}
	s.attempted("Answered")
	return Served, nil, true
}

func (s *session) broken(server *fleet.Server, err error) (Outcome, *verdict.Error, bool) {
	s.passOver(server, "BrokenOff")
	s.d.chooser.failed(time.Now(), server.ID, false)
	go s.d.checkCrash(server, s.r.Content, s.begun)
	return 0, verdict.UnknownOutcome(verdict.StreamBroken, "the stream broke off", err), false
}
