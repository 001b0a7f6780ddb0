// Package owner decides which orders the owner of a backend server may give. It
// is pure: it is told of the lease, the permits, the orders and what the engine
// reports, and has no clock, input or output.
package owner

import (
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// Refusal is an error that says why an order may not be given now.
type Refusal int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Refusal -output=refusal_string.go

// The refusals.
const (
	// NotOwner accounts have no lease.
	NotOwner Refusal = iota
	// NeedsBarrier servers have not confirmed an order of this lease yet.
	NeedsBarrier
	// NeedsState servers have not been read since the lease or the barrier.
	NeedsState
	// NoPermit loads have no permit.
	NoPermit
	// PermitRevoked loads have a permit that allows no load any more.
	PermitRevoked
	// NoMemory loads do not fit what is loaded, reserved or in doubt.
	NoMemory
	// OrderInFlight models have an order without an answer.
	OrderInFlight
	// Releasing models have a proposal in flight that gives the permit back.
	Releasing
	// NotLoaded models get no adapter.
	NotLoaded
)

// Error implements error.
func (r Refusal) Error() string { return "order refused by the account: " + r.String() }

// LogicalTime is a moment in the life of an Account.
type LogicalTime uint64

// presence tells what is known of a replica.
type presence int

const (
	// absent replicas are certainly not loaded.
	absent presence = iota
	// unknown replicas may be loaded.
	unknown
	// loaded replicas were confirmed or seen.
	loaded
)

// entry is the account of one model at the server.
type entry struct {
	presence presence
	// reserved is the memory granted to the replica while it is not absent.
	reserved domain.Bytes
	// loads, unloads and adapters count orders without an answer.
	loads, unloads, adapters int
	// unclear counts orders that need memory and whose outcome stays unknown: they
	// may still take effect.
	unclear int
	// releasing is set while a PermitReleased is proposed.
	releasing bool
	// started is when the last order started, changed when one last started or
	// ended.
	started, changed LogicalTime
	// doubted is when the presence last became unknown for a reason outside the
	// orders; orders that started before prove nothing.
	doubted LogicalTime
	// since is the engine's incarnation at a moment after changed and doubted;
	// empty where none was read since.
	since string
}

func (e *entry) inFlight() bool { return e.loads+e.unloads+e.adapters > 0 }

// held tells whether the entry's memory may be in use now or later.
func (e *entry) held() bool { return e.presence != absent || e.inFlight() || e.unclear > 0 }

// settle drops the reservation of a replica that certainly is not there.
func (e *entry) settle() {
	if !e.held() {
		e.reserved = 0
	}
}

// Account is the memory and permits of one backend server as its owner keeps
// them. The zero Account owns nothing. It is not safe for concurrent use.
type Account struct {
	memory       domain.Bytes
	checksFences bool
	fence        domain.Fence
	permits      map[domain.ModelName]fold.Permit
	entries      map[domain.ModelName]*entry
	now          LogicalTime
	// barrierAt is when the barrier of this fence was confirmed, or 0.
	barrierAt LogicalTime
	// settled is set once the state was read after lease and barrier.
	settled bool
	leaseAt LogicalTime
	// restartAt is when another incarnation was last read.
	restartAt LogicalTime
	doubts    []fold.Doubt
	// incarnation is the last that was read.
	incarnation string
}

func (a *Account) tick() LogicalTime {
	a.now++
	return a.now
}

// Now returns this moment. Take it before a state is requested and hand it to
// Observe with the state.
func (a *Account) Now() LogicalTime { return a.now }

// SetFacts sets the server's memory and whether it checks fences.
func (a *Account) SetFacts(memory domain.Bytes, checksFences bool) {
	if checksFences && !a.checksFences {
		a.barrierAt, a.settled = 0, false
	}
	a.memory, a.checksFences = memory, checksFences
}

// SetLease sets the fence in force, 0 where another node owns the server. A new
// fence makes everything at the server unknown until it is read.
func (a *Account) SetLease(f domain.Fence) {
	if f == a.fence {
		return
	}
	a.fence = f
	a.barrierAt, a.settled = 0, false
	a.leaseAt = a.tick()
	for n := range a.permits {
		a.entry(n)
	}
	for n := range a.entries {
		a.doubt(n)
	}
}

// doubt makes a replica unknown, whatever orders in flight will say.
func (a *Account) doubt(n domain.ModelName) {
	e := a.entry(n)
	e.presence = unknown
	e.doubted = a.tick()
	e.since = ""
	e.reserved = max(e.reserved, a.permits[n].Size)
}

// SetDoubts sets the earlier owners whose orders may still take effect. Where
// fences are ignored, such an order may have taken effect until its doubt is cleared,
// so that the replicas under its permits become unknown then.
func (a *Account) SetDoubts(doubts []fold.Doubt) {
	for _, d := range a.doubts {
		if !a.checksFences && !slices.Contains(doubts, d) {
			a.doubtBefore(d.Until)
		}
	}
	a.doubts = slices.Clone(doubts)
}

// doubtBefore makes the replicas unknown whose permits were attached before o.
func (a *Account) doubtBefore(o domain.Offset) {
	for n, p := range a.permits {
		if p.AttachedAt < o {
			a.doubt(n)
		}
	}
}

// Fence returns the fence in force, or 0.
func (a *Account) Fence() domain.Fence { return a.fence }

// SetPermits sets the permits attached to the server.
func (a *Account) SetPermits(permits []fold.Permit) {
	before := a.permits
	a.permits = make(map[domain.ModelName]fold.Permit, len(permits))
	for _, p := range permits {
		a.permits[p.Model] = p
		a.adopt(p, before)
	}
	for n, e := range a.entries {
		if _, ok := a.permits[n]; !ok && !e.held() {
			delete(a.entries, n)
		}
	}
}

// adopt keeps an entry for a permit. A permit from before the lease may already
// be in use.
func (a *Account) adopt(p fold.Permit, before map[domain.ModelName]fold.Permit) {
	old, had := before[p.Model]
	if had && old.AttachedAt == p.AttachedAt {
		return
	}
	a.entry(p.Model).releasing = false
	if domain.Fence(p.AttachedAt) <= a.fence || a.fence == 0 {
		a.doubt(p.Model)
	}
}

func (a *Account) entry(n domain.ModelName) *entry {
	if a.entries == nil {
		a.entries = make(map[domain.ModelName]*entry)
	}
	e := a.entries[n]
	if e == nil {
		e = &entry{}
		a.entries[n] = e
	}
	return e
}

// NeedsBarrier tells whether a Barrier order must be confirmed before others.
func (a *Account) NeedsBarrier() bool { return a.fence != 0 && a.checksFences && a.barrierAt == 0 }

// FinishBarrier tells what became of a Barrier order under fence f that was given
// at mark m. Once it is done, orders under older fences have no effect any more.
func (a *Account) FinishBarrier(m LogicalTime, f domain.Fence, s engine.OrderStatus) {
	if f != a.fence || !a.checksFences || m < a.restartAt {
		return
	}
	if s == engine.RefusedStale {
		a.SetLease(0)
	}
	if s != engine.Done {
		return
	}
	a.barrierAt = a.tick()
	for _, e := range a.entries {
		if e.started < a.leaseAt {
			e.unclear = 0
		}
	}
}

// Observe takes a state that was requested at mark m. The state's replicas may
// lag; its incarnation is that of the process which answered.
func (a *Account) Observe(m LogicalTime, s engine.State) {
	restarted := a.incarnation != "" && s.Incarnation != a.incarnation
	a.incarnation = s.Incarnation
	if restarted {
		a.noteRestart()
	}
	a.noteUnpermitted(s)
	for n, e := range a.entries {
		if max(e.changed, e.doubted) > m || e.inFlight() {
			continue
		}
		a.observeEntry(n, e, s)
	}
	if a.fence != 0 && m >= a.leaseAt && !a.NeedsBarrier() && m >= a.barrierAt {
		a.settled = true
	}
}

// noteRestart asks for a new barrier, since the engine may have lost its fence.
func (a *Account) noteRestart() {
	a.restartAt = a.tick()
	if a.checksFences {
		a.barrierAt, a.settled = 0, false
	}
}

// noteUnpermitted keeps account of replicas that have no permit here.
func (a *Account) noteUnpermitted(s engine.State) {
	for _, r := range s.Replicas {
		if a.entries[r.Model] == nil {
			e := a.entry(r.Model)
			e.presence, e.reserved = unknown, r.Memory
		}
	}
}

// observeEntry applies a state to a model without an order in flight since.
func (a *Account) observeEntry(n domain.ModelName, e *entry, s engine.State) {
	if e.since != "" && e.since != s.Incarnation {
		e.unclear = 0
		e.presence = absent
		if a.checksFences {
			// An old order may have come between the restart and the next barrier.
			e.presence = unknown
		}
		e.settle()
	}
	e.since = s.Incarnation
	i := slices.IndexFunc(s.Replicas, func(r engine.Replica) bool { return r.Model == n })
	if i < 0 || e.presence == loaded {
		return
	}
	if e.presence == unknown && !s.Replicas[i].Loading {
		e.presence = loaded
	}
	e.reserved = max(e.reserved, s.Replicas[i].Memory)
}

// FreeMemory returns the memory that is neither loaded, reserved nor in doubt. It is
// negative where permits of a server that checks fences pass its memory.
func (a *Account) FreeMemory() domain.Bytes {
	free := a.memory
	for n, e := range a.entries {
		free -= a.counted(n, e)
	}
	return free
}

// counted returns what a model counts for. Where fences are ignored a late order
// of an earlier owner may use any permit, so that every permit counts.
func (a *Account) counted(n domain.ModelName, e *entry) domain.Bytes {
	p, permitted := a.permits[n]
	if permitted && !a.checksFences {
		return max(e.reserved, p.Size)
	}
	if e.held() {
		return e.reserved
	}
	return 0
}

// IsLoaded tells whether a model is known to be loaded.
func (a *Account) IsLoaded(n domain.ModelName) bool {
	e := a.entries[n]
	return e != nil && e.presence == loaded
}

// UnconfirmedModels returns the models that may be loaded, by name. An unload order that is
// done, or a load order that is done, settles them.
func (a *Account) UnconfirmedModels() []domain.ModelName {
	return a.names(func(e *entry) bool { return e.presence == unknown && !e.inFlight() })
}

// ModelsWithUnknownOutcome returns the models whose orders may still take effect though no answer
// will come, by name. They keep memory and permit until the engine restarts or, where it
// checks fences, until a barrier under a newer fence.
func (a *Account) ModelsWithUnknownOutcome() []domain.ModelName {
	return a.names(func(e *entry) bool { return e.unclear > 0 })
}

func (a *Account) names(match func(*entry) bool) []domain.ModelName {
	var names []domain.ModelName
	for _, n := range slices.Sorted(maps.Keys(a.entries)) {
		if match(a.entries[n]) {
			names = append(names, n)
		}
	}
	return names
}

// IsQuiescent tells whether no order of this account that needs memory can take effect
// any more. A node that lost its lease may then propose OwnerAcknowledged.
func (a *Account) IsQuiescent() bool {
	return len(a.names(func(e *entry) bool { return e.loads+e.adapters+e.unclear > 0 })) == 0
}
