package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/quota"
)

// chargeLifetime is how long a charge may precede the first attempt. What runs later counts in a
// later window of the quota, and is charged again. Two hundred and fifty milliseconds of the rate are
// less than a third of the excess that is permitted by default.
const chargeLifetime = 250 * time.Millisecond

// firstOwnerDelay is the usual time from the start of all nodes until they are linked to the first
// owner: the lease of the one before the start has to expire.
const firstOwnerDelay = 2500 * time.Millisecond

// newLimitPeriod is how long requests of workspaces are admitted that the owner may not know to be
// limited yet, after the first limits came into force at this node.
const newLimitPeriod = 4 * time.Second

// quotas connects the quotas of one node to its requests and to the owner. As the owner, it has the
// ledger. It implements dispatch.Quota.
type quotas struct {
	terms    quota.Terms
	uptime   Uptime
	logger   zerolog.Logger
	counters Counters
	// isEnabled is set while the configuration in force has a quota.
	isEnabled atomic.Bool
	// urgent gets a value when a report is to be sent at once.
	urgent chan struct{}

	// orderMu is held from the computation of news or a reply until they are queued for the nodes,
	// so that each node gets them in that order, and misses none after its first update. It is
	// acquired after Node.mu and before mu.
	orderMu sync.Mutex

	// mu is never held while Node.mu is acquired.
	mu        sync.Mutex
	allowance quota.Allowance
	limits    []quota.Limit
	// hasConfiguration is set once a configuration is in force. unlimitedUntil is the end of the
	// newLimitPeriod that begins when the first limits of this process replace a configuration without
	// limits. Until then, a node without an owner admits all requests.
	hasConfiguration bool
	unlimitedUntil   time.Duration
	// ledger is nil unless this node is the owner.
	ledger *quota.Ledger
	// waiters get the owner's answers. They are closed when the link to the owner is lost.
	waiters map[uint32]chan quota.Answer
	// followedOwner is whether the owner decided when that was last logged.
	followedOwner bool
	// free holds which workspaces admit freely, as it was last logged.
	free map[domain.WorkspaceName]bool
	// linksCheckedAt is when the owner last compared the ledger with the links.
	linksCheckedAt time.Duration
}

// newQuotas returns the quotas of a node without limits.
func newQuotas(o *Options) *quotas {
	q := &quotas{terms: o.QuotaTerms, uptime: o.Uptime, logger: o.Logger, counters: o.Counters, urgent: make(chan struct{}, 1), waiters: map[uint32]chan quota.Answer{}}
	q.allowance.Terms, q.allowance.Random = q.terms, rand.Float64
	return q
}

// Quota returns what charges this node's requests to the quotas of workspaces.
func (n *Node) Quota() dispatch.Quota { return n.quotas }

// configure sets the limits of a configuration.
func (q *quotas) configure(c *fleet.Configuration) {
	var limits []quota.Limit
	for i := range c.Workspaces {
		if w := &c.Workspaces[i]; w.Quota.Rate > 0 {
			limits = append(limits, quota.Limit{Workspace: w.Name, Rate: w.Quota.Rate, Burst: w.Quota.Burst})
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	wasEnabled, isFirst := q.isEnabled.Load(), !q.hasConfiguration
	q.hasConfiguration = true
	if len(limits) == 0 && !wasEnabled {
		return
	}
	now := q.uptime.Now()
	if !wasEnabled && !isFirst {
		q.unlimitedUntil = now + newLimitPeriod
	}
	q.limits = limits
	if len(limits) == 0 {
		q.ledger = nil
		q.endWaits()
		q.countContended(0)
	}
	q.allowance.Configure(now, limits)
	if q.ledger != nil {
		q.ledger.Configure(now, limits)
	}
	q.isEnabled.Store(len(limits) > 0)
}

// Take implements dispatch.Quota.
func (q *quotas) Take(ctx context.Context, c *dispatch.QuotaCharge, maximumWait time.Duration) dispatch.QuotaDecision {
	d := q.take(ctx, c, maximumWait)
	if q.counters != nil && d.Basis != basisCharged {
		q.counters.CountQuotaDecision(d.Basis)
	}
	return d
}

// The bases of decisions, for logs and metrics.
const (
	// basisCharged: the request is charged already.
	basisCharged = "Charged"
	// basisFree: the owner lets nodes admit freely.
	basisFree = "Free"
	// basisOwner: the owner decided.
	basisOwner = "Owner"
	// basisLevel: the bucket cannot have room by the owner's latest update.
	basisLevel = "Level"
	// basisShare: the node's own share, since it has no owner or the owner did not answer in time.
	basisShare = "Share"
	// basisLeft: the caller has left.
	basisLeft = "Left"
)

func (q *quotas) take(ctx context.Context, c *dispatch.QuotaCharge, maximumWait time.Duration) dispatch.QuotaDecision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.uptime.Now()
	if c.IsTaken {
		if now-c.TakenAt <= chargeLifetime {
			return dispatch.QuotaDecision{IsAdmitted: true, Basis: basisCharged}
		}
		q.refund(now, c)
	}
	if q.ledger != nil {
		return q.takeAsOwner(now, c)
	}
	if now < q.unlimitedUntil && !q.allowance.FollowsOwner(now) {
		return q.decide(now, c, quota.Admitted)
	}
	decision, id, wait := q.allowance.Take(now, c.Workspace, c.Amount)
	q.afterDecision(now)
	switch decision {
	case quota.Asked:
		return q.await(ctx, now, c, id, maximumWait)
	case quota.Refused:
		return dispatch.QuotaDecision{RetryAfter: wait, Basis: basisLevel}
	default:
		return q.decide(now, c, decision)
	}
}

// decide returns the decision on a request without the owner's answer. The caller holds mu.
func (q *quotas) decide(now time.Duration, c *dispatch.QuotaCharge, d quota.Decision) dispatch.QuotaDecision {
	switch d {
	case quota.Admitted:
		c.IsTaken, c.TakenAt = true, now
		return dispatch.QuotaDecision{IsAdmitted: true, Basis: basisFree}
	case quota.AdmittedByShare:
		c.IsTaken, c.TakenAt = true, now
		return dispatch.QuotaDecision{IsAdmitted: true, Basis: basisShare}
	default:
		return dispatch.QuotaDecision{IsUnknown: true, RetryAfter: q.untilFirstOwner(), Basis: basisShare}
	}
}

// untilFirstOwner returns the Retry-After of a request that this node cannot decide on:
// firstOwnerDelay if the node has not heard of an owner since its start, as after a start of all nodes,
// otherwise 0. The caller holds mu.
func (q *quotas) untilFirstOwner() time.Duration {
	if q.allowance.Nodes() > 0 {
		return 0
	}
	return firstOwnerDelay
}

// takeAsOwner decides at the owner itself. The caller holds mu.
func (q *quotas) takeAsOwner(now time.Duration, c *dispatch.QuotaCharge) dispatch.QuotaDecision {
	return q.applyAnswer(now, now, c, q.ledger.Take(now, c.Workspace, c.Amount))
}

// await waits for the owner's answer. The caller holds mu, which await releases meanwhile.
func (q *quotas) await(ctx context.Context, askedAt time.Duration, c *dispatch.QuotaCharge, id uint32, maximumWait time.Duration) dispatch.QuotaDecision {
	answers := make(chan quota.Answer, 1)
	q.waiters[id] = answers
	q.mu.Unlock()
	timer := time.NewTimer(maximumWait)
	defer timer.Stop()
	var answer quota.Answer
	answered := false
	select {
	case answer, answered = <-answers:
	case <-timer.C:
	case <-ctx.Done():
	}
	q.mu.Lock()
	delete(q.waiters, id)
	now := q.uptime.Now()
	if !answered {
		// The answer may have come at the same moment.
		select {
		case answer, answered = <-answers:
		default:
		}
	}
	if answered {
		return q.applyAnswer(now, askedAt, c, answer)
	}
	q.allowance.Withdraw(id)
	switch {
	case ctx.Err() != nil:
		return dispatch.QuotaDecision{IsUnknown: true, Basis: basisLeft}
	case q.ledger != nil:
		return q.takeAsOwner(now, c)
	}
	d := q.decide(now, c, q.allowance.TakeOwn(now, c.Workspace, c.Amount))
	d.Basis = basisShare
	return d
}

// applyAnswer returns the decision by the owner's answer. A VM that was suspended since the ask does
// not use the grant. The caller holds mu.
func (q *quotas) applyAnswer(now, askedAt time.Duration, c *dispatch.QuotaCharge, a quota.Answer) dispatch.QuotaDecision {
	if !a.Granted {
		return dispatch.QuotaDecision{IsUnknown: a.Unknown, RetryAfter: a.RetryAfter, Basis: basisOwner}
	}
	c.IsTaken, c.TakenAt = true, now
	if now-askedAt > quota.GrantLifetime {
		q.refund(now, c)
		return dispatch.QuotaDecision{IsUnknown: true, Basis: basisOwner}
	}
	return dispatch.QuotaDecision{IsAdmitted: true, Basis: basisOwner}
}

// GiveBack implements dispatch.Quota.
func (q *quotas) GiveBack(c *dispatch.QuotaCharge) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.IsTaken {
		q.refund(q.uptime.Now(), c)
	}
}

// refund refunds a charge. The caller holds mu.
func (q *quotas) refund(now time.Duration, c *dispatch.QuotaCharge) {
	c.IsTaken = false
	if q.ledger != nil {
		q.ledger.GiveBack(now, c.Workspace, c.Amount)
		return
	}
	q.allowance.GiveBack(now, c.Workspace, c.Amount)
}

// afterDecision signals that a report is due, and logs who decides if that has changed. The caller
// holds mu.
func (q *quotas) afterDecision(now time.Duration) {
	if q.allowance.IsUrgent() {
		signal(q.urgent)
	}
	follows := q.allowance.FollowsOwner(now)
	if follows == q.followedOwner {
		return
	}
	q.followedOwner = follows
	if follows {
		q.logger.Info().Str("Event", "QuotaOwnerFollowed").Int("Nodes", q.allowance.Nodes()).Msg("the owner decides on the quotas of workspaces")
		return
	}
	q.logger.Info().Str("Event", "QuotaShareUsed").Int("Nodes", q.allowance.Nodes()).Msg("no news of the owner; this node decides on the quotas of workspaces by its own shares")
}

// link records that this node has linked to an owner.
func (q *quotas) link() {
	q.withLimits(func(now time.Duration) {
		q.allowance.Link(now)
		q.endWaits()
	})
}

// unlink records that the link to the owner is lost.
func (q *quotas) unlink() {
	q.withLimits(func(now time.Duration) {
		q.allowance.Unlink(now)
		q.endWaits()
		q.afterDecision(now)
	})
}

// endWaits tells the waiting requests that they get no answer. The caller holds mu.
func (q *quotas) endWaits() {
	for id, w := range q.waiters {
		close(w)
		delete(q.waiters, id)
	}
}

// apply applies the owner's updates at another node.
func (q *quotas) apply(n quota.Update) {
	if n.IsEmpty() {
		return
	}
	q.withLimits(func(now time.Duration) {
		if q.ledger != nil {
			return
		}
		q.allowance.Apply(now, n)
		for _, a := range n.Answers {
			if w := q.waiters[a.ID]; q.allowance.Answer(now, a) && w != nil {
				delete(q.waiters, a.ID)
				w <- a
			}
		}
		q.afterDecision(now)
	})
}

// report returns the report that is due to the owner.
func (q *quotas) report() quota.Report {
	var r quota.Report
	q.withLimits(func(now time.Duration) {
		if q.ledger == nil {
			r = q.allowance.Uses(now)
		}
	})
	return r
}

// reportDelay returns how long an urgent report is held back after the last one.
func (q *quotas) reportDelay(lastSent time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(quota.ReportBatchDelay, quota.ReportGap(q.allowance.Nodes())-time.Since(lastSent))
}

// withLimits calls f with the time while mu is held, if there are quotas.
func (q *quotas) withLimits(f func(now time.Duration)) {
	if !q.isEnabled.Load() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.uptime.Now())
}
