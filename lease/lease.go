// Package lease decides for how long a node may act as the owner of a shard of
// backend servers, from what the platform's store grants. It has no input,
// output or clock: times are given on a clock that also counts the time in which
// the VM was suspended.
package lease

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Generation numbers the states of the group; each change raises it.
type Generation uint64

// Shard is a part of the backend servers that has one owner.
type Shard int

// Grant is the store's answer to a membership call.
type Grant struct {
	Generation Generation
	// Shards are those that the member holds.
	Shards []Shard
}

// margin is the part of the time-to-live for which a holder stops early, so that
// an order on its way arrives before another holder begins.
const margin = 5

// Lease is one node's hold on one shard. The zero Lease holds nothing. It is not
// safe for concurrent use.
type Lease struct {
	// Shard is the one that this lease is about.
	Shard Shard
	// TimeToLive is how long the store keeps a member that says nothing.
	TimeToLive time.Duration
	// SettleTime is how long a new holder waits until its first order, so that no two
	// holders give orders within that time.
	SettleTime time.Duration
	// ServersCheckFence tells that the servers refuse orders with an old fence. A holder that
	// cannot reach the store may then go on: once there is another one, the servers
	// say so.
	ServersCheckFence bool

	generation Generation
	held       bool
	fence      domain.Fence
	since      time.Duration
	until      time.Duration
}

// Generation is the last one seen, to be sent with the next call.
func (l *Lease) Generation() Generation { return l.generation }

// ApplyGrant takes in an answer to a call that was sent at the given time.
func (l *Lease) ApplyGrant(sent time.Duration, g Grant) {
	l.generation = g.Generation
	holds := slices.Contains(g.Shards, l.Shard)
	if !holds {
		l.held = false
		return
	}
	if !l.held || sent >= l.until {
		l.held = true
		l.since = sent
		l.fence = domain.Fence(g.Generation)
	}
	l.until = sent + l.TimeToLive - l.TimeToLive/margin
}

// RecordRenewalFailure notes that a call to renew got no answer. Only a holder that has run
// all the while may go on: after a suspension the hold is gone until it is granted
// again.
func (l *Lease) RecordRenewalFailure(now time.Duration) {
	if l.ServersCheckFence && l.held && now < l.until {
		l.until = now + l.TimeToLive - l.TimeToLive/margin
	}
}

// Invalidate drops the hold after a server refused its fence.
func (l *Lease) Invalidate() { l.held = false }

// Fence tells whether orders may be given at now, and under which fence.
func (l *Lease) Fence(now time.Duration) (domain.Fence, bool) {
	if !l.held || now >= l.until || now < l.since+l.SettleTime {
		return 0, false
	}
	return l.fence, true
}

// IsHeld tells whether the shard is held at now, though orders may have to wait.
func (l *Lease) IsHeld(now time.Duration) bool { return l.held && now < l.until }
