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
	// maximumConcurrentLoads is how many loads the weight store serves at full speed.
	maximumConcurrentLoads = 4
	// loadStartInterval spaces the starts of loads: 5 a second.
	loadStartInterval = 200 * time.Millisecond
	// slotLifetime expires the slot of a holder that never releases it.
	slotLifetime = time.Minute
	// deadHolderSlotLifetime is how long the slot of a dead holder stays taken: an engine
	// continues a load after its owner died.
	deadHolderSlotLifetime = 2 * time.Second
	// slotWaitTimeout bounds the wait for a slot.
	slotWaitTimeout = time.Minute
	// pacerKey is hashed to select the node that runs the Pacer in use.
	pacerKey = "pacer/weight-store"
)

// Pacer is a rate limiter for loads from the weight store: it limits how many run at once
// and how fast they start, and serves the load with the most waiting callers first. It is
// advisory and no lock: without it each node runs one load at a time.
type Pacer struct {
	mu sync.Mutex
	// slots are the granted slots by number.
	slots map[uint64]loadSlot
	// alive reports whether a node is alive; nil counts every node as alive.
	alive       func(domain.NodeID) bool
	lastNumber  uint64
	lastGrantAt time.Time
	queue       []*slotWaiter
	// slotFreed is closed and replaced when a slot is released or a waiter leaves.
	slotFreed chan struct{}
}

// loadSlot is a granted slot.
type loadSlot struct {
	holder domain.NodeID
	// expiresAt is when the slot is freed without a release. It is brought forward when the
	// holder is found dead.
	expiresAt  time.Time
	holderDead bool
}

type slotWaiter struct {
	callers int
	arrival uint64
}

// NewPacer returns a Pacer with every slot free. It frees the slots of nodes that are not
// alive after deadHolderSlotLifetime.
func NewPacer(alive func(domain.NodeID) bool) *Pacer {
	return &Pacer{slots: make(map[uint64]loadSlot), alive: alive, slotFreed: make(chan struct{})}
}

// Acquire waits for a slot.
func (p *Pacer) Acquire(ctx context.Context, holder domain.NodeID, a peer.AcquirePace) (peer.Paced, error) {
	w := p.enqueue(a.Waiting)
	defer p.dequeue(w)
	for {
		slot, retry, freed := p.tryAcquire(w, holder, time.Now())
		if slot != 0 {
			return peer.Paced{Slot: slot, For: slotLifetime}, nil
		}
		select {
		case <-ctx.Done():
			return peer.Paced{}, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
		case <-freed:
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

// notifyWaiters makes every waiter try again; the caller holds mu.
func (p *Pacer) notifyWaiters() {
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}

// tryAcquire grants a slot if w is the next waiter, a slot is free and the last grant is
// long enough ago. Otherwise it returns when to try again.
func (p *Pacer) tryAcquire(w *slotWaiter, holder domain.NodeID, now time.Time) (slot uint64, retry time.Duration, freed <-chan struct{}) {
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

// expireSlots frees expired slots; the caller holds mu.
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

// nextWaiter returns the waiter with the most callers, the earliest among equals; the
// caller holds mu.
func (p *Pacer) nextWaiter() *slotWaiter {
	var best *slotWaiter
	for _, w := range p.queue {
		if best == nil || w.callers > best.callers || w.callers == best.callers && w.arrival < best.arrival {
			best = w
		}
	}
	return best
}

// Release frees a slot.
func (p *Pacer) Release(r peer.ReleasePace) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.slots, r.Slot)
	p.notifyWaiters()
}

// PaceClient acquires slots from the pacer and falls back to one load at a time at this
// node.
type PaceClient struct {
	deps  *Deps
	local *Pacer
	// localSlot admits one load at a time while the pacer is unreachable.
	localSlot chan struct{}
}

// NewPaceClient returns a PaceClient; local is used where this node is the pacer.
func NewPaceClient(d *Deps, local *Pacer) *PaceClient {
	return &PaceClient{deps: d, local: local, localSlot: make(chan struct{}, 1)}
}

// Acquire waits for a slot and returns the function that releases it.
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
	response, err := c.deps.Mesh.Call(ctx, pacer, a)
	if p, ok := response.(peer.Paced); err == nil && ok {
		return func() { c.deps.Mesh.Send(pacer, peer.ReleasePace{Slot: p.Slot}) }, nil
	}
	if verdict.Of(err) != nil && verdict.Of(err).Reason == verdict.DeadlineTooShort {
		return nil, err
	}
	c.deps.Logger.Warn().Err(err).Str("Event", "PacerUnreachable").Str("Pacer", string(pacer)).Msg("pacer is unreachable; this node runs one load at a time")
	return c.acquireLocal(ctx)
}

// acquireLocal takes this node's only slot for loads without the pacer.
func (c *PaceClient) acquireLocal(ctx context.Context) (func(), error) {
	select {
	case c.localSlot <- struct{}{}:
		return func() { <-c.localSlot }, nil
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
	}
}
