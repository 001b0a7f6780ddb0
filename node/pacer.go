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
	// maximumConcurrentLoads is how many loads the weight store carries at full speed.
	maximumConcurrentLoads = 4
	// loadStartInterval spaces the starts of loads: 5 a second.
	loadStartInterval = 200 * time.Millisecond
	// slotLifetime frees the slot of a holder that died.
	slotLifetime = time.Minute
	// deadHolderSlotLifetime is how long the slot of a dead holder is kept: an engine goes on
	// with a load whose owner died.
	deadHolderSlotLifetime = 2 * time.Second
	// slotWaitTimeout bounds the wait for a slot.
	slotWaitTimeout = time.Minute
	// pacerKey is hashed to find the node that paces loads.
	pacerKey = "pacer/weight-store"
)

// Pacer grants slots at the weight store, to the load with most waiting callers
// first. Without it nodes fall back to one load each; it is no lock.
type Pacer struct {
	mu sync.Mutex
	// slots are the granted slots and when each ends by itself.
	slots map[uint64]loadSlot
	// alive tells whether a node is alive; nil counts every node as alive.
	alive      func(domain.NodeID) bool
	lastNumber uint64
	// lastGrantAt is when the last slot was granted.
	lastGrantAt time.Time
	queue       []*slotWaiter
	// slotFreed is closed and replaced when a slot is given back.
	slotFreed chan struct{}
}

// loadSlot is a granted slot.
type loadSlot struct {
	holder domain.NodeID
	// expiresAt is when the slot ends by itself. A holder that is found dead brings it
	// forward: its loads go on for a while without it.
	expiresAt  time.Time
	holderDead bool
}

type slotWaiter struct {
	callers int
	arrival uint64
}

// NewPacer returns a Pacer with every slot free. The slots of nodes that are not
// alive are freed soon.
func NewPacer(alive func(domain.NodeID) bool) *Pacer {
	return &Pacer{slots: make(map[uint64]loadSlot), alive: alive, slotFreed: make(chan struct{})}
}

// Acquire waits for a slot.
func (p *Pacer) Acquire(ctx context.Context, holder domain.NodeID, a peer.AcquirePace) (peer.Paced, error) {
	w := p.enqueue(a.Waiting)
	defer p.dequeue(w)
	for {
		slot, retry, wake := p.tryAcquire(w, holder, time.Now())
		if slot != 0 {
			return peer.Paced{Slot: slot, For: slotLifetime}, nil
		}
		select {
		case <-ctx.Done():
			return peer.Paced{}, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
		case <-wake:
		case <-time.After(retry):
		}
	}
}

func (p *Pacer) enqueue(waiting int) *slotWaiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	w := &slotWaiter{callers: waiting, arrival: p.lastNumber}
	p.queue = append(p.queue, w)
	return w
}

func (p *Pacer) dequeue(w *slotWaiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, x := range p.queue {
		if x == w {
			p.queue = append(p.queue[:i], p.queue[i+1:]...)
			break
		}
	}
	p.notifyWaiters()
}

// notifyWaiters wakes every waiter; the caller holds mu.
func (p *Pacer) notifyWaiters() {
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}

// tryAcquire grants a slot to w if it is first and a slot is free at now.
func (p *Pacer) tryAcquire(w *slotWaiter, holder domain.NodeID, now time.Time) (slot uint64, retry time.Duration, wake <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireSlots(now)
	if len(p.slots) >= maximumConcurrentLoads || p.nextWaiter() != w {
		return 0, time.Second, p.slotFreed
	}
	if since := now.Sub(p.lastGrantAt); since < loadStartInterval {
		return 0, loadStartInterval - since, p.slotFreed
	}
	p.lastGrantAt = now
	p.lastNumber++
	p.slots[p.lastNumber] = loadSlot{holder: holder, expiresAt: now.Add(slotLifetime)}
	return p.lastNumber, 0, p.slotFreed
}

// expireSlots frees the slots whose time is over; the caller holds mu.
func (p *Pacer) expireSlots(now time.Time) {
	for s, h := range p.slots {
		if !h.holderDead && p.alive != nil && !p.alive(h.holder) {
			h.holderDead = true
			h.expiresAt = now.Add(deadHolderSlotLifetime)
			p.slots[s] = h
		}
		if now.After(h.expiresAt) {
			delete(p.slots, s)
		}
	}
}

// nextWaiter is the waiter with most callers, the earliest among equals; the caller
// holds mu.
func (p *Pacer) nextWaiter() *slotWaiter {
	var best *slotWaiter
	for _, w := range p.queue {
		if best == nil || w.callers > best.callers || w.callers == best.callers && w.arrival < best.arrival {
			best = w
		}
	}
	return best
}

// Release gives a slot back.
func (p *Pacer) Release(r peer.ReleasePace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.slots, r.Slot)
	p.notifyWaiters()
}

// PaceClient asks the pacer for slots and falls back to this node's own share.
type PaceClient struct {
	deps  *Deps
	local *Pacer
	// localSlot admits one load at a time where no pacer answers.
	localSlot chan struct{}
}

// NewPaceClient returns a client; local is used where this node is the pacer.
func NewPaceClient(d *Deps, local *Pacer) *PaceClient {
	return &PaceClient{deps: d, local: local, localSlot: make(chan struct{}, 1)}
}

// Acquire waits for a slot and returns the function that gives it back.
func (c *PaceClient) Acquire(ctx context.Context, m domain.ModelName) (func(), error) {
	ctx, cancel := context.WithTimeout(ctx, slotWaitTimeout)
	defer cancel()
	pacer, ok := rendezvous.First(pacerKey, c.deps.activeNodes())
	if !ok {
		return c.acquireLocal(ctx)
	}
	a := peer.AcquirePace{Model: m, Within: slotWaitTimeout, Waiting: 1}
	if pacer == c.deps.nodeID() {
		p, err := c.local.Acquire(ctx, c.deps.nodeID(), a)
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
	return c.acquireLocal(ctx)
}

// acquireLocal takes this node's static share.
func (c *PaceClient) acquireLocal(ctx context.Context) (func(), error) {
	select {
	case c.localSlot <- struct{}{}:
		return func() { <-c.localSlot }, nil
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
	}
}
