package caller

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/routing"
)

// firstPart is how an attempt began.
type firstPart struct {
	attempt *attempt
	token   engine.Token
	err     error
}

// race runs attempts side by side until one gives its first part: the first one
// at once, and a hedge where that one is late and the budget allows it.
type race struct {
	session *session
	set     routing.Set
	started time.Time
	parts   chan firstPart
	running []*attempt
}

// run returns nil where an attempt won, or where all failed and another race may
// follow.
func (s *session) run(set routing.Set, first *routing.Replica) error {
	r := &race{session: s, set: set, started: time.Now(), parts: make(chan firstPart, 2)}
	r.launch(first)
	hedge := s.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case p := <-r.parts:
			r.ended(p.attempt)
			if p.err == nil {
				r.won(p)
				return nil
			}
			if len(r.running) > 0 && s.ctx.Err() == nil {
				s.note(p.attempt, p.err)
				continue
			}
			r.abandon()
			return s.failed(p.attempt, p.err)
		case <-hedge.C:
			r.hedge()
		case <-s.ctx.Done():
			s.mayHaveRun = true
			r.abandon()
			return s.ended()
		}
	}
}

// hedgeTimer fires when a first token is late for the model; without a hedge it
// does not fire.
func (s *session) hedgeTimer() *time.Timer {
	after, ok := s.api.health.hedgeAfter(s.call.model.Name)
	if !ok || s.relay.NextIndex() > 0 || s.alone {
		after = s.call.deadline.Remaining(time.Now()) + time.Hour
	}
	return time.NewTimer(after)
}

func (r *race) launch(target *routing.Replica) {
	s := r.session
	t := s.api.newAttempt(s, target)
	t.alone = s.alone
	r.running = append(r.running, t)
	s.trace.attempt(target)
	request := s.request(t)
	go func() {
		token, err := t.first(request)
		r.parts <- firstPart{attempt: t, token: token, err: err}
	}()
}

// hedge starts a second attempt on another loaded replica, where that takes
// nothing from requests that wait.
func (r *race) hedge() {
	s := r.session
	tried := append([]domain.ServerID(nil), s.exclude...)
	for _, t := range r.running {
		tried = append(tried, t.server)
	}
	choice := s.choice(tried)
	choice.RequireFreeSlot = true
	if s.api.gates.waitingFor(s.call.model.Name) > 0 {
		return
	}
	i, ok := s.api.chooser.Choose(time.Now(), r.set, choice)
	if !ok {
		return
	}
	if !s.api.health.spendHedge(time.Now(), s.call.model.Name) {
		s.api.chooser.Done(r.set.Replicas[i].Server)
		return
	}
	s.api.Scope.Counter("hedges").Inc(1)
	r.launch(&r.set.Replicas[i])
}

func (r *race) ended(t *attempt) {
	r.running = slices.DeleteFunc(r.running, func(o *attempt) bool { return o == t })
}

// won makes an attempt the session's current one; its token is the next.
func (r *race) won(p firstPart) {
	s := r.session
	now := time.Now()
	s.api.health.succeeded(now, p.attempt.server)
	if s.relay.NextIndex() == 0 {
		s.api.health.firstToken(s.call.model.Name, now.Sub(r.started))
	}
	s.current, s.pending, s.hasPending = p.attempt, p.token, true
	s.relay.StartAttempt(p.attempt.id)
	r.abandon()
}

// abandon cancels the attempts that still run. Each is closed when its goroutine
// is done with it.
func (r *race) abandon() {
	for _, t := range r.running {
		t.cancel(errAbandoned)
	}
	if len(r.running) == 0 {
		return
	}
	go func(n int) {
		for range n {
			p := <-r.parts
			p.attempt.close()
		}
	}(len(r.running))
	r.running = nil
}
