// Package lease decides how long a node owns a shard of backend servers and may issue
// orders to them, from the grants of the platform's store. Package entry records the
// store's responses and checks the lease before it issues an order. The package does no
// I/O and reads no clock: callers pass times of a clock that also counts the time in
// which the VM is suspended.
package lease

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Shard identifies a part of the backend servers that has one owner at a time.
type Shard int

// Grant is the store's response to a membership call.
type Grant struct {
	// Era is the era of the store that responded. Generation is of it too.
	Era domain.Era
	// Generation is the version of the membership group in which the shards are assigned.
	Generation Generation
	// Shards are the shards that the group assigns to the member.
	Shards []Shard
}

// expiryMarginDivisor sets the safety margin: the holder treats its lease as expired
// TimeToLive/expiryMarginDivisor before the store does, so that its orders in flight
// arrive before the next holder starts.
const expiryMarginDivisor = 5

// lateRenewalDivisor sets when renewals count as late: while less than
// TimeToLive/lateRenewalDivisor is left of the lease.
const lateRenewalDivisor = 3

// orderWindowDivisor sets how long a holder with a LeaseBound may issue orders after the last
// renewal that succeeded was sent: TimeToLive/orderWindowDivisor, which is two intervals between
// renewals. A new holder has to wait for as long, because the former one may not know yet that it
// has lost the shard.
const orderWindowDivisor = 2

// Lease is one node's lease on one shard. The zero Lease is not held. It is not
// safe for concurrent use.
type Lease struct {
	Shard Shard
	// TimeToLive is how long the store keeps a member without a renewal.
	TimeToLive time.Duration
	// FirstOrderDelay is how long a new holder waits before its first order. It separates the
	// orders of two successive holders.
	FirstOrderDelay time.Duration
	// LeaseBound is the least time between the orders of a holder in two terms if another node may
	// have issued orders between them: within it, holders must not take turns. FirstOrderDelay then is
	// the longest time that an order is in flight. It is needed where the servers check no fencing
	// tokens; 0 if there is no such bound.
	LeaseBound time.Duration
	// ServersCheckFences means that the backend servers reject orders with an old fencing
	// token. The holder then keeps its lease while it cannot reach the store: as soon as
	// there is a newer holder, the servers reject the orders of this one.
	ServersCheckFences bool

	// generation is the last generation received, in the era grantEra.
	generation Generation
	grantEra   domain.Era
	// era is the newest era of the store that this node has seen, and eraSeenAt is when it first
	// saw it; zero in era 0.
	era       domain.Era
	eraSeenAt time.Duration
	// held is true from a grant until the shard is missing from a later grant or the
	// lease is invalidated. The lease can be expired nevertheless.
	held  bool
	fence domain.Fence
	// firstOrderAt is the end of the settle time, and no other node issues an order after
	// predecessorEnd. renewedAt is when the last call was sent to
	// which the store responded with the shard. expiresAt is when the lease expires unless it is
	// renewed.
	firstOrderAt, predecessorEnd time.Duration
	renewedAt                    time.Duration
	// lastTermEnd is when this node may have issued its last order at the latest, if hasOrdered is
	// set.
	lastTermEnd time.Duration
	hasOrdered  bool
	expiresAt   time.Duration
}

// Generation returns the last generation received, which the node sends with the next
// membership call.
func (l *Lease) Generation() Generation { return l.generation }

// ApplyGrant records the store's response, received at receivedAt, to a call that was sent
// at sentAt. The lease runs from sentAt and the settle time from receivedAt, because the
// store may have handled the call at any time between them. A renewal keeps the fencing
// token. The first grant, or a grant after the lease has expired, sets a new fencing token
// and starts the settle time. So does the first grant of a later era, because the restored store
// may have given the shard to another member in between. A grant of a former era is ignored.
func (l *Lease) ApplyGrant(sentAt, receivedAt time.Duration, g Grant) {
	if g.Era < l.era {
		return
	}
	l.RecordEra(receivedAt, g.Era)
	isFirstOfEra, isOtherGeneration := g.Era > l.grantEra, g.Generation != l.generation
	l.generation, l.grantEra = g.Generation, g.Era
	isListed := slices.Contains(g.Shards, l.Shard)
	if !isListed {
		l.held = false
		return
	}
	if !l.held || isFirstOfEra || l.isExpiredGrant(sentAt, receivedAt) || isOtherGeneration && l.isSettling(receivedAt) {
		l.predecessorEnd = receivedAt
		if !l.isLastToOrder(receivedAt) {
			l.predecessorEnd = receivedAt + l.orderWindow()
			l.firstOrderAt = max(receivedAt+l.settleTime(), l.returnAt(), l.formerEraEnd(receivedAt))
			l.fence = domain.Fence(g.Generation)
		}
		l.held = true
	}
	l.renewedAt = sentAt
	if sentAt+l.orderWindow() > l.firstOrderAt {
		l.hasOrdered, l.lastTermEnd = true, sentAt+l.orderWindow()
	}
	l.expiresAt = sentAt + l.TimeToLive - l.TimeToLive/expiryMarginDivisor
}

// RecordEra records the era of a response of the store that was received at now.
func (l *Lease) RecordEra(now time.Duration, e domain.Era) {
	if e > l.era {
		l.era, l.eraSeenAt = e, now
	}
}

// formerEraEnd returns when a holder of the former era has issued its last order at the latest, if
// that may be another node; 0 if there is no former era. The restored store does not know of that
// holder's last renewals and may have given the shard away at once, while the holder does not know
// of its loss yet. This node was the last holder if it got a response with the shard so recently
// that no other member could have got the shard since, in the former era.
func (l *Lease) formerEraEnd(receivedAt time.Duration) time.Duration {
	isLastHolder := l.held && receivedAt < l.renewedAt+l.orderWindow()
	if l.era == 0 || isLastHolder {
		return 0
	}
	return l.eraSeenAt + l.orderWindow() + l.FirstOrderDelay
}

// orderWindow is how long after the sending of a renewal the holder may issue orders.
func (l *Lease) orderWindow() time.Duration {
	if l.LeaseBound == 0 {
		return l.TimeToLive - l.TimeToLive/expiryMarginDivisor
	}
	return l.TimeToLive / orderWindowDivisor
}

// settleTime is the time between a grant and the first order.
func (l *Lease) settleTime() time.Duration {
	if l.LeaseBound == 0 {
		return l.FirstOrderDelay
	}
	return l.orderWindow() + l.FirstOrderDelay
}

// returnAt is when this node may issue orders again after an earlier term, if another node may have
// issued orders since; 0 if there is no LeaseBound or it has issued none.
func (l *Lease) returnAt() time.Duration {
	if l.LeaseBound == 0 || !l.hasOrdered {
		return 0
	}
	return l.lastTermEnd + l.FirstOrderDelay + l.LeaseBound
}

// isSettling reports whether the settle time has not passed where there is a LeaseBound. The former
// holder may have got the shard back for a moment in a generation that this node has not seen, and
// have renewed it. So a later generation starts the settle time again.
func (l *Lease) isSettling(now time.Duration) bool {
	return l.LeaseBound > 0 && now < l.firstOrderAt
}

// isLastToOrder reports whether no other node can have issued an order since this one last could,
// so that a grant received at receivedAt starts no settle time and keeps the fencing token: an order
// with the former one may still be in flight. A node that got the shard after
// renewedAt had to wait for the settle time, and lost the shard before receivedAt.
func (l *Lease) isLastToOrder(receivedAt time.Duration) bool {
	isSettled := l.fence != 0 && l.renewedAt >= l.firstOrderAt
	return l.LeaseBound > 0 && isSettled && receivedAt+l.orderWindow() < l.renewedAt+l.settleTime()
}

// isExpiredGrant reports whether the lease expired before the store handled a renewal. If the
// servers do not check fencing tokens, it also does so where the lease may have expired, or where
// the time has passed for which the holder may issue orders: the store may have granted the shard to
// another holder meanwhile.
func (l *Lease) isExpiredGrant(sentAt, receivedAt time.Duration) bool {
	if l.ServersCheckFences {
		return sentAt >= l.expiresAt
	}
	return receivedAt >= l.expiresAt || l.LeaseBound > 0 && receivedAt >= l.renewedAt+l.orderWindow()
}

// RecordRenewalFailure records that a renewal got no response. If the servers check
// fencing tokens, it extends a lease that has not expired. An expired lease has to be
// granted again; it expires, for example, while the VM is suspended. It does not extend a lease of
// a former era, because the restored store may have another holder.
func (l *Lease) RecordRenewalFailure(now time.Duration) {
	if l.ServersCheckFences && l.held && l.grantEra == l.era && now < l.expiresAt {
		l.expiresAt = now + l.TimeToLive - l.TimeToLive/expiryMarginDivisor
	}
}

// Invalidate ends the lease. It is called after a server rejected the fencing token, and before
// the node leaves the group.
func (l *Lease) Invalidate() { l.held, l.fence = false, 0 }

// Fence returns the fencing token for an order that is issued at now, and whether the
// order is permitted.
func (l *Lease) Fence(now time.Duration) (domain.Fence, bool) {
	if !l.held || now >= l.expiresAt || now < l.firstOrderAt {
		return 0, false
	}
	if l.LeaseBound > 0 && now >= l.renewedAt+l.orderWindow() {
		return 0, false
	}
	return l.fence, true
}

// Term returns the fencing token of the holder's term, and whether the term has begun. With a
// LeaseBound, it begins with the grant, so that the long settle time is of use for what needs no
// order.
func (l *Lease) Term(now time.Duration) (domain.Fence, bool) {
	if l.LeaseBound > 0 && l.IsHeld(now) {
		return l.fence, true
	}
	return l.Fence(now)
}

// PredecessorEnd returns when the last order of an earlier term was issued at the latest.
func (l *Lease) PredecessorEnd() time.Duration { return l.predecessorEnd }

// IsHeld reports whether the node holds the shard at now, also while the settle time has
// not passed.
func (l *Lease) IsHeld(now time.Duration) bool { return l.held && now < l.expiresAt }

// IsRetained reports whether the node holds the shard, or held it until less than a time-to-live
// ago and has not been told of another holder. The next renewal may then grant the shard again,
// and what the node knows as its owner is worth keeping. An order needs more: see Fence.
func (l *Lease) IsRetained(now time.Duration) bool { return l.held && now < l.expiresAt+l.TimeToLive }

// IsRenewalLate reports whether the node holds the shard and the last renewals have brought no
// response, so that the lease ends soon.
func (l *Lease) IsRenewalLate(now time.Duration) bool {
	return l.IsHeld(now) && l.expiresAt-now < l.TimeToLive/lateRenewalDivisor
}
