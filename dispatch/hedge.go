package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// maximumRunningAttempts is the number of attempts that may run beside each other.
	maximumRunningAttempts = 2
	// maximumOverlap is how long an attempt still runs beside another one whose response
	// has begun. The platform allows 400 ms until the server has noticed the end.
	maximumOverlap = 150 * time.Millisecond
)

// ending is how a request or an attempt has ended.
type ending struct {
	outcome Outcome
	err     *verdict.Error
	// isDone is true if the request has ended.
	isDone bool
	// panicked is the value of a panic that ended the request; nil if there was none.
	panicked any
}

// attempt sends the request to a server and waits until the request has ended or no attempt
// runs. A server that is silent for a time keeps its attempt, because it may go on; another
// attempt is started beside it, and the first that goes on counts. The last result is true if
// the request has ended.
func (s *session) attempt(ctx context.Context, server *fleet.Server) (Outcome, *verdict.Error, bool) {
	s.receive(ctx, s.startFirst(ctx, server))
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.silence.close()
	for !s.isSettled() {
		s.settled.Wait()
	}
	if s.ending.panicked != nil {
		panic(s.ending.panicked)
	}
	return s.ending.outcome, s.ending.err, s.ending.isDone
}

// startFirst starts an attempt while no other runs.
func (s *session) startFirst(ctx context.Context, server *fleet.Server) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = ending{}
	s.silence = silenceTimer{onFire: func() { s.handleSilence(ctx) }}
	a := s.start(ctx, server)
	s.armSilence(a.startedAt)
	return a
}

// isSettled reports whether the request has ended or no attempt runs.
func (s *session) isSettled() bool { return s.ending.isDone || len(s.running) == 0 }

// settle wakes the goroutine of the session if the session is settled after an arrival of an
// attempt or its silence. It is deferred, and passes a panic on to that goroutine, which ends
// the request.
func (s *session) settle(a *attempt) {
	if p := recover(); p != nil {
		s.logPanic(a, p)
		s.ending = ending{isDone: true, panicked: p}
		for _, r := range s.running {
			r.cancel(nil)
		}
	}
	if s.isSettled() {
		s.settled.Signal()
	}
}

// handleSilence starts an attempt beside the one whose server is silent, or ends the one
// that another attempt has overtaken.
func (s *session) handleSilence(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isSettled() || !s.silence.hasExpired(time.Now()) {
		return
	}
	defer s.settle(s.running[0])
	if len(s.running) > 1 {
		s.endOverlap()
		return
	}
	a := s.running[0]
	if waits := a.waitsForMemory(); waits || a.hasWaited {
		// The server is not silent while this node does not read, and has the whole timeout
		// after that.
		a.hasWaited = waits
		s.armSilence(time.Now())
		return
	}
	s.hedge(ctx)
}

// handle handles one arrival. An error without the last result means that the attempt has
// failed.
func (s *session) handle(ctx context.Context, a arrival) (Outcome, *verdict.Error, bool) {
	switch a.kind {
	case noResponse:
		return s.unlessFailed(0, s.handleNoResponse(ctx, a.attempt, verdict.Of(a.err)), false)
	case discardedResponse:
		return s.unlessFailed(0, s.handleDiscarded(a.attempt, a.response), false)
	case responseHead:
		s.handleHead(a.attempt, a.response)
		return 0, nil, false
	case wholeBody:
		return s.unlessFailed(s.handleBody(a.attempt, a.body, a.err))
	case bodyPart:
		return s.unlessFailed(s.handleBodyPart(a.attempt, a.body))
	case bodyEnd:
		e := s.handleBodyEnd(a.attempt, a.err)
		return s.unlessFailed(Served, e, e == nil)
	case streamEvent:
		return s.unlessFailed(s.handleEvent(a.attempt, a.event))
	}
	return s.unlessFailed(s.handleStreamEnd(a.attempt, a.err))
}

// unlessFailed returns what the handler of an arrival has returned. If the attempt has failed
// and another one still runs, that one may be hedged again.
func (s *session) unlessFailed(o Outcome, e *verdict.Error, done bool) (Outcome, *verdict.Error, bool) {
	if done || e == nil || len(s.running) == 0 {
		return o, e, done
	}
	if s.running[0] == s.silent {
		s.silence.restart(time.Now(), s.nextRefusalBackoff())
	} else {
		s.armSilence(time.Now())
	}
	return o, e, false
}

// armSilence starts the time after which the silence of the running attempt makes the
// session start another one.
func (s *session) armSilence(now time.Time) {
	s.silent = nil
	if !s.hasRunsLeft() {
		s.silence.stop()
		return
	}
	s.silence.restart(now, s.silenceTimeout(now, s.running[0]))
}

// endSilence records that the server of an attempt has gone on.
func (s *session) endSilence(a *attempt) {
	if a == s.silent {
		s.silent = nil
	}
	if len(s.running) == 1 {
		s.armSilence(a.lastReceivedAt)
	}
}

// startOverlap starts the time after which an attempt whose response has begun ends the one
// beside it, unless one of them goes on before.
func (s *session) startOverlap(a *attempt) {
	s.next = a
	s.silence.restart(a.lastReceivedAt, maximumOverlap)
}

// endOverlap ends the attempt beside the one whose response has begun, so that two servers do
// not work on one request for long.
func (s *session) endOverlap() {
	if slices.Contains(s.running, s.next) {
		s.lead(s.next)
		s.armSilence(time.Now())
	}
}

// silenceTimeout returns how long the server of an attempt may be silent before another
// attempt is started beside it.
func (s *session) silenceTimeout(now time.Time, a *attempt) time.Duration {
	if s.headSent || a.response != nil {
		return streamIdleTimeout
	}
	latencyGoal := s.request.Route.LatencyGoal
	timeoutByResponseTime := timeoutResponseTimeFactor * s.dispatcher.chooser.recentResponseTime(now, a.server.ID)
	return max(min(max(time.Duration(timeoutGoalShare*float64(latencyGoal)), timeoutByResponseTime), timeoutGoalFactor*latencyGoal), minimumAttemptTimeout)
}

// canHedge reports whether another attempt may be started beside the running one.
func (s *session) canHedge() bool {
	return s.hasRunsLeft() && s.dispatcher.standing(s.request.Content) == suspects.Clean
}

// hasRunsLeft reports whether the route permits another attempt beside the running one.
func (s *session) hasRunsLeft() bool {
	if s.isPassedOn || !s.request.Route.IsRetryable() || len(s.running) >= maximumRunningAttempts {
		return false
	}
	runs := s.possibleRuns
	for _, a := range s.running {
		if a.response == nil {
			runs++
		}
	}
	return runs < s.request.Route.MaxAttempts
}

// hedge starts another attempt beside the one whose server is silent, if a server can take
// it and the retry budget permits it.
func (s *session) hedge(ctx context.Context) {
	if ctx.Err() != nil || !s.canHedge() || !s.endsInTime(time.Now()) {
		return
	}
	silent := s.running[0]
	server := s.pickHedge(silent)
	if server == nil {
		s.silence.restart(time.Now(), viewPollInterval)
		return
	}
	if s.admit() != nil || !s.dispatcher.spendHedge(s.request.Service) {
		s.dispatcher.chooser.release(server, s.request)
		s.silence.restart(time.Now(), viewPollInterval)
		return
	}
	if s.silent != silent {
		s.silent = silent
		s.dispatcher.chooser.recordNoResponse(time.Now(), silent.server.ID)
	}
	go s.receive(ctx, s.start(ctx, server))
}

// pickHedge returns the server for an attempt beside one whose server is silent, and counts
// an attempt in flight there. It prefers servers that have not failed or refused the request.
// The silent server itself is the last choice, and only after streamIdleTimeout: its
// connection alone may be dead, but a second run would also slow down a loaded server. It
// returns nil if no server can take the request.
func (s *session) pickHedge(silent *attempt) *fleet.Server {
	now := time.Now()
	candidates := s.candidates(now, s.dispatcher.Views.Get())
	if m := s.dispatcher.rooms.find(now, s.request.Service); m != nil {
		c := s.dispatcher.rooms.newContender(now, s.request)
		m.mu.Lock()
		candidates = m.withRoom(now, &c, candidates)
		m.mu.Unlock()
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(c *fleet.Server) bool { return c.ID == silent.server.ID })
	untried := slices.DeleteFunc(slices.Clone(others), func(c *fleet.Server) bool { return s.avoidedServers[c.ID] })
	switch {
	case len(untried) > 0:
		candidates = untried
	case len(others) > 0:
		candidates = others
		clear(s.avoidedServers)
	case now.Sub(silent.lastReceivedAt) < streamIdleTimeout:
		return nil
	}
	server, inputs := s.dispatcher.choose(now, s.request, candidates, s.avoidedServers)
	inputs.keptAway = s.keptAway.text(now)
	s.choiceInputs = inputs
	return server
}
