package caller

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/admission"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// MaximumBufferedBytes bounds the bodies of callers' requests, running or waiting, that
// this node holds in memory.
const MaximumBufferedBytes = 32 * domain.Mebibyte

// admissionQueues holds the admission queue of each model at this node and counts the
// bytes of request bodies. The zero admissionQueues is ready for use.
type admissionQueues struct {
	mu            sync.Mutex
	byModel       map[domain.ModelName]*modelQueue
	lastID        admission.ID
	bufferedBytes domain.Bytes
}

// modelQueue is one model's queue and the goroutines that wait in it.
type modelQueue struct {
	queue admission.Queue
	// waiters receive true when their request is admitted, and false when it is refused.
	waiters map[admission.ID]chan bool
}

// slot is the place of an admitted request. It is returned with finish or release.
type slot struct {
	queues *admissionQueues
	model  domain.ModelName
	id     admission.ID
}

// admit waits until the request gets one of capacity slots of its model.
func (a *admissionQueues) admit(ctx context.Context, c *chatCall, capacity int) (*slot, error) {
	result, s, decision := a.offer(c, capacity)
	switch decision.Outcome {
	case admission.Admitted:
		return s, nil
	case admission.RefusedLate:
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the estimated wait passes the deadline").WithRetryAfter(decision.RetryAfter)
	case admission.RefusedFull:
		return nil, verdict.Refuse(verdict.QueueFull, "too many requests wait for the model").WithRetryAfter(decision.RetryAfter)
	}
	select {
	case admitted := <-result:
		if !admitted {
			return nil, verdict.Refuse(verdict.DeadlineTooShort, "others went first and the wait passes the deadline").WithRetryAfter(time.Second)
		}
		return s, nil
	case <-ctx.Done():
		a.cancel(s, result)
		return nil, verdict.Refuse(verdict.DeadlinePassed, "the request waited until its deadline").WithRetryAfter(time.Second)
	}
}

func (a *admissionQueues) offer(c *chatCall, capacity int) (chan bool, *slot, admission.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	q := a.queueOf(c.model.Name)
	q.notify(q.queue.SetCapacity(now, capacity))
	a.lastID++
	s := &slot{queues: a, model: c.model.Name, id: a.lastID}
	d := q.queue.Offer(now, admission.Item{
		ID: s.id, Team: c.team.Name, Share: c.team.Share, Priority: c.team.Priority, Deadline: c.deadline,
	})
	q.notify(admission.DequeuedItems{LateIDs: d.LateIDs})
	if d.Outcome != admission.Queued {
		a.removeIfUnused(s.model, q)
		return nil, s, d
	}
	result := make(chan bool, 1)
	q.waiters[s.id] = result
	return result, s, d
}

// cancel removes a request from the queue. If it was admitted in the meantime, its slot
// is given back.
func (a *admissionQueues) cancel(s *slot, result chan bool) {
	a.mu.Lock()
	q := a.queueOf(s.model)
	q.queue.Cancel(s.id)
	delete(q.waiters, s.id)
	a.removeIfUnused(s.model, q)
	a.mu.Unlock()
	select {
	case admitted := <-result:
		if admitted {
			s.finish()
		}
	default:
	}
}

// finish returns a used slot to the queue. The hold time of the slot counts towards the
// average hold time of the queue.
func (s *slot) finish() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	q := s.queues.queueOf(s.model)
	q.notify(q.queue.Finish(time.Now(), s.id))
}

// release returns a slot that was not used for a complete response. The hold time is not
// counted.
func (s *slot) release() {
	s.queues.mu.Lock()
	defer s.queues.mu.Unlock()
	q := s.queues.queueOf(s.model)
	q.notify(q.queue.Release(time.Now(), s.id))
}

// waitingCount returns the number of requests that wait for a model.
func (a *admissionQueues) waitingCount(n domain.ModelName) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.byModel[n]; q != nil {
		return q.queue.Waiting()
	}
	return 0
}

// reserveBytes counts a body of a request and reports whether there is room for it.
func (a *admissionQueues) reserveBytes(size domain.Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.bufferedBytes+size > MaximumBufferedBytes {
		return false
	}
	a.bufferedBytes += size
	return true
}

func (a *admissionQueues) releaseBytes(size domain.Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bufferedBytes -= size
}

func (a *admissionQueues) queueOf(n domain.ModelName) *modelQueue {
	if a.byModel == nil {
		a.byModel = make(map[domain.ModelName]*modelQueue)
	}
	q := a.byModel[n]
	if q == nil {
		q = &modelQueue{waiters: make(map[admission.ID]chan bool)}
		a.byModel[n] = q
	}
	return q
}

// removeIfUnused deletes an empty queue in which no request has finished yet. Other
// queues are kept, because they hold the average hold time of their slots.
func (a *admissionQueues) removeIfUnused(n domain.ModelName, q *modelQueue) {
	if q.queue.Running() == 0 && q.queue.Waiting() == 0 && q.queue.AverageHoldTime() == 0 {
		delete(a.byModel, n)
	}
}

// notify passes the queue's decisions to the waiting goroutines.
func (q *modelQueue) notify(dequeued admission.DequeuedItems) {
	for _, id := range dequeued.AdmittedIDs {
		q.resolve(id, true)
	}
	for _, id := range dequeued.LateIDs {
		q.resolve(id, false)
	}
}

func (q *modelQueue) resolve(id admission.ID, admitted bool) {
	if waiter := q.waiters[id]; waiter != nil {
		waiter <- admitted
		delete(q.waiters, id)
	}
}
