package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// SuspicionTime is how long a suspect has to refute the suspicion. After it, a
	// node that itself could not reach the suspect marks it Gone.
	SuspicionTime = time.Second
	// IndirectSuspicionTime is the SuspicionTime of a node that received the suspicion
	// by gossip. It is longer, so that such a node does not mark the suspect Gone if
	// the nodes that raised the suspicion reach the suspect again.
	IndirectSuspicionTime = 3 * time.Second
	// ProbeInterval is the interval between two probes of a suspect; a probe is an
	// attempt to open a new connection.
	ProbeInterval = 500 * time.Millisecond
	// GoneProbeInterval is the interval at which a node probes one random node that is
	// Gone but still on the platform's list.
	GoneProbeInterval = 3 * time.Second
	// SuspicionCooldown is the time after a node refuted a suspicion in which this
	// node does not suspect it again when its own connections to it time out: other
	// nodes can reach it.
	SuspicionCooldown = 30 * time.Second
	// TombstoneTime is how long the table keeps a node that is Gone and no longer on
	// the platform's list, so that late updates do not add it again.
	TombstoneTime = 10 * time.Minute
	// maximumHealthMultiplier is the maximum of HealthMultiplier, so that a node
	// lengthens its timeouts by a bounded factor.
	maximumHealthMultiplier = 7
	// healthRecoveryTime is the time without a false suspicion after which the health
	// multiplier drops by one.
	healthRecoveryTime = 2 * time.Second
	// PauseThreshold is the longest normal interval between two calls of Tick. A
	// longer one shows that this process itself was paused, so that missing responses
	// prove nothing about other nodes.
	PauseThreshold = time.Second
)

// Table is one node's view of all nodes. It is not safe for concurrent use.
type Table struct {
	self          Update
	entries       map[domain.NodeID]*entry
	suspects      map[domain.NodeID]*entry
	pendingGossip map[domain.NodeID]bool
	// urgentGossip is set while pendingGossip contains a suspicion or its refutation.
	urgentGossip bool
	random       *rand.Rand
	version      uint64
	// neighbours caches the result of Neighbours at version ringVersion.
	neighbours  []domain.NodeID
	ringVersion uint64
	lastTick    time.Time
	// healthMultiplier counts recent false suspicions: suspicions that this node
	// raised and the suspect refuted, and suspicions of this node itself. A high value
	// shows that the node or its links are overloaded.
	healthMultiplier int
	// healthChangedAt is when healthMultiplier was last raised or lowered.
	healthChangedAt time.Time
	nextGoneProbeAt time.Time
}

// entry is another node in the view of this node.
type entry struct {
	Update
	// listed reports whether the node is on the platform's list.
	listed bool
	// suspectedAt, goneAt and probedAt are the times at which the node last became
	// Suspect, became Gone and was probed; zero if it never did. A contact with the
	// node sets probedAt to zero.
	suspectedAt, goneAt, probedAt time.Time
	// directlySuspected is set if this node itself could not reach the suspect.
	directlySuspected bool
	// cooldownUntil is the end of the SuspicionCooldown.
	cooldownUntil time.Time
	// ringPosition is the hash of the node id.
	ringPosition uint64
}

// NewTable returns the view of a node that knows no other nodes.
func NewTable(self Member) *Table {
	ringPosition := hash(self.Node)
	return &Table{
		self:          Update{Member: self, Status: Alive, Incarnation: 1},
		entries:       map[domain.NodeID]*entry{},
		suspects:      map[domain.NodeID]*entry{},
		pendingGossip: map[domain.NodeID]bool{self.Node: true},
		random:        rand.New(rand.NewPCG(ringPosition, 1)),
		version:       1,
	}
}

// Version changes whenever the result of Members or Neighbours may have changed.
func (t *Table) Version() uint64 { return t.version }

// Self returns the update about this node.
func (t *Table) Self() Update { return t.self }

// Members returns the nodes that count as alive, including this one, sorted by id.
func (t *Table) Members() []Member {
	result := make([]Member, 0, len(t.entries)+1)
	result = append(result, t.self.Member)
	for _, e := range t.entries {
		if e.countsAsAlive() {
			result = append(result, e.Member)
		}
	}
	slices.SortFunc(result, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return result
}

// Lookup returns the newest update about a node, or false if the node is unknown.
func (t *Table) Lookup(n domain.NodeID) (Update, bool) {
	if n == t.self.Member.Node {
		return t.self, true
	}
	e, ok := t.entries[n]
	if !ok {
		return Update{}, false
	}
	return e.Update, true
}

// ApplyListing applies the platform's list of nodes. The list can be outdated: a new
// node on the list counts as alive only once it responds, and a node that is no longer
// on the list still counts as alive while it responds.
func (t *Table) ApplyListing(now time.Time, members []Member) {
	for _, e := range t.entries {
		e.listed = false
	}
	for _, m := range members {
		if m.Node == t.self.Member.Node || m.Node == "" {
			continue
		}
		e, ok := t.entries[m.Node]
		if !ok {
			e = t.addEntry(Update{Member: m, Status: Listed})
			t.version++
		}
		e.listed = true
		if m.Leaving && !e.Member.Leaving {
			e.Member.Leaving = true
			t.version++
		}
	}
	t.removeExpired(now)
}

// removeExpired removes the nodes that are no longer on the platform's list and either
// never responded or have been Gone for TombstoneTime.
func (t *Table) removeExpired(now time.Time) {
	for n, e := range t.entries {
		if e.listed || e.countsAsAlive() {
			continue
		}
		if e.Status == Listed || now.Sub(e.goneAt) >= TombstoneTime {
			delete(t.entries, n)
			delete(t.pendingGossip, n)
			t.version++
		}
	}
}

// RecordContact records that another node has just responded with u, its update about
// itself.
func (t *Table) RecordContact(now time.Time, u Update) {
	if u.Member.Node == t.self.Member.Node {
		return
	}
	t.applyUpdate(now, u)
	e, ok := t.entries[u.Member.Node]
	if !ok {
		return
	}
	if e.Status == Suspect && u.Incarnation >= e.Incarnation {
		t.setStatus(now, e, Alive)
	}
	e.cooldownUntil = time.Time{}
	e.probedAt = time.Time{}
}

// RecordTimeout records that a new connection to a node got no response in time. A node
// that was only Listed becomes Gone at once, and a node that was Alive becomes Suspect.
// RecordTimeout ignores the timeout during the SuspicionCooldown of the node.
func (t *Table) RecordTimeout(now time.Time, n domain.NodeID) {
	e, ok := t.entries[n]
	if !ok {
		return
	}
	if e.Status == Listed {
		t.setStatus(now, e, Gone)
		return
	}
	if !now.After(e.cooldownUntil) || e.Status == Gone {
		return
	}
	if e.Status == Alive {
		t.setStatus(now, e, Suspect)
	}
	e.directlySuspected = true
}

// MarkGone marks a node Gone. The caller has proof that its process is dead: its address
// refused two connections or belongs to another node now.
func (t *Table) MarkGone(now time.Time, n domain.NodeID) {
	if e, ok := t.entries[n]; ok && e.Status != Gone {
		t.setStatus(now, e, Gone)
	}
}

// Merge applies updates from another node and queues the new ones for gossip.
func (t *Table) Merge(now time.Time, updates []Update) {
	for _, u := range updates {
		t.applyUpdate(now, u)
	}
}

// MarkLeaving marks this node as leaving.
func (t *Table) MarkLeaving() {
	if t.self.Member.Leaving {
		return
	}
	t.self.Member.Leaving = true
	t.self.Incarnation++
	t.pendingGossip[t.self.Member.Node] = true
	t.version++
}

// DepartureUpdate returns the update that reports this node as Gone to the others. It
// does not change the table.
func (t *Table) DepartureUpdate() Update {
	u := t.self
	u.Member.Leaving = true
	u.Status = Gone
	return u
}

// Tick marks each suspect Gone whose suspicion has timed out at now. If this process was
// paused since the last call, the timeouts of all suspects start again. Tick also lowers
// the health multiplier after each healthRecoveryTime.
func (t *Table) Tick(now time.Time) {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > PauseThreshold
	t.lastTick = now
	if t.healthMultiplier > 0 && now.Sub(t.healthChangedAt) >= healthRecoveryTime {
		t.healthMultiplier--
		t.healthChangedAt = now
	}
	for _, e := range t.suspects {
		if paused {
			e.suspectedAt = now
		}
		if now.Sub(e.suspectedAt) >= e.suspicionTimeout()*time.Duration(1+t.healthMultiplier) {
			t.setStatus(now, e, Gone)
		}
	}
}

// DueProbes returns the nodes to probe over a new connection now, and records that they
// are probed: each suspect among the neighbours once per ProbeInterval and, once per
// GoneProbeInterval, one node that is Gone but still on the platform's list, so that the
// views converge again after a network partition.
func (t *Table) DueProbes(now time.Time) []domain.NodeID {
	var result []domain.NodeID
	for n, e := range t.suspects {
		if now.Sub(e.probedAt) >= ProbeInterval && slices.Contains(t.Neighbours(), n) {
			e.probedAt = now
			result = append(result, n)
		}
	}
	slices.Sort(result)
	if now.Before(t.nextGoneProbeAt) {
		return result
	}
	t.nextGoneProbeAt = now.Add(GoneProbeInterval)
	var goneNodes []domain.NodeID
	for n, e := range t.entries {
		if e.Status == Gone && e.listed {
			goneNodes = append(goneNodes, n)
		}
	}
	if len(goneNodes) > 0 {
		slices.Sort(goneNodes)
		result = append(result, goneNodes[t.random.IntN(len(goneNodes))])
	}
	return result
}

// HasUrgentGossip reports whether the pending gossip contains a suspicion or a
// refutation. A suspicion must reach the suspect, and the refutation return, within
// SuspicionTime. Other gossip may wait to be batched.
func (t *Table) HasUrgentGossip() bool { return t.urgentGossip }

// TakeGossip returns the pending gossip and clears it.
func (t *Table) TakeGossip() []Update {
	if len(t.pendingGossip) == 0 {
		return nil
	}
	result := make([]Update, 0, len(t.pendingGossip))
	for n := range t.pendingGossip {
		if u, ok := t.Lookup(n); ok {
			result = append(result, u)
		}
	}
	clear(t.pendingGossip)
	t.urgentGossip = false
	slices.SortFunc(result, func(a, b Update) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
	return result
}

func (e *entry) suspicionTimeout() time.Duration {
	if e.directlySuspected {
		return SuspicionTime
	}
	return IndirectSuspicionTime
}

func (e *entry) countsAsAlive() bool { return e.Status == Alive || e.Status == Suspect }

// addEntry adds an entry for another node that is not in the table.
func (t *Table) addEntry(u Update) *entry {
	e := &entry{Update: u, ringPosition: hash(u.Member.Node)}
	t.entries[u.Member.Node] = e
	return e
}

// applyUpdate applies an update from another node, if it supersedes the entry, and
// queues it for gossip. It refutes an update that this node is Suspect or Gone.
func (t *Table) applyUpdate(now time.Time, u Update) {
	n := u.Member.Node
	if n == t.self.Member.Node {
		t.refute(now, u)
		return
	}
	if u.Status == Listed || n == "" {
		return
	}
	e, ok := t.entries[n]
	if !ok && u.Status == Gone {
		return
	}
	if !ok {
		e = t.addEntry(Update{Member: u.Member, Status: Listed})
	}
	if !u.supersedes(e) {
		if e.Status == Gone && u.Status != Gone {
			t.pendingGossip[n] = true // The sender does not know that the node is Gone.
		}
		return
	}
	if e.Status == Suspect && u.Status == Alive {
		e.cooldownUntil = now.Add(SuspicionCooldown)
		if e.directlySuspected {
			t.recordFalseSuspicion(now)
		}
	}
	e.Incarnation = u.Incarnation
	if u.Status != Gone && e.Member != u.Member {
		e.Member = u.Member
		t.version++
	}
	t.setStatus(now, e, u.Status)
}

// refute raises this node's incarnation and queues its update for gossip, if u says that
// this node is Suspect or Gone at its current incarnation or a later one.
func (t *Table) refute(now time.Time, u Update) {
	if u.Status < Suspect || u.Incarnation < t.self.Incarnation {
		return
	}
	t.recordFalseSuspicion(now)
	t.self.Incarnation = u.Incarnation + 1
	t.pendingGossip[t.self.Member.Node] = true
	t.urgentGossip = true
}

func (t *Table) recordFalseSuspicion(now time.Time) {
	t.healthMultiplier = min(t.healthMultiplier+1, maximumHealthMultiplier)
	t.healthChangedAt = now
}

// HealthMultiplier returns the local health multiplier of Lifeguard, an extension of
// SWIM, from 0 to maximumHealthMultiplier. This node multiplies its timeouts by
// HealthMultiplier + 1. Each false suspicion raises it, so that overloaded nodes do not
// suspect each other more and more often.
func (t *Table) HealthMultiplier() int { return t.healthMultiplier }

// setStatus sets the status of a node and queues its update for gossip, unless the node
// is known from the platform's list only.
func (t *Table) setStatus(now time.Time, e *entry, s Status) {
	n := e.Member.Node
	if !e.countsAsAlive() || s == Gone || s == Listed {
		t.version++
	}
	t.urgentGossip = t.urgentGossip || e.Status == Suspect || s == Suspect
	e.Status = s
	e.directlySuspected = false
	delete(t.suspects, n)
	switch s {
	case Suspect:
		e.suspectedAt = now
		t.suspects[n] = e
	case Gone:
		e.goneAt = now
	}
	if e.Incarnation > 0 {
		t.pendingGossip[n] = true
	}
}
