package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// SuspicionTime is how long a suspect may refute before a node that could not
	// reach it either calls it gone.
	SuspicionTime = time.Second
	// HearsayTime is the same for nodes that only heard of the suspicion. It is
	// longer, so that a suspicion ends where those who raised it reach the
	// suspect again.
	HearsayTime = 3 * time.Second
	// ProbeInterval is how often a suspect is tried over a new connection.
	ProbeInterval = 500 * time.Millisecond
	// RetryInterval is how often one of the nodes that are gone but still on the
	// platform's list is tried.
	RetryInterval = 3 * time.Second
	// DistrustTime is how long this node's own silence towards a node that
	// refuted a suspicion raises no further one: others reach that node.
	DistrustTime = 30 * time.Second
	// TombstoneTime is how long a node that left the list is remembered, so that
	// late news does not bring it back.
	TombstoneTime = 10 * time.Minute
	// maximumSlowness bounds how far a node lengthens its own timeouts.
	maximumSlowness = 7
	// recoveryTime is how long a node goes without a mistake before it shortens
	// them again by one step.
	recoveryTime = 2 * time.Second
	// PauseThreshold is the gap between two Ticks that shows that this process itself
	// was paused and that silence of others proves nothing.
	PauseThreshold = time.Second
)

// Table is one node's view of all nodes. It is not safe for concurrent use.
type Table struct {
	self     Update
	entries  map[domain.NodeID]*entry
	suspects map[domain.NodeID]*entry
	gossip   map[domain.NodeID]bool
	// urgent is set while gossip holds a suspicion or its refutation.
	urgent      bool
	random      *rand.Rand
	version     uint64
	neighbours  []domain.NodeID
	ringVersion uint64
	lastTick    time.Time
	// slowness counts recent mistakes: suspicions by this node that were refuted,
	// and of this node. Where it is high, the node or its links are overloaded.
	slowness  int
	mistakeAt time.Time
	nextRetry time.Time
}

type entry struct {
	Update
	// listed is false after the platform's list dropped the node.
	listed bool
	// suspectedAt, goneAt and probedAt are zero where it did not happen.
	suspectedAt, goneAt, probedAt time.Time
	// accused is set where this node itself could not reach the suspect.
	accused bool
	// distrustUntil is when this node's own silence counts again.
	distrustUntil time.Time
	// ring is the hash of the node, its position on the rings.
	ring uint64
}

// NewTable returns the view of a node that knows only itself.
func NewTable(self Member) *Table {
	ring := hash(self.Node)
	return &Table{
		self:     Update{Member: self, Status: Alive, Incarnation: 1},
		entries:  map[domain.NodeID]*entry{},
		suspects: map[domain.NodeID]*entry{},
		gossip:   map[domain.NodeID]bool{self.Node: true},
		random:   rand.New(rand.NewPCG(ring, 1)),
		version:  1,
	}
}

// Version changes whenever Members or Neighbours may have.
func (t *Table) Version() uint64 { return t.version }

// Self returns the node's own record.
func (t *Table) Self() Update { return t.self }

// Members returns the nodes that count as alive, with this one, sorted by id.
func (t *Table) Members() []Member {
	result := make([]Member, 0, len(t.entries)+1)
	result = append(result, t.self.Member)
	for _, e := range t.entries {
		if e.present() {
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

// ApplyListing takes in the platform's list. The list lags, so a new node on it is only
// tried, and a node that vanished from it stays while it is heard.
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
			e = t.add(Update{Member: m, Status: Listed})
			t.version++
		}
		e.listed = true
		if m.Leaving && !e.Member.Leaving {
			e.Member.Leaving = true
			t.version++
		}
	}
	t.forget(now)
}

// forget drops nodes that are known from nowhere any more.
func (t *Table) forget(now time.Time) {
	for n, e := range t.entries {
		if e.listed || e.present() {
			continue
		}
		if e.Status == Listed || now.Sub(e.goneAt) >= TombstoneTime {
			delete(t.entries, n)
			delete(t.gossip, n)
			t.version++
		}
	}
}

// RecordContact takes in that the node itself answered just now, with its own record of
// itself.
func (t *Table) RecordContact(now time.Time, u Update) {
	if u.Member.Node == t.self.Member.Node {
		return
	}
	t.apply(now, u)
	e, ok := t.entries[u.Member.Node]
	if !ok {
		return
	}
	if e.Status == Suspect && u.Incarnation >= e.Incarnation {
		t.set(now, e, Alive)
	}
	e.distrustUntil = time.Time{}
	e.probedAt = time.Time{}
}

// RecordTimeout takes in that a new connection to the node got no answer in time.
func (t *Table) RecordTimeout(now time.Time, n domain.NodeID) {
	e, ok := t.entries[n]
	if !ok {
		return
	}
	if e.Status == Listed {
		t.set(now, e, Gone)
		return
	}
	if !now.After(e.distrustUntil) || e.Status == Gone {
		return
	}
	if e.Status == Alive {
		t.set(now, e, Suspect)
	}
	e.accused = true
}

// MarkGone takes in proof that the node's process is dead: its address refused
// two connections or belongs to another node now.
func (t *Table) MarkGone(now time.Time, n domain.NodeID) {
	if e, ok := t.entries[n]; ok && e.Status != Gone {
		t.set(now, e, Gone)
	}
}

// Merge takes in news from another node and queues what was new for others.
func (t *Table) Merge(now time.Time, updates []Update) {
	for _, u := range updates {
		t.apply(now, u)
	}
}

// MarkLeaving marks this node as leaving.
func (t *Table) MarkLeaving() {
	if t.self.Member.Leaving {
		return
	}
	t.self.Member.Leaving = true
	t.self.Incarnation++
	t.gossip[t.self.Member.Node] = true
	t.version++
}

// DepartureUpdate is the last news about this node: it is gone by its own word.
func (t *Table) DepartureUpdate() Update {
	u := t.self
	u.Member.Leaving = true
	u.Status = Gone
	return u
}

// Tick lets time pass: suspects that did not refute are gone.
func (t *Table) Tick(now time.Time) {
	paused := !t.lastTick.IsZero() && now.Sub(t.lastTick) > PauseThreshold
	t.lastTick = now
	if t.slowness > 0 && now.Sub(t.mistakeAt) >= recoveryTime {
		t.slowness--
		t.mistakeAt = now
	}
	for _, e := range t.suspects {
		if paused {
			e.suspectedAt = now
		}
		if now.Sub(e.suspectedAt) >= e.patience()*time.Duration(1+t.slowness) {
			t.set(now, e, Gone)
		}
	}
}

// DueProbes returns the nodes to try over a new connection now: suspects, and now
// and then one that is gone but still listed, which heals a cut.
func (t *Table) DueProbes(now time.Time) []domain.NodeID {
	var result []domain.NodeID
	for n, e := range t.suspects {
		if now.Sub(e.probedAt) >= ProbeInterval && slices.Contains(t.Neighbours(), n) {
			e.probedAt = now
			result = append(result, n)
		}
	}
	slices.Sort(result)
	if now.Before(t.nextRetry) {
		return result
	}
	t.nextRetry = now.Add(RetryInterval)
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

// HasUrgentGossip tells whether the news that was not passed on yet is about a suspicion,
// which has to reach the suspect and back within SuspicionTime. Other news may
// wait to be batched.
func (t *Table) HasUrgentGossip() bool { return t.urgent }

// TakeGossip returns the news that was not passed on yet.
func (t *Table) TakeGossip() []Update {
	if len(t.gossip) == 0 {
		return nil
	}
	result := make([]Update, 0, len(t.gossip))
	for n := range t.gossip {
		if u, ok := t.Lookup(n); ok {
			result = append(result, u)
		}
	}
	clear(t.gossip)
	t.urgent = false
	slices.SortFunc(result, func(a, b Update) int { return cmp.Compare(a.Member.Node, b.Member.Node) })
	return result
}

func (e *entry) patience() time.Duration {
	if e.accused {
		return SuspicionTime
	}
	return HearsayTime
}

func (e *entry) present() bool { return e.Status == Alive || e.Status == Suspect }

func (t *Table) add(u Update) *entry {
	e := &entry{Update: u, ring: hash(u.Member.Node)}
	t.entries[u.Member.Node] = e
	return e
}

func (t *Table) apply(now time.Time, u Update) {
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
		e = t.add(Update{Member: u.Member, Status: Listed})
	}
	if !u.supersedes(e) {
		if e.Status == Gone && u.Status != Gone {
			t.gossip[n] = true // The sender missed the loss.
		}
		return
	}
	if e.Status == Suspect && u.Status == Alive {
		e.distrustUntil = now.Add(DistrustTime)
		if e.accused {
			t.mistake(now)
		}
	}
	e.Incarnation = u.Incarnation
	if u.Status != Gone && e.Member != u.Member {
		e.Member = u.Member
		t.version++
	}
	t.set(now, e, u.Status)
}

// refute answers news that this node is suspect or gone with a newer record.
func (t *Table) refute(now time.Time, u Update) {
	if u.Status < Suspect || u.Incarnation < t.self.Incarnation {
		return
	}
	t.mistake(now)
	t.self.Incarnation = u.Incarnation + 1
	t.gossip[t.self.Member.Node] = true
	t.urgent = true
}

func (t *Table) mistake(now time.Time) {
	t.slowness = min(t.slowness+1, maximumSlowness)
	t.mistakeAt = now
}

// HealthMultiplier is by how many times this node should lengthen its timeouts, from 0.
// It rises with mistakes, so that overloaded nodes do not drive each other
// into ever more suspicions.
func (t *Table) HealthMultiplier() int { return t.slowness }

func (t *Table) set(now time.Time, e *entry, s Status) {
	n := e.Member.Node
	if !e.present() || s == Gone || s == Listed {
		t.version++
	}
	t.urgent = t.urgent || e.Status == Suspect || s == Suspect
	e.Status = s
	e.accused = false
	delete(t.suspects, n)
	switch s {
	case Suspect:
		e.suspectedAt = now
		t.suspects[n] = e
	case Gone:
		e.goneAt = now
	}
	if e.Incarnation > 0 {
		t.gossip[n] = true
	}
}
