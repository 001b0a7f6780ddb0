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
	// loadStartInterval is the shortest time between the starts of two loads: 5 a second.
	loadStartInterval = 200 * time.Millisecond
	// slotLifetime is how long a slot stays granted if its holder does not release it.
	slotLifetime = time.Minute
	// deadHolderSlotLifetime is how long a slot stays granted after its holder was found
	// dead. An engine continues a load after its owner died.
	deadHolderSlotLifetime = 2 * time.Second
	// slotWaitTimeout bounds the wait for a slot.
	slotWaitTimeout = time.Minute
	// pacerKey is the rendezvous hash key that selects the node whose Pacer all nodes use.
	pacerKey = "pacer/weight-store"
)

// Pacer is a rate limiter for loads from the weight store. It limits how many loads run at
// once and how fast they start, and serves the load with the most waiting callers first. Its
// slots are advisory: a node that cannot reach the Pacer runs one load at a time without it.
type Pacer struct {
	mu sync.Mutex
	// slots are the granted slots by number.
	slots map[uint64]loadSlot
	// isAlive reports whether a node is alive; nil counts every node as alive.
	isAlive func(domain.NodeID) bool
	// lastNumber is the number that a slot or an arriving waiter got last.
	lastNumber uint64
	// lastGrantAt is when a slot was last granted.
	lastGrantAt time.Time
	// queue holds the waiters in the order of their arrival.
	queue []*slotWaiter
	// slotFreed is closed and replaced when a slot is released or a waiter leaves the queue.
	slotFreed chan struct{}
}

// loadSlot is a granted slot.
type loadSlot struct {
	holder domain.NodeID
	// expiresAt is when the slot is freed without a release.
	expiresAt time.Time
	// holderDead is set, and expiresAt moved to deadHolderSlotLifetime later, when the holder
	// is found dead.
	holderDead bool
}

// slotWaiter is a call of Acquire that waits for a slot.
type slotWaiter struct {
	waitingCallers int
	arrivalNumber  uint64
}

// NewPacer returns a Pacer with every slot free. isAlive may be nil.
func NewPacer(isAlive func(domain.NodeID) bool) *Pacer {
	return &Pacer{slots: make(map[uint64]loadSlot), isAlive: isAlive, slotFreed: make(chan struct{})}
}

// Acquire waits until it can grant a slot to holder, and returns an error when ctx ends.
func (p *Pacer) Acquire(ctx context.Context, holder domain.NodeID, a peer.AcquirePace) (peer.Paced, error) {
	w := p.enqueue(a.Waiting)
	defer p.dequeue(w)
	for {
		slot, retryAfter, slotFreed := p.tryAcquire(w, holder, time.Now())
		if slot != 0 {
			return peer.Paced{Slot: slot, ValidFor: slotLifetime}, nil
		}
		select {
		case <-ctx.Done():
			return peer.Paced{}, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
		case <-slotFreed:
		case <-time.After(retryAfter):
		}
	}
}

func (p *Pacer) enqueue(waitingCallers int) *slotWaiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	w := &slotWaiter{waitingCallers: waitingCallers, arrivalNumber: p.lastNumber}
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

// notifyWaiters wakes every waiter to try again; the caller holds mu.
func (p *Pacer) notifyWaiters() {
	close(p.slotFreed)
	p.slotFreed = make(chan struct{})
}

// tryAcquire grants a slot if w is the next waiter, a slot is free and the last grant is at
// least loadStartInterval ago. Otherwise it returns slot 0, and the waiter tries again after
// retryAfter or when slotFreed is closed.
func (p *Pacer) tryAcquire(w *slotWaiter, holder domain.NodeID, now time.Time) (slot uint64, retryAfter time.Duration, slotFreed <-chan struct{}) {
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

// expireSlots shortens the lifetime of slots whose holder is dead and frees expired slots;
// the caller holds mu.
func (p *Pacer) expireSlots(now time.Time) {
	for s, h := range p.slots {
		if !h.holderDead && p.isAlive != nil && !p.isAlive(h.holder) {
			h.holderDead = true
			h.expiresAt = now.Add(deadHolderSlotLifetime)
			p.slots[s] = h
		}
		if now.After(h.expiresAt) {
			delete(p.slots, s)
		}
	}
}

// nextWaiter returns the waiter with the most waiting callers or, among equals, the one that
// arrived first; the caller holds mu.
func (p *Pacer) nextWaiter() *slotWaiter {
	var best *slotWaiter
	for _, w := range p.queue {
		if best == nil || w.waitingCallers > best.waitingCallers || w.waitingCallers == best.waitingCallers && w.arrivalNumber < best.arrivalNumber {
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

// PaceClient acquires slots from the Pacer in use. If that is unreachable, it admits one load
// at a time at this node.
type PaceClient struct {
	deps       *Deps
	localPacer *Pacer
	// localSlot admits one load at a time while the pacer is unreachable.
	localSlot chan struct{}
}

// NewPaceClient returns a PaceClient. It uses localPacer while hashing selects this node as
// the pacer.
func NewPaceClient(d *Deps, localPacer *Pacer) *PaceClient {
	return &PaceClient{deps: d, localPacer: localPacer, localSlot: make(chan struct{}, 1)}
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
		p, err := c.localPacer.Acquire(ctx, c.deps.nodeID(), a)
		if err != nil {
			return nil, err
		}
		return func() { c.localPacer.Release(peer.ReleasePace{Slot: p.Slot}) }, nil
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

// acquireLocal waits for the only slot of this node for loads without the Pacer, and returns
// the function that releases it.
func (c *PaceClient) acquireLocal(ctx context.Context) (func(), error) {
	select {
	case c.localSlot <- struct{}{}:
		return func() { <-c.localSlot }, nil
	case <-ctx.Done():
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "the weight store is busy")
	}
}
