package node

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/rendezvous"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// paceSlots is how many loads the weight store carries at full speed.
	paceSlots = 4
	// paceInterval spaces the starts of loads: 5 a second.
	paceInterval = 200 * time.Millisecond
	// paceLifetime frees the slot of a holder that died.
	paceLifetime = time.Minute
	// paceDead is how long the slot of a dead holder is kept: an engine goes on
	// with a load whose owner died.
	paceDead = 2 * time.Second
	// paceWait bounds the wait for a slot.
	paceWait = time.Minute
	// pacerKey is hashed to find the node that paces loads.
	pacerKey = "pacer/weight-store"
)

// Pacer grants slots at the weight store, to the load with most waiting callers
// first. Without it nodes fall back to one load each; it is no lock.
type Pacer struct {
	mu sync.Mutex
	// held are the granted slots and when each ends by itself.
	held map[uint64]heldPace
	// alive tells whether a node is alive; nil counts every node as alive.
	alive func(domain.NodeID) bool
	next  uint64
	// started is when the last slot was granted.
	started time.Time
	waiting []*paceWaiter
	// wake is closed and replaced when a slot is given back.
	wake chan struct{}
}

// heldPace is a granted slot.
type heldPace struct {
	holder domain.NodeID
	// until is when the slot ends by itself. A holder that is found dead brings it
	// forward: its loads go on for a while without it.
	until time.Time
	dead  bool
}

type paceWaiter struct {
	waiting int
	order   uint64
}

// NewPacer returns a Pacer with every slot free. The slots of nodes that are not
// alive are freed soon.
func NewPacer(alive func(domain.NodeID) bool) *Pacer {
	return &Pacer{held: make(map[uint64]heldPace), alive: alive, wake: make(chan struct{})}
}

// Acquire waits for a slot.
func (p *Pacer) Acquire(ctx context.Context, holder domain.NodeID, a peer.AcquirePace) (peer.Paced, error) {
	w := p.enter(a.Waiting)
	defer p.leave(w)
	for {
		slot, retry, wake := p.try(w, holder, time.Now())
		if slot != 0 {
			return peer.Paced{Slot: slot, For: paceLifetime}, nil
		}
		select {
		case <-ctx.Done():
			return peer.Paced{}, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
		case <-wake:
		case <-time.After(retry):
		}
	}
}

func (p *Pacer) enter(waiting int) *paceWaiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	w := &paceWaiter{waiting: waiting, order: p.next}
	p.waiting = append(p.waiting, w)
	return w
}

func (p *Pacer) leave(w *paceWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.waiting {
		if x == w {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			break
		}
	}
	p.signal()
}

// signal wakes every waiter; the caller holds mu.
func (p *Pacer) signal() {
	close(p.wake)
	p.wake = make(chan struct{})
}

// try grants a slot to w if it is first and a slot is free at now.
func (p *Pacer) try(w *paceWaiter, holder domain.NodeID, now time.Time) (slot uint64, retry time.Duration, wake <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.held) >= paceSlots || p.first() != w {
		return 0, time.Second, p.wake
	}
	if since := now.Sub(p.started); since < paceInterval {
		return 0, paceInterval - since, p.wake
	}
	p.started = now
	p.next++
	p.held[p.next] = heldPace{holder: holder, until: now.Add(paceLifetime)}
	return p.next, 0, p.wake
}

// expire frees the slots whose time is over; the caller holds mu.
func (p *Pacer) expire(now time.Time) {
	for s, h := range p.held {
		if !h.dead && p.alive != nil && !p.alive(h.holder) {
			h.dead = true
			h.until = now.Add(paceDead)
			p.held[s] = h
		}
		if now.After(h.until) {
			delete(p.held, s)
		}
	}
}

// first is the waiter with most callers, the earliest among equals; the caller
// holds mu.
func (p *Pacer) first() *paceWaiter {
	var best *paceWaiter
	for _, w := range p.waiting {
		if best == nil || w.waiting > best.waiting || w.waiting == best.waiting && w.order < best.order {
			best = w
		}
	}
	return best
}

// Release gives a slot back.
func (p *Pacer) Release(r peer.ReleasePace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, r.Slot)
	p.signal()
}

// PaceClient asks the pacer for slots and falls back to this node's own share.
type PaceClient struct {
	deps  *Deps
	local *Pacer
	// share admits one load at a time where no pacer answers.
	share chan struct{}
}

// NewPaceClient returns a client; local is used where this node is the pacer.
func NewPaceClient(d *Deps, local *Pacer) *PaceClient {
	return &PaceClient{deps: d, local: local, share: make(chan struct{}, 1)}
}

// Acquire waits for a slot and returns the function that gives it back.
func (c *PaceClient) Acquire(ctx context.Context, m domain.ModelName) (func(), error) {
	ctx, cancel := context.WithTimeout(ctx, paceWait)
	defer cancel()
	pacer, ok := rendezvous.First(pacerKey, c.deps.members())
	if !ok {
		return c.own(ctx)
	}
	a := peer.AcquirePace{Model: m, Within: paceWait, Waiting: 1}
	if pacer == c.deps.node() {
		p, err := c.local.Acquire(ctx, c.deps.node(), a)
		if err != nil {
			return nil, err
		}
		return func() { c.local.Release(peer.ReleasePace{Slot: p.Slot}) }, nil
	}
	answer, err := c.deps.Mesh.Call(ctx, pacer, a)
	if p, ok := answer.(peer.Paced); err == nil && ok {
		return func() { c.deps.Mesh.Send(pacer, peer.ReleasePace{Slot: p.Slot}) }, nil
	}
	if verdict.Of(err) != nil && verdict.Of(err).Reason == verdict.DeadlineTooShort {
		return nil, err
	}
	c.deps.Logger.Warn().Err(err).Str("Event", "PacerUnreachable").Str("Pacer", string(pacer)).Msg("this node loads within its own share")
	return c.own(ctx)
}

// own takes this node's static share.
func (c *PaceClient) own(ctx context.Context) (func(), error) {
	select {
	case c.share <- struct{}{}:
		return func() { <-c.share }, nil
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
	}
}
