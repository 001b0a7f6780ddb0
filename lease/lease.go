// Package lease decides for how long a node may act as the owner of a shard of
// backend servers. It derives this from the grants of the platform's store;
// package entry records the store's responses and checks the lease before it
// issues an order. The package does no I/O and reads no clock: callers pass times
// of a clock that also counts the time in which the VM is suspended.
package lease

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Generation numbers the versions of the membership group; every change of the
// group raises it.
type Generation uint64

// Shard identifies a part of the backend servers that has one owner at a time.
type Shard int

// Grant is the store's response to a membership call.
type Grant struct {
	Generation Generation
	// Shards are the shards assigned to the member.
	Shards []Shard
}

// expiryMarginDivisor sets the safety margin: a holder treats its lease as expired
// TimeToLive/5 before the store does, so that its orders in flight arrive before
// the next holder starts.
const expiryMarginDivisor = 5

// Lease is one node's lease on one shard. The zero Lease is not held. It is not
// safe for concurrent use.
type Lease struct {
	Shard Shard
	// TimeToLive is how long the store keeps a member that does not renew.
	TimeToLive time.Duration
	// SettleTime is how long a new holder waits before its first order, so that no two
	// holders issue orders within that time.
	SettleTime time.Duration
	// ServersCheckFences means that the backend servers reject orders with an old fencing
	// token. The holder then keeps its lease while it cannot reach the store, because
	// the servers reject its orders as soon as there is a newer holder.
	ServersCheckFences bool

	generation Generation
	held       bool
	fence      domain.Fence
	acquiredAt time.Duration
	expiresAt  time.Duration
}

// Generation returns the last generation received, which the next membership call
// sends.
func (l *Lease) Generation() Generation { return l.generation }

// ApplyGrant records the store's response to a call made at sentAt. The lease runs
// from sentAt because the store may have handled the call at any time since. The
// first grant, or one after the lease expired, starts a new settle time under a
// new fencing token; a renewal keeps both.
func (l *Lease) ApplyGrant(sentAt time.Duration, g Grant) {
	l.generation = g.Generation
	isListed := slices.Contains(g.Shards, l.Shard)
	if !isListed {
		l.held = false
		return
	}
	if !l.held || sentAt >= l.expiresAt {
		l.held = true
		l.acquiredAt = sentAt
		l.fence = domain.Fence(g.Generation)
	}
	l.expiresAt = sentAt + l.TimeToLive - l.TimeToLive/expiryMarginDivisor
}

// RecordRenewalFailure records that a renewal got no response. It extends a lease
// that has not expired if the servers check fencing tokens. A lease that expired
// meanwhile, for example while the VM was suspended, has to be granted again.
func (l *Lease) RecordRenewalFailure(now time.Duration) {
	if l.ServersCheckFences && l.held && now < l.expiresAt {
		l.expiresAt = now + l.TimeToLive - l.TimeToLive/expiryMarginDivisor
	}
}

// Invalidate ends the lease, after a server rejected its fencing token.
func (l *Lease) Invalidate() { l.held = false }

// Fence returns the fencing token for orders issued at now, and whether issuing
// them is permitted.
func (l *Lease) Fence(now time.Duration) (domain.Fence, bool) {
	if !l.held || now >= l.expiresAt || now < l.acquiredAt+l.SettleTime {
		return 0, false
	}
	return l.fence, true
}

// IsHeld reports whether the node holds the shard at now; its settle time may
// still be running.
func (l *Lease) IsHeld(now time.Duration) bool { return l.held && now < l.expiresAt }
