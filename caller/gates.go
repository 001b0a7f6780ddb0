package caller

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// MaximumWaitingBytes bounds the bodies that this node holds of callers'
// requests, running or waiting.
const MaximumWaitingBytes = 32 * domain.Mebibyte

// gates hold the admission queues of the models at this node. The zero gates
// are ready for use.
type gates struct {
	mu     sync.Mutex
	models map[domain.ModelName]*gate
	next   admission.ID
	bytes  domain.Bytes
}

// gate is one queue with the goroutines that wait in it.
type gate struct {
	queue   admission.Queue
	waiting map[admission.ID]chan bool
}

// slot is an admitted request's place; leave gives it back.
type slot struct {
	gates *gates
	model domain.ModelName
	id    admission.ID
}

// enter waits until the request has a slot among capacity ones.
func (g *gates) enter(ctx context.Context, c *chatCall, capacity int) (*slot, error) {
	answer, s, decision := g.offer(c, capacity)
	switch decision.Outcome {
	case admission.Admitted:
		return s, nil
	case admission.RefusedLate:
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the estimated wait passes the deadline").WithRetryAfter(decision.RetryAfter)
	case admission.RefusedFull:
		return nil, verdict.Refuse(verdict.QueueFull, "too many requests wait for the model").WithRetryAfter(decision.RetryAfter)
	}
	select {
	case admitted := <-answer:
		if !admitted {
			return nil, verdict.Refuse(verdict.DeadlineTooShort, "others went first and the wait passes the deadline").WithRetryAfter(time.Second)
		}
		return s, nil
	case <-ctx.Done():
		g.abandon(s, answer)
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the request waited until its deadline").WithRetryAfter(time.Second)
	}
}

func (g *gates) offer(c *chatCall, capacity int) (chan bool, *slot, admission.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	m := g.gate(c.model.Name)
	m.tell(m.queue.SetCapacity(now, capacity))
	g.next++
	s := &slot{gates: g, model: c.model.Name, id: g.next}
	d := m.queue.Offer(now, admission.Item{
		ID: s.id, Team: c.team.Name, Share: c.team.Share, Priority: c.team.Priority, Deadline: c.deadline,
	})
	m.tell(admission.DequeuedItems{LateIDs: d.LateIDs})
	if d.Outcome != admission.Queued {
		g.forget(s.model, m)
		return nil, s, d
	}
	answer := make(chan bool, 1)
	m.waiting[s.id] = answer
	return answer, s, d
}

// abandon leaves the queue; a slot that was given meanwhile goes back.
func (g *gates) abandon(s *slot, answer chan bool) {
	g.mu.Lock()
	m := g.gate(s.model)
	m.queue.Cancel(s.id)
	delete(m.waiting, s.id)
	g.forget(s.model, m)
	g.mu.Unlock()
	select {
	case admitted := <-answer:
		if admitted {
			s.leave()
		}
	default:
	}
}

// leave gives a slot back.
func (s *slot) leave() {
	s.gates.mu.Lock()
	defer s.gates.mu.Unlock()
	m := s.gates.gate(s.model)
	m.tell(m.queue.Finish(time.Now(), s.id))
}

// release gives a slot back that was not used for a whole answer.
func (s *slot) release() {
	s.gates.mu.Lock()
	defer s.gates.mu.Unlock()
	m := s.gates.gate(s.model)
	m.tell(m.queue.Release(time.Now(), s.id))
}

// waitingFor returns how many requests wait for a model.
func (g *gates) waitingFor(n domain.ModelName) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.models[n]; m != nil {
		return m.queue.Waiting()
	}
	return 0
}

// hold counts a body that this node keeps; false means that there is no room.
func (g *gates) hold(size domain.Bytes) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.bytes+size > MaximumWaitingBytes {
		return false
	}
	g.bytes += size
	return true
}

func (g *gates) release(size domain.Bytes) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bytes -= size
}

func (g *gates) gate(n domain.ModelName) *gate {
	if g.models == nil {
		g.models = make(map[domain.ModelName]*gate)
	}
	m := g.models[n]
	if m == nil {
		m = &gate{waiting: make(map[admission.ID]chan bool)}
		g.models[n] = m
	}
	return m
}

// forget drops the gate of a model that nobody used yet.
func (g *gates) forget(n domain.ModelName, m *gate) {
	if m.queue.Running() == 0 && m.queue.Waiting() == 0 && m.queue.AverageHoldTime() == 0 {
		delete(g.models, n)
	}
}

// tell wakes the goroutines whose requests were decided.
func (m *gate) tell(c admission.DequeuedItems) {
	for _, id := range c.AdmittedIDs {
		m.answer(id, true)
	}
	for _, id := range c.LateIDs {
		m.answer(id, false)
	}
}

func (m *gate) answer(id admission.ID, admitted bool) {
	if waiting := m.waiting[id]; waiting != nil {
		waiting <- admitted
		delete(m.waiting, id)
	}
}
