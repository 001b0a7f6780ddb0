package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// SuspicionTime is how long a suspect has to refute before a node that could not
	// reach it itself marks it Gone.
	SuspicionTime = time.Second
	// IndirectSuspicionTime is the same for nodes that received the suspicion by
	// gossip. It is longer, so that a suspicion ends where the nodes that raised it
	// reach the suspect again.
	IndirectSuspicionTime = 3 * time.Second
	// ProbeInterval is the interval between new connections to a suspect.
	ProbeInterval = 500 * time.Millisecond
	// GoneProbeInterval is the interval between probes of nodes that are Gone but
	// still on the platform's list. Each probe is of one such node.
	GoneProbeInterval = 3 * time.Second
	// SuspicionCooldown is how long after a node refuted a suspicion the timeouts
	// that this node sees raise no new one: other nodes can reach it.
	SuspicionCooldown = 30 * time.Second
	// TombstoneTime is how long a node that is Gone and off the list is kept, so that
	// late updates do not bring it back.
	TombstoneTime = 10 * time.Minute
	// maximumHealthMultiplier bounds how far a node lengthens its own timeouts.
	maximumHealthMultiplier = 7
	// healthRecoveryTime is the time without a false suspicion after which the health
	// multiplier drops by one.
	healthRecoveryTime = 2 * time.Second
	// PauseThreshold is the gap between two Ticks that shows that this process itself
	// was paused, so that missing responses prove nothing about other nodes.
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
	neighbours   []domain.NodeID
	ringVersion  uint64
	lastTick     time.Time
	// healthMultiplier counts recent false suspicions: those that this node raised
	// and that were refuted, and those about this node. A high value shows that the
	// node or its links are overloaded.
	healthMultiplier int
	healthChangedAt  time.Time
	nextGoneProbeAt  time.Time
}

type entry struct {
	Update
	// listed reports whether the node is on the platform's list.
	listed bool
	// suspectedAt, goneAt and probedAt are zero where there was no such event.
	suspectedAt, goneAt, probedAt time.Time
	// directlySuspected is set where this node itself could not reach the suspect.
	directlySuspected bool
	// cooldownUntil is when the timeouts that this node sees raise suspicions again.
	cooldownUntil time.Time
	// ringPosition is the hash of the node id.
	ringPosition uint64
}

// NewTable returns the view of a node that knows itself only.
func NewTable(self Member) *Table {
	ring := hash(self.Node)
	return &Table{
		self:          Update{Member: self, Status: Alive, Incarnation: 1},
		entries:       map[domain.NodeID]*entry{},
		suspects:      map[domain.NodeID]*entry{},
		pendingGossip: map[domain.NodeID]bool{self.Node: true},
		random:        rand.New(rand.NewPCG(ring, 1)),
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

// Lookup returns what is known of a node.
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

// ApplyListing applies the platform's list. The list lags: a new node on it counts as
// alive only once it responds, and a node that is no longer on it stays while it
// responds.
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

// removeExpired removes the nodes that are off the list and not alive, those that are
// Gone after TombstoneTime.
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

// RecordContact records that the node itself has just responded, with its update
// about itself.
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

// RecordTimeout records that a new connection to the node got no response in time.
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

// MarkGone marks a node Gone whose process is proven dead: its address refused two
// connections or belongs to another node now.
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

// DepartureUpdate returns the last update about this node, which marks it Gone. The
// table does not change.
func (t *Table) DepartureUpdate() Update {
	u := t.self
	u.Member.Leaving = true
	u.Status = Gone
	return u
}

// Tick marks the suspects Gone whose suspicion has timed out at now. If this process
// was paused, their timeouts start again.
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

// DueProbes returns the nodes to try over a new connection now: suspects among the
// neighbours and, once per GoneProbeInterval, a node that is Gone but still listed,
// so that a network partition heals.
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
	var gone []domain.NodeID
	for n, e := range t.entries {
		if e.Status == Gone && e.listed {
			gone = append(gone, n)
		}
	}
	if len(gone) > 0 {
		slices.Sort(gone)
		result = append(result, gone[t.random.IntN(len(gone))])
	}
	return result
}

// HasUrgentGossip reports whether the pending gossip contains a suspicion or its
// refutation, which has to reach the suspect and return within SuspicionTime. Other
// gossip may wait to be batched.
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

func (t *Table) addEntry(u Update) *entry {
	e := &entry{Update: u, ringPosition: hash(u.Member.Node)}
	t.entries[u.Member.Node] = e
	return e
}

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

// refute responds to an update that this node is Suspect or Gone with a higher
// incarnation.
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

// HealthMultiplier is the local health multiplier of Lifeguard, an extension of SWIM,
// from 0 to maximumHealthMultiplier: this node multiplies its timeouts by one more
// than it. It rises with false suspicions, so that overloaded nodes do not drive each
// other into ever more suspicions.
func (t *Table) HealthMultiplier() int { return t.healthMultiplier }

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
