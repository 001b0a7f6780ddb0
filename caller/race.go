package caller

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/routing"
)

// firstResult is the first token of an attempt, or its error.
type firstResult struct {
	attempt *attempt
	token   engine.Token
	err     error
}

// hedgedRequest runs up to two attempts in parallel until one returns its first token.
// The first attempt starts at once. A hedge starts if the first token is late and the
// hedge budget permits one.
type hedgedRequest struct {
	session   *session
	set       routing.Set
	startedAt time.Time
	results   chan firstResult
	running   []*attempt
}

// runAttempts runs an attempt on a replica, with a hedge if its first token is late. It
// returns nil if an attempt returned a first token, or if all attempts failed and the
// request may start another one.
func (s *session) runAttempts(set routing.Set, replica *routing.Replica) error {
	if s.timeLeft(replica) <= 0 {
		s.api.chooser.Done(replica.Server)
		return s.deadlineTooShort()
	}
	r := &hedgedRequest{session: s, set: set, startedAt: time.Now(), results: make(chan firstResult, 2)}
	r.launch(replica)
	hedge := s.newHedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case result := <-r.results:
			r.remove(result.attempt)
			if result.err == nil {
				r.selectWinner(result)
				return nil
			}
			if len(r.running) > 0 && s.ctx.Err() == nil {
				s.recordFailure(result.attempt, result.err)
				continue
			}
			r.cancelRunning()
			return s.handleFailure(result.attempt, result.err)
		case <-hedge.C:
			r.launchHedge()
		case <-s.ctx.Done():
			s.mayHaveRun = true
			r.cancelRunning()
			return s.contextFailure()
		}
	}
}

// newHedgeTimer returns a timer that fires when the first token is later than usual for
// the model. It never fires before the deadline if the request must not be hedged.
func (s *session) newHedgeTimer() *time.Timer {
	delay, ok := s.api.health.hedgeDelay(s.call.model.Name)
	if !ok || s.sequencer.NextIndex() > 0 || s.isolated {
		delay = s.call.deadline.Remaining(time.Now()) + time.Hour
	}
	return time.NewTimer(delay)
}

func (r *hedgedRequest) launch(replica *routing.Replica) {
	s := r.session
	t := s.api.newAttempt(s, replica)
	t.isolated = s.isolated
	r.running = append(r.running, t)
	s.trace.recordAttempt(replica)
	request := s.engineRequest(t)
	go func() {
		token, err := t.start(request)
		r.results <- firstResult{attempt: t, token: token, err: err}
	}()
}

// launchHedge starts a second attempt on another loaded replica with a free slot, unless
// requests wait for the model or the hedge budget is spent.
func (r *hedgedRequest) launchHedge() {
	s := r.session
	tried := append([]domain.ServerID(nil), s.excluded...)
	for _, t := range r.running {
		tried = append(tried, t.server)
	}
	request := s.routingRequest(tried)
	request.RequireFreeSlot = true
	if s.api.queues.waitingCount(s.call.model.Name) > 0 {
		return
	}
	i, ok := s.api.chooser.Choose(time.Now(), r.set, request)
	if !ok {
		return
	}
	if s.timeLeft(&r.set.Replicas[i]) <= 0 || !s.api.health.spendHedge(time.Now(), s.call.model.Name) {
		s.api.chooser.Done(r.set.Replicas[i].Server)
		return
	}
	s.api.Scope.Counter("hedges").Inc(1)
	r.launch(&r.set.Replicas[i])
}

func (r *hedgedRequest) remove(t *attempt) {
	r.running = slices.DeleteFunc(r.running, func(other *attempt) bool { return other == t })
}

// selectWinner makes an attempt the session's current one, keeps its first token for the
// session and cancels the others.
func (r *hedgedRequest) selectWinner(result firstResult) {
	s := r.session
	now := time.Now()
	s.api.health.recordSuccess(now, result.attempt.server)
	if s.sequencer.NextIndex() == 0 {
		s.api.health.recordFirstToken(s.call.model.Name, now.Sub(r.startedAt))
	}
	s.current, s.firstToken, s.hasFirstToken = result.attempt, result.token, true
	s.sequencer.StartAttempt(result.attempt.id)
	r.cancelRunning()
}

// cancelRunning cancels the attempts that still run. Each is closed once its goroutine
// has returned its result.
func (r *hedgedRequest) cancelRunning() {
	for _, t := range r.running {
		t.cancel(errHedgeLost)
	}
	if len(r.running) == 0 {
		return
	}
	go func(n int) {
		for range n {
			result := <-r.results
			result.attempt.close()
		}
	}(len(r.running))
	r.running = nil
}
