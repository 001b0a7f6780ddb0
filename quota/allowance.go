package quota

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// freeShares is how many of its shares of a bucket a node may admit between two news of the
	// owner without asking. It bounds what nodes admit whose owner is lost as a burst begins.
	freeShares = 2
	// certainMargin is the part of the capacity by which even the highest possible level must miss an
	// amount for a node to refuse it without asking: levels change by up to levelStep unreported.
	certainMargin = 0.12
	// creditTime is how long after the owner's last update a node admits one request of a workspace on
	// credit if the use was calm by these news. Where shares are much less than one request, nearly
	// all requests would else fail as soon as the owner is lost. With 1.5 s, and without the factor of
	// chance, a use of 8 times the usual exceeded the bound.
	creditTime = time.Second
	// chanceMargin lowers the probability with which a request runs that is larger than the share, by
	// so many standard deviations of the sum of such requests in a window.
	chanceMargin = 3
	// minimumChance bounds that.
	minimumChance = 0.2
)

// Decision is what a node decides on a request.
type Decision int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Decision -output=names_string.go

// The decisions.
const (
	// Admitted requests may run now; their amount is charged.
	Admitted Decision = iota
	// AdmittedByShare requests were admitted by the node's own share, without the owner.
	AdmittedByShare
	// Asked requests wait for the owner's answer.
	Asked
	// Refused requests are beyond the quota.
	Refused
	// Unknown requests may be within the quota, but this node's own share does not show it.
	Unknown
)

// share is what a node knows of one workspace.
type share struct {
	limit    Limit
	capacity float64
	// pool is the level of the bucket of all nodes by the owner's last update at poolAt.
	pool   float64
	poolAt time.Duration
	// free and calm are those of Level.
	free, calm bool
	// isKnown is set once the owner has told the level.
	isKnown bool
	// used and refunded are not reported yet. freeUsed is what the owner's updates cannot include.
	used, refunded, freeUsed float64
	// hadCredit is set if a request was admitted on credit since the owner's last update.
	hadCredit bool
	asks      []Ask
	// own is the node's own share of the bucket at ownAt, while it decides by it.
	own   float64
	ownAt time.Duration
}

// Allowance decides which requests one node admits. The zero Allowance admits requests of workspaces
// without limits only. It is not safe for concurrent use.
type Allowance struct {
	Terms Terms
	// Random returns a random number in [0,1).
	Random func() float64

	shares map[domain.WorkspaceName]*share
	// nodes is the number of nodes that share the buckets; 0 if this node has never heard it.
	nodes     int
	updatedAt time.Duration
	// followsOwner is set while the owner decides. Otherwise the node decides by its own shares.
	followsOwner bool
	// mustJoin is set if the next report hands the own shares back. hasJoined is set after that
	// until the node leaves the owner again.
	mustJoin, hasJoined bool
	joinedAt            time.Duration
	// isUrgent is set if a report is to be sent at once.
	isUrgent bool
	nextID   uint32
	// pending are the asks that the owner has not answered.
	pending map[uint32]pendingAsk
}

// pendingAsk is an ask without an answer.
type pendingAsk struct {
	workspace   domain.WorkspaceName
	amount      float64
	askedAt     time.Duration
	isAbandoned bool
}

// Configure sets the limits.
func (a *Allowance) Configure(now time.Duration, limits []Limit) {
	shares := make(map[domain.WorkspaceName]*share, len(limits))
	for _, l := range limits {
		s := a.shares[l.Workspace]
		if s == nil {
			s = &share{poolAt: now, ownAt: now}
		}
		s.limit, s.capacity = l, a.Terms.capacity(l)
		shares[l.Workspace] = s
	}
	a.shares = shares
}

// Nodes returns the number of nodes that share the buckets by the latest update; 0 if it is unknown.
func (a *Allowance) Nodes() int { return a.nodes }

// FollowsOwner reports whether the owner decides, and not this node's own shares.
func (a *Allowance) FollowsOwner(now time.Duration) bool {
	a.expire(now)
	return a.followsOwner
}

// Take decides on a request of a workspace. For Asked it returns the ID of the ask, for Refused the
// time until the bucket may have the amount.
func (a *Allowance) Take(now time.Duration, workspace domain.WorkspaceName, amount float64) (Decision, uint32, time.Duration) {
	s := a.shares[workspace]
	if s == nil {
		return Admitted, 0, 0
	}
	a.expire(now)
	if !a.followsOwner {
		return a.takeOwn(now, s, amount), 0, 0
	}
	if s.free && (s.freeUsed == 0 || s.freeUsed+amount <= freeShares*s.pool/float64(a.nodes)) {
		s.used += amount
		s.freeUsed += amount
		// What is used without a report stays under one share, or one request where that is more.
		a.isUrgent = a.isUrgent || s.used >= s.pool/float64(a.nodes)
		return Admitted, 0, 0
	}
	if highest, known := s.highestLevel(now); known && highest < min(amount, s.limit.Burst) {
		return Refused, 0, retryAfter(min(amount, s.limit.Burst)-highest, s.limit.Rate)
	}
	a.nextID++
	if a.pending == nil {
		a.pending = map[uint32]pendingAsk{}
	}
	a.pending[a.nextID] = pendingAsk{workspace: workspace, amount: amount, askedAt: now}
	s.asks = append(s.asks, Ask{ID: a.nextID, Amount: amount})
	a.isUrgent = true
	return Asked, a.nextID, 0
}

// highestLevel returns the highest level that the bucket can have now. It is not known before the
// owner has told a level of this limit.
func (s *share) highestLevel(now time.Duration) (float64, bool) {
	return s.pool + s.limit.Rate*(now-s.poolAt).Seconds() + certainMargin*s.capacity, s.isKnown
}

// TakeOwn decides on a request by the node's own share although it follows the owner, because the
// owner has not answered in time. The owner learns of what it admits.
func (a *Allowance) TakeOwn(now time.Duration, workspace domain.WorkspaceName, amount float64) Decision {
	s := a.shares[workspace]
	if s == nil {
		return Admitted
	}
	a.expire(now)
	if !a.followsOwner {
		return a.takeOwn(now, s, amount)
	}
	left := a.ownShare(s)
	if !a.takeCredit(now, s, amount) {
		s.freeUsed += max(0, left)
		if left < amount && a.Random() >= a.chance(s, amount)*left/amount {
			return Unknown
		}
	}
	s.used += amount
	return AdmittedByShare
}

// takeCredit reports whether a request is admitted on credit, and uses the credit up: the use must
// have been calm by the owner's latest update, and the request be the first since then.
func (a *Allowance) takeCredit(now time.Duration, s *share, amount float64) bool {
	if !s.calm || s.hadCredit || s.freeUsed > 0 || now-a.updatedAt > creditTime || s.pool < amount {
		return false
	}
	s.hadCredit = true
	return a.Random() < a.chance(s, amount)
}

// takeOwn decides by the node's own share. A share is often less than one request. The request then
// runs with a probability in proportion to it, and uses up the share in any case, so that in the mean
// all nodes together admit what their shares allow.
func (a *Allowance) takeOwn(now time.Duration, s *share, amount float64) Decision {
	a.refillOwn(now, s)
	if s.own >= amount {
		s.own -= amount
		return AdmittedByShare
	}
	if a.takeCredit(now, s, amount) {
		s.own -= amount
		return AdmittedByShare
	}
	if s.own <= 0 {
		return Unknown
	}
	probability := a.chance(s, amount) * s.own / amount
	s.own = 0
	if a.Random() < probability {
		return AdmittedByShare
	}
	return Unknown
}

// chance returns the factor for the probability with which a request runs that is larger than the
// share. The smaller the number of requests that fill a window, the more their sum varies.
func (a *Allowance) chance(s *share, amount float64) float64 {
	return max(minimumChance, 1-chanceMargin*math.Sqrt(amount/a.Terms.Bound(s.limit)))
}

// refillOwn adds the node's part of the rate since the last refill.
func (a *Allowance) refillOwn(now time.Duration, s *share) {
	elapsed := max(0, now-s.ownAt)
	s.ownAt = max(now, s.ownAt)
	if a.nodes == 0 {
		s.own = 0
		return
	}
	nodes := float64(a.nodes)
	s.own = min(s.capacity/nodes, s.own+s.limit.Rate/nodes*elapsed.Seconds())
}

// ownShare returns the node's share of the bucket by the owner's updates, less what the owner does not
// know yet.
func (a *Allowance) ownShare(s *share) float64 {
	return min(s.pool, s.capacity)/float64(a.nodes) - s.freeUsed
}

// GiveBack refunds the charge of a request that did not run.
func (a *Allowance) GiveBack(now time.Duration, workspace domain.WorkspaceName, amount float64) {
	s := a.shares[workspace]
	if s == nil {
		return
	}
	a.expire(now)
	if !a.followsOwner {
		s.own += amount
		a.refillOwn(now, s)
		return
	}
	s.refunded += amount
}

// Withdraw ends the wait for an answer. If the amount is granted later, it is given back.
func (a *Allowance) Withdraw(id uint32) {
	p, ok := a.pending[id]
	if !ok {
		return
	}
	if s := a.shares[p.workspace]; s != nil {
		for i, ask := range s.asks {
			if ask.ID == id {
				// The owner has not heard of it.
				s.asks = append(s.asks[:i], s.asks[i+1:]...)
				delete(a.pending, id)
				return
			}
		}
	}
	p.isAbandoned = true
	a.pending[id] = p
}

// Answer records the owner's answer to an ask. It returns false for an ask that is no longer waited
// for, whose amount it gives back if it was granted.
func (a *Allowance) Answer(now time.Duration, answer Answer) bool {
	p, ok := a.pending[answer.ID]
	delete(a.pending, answer.ID)
	if !ok {
		return false
	}
	if !p.isAbandoned && now-p.askedAt <= GrantLifetime {
		return true
	}
	if answer.Granted {
		a.GiveBack(now, p.workspace, p.amount)
	}
	return false
}

// expire makes the node decide by its own shares if the owner's updates are too old.
func (a *Allowance) expire(now time.Duration) {
	if a.followsOwner && now-a.updatedAt > UpdateLifetime {
		a.leave(a.updatedAt)
	}
}

// leave makes the node decide by its own shares from a time on.
func (a *Allowance) leave(from time.Duration) {
	for _, s := range a.shares {
		if a.mustJoin {
			// The node has not handed its shares back.
			s.own -= s.freeUsed
		} else {
			s.own, s.ownAt = a.ownShare(s), from
		}
		s.used, s.refunded = 0, 0
	}
	a.followsOwner, a.hasJoined = false, false
}

// Unlink records that the link to the owner is lost. What was asked over it gets no answer.
func (a *Allowance) Unlink(now time.Duration) {
	a.expire(now)
	if a.followsOwner {
		a.leave(now)
	}
	a.mustJoin, a.hasJoined = false, false
	clear(a.pending)
	for _, s := range a.shares {
		s.asks = nil
	}
}

// Link records that this node has linked to an owner, to which the next report hands back its own
// shares.
func (a *Allowance) Link(now time.Duration) {
	a.Unlink(now)
	a.mustJoin, a.isUrgent = true, true
}

// Apply applies the owner's updates of levels. The answers are the caller's to deliver.
func (a *Allowance) Apply(now time.Duration, n Update) {
	a.expire(now)
	if n.Rejoins && a.followsOwner && !a.mustJoin && now-a.joinedAt > UpdateLifetime {
		a.leave(now)
		a.followsOwner, a.mustJoin, a.isUrgent = true, true, true
	}
	if n.Nodes == 0 {
		return
	}
	if !a.followsOwner {
		a.followsOwner, a.mustJoin = true, a.mustJoin || !a.hasJoined
		a.isUrgent = a.isUrgent || a.mustJoin
	}
	a.nodes, a.updatedAt = n.Nodes, now
	if len(n.Answers) == 0 {
		for _, s := range a.shares {
			// A level that is not in the news has not changed much.
			s.poolAt, s.freeUsed, s.hadCredit = now, s.used, false
		}
	}
	for _, l := range n.Levels {
		if s := a.shares[l.Workspace]; s != nil {
			s.pool, s.poolAt, s.free, s.calm, s.isKnown = l.Amount, now, l.Free, l.Calm, true
			s.freeUsed, s.hadCredit = s.used, false
		}
	}
}

// IsUrgent reports whether a report is to be sent at once: a request waits for an answer, the own
// shares are to be handed back, or as much as a share was used without a report.
func (a *Allowance) IsUrgent() bool { return a.isUrgent }

// Uses returns the report that is due, and counts it as sent.
func (a *Allowance) Uses(now time.Duration) Report {
	r := Report{Joins: a.mustJoin}
	a.isUrgent = false
	for name, s := range a.shares {
		u := Use{Workspace: name, Used: s.used, Refunded: s.refunded, Asks: s.asks}
		if a.mustJoin {
			a.refillOwn(now, s)
			u.Share, s.own = s.own, 0
		}
		if u.Used != 0 || u.Refunded != 0 || u.Share != 0 || len(u.Asks) > 0 {
			r.Uses = append(r.Uses, u)
		}
		s.used, s.refunded, s.asks = 0, 0, nil
	}
	if a.mustJoin {
		a.mustJoin, a.hasJoined, a.joinedAt = false, true, now
	}
	return r
}
