package quota

import (
	"math"
	"time"
)

const (
	// freeLevel and askLevel are the levels, as shares of the capacity, at which nodes begin to admit
	// freely and to ask. At askLevel the bucket still holds what usual requests use until the nodes
	// know.
	freeLevel = 0.6
	askLevel  = 0.35
	// freeRequests and askRequests are the same as multiples of the largest recent request: where a
	// few requests empty the bucket, the nodes always ask.
	freeRequests = 6
	askRequests  = 3
	// minimumAskTime is how long nodes ask at least, so that the modes do not change with each
	// request.
	minimumAskTime = 3 * time.Second
	// largestHalfLife is how long the largest recent request takes to count half.
	largestHalfLife = time.Minute
	// boundShare is the part of the bound up to which the owner grants. The rest is for requests
	// that run later than they were charged.
	boundShare = 0.98
	// freeBoundShare is the part of the bound up to which nodes admit freely.
	freeBoundShare = 0.85
	// calmShare is the part of what the rate allows in a window up to which the use is calm.
	calmShare = 0.7
	// levelStep is the change of a level, as a share of the capacity, that the nodes are told.
	levelStep = 0.1
)

// pool is the part of a workspace's bucket that belongs to the linked nodes.
type pool struct {
	limit Limit
	terms Terms
	// capacity is the size of the bucket of all nodes, level the content of the linked nodes' part at
	// the time at; both are in the unit of the quota. A negative level is a debt.
	capacity, level float64
	at              time.Duration
	// free means that nodes may admit without asking; askSince is when they last began to ask.
	free     bool
	askSince time.Duration
	// largest is the largest recent request; it halves each largestHalfLife.
	largest float64
	history history
	// knownFrom is from when the history holds the whole window.
	knownFrom time.Duration
	// sent is the level that the nodes were told last; isSent is false before that.
	sent   Level
	isSent bool
}

// refill adds the part of the rate that belongs to the linked nodes for the time since the last
// refill.
func (p *pool) refill(now time.Duration, part float64) {
	p.history.advance(now, p.terms.Window)
	elapsed := max(0, now-p.at)
	p.at = max(p.at, now)
	p.level = max(p.level, min(p.capacity*part, p.level+p.limit.Rate*part*elapsed.Seconds()))
	p.largest *= math.Exp2(-elapsed.Seconds() / largestHalfLife.Seconds())
}

// charge takes an amount that a node has admitted, which may leave the pool in debt.
func (p *pool) charge(now time.Duration, amount float64) {
	p.largest = max(p.largest, amount)
	p.level -= amount
	p.history.add(now, p.terms.Window, amount)
}

// refund gives back an amount.
func (p *pool) refund(now time.Duration, amount, part float64) {
	p.level = max(p.level, min(p.capacity*part, p.level+amount))
	p.history.remove(now, p.terms.Window, amount)
}

// grant charges an amount if the pool has it, and answers an ask. A request larger than the burst
// needs a full bucket. If isUncertain is set, an amount that the shares of nodes that are not linked may
// have room for is not refused, but not known.
func (p *pool) grant(now time.Duration, ask Ask, part float64, isUncertain bool) Answer {
	p.largest = max(p.largest, ask.Amount)
	if bound := boundShare * p.terms.Bound(p.limit); p.history.sum+ask.Amount > bound*part {
		return Answer{ID: ask.ID, Unknown: isUncertain && p.history.sum+ask.Amount <= bound, RetryAfter: p.terms.Window / historySlots}
	}
	if missing := min(ask.Amount, p.limit.Burst*part) - p.level; missing > 0 {
		missing = min(ask.Amount, p.limit.Burst) - p.level
		return Answer{ID: ask.ID, Unknown: isUncertain && missing <= p.capacity*(1-part), RetryAfter: retryAfter(missing, p.limit.Rate*part)}
	}
	p.charge(now, ask.Amount)
	return Answer{ID: ask.ID, Granted: true}
}

// updateMode decides whether nodes may admit freely and reports whether that has changed.
func (p *pool) updateMode(now time.Duration, part float64) bool {
	used, bound := p.history.sum, p.terms.Bound(p.limit)*part
	switch {
	case p.free && (p.level < max(askLevel*p.capacity, askRequests*p.largest)*part || used > freeBoundShare*bound):
		p.free, p.askSince = false, now
		return true
	case !p.free && now-p.askSince >= minimumAskTime && p.level >= max(freeLevel*p.capacity, freeRequests*p.largest)*part && used <= freeBoundShare*bound:
		p.free = true
		return true
	}
	return false
}

// state returns the level, scaled up to all nodes. A debt is not scaled: it may be all there is.
func (p *pool) state(now time.Duration, part float64) Level {
	isCalm := now >= p.knownFrom && p.history.sum <= calmShare*part*p.limit.Rate*p.terms.Window.Seconds()
	amount := p.level
	if amount > 0 {
		amount /= part
	}
	return Level{Workspace: p.limit.Workspace, Amount: amount, Free: p.free, Calm: isCalm}
}

// mustSend reports whether the nodes have to be told of the level.
func (p *pool) mustSend(l Level) bool {
	return !p.isSent || l.Free != p.sent.Free || l.Calm != p.sent.Calm || math.Abs(l.Amount-p.sent.Amount) > levelStep*p.capacity
}

// setLimit changes the limit. A lower one binds one window after it is in force, and what was used
// under the former one is no debt.
func (p *pool) setLimit(l Limit, part float64) {
	isLower := l.Rate < p.limit.Rate || l.Burst < p.limit.Burst
	p.limit, p.capacity, p.isSent = l, p.terms.capacity(l), false
	if isLower {
		p.history = history{}
		p.level = max(0, p.level)
	}
	p.level = min(p.level, p.capacity*part)
}
