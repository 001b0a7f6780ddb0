package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// silenceLimit is how long the owner counts a node as linked from which it hears nothing. Nodes
	// report at least every 1.25 s.
	silenceLimit = 2 * time.Second
	// lostShareLifetime is how long the share of a lost node is held back: it may be cut off and use
	// the share.
	lostShareLifetime = 10 * time.Minute
	// checkInterval is how often the ledger looks for silent nodes.
	checkInterval = 100 * time.Millisecond
)

// member is a node that shares the buckets.
type member struct {
	heardAt  time.Duration
	isLinked bool
	// lostAt is when a node that is not linked was lost.
	lostAt time.Duration
}

// Ledger holds the buckets of all workspaces at the owner. Nodes that are not linked have a share of
// each bucket, which is held back. Create it with NewLedger. It is not safe for concurrent use.
type Ledger struct {
	terms Terms
	self  domain.NodeID
	pools map[domain.WorkspaceName]*pool
	// isConfigured is set once limits were set.
	isConfigured bool
	members      map[domain.NodeID]*member
	linked       int
	// startedAt is when the term began, and expected the number of nodes that shared the buckets
	// before it. Those that have not linked yet have their shares.
	startedAt time.Duration
	expected  int
	checkedAt time.Duration
	sentAt    time.Duration
	// uncertainUntil is the end of a window after the term began or a node was lost. Until then, nodes
	// that have not joined may be about to.
	uncertainUntil time.Duration
	// modeChanged is set if a mode has changed since the last news.
	modeChanged bool
}

// NewLedger returns the ledger of a node that has just become the owner. The buckets were shared by
// a number of nodes before, 0 if that is unknown. The ledger starts with the owner's share alone,
// which joins by Record.
func NewLedger(now time.Duration, t Terms, self domain.NodeID, nodes int) *Ledger {
	return &Ledger{
		terms: t, self: self, pools: map[domain.WorkspaceName]*pool{}, startedAt: now, expected: nodes, checkedAt: now, uncertainUntil: now + t.Window,
		members: map[domain.NodeID]*member{self: {heardAt: now, isLinked: true}}, linked: 1,
	}
}

// Nodes returns the number of nodes that share the buckets: the linked ones, and those that are lost
// or have not linked since the start of the term.
func (l *Ledger) Nodes() int { return max(len(l.members), l.expected) }

// part returns the part of the buckets that belongs to the linked nodes.
func (l *Ledger) part() float64 { return float64(l.linked) / float64(l.Nodes()) }

// Configure sets the limits. The bucket of a workspace that had none before starts full, but those of
// the first configuration in a term start empty: nodes may have used them.
func (l *Ledger) Configure(now time.Duration, limits []Limit) {
	l.settle(now)
	kept := make(map[domain.WorkspaceName]bool, len(limits))
	for _, limit := range limits {
		kept[limit.Workspace] = true
		p := l.pools[limit.Workspace]
		if p == nil {
			l.pools[limit.Workspace] = l.newPool(now, limit)
			continue
		}
		if p.limit != limit {
			p.setLimit(limit, l.part())
		}
	}
	for name := range l.pools {
		if !kept[name] {
			delete(l.pools, name)
		}
	}
	l.isConfigured = true
}

// newPool returns the pool of a workspace that had none. Nodes ask until a new owner has seen one
// window.
func (l *Ledger) newPool(now time.Duration, limit Limit) *pool {
	p := &pool{terms: l.terms, at: now}
	p.setLimit(limit, l.part())
	if l.isConfigured {
		p.askSince, p.level = now-minimumAskTime, p.capacity*l.part()
		return p
	}
	p.knownFrom = now + l.terms.Window
	p.askSince = p.knownFrom - minimumAskTime
	return p
}

// settle refills all pools, before the number of the linked nodes changes.
func (l *Ledger) settle(now time.Duration) {
	for _, p := range l.pools {
		p.refill(now, l.part())
	}
}

// Record applies a node's report and returns the answers to its asks.
func (l *Ledger) Record(now time.Duration, node domain.NodeID, r Report) []Answer {
	l.Advance(now)
	l.link(now, node, r)
	var answers []Answer
	part := l.part()
	for _, u := range r.Uses {
		p := l.pools[u.Workspace]
		if p == nil {
			// A node with a newer configuration asks for a workspace without a limit here.
			for _, a := range u.Asks {
				answers = append(answers, Answer{ID: a.ID, Granted: true})
			}
			continue
		}
		p.refill(now, part)
		if u.Used > 0 {
			p.charge(now, u.Used)
		}
		if u.Refunded > 0 {
			p.refund(now, u.Refunded, part)
		}
		for _, a := range u.Asks {
			answers = append(answers, p.grant(now, a, part, now < l.uncertainUntil))
		}
		l.modeChanged = p.updateMode(now, part) || l.modeChanged
	}
	return answers
}

// link counts a node as linked that joins, and brings what is left of its shares. A lost node whose
// reports go on has not noticed it, or has sent them before: it is asked to join.
func (l *Ledger) link(now time.Duration, node domain.NodeID, r Report) {
	m := l.members[node]
	if m == nil {
		l.settle(now)
		m = &member{lostAt: now}
		l.members[node] = m
	}
	m.heardAt = now
	if !r.Joins {
		return
	}
	if node != l.self {
		l.release(now, m)
		l.settle(now)
		m.isLinked = true
		l.linked++
	}
	for _, u := range r.Uses {
		if p := l.pools[u.Workspace]; p != nil {
			p.level += min(u.Share, p.capacity/float64(l.Nodes()))
		}
	}
}

// release marks a linked node as lost and removes its share from each pool. If the level is negative,
// the node takes its part of the debt.
func (l *Ledger) release(now time.Duration, m *member) {
	if !m.isLinked {
		return
	}
	l.settle(now)
	for _, p := range l.pools {
		p.level -= p.level / float64(l.linked)
	}
	m.isLinked, m.lostAt = false, now
	l.linked--
	l.uncertainUntil = now + l.terms.Window
}

// Forget records that the link to a node was lost. The node may be cut off and use its share, which
// is held back until the node is linked again, or for ten minutes.
func (l *Ledger) Forget(now time.Duration, node domain.NodeID) {
	if m := l.members[node]; m != nil && node != l.self {
		l.release(now, m)
	}
}

// Linked returns the linked nodes but the owner.
func (l *Ledger) Linked() []domain.NodeID {
	var nodes []domain.NodeID
	for id, m := range l.members {
		if m.isLinked && id != l.self {
			nodes = append(nodes, id)
		}
	}
	return nodes
}

// Advance counts the nodes as lost from which the owner has heard nothing, and drops the shares that
// were held back for long enough.
func (l *Ledger) Advance(now time.Duration) {
	elapsed := now - l.checkedAt
	if elapsed < checkInterval {
		return
	}
	if elapsed > silenceLimit {
		// The owner was suspended, and the other nodes have decided by their shares meanwhile.
		for id := range l.members {
			l.Forget(l.checkedAt, id)
		}
	}
	l.checkedAt = now
	l.settle(now)
	for id, m := range l.members {
		switch {
		case id == l.self:
		case m.isLinked && now-m.heardAt > silenceLimit:
			l.loseSilent(now, m)
		case !m.isLinked && now-m.lostAt > lostShareLifetime:
			delete(l.members, id)
		}
	}
	if l.expected > len(l.members) && now-l.startedAt > lostShareLifetime {
		l.expected = 0
	}
	for _, p := range l.pools {
		l.modeChanged = p.updateMode(now, l.part()) || l.modeChanged
	}
}

// loseSilent counts a node as lost, which may have used its share since it was last heard.
func (l *Ledger) loseSilent(now time.Duration, m *member) {
	l.release(now, m)
	for _, p := range l.pools {
		p.level -= p.limit.Rate / float64(l.Nodes()) * (now - m.heardAt).Seconds()
	}
}

// Update returns what all nodes have to be told now, if anything. It is due after each UpdateInterval,
// and at once after a change between free admission and asking.
func (l *Ledger) Update(now time.Duration) Update {
	if len(l.pools) == 0 || !l.modeChanged && now-l.sentAt < UpdateInterval {
		return Update{}
	}
	part := l.part()
	n := Update{Nodes: l.Nodes()}
	for _, p := range l.pools {
		p.refill(now, part)
		if state := p.state(now, part); p.mustSend(state) {
			p.sent, p.isSent = state, true
			n.Levels = append(n.Levels, state)
		}
	}
	sortLevels(n.Levels)
	l.sentAt, l.modeChanged = now, false
	return n
}

// FullUpdate returns all levels, for a node that has just linked.
func (l *Ledger) FullUpdate(now time.Duration) Update {
	if len(l.pools) == 0 {
		return Update{}
	}
	part := l.part()
	n := Update{Nodes: l.Nodes()}
	for _, p := range l.pools {
		p.refill(now, part)
		n.Levels = append(n.Levels, p.state(now, part))
	}
	sortLevels(n.Levels)
	return n
}

// sortLevels puts levels into the order of their workspaces.
func sortLevels(list []Level) {
	slices.SortFunc(list, func(a, b Level) int { return cmp.Compare(a.Workspace, b.Workspace) })
}

// Reply returns the news that answer a node's report, with the levels of the workspaces for which it
// asks.
func (l *Ledger) Reply(now time.Duration, node domain.NodeID, r Report, answers []Answer) Update {
	m := l.members[node]
	n := Update{Answers: answers, Rejoins: m != nil && !m.isLinked}
	if len(answers) == 0 {
		return n
	}
	n.Nodes = l.Nodes()
	for _, u := range r.Uses {
		if p := l.pools[u.Workspace]; p != nil && len(u.Asks) > 0 {
			n.Levels = append(n.Levels, p.state(now, l.part()))
		}
	}
	return n
}

// Take decides on a request at the owner itself.
func (l *Ledger) Take(now time.Duration, workspace domain.WorkspaceName, amount float64) Answer {
	return l.Record(now, l.self, Report{Uses: []Use{{Workspace: workspace, Asks: []Ask{{Amount: amount}}}}})[0]
}

// GiveBack refunds the charge of a request that did not run.
func (l *Ledger) GiveBack(now time.Duration, workspace domain.WorkspaceName, amount float64) {
	l.Record(now, l.self, Report{Uses: []Use{{Workspace: workspace, Refunded: amount}}})
}

// Contended returns the workspaces whose nodes have to ask, in the order of their names.
func (l *Ledger) Contended(now time.Duration) []Level {
	var list []Level
	for _, p := range l.pools {
		if !p.free {
			list = append(list, p.state(now, l.part()))
		}
	}
	sortLevels(list)
	return list
}
