// Package owner decides which orders the owner of a backend server may issue to it: loads
// and unloads of models, loads of adapters and barriers. An Account tracks the server's
// memory and permits, the orders in flight and the orders whose outcome is unknown.
//
// Package node keeps one Account for each server that the node owns. It passes in leases,
// permits, order outcomes and engine states, and asks the Account before each order. The
// package sends no orders, does no I/O and reads no clock.
package owner

import (
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// Refusal is an error that gives the reason why an order must not be issued now.
type Refusal int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Refusal -output=refusal_string.go

// The reasons for which an Account refuses an order.
const (
	// NotOwner: the node does not hold the lease of the server.
	NotOwner Refusal = iota
	// NeedsBarrier: the server has not confirmed a Barrier order under the current
	// fencing token.
	NeedsBarrier
	// NeedsState: no engine state has been read since the lease began or the barrier was
	// confirmed.
	NeedsState
	// NoPermit: the model has no permit at the server.
	NoPermit
	// PermitRevoked: the permit of the model allows no loads any more.
	PermitRevoked
	// NoMemory: the load does not fit beside the memory that is loaded, reserved or held
	// by orders of unknown outcome.
	NoMemory
	// OrderInFlight: an earlier order for the model has no response yet.
	OrderInFlight
	// Releasing: a PermitReleased record for the model is being proposed.
	Releasing
	// NotLoaded: the model is not known to be loaded, so that no adapter of it can be
	// loaded.
	NotLoaded
)

// Error implements error.
func (r Refusal) Error() string { return "order must not be issued: " + r.String() }

// LogicalTime is a logical clock of an Account. It rises with every lease, order, confirmed
// barrier, restart and invalidation, and orders them.
type LogicalTime uint64

// presence is what an Account knows about a replica.
type presence int

const (
	// absent replicas are known not to be loaded.
	absent presence = iota
	// unknown replicas may be loaded.
	unknown
	// loaded replicas were shown by a completed order or an engine state.
	loaded
)

// entry is the state of one model in an Account.
type entry struct {
	presence presence
	// reserved is the memory reserved for the replica while mayUseMemory reports true.
	reserved domain.Bytes
	// loads, unloads and adapterLoads count the orders in flight.
	loads, unloads, adapterLoads int
	// unknownOutcomes counts orders that need memory and whose outcome is unknown: they
	// may still take effect.
	unknownOutcomes int
	// releasing is set while a PermitReleased record is proposed.
	releasing bool
	// startedAt is when the last order was issued, changedAt when an order was last
	// issued or ended.
	startedAt, changedAt LogicalTime
	// invalidatedAt is when the presence last became unknown for a reason other than an
	// order, such as a new lease. Orders issued before it do not confirm the presence.
	invalidatedAt LogicalTime
	// observedIncarnation is the incarnation in the last engine state that was requested
	// after changedAt and invalidatedAt; empty if there is none.
	observedIncarnation string
}

func (e *entry) hasOrderInFlight() bool { return e.loads+e.unloads+e.adapterLoads > 0 }

// mayUseMemory reports whether the replica uses memory now, or an order may still make it
// do so.
func (e *entry) mayUseMemory() bool {
	return e.presence != absent || e.hasOrderInFlight() || e.unknownOutcomes > 0
}

// dropUnusedReservation drops the reservation if nothing can use it.
func (e *entry) dropUnusedReservation() {
	if !e.mayUseMemory() {
		e.reserved = 0
	}
}

// Account tracks the memory and permits of one backend server for its owner. The zero
// Account holds no lease. It is not safe for concurrent use.
type Account struct {
	memory       domain.Bytes
	checksFences bool
	fence        domain.Fence
	permits      map[domain.ModelName]fold.Permit
	entries      map[domain.ModelName]*entry
	now          LogicalTime
	// barrierConfirmedAt is when the server confirmed the barrier under the current
	// fencing token, or 0.
	barrierConfirmedAt LogicalTime
	// stateRead is set once a state has been read that was requested after the lease
	// began and the barrier was confirmed.
	stateRead bool
	// leaseSetAt is when the fencing token last changed.
	leaseSetAt LogicalTime
	// restartSeenAt is when a new incarnation of the engine was last observed.
	restartSeenAt LogicalTime
	doubts        []fold.Doubt
	// incarnation is the one in the last state that was observed.
	incarnation string
}

func (a *Account) tick() LogicalTime {
	a.now++
	return a.now
}

// Now returns the current logical time. Call it before requesting a state or issuing a
// barrier, and pass the result to Observe or FinishBarrier.
func (a *Account) Now() LogicalTime { return a.now }

// SetFacts sets the memory of the server and whether it checks fencing tokens. A server
// that starts to check them needs a barrier before other orders.
func (a *Account) SetFacts(memory domain.Bytes, checksFences bool) {
	if checksFences && !a.checksFences {
		a.barrierConfirmedAt, a.stateRead = 0, false
	}
	a.memory, a.checksFences = memory, checksFences
}

// SetLease sets the fencing token of the lease, or 0 if another node owns the server. A
// new token makes the presence of every replica unknown until an order or a state
// confirms it.
func (a *Account) SetLease(f domain.Fence) {
	if f == a.fence {
		return
	}
	a.fence = f
	a.barrierConfirmedAt, a.stateRead = 0, false
	a.leaseSetAt = a.tick()
	for n := range a.permits {
		a.entry(n)
	}
	for n := range a.entries {
		a.markUnknown(n)
	}
}

// markUnknown makes the presence of a replica unknown and reserves the size of its
// permit. Orders issued before do not confirm the presence when they complete.
func (a *Account) markUnknown(n domain.ModelName) {
	e := a.entry(n)
	e.presence = unknown
	e.invalidatedAt = a.tick()
	e.observedIncarnation = ""
	e.reserved = max(e.reserved, a.permits[n].Size)
}

// SetDoubts sets the earlier owners whose orders may still take effect. If the server
// ignores fencing tokens, such an order may have taken effect at any time until its doubt
// is cleared, so that the replicas under the permits of that owner become unknown then.
func (a *Account) SetDoubts(doubts []fold.Doubt) {
	for _, d := range a.doubts {
		if !a.checksFences && !slices.Contains(doubts, d) {
			a.markUnknownBefore(d.Until)
		}
	}
	a.doubts = slices.Clone(doubts)
}

// markUnknownBefore makes the presence of replicas unknown whose permits were attached
// before o.
func (a *Account) markUnknownBefore(o domain.Offset) {
	for n, p := range a.permits {
		if p.AttachedAt < o {
			a.markUnknown(n)
		}
	}
}

// Fence returns the fencing token of the lease, or 0.
func (a *Account) Fence() domain.Fence { return a.fence }

// SetPermits replaces the permits that are attached to the server.
func (a *Account) SetPermits(permits []fold.Permit) {
	previous := a.permits
	a.permits = make(map[domain.ModelName]fold.Permit, len(permits))
	for _, p := range permits {
		a.permits[p.Model] = p
		a.applyPermit(p, previous)
	}
	for n, e := range a.entries {
		if _, ok := a.permits[n]; !ok && !e.mayUseMemory() {
			delete(a.entries, n)
		}
	}
}

// applyPermit prepares the entry of a newly attached permit. A permit that was attached
// before the lease began may already be in use.
func (a *Account) applyPermit(p fold.Permit, previous map[domain.ModelName]fold.Permit) {
	old, existed := previous[p.Model]
	if existed && old.AttachedAt == p.AttachedAt {
		return
	}
	a.entry(p.Model).releasing = false
	if domain.Fence(p.AttachedAt) <= a.fence || a.fence == 0 {
		a.markUnknown(p.Model)
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

// NeedsBarrier reports whether the server must confirm a Barrier order before any other
// order is issued.
func (a *Account) NeedsBarrier() bool {
	return a.fence != 0 && a.checksFences && a.barrierConfirmedAt == 0
}

// FinishBarrier records the status of a Barrier order that was issued at issuedAt under
// fencing token f. Once the barrier is confirmed, orders under older tokens have no
// effect any more, so that the unknown outcomes of orders from before the lease are
// cleared. RefusedStale drops the lease, because the server has seen a newer token.
func (a *Account) FinishBarrier(issuedAt LogicalTime, f domain.Fence, s engine.OrderStatus) {
	if f != a.fence || !a.checksFences || issuedAt < a.restartSeenAt {
		return
	}
	if s == engine.RefusedStale {
		a.SetLease(0)
	}
	if s != engine.Done {
		return
	}
	a.barrierConfirmedAt = a.tick()
	for _, e := range a.entries {
		if e.startedAt < a.leaseSetAt {
			e.unknownOutcomes = 0
		}
	}
}

// Observe applies an engine state that was requested at requestedAt. The list of replicas
// may lag behind; the incarnation is that of the process that responded.
func (a *Account) Observe(requestedAt LogicalTime, s engine.State) {
	restarted := a.incarnation != "" && s.Incarnation != a.incarnation
	a.incarnation = s.Incarnation
	if restarted {
		a.recordRestart()
	}
	a.recordUnpermitted(s)
	for n, e := range a.entries {
		if max(e.changedAt, e.invalidatedAt) > requestedAt || e.hasOrderInFlight() {
			continue
		}
		a.observeEntry(n, e, s)
	}
	if a.fence != 0 && requestedAt >= a.leaseSetAt && !a.NeedsBarrier() && requestedAt >= a.barrierConfirmedAt {
		a.stateRead = true
	}
}

// recordRestart requires a new barrier, because the restarted engine may not remember the
// newest fencing token.
func (a *Account) recordRestart() {
	a.restartSeenAt = a.tick()
	if a.checksFences {
		a.barrierConfirmedAt, a.stateRead = 0, false
	}
}

// recordUnpermitted adds an entry for each reported replica that has none because it has
// no permit here.
func (a *Account) recordUnpermitted(s engine.State) {
	for _, r := range s.Replicas {
		if a.entries[r.Model] == nil {
			e := a.entry(r.Model)
			e.presence, e.reserved = unknown, r.Memory
		}
	}
}

// observeEntry applies a state to a model that has had no order in flight since the state
// was requested.
func (a *Account) observeEntry(n domain.ModelName, e *entry, s engine.State) {
	if e.observedIncarnation != "" && e.observedIncarnation != s.Incarnation {
		e.unknownOutcomes = 0
		e.presence = absent
		if a.checksFences {
			// An order under an older fencing token may have taken effect between the
			// restart and the next barrier.
			e.presence = unknown
		}
		e.dropUnusedReservation()
	}
	e.observedIncarnation = s.Incarnation
	i := slices.IndexFunc(s.Replicas, func(r engine.Replica) bool { return r.Model == n })
	if i < 0 || e.presence == loaded {
		return
	}
	if e.presence == unknown && !s.Replicas[i].Loading {
		e.presence = loaded
	}
	e.reserved = max(e.reserved, s.Replicas[i].Memory)
}

// FreeMemory returns the memory that is not loaded, reserved or held by orders of unknown
// outcome. It is negative if the permits of a server that checks fencing tokens exceed
// its memory.
func (a *Account) FreeMemory() domain.Bytes {
	free := a.memory
	for n, e := range a.entries {
		free -= a.countedMemory(n, e)
	}
	return free
}

// countedMemory returns the memory that FreeMemory counts for a model. If the server
// ignores fencing tokens, a late order of an earlier owner may use any permit, so that
// every permit counts.
func (a *Account) countedMemory(n domain.ModelName, e *entry) domain.Bytes {
	p, permitted := a.permits[n]
	if permitted && !a.checksFences {
		return max(e.reserved, p.Size)
	}
	if e.mayUseMemory() {
		return e.reserved
	}
	return 0
}

// IsLoaded reports whether a model is known to be loaded.
func (a *Account) IsLoaded(n domain.ModelName) bool {
	e := a.entries[n]
	return e != nil && e.presence == loaded
}

// UnconfirmedModels returns the models that may be loaded and have no order in flight,
// sorted by name. A load or unload order that completes confirms whether they are.
func (a *Account) UnconfirmedModels() []domain.ModelName {
	return a.sortedModels(func(e *entry) bool { return e.presence == unknown && !e.hasOrderInFlight() })
}

// ModelsWithUnknownOutcome returns the models with orders of unknown outcome, sorted by
// name. The orders may still take effect though no response will arrive, so that the
// models keep memory and permit until the engine restarts or, if it checks fencing
// tokens, until a barrier under a newer token is confirmed.
func (a *Account) ModelsWithUnknownOutcome() []domain.ModelName {
	return a.sortedModels(func(e *entry) bool { return e.unknownOutcomes > 0 })
}

func (a *Account) sortedModels(match func(*entry) bool) []domain.ModelName {
	var names []domain.ModelName
	for _, n := range slices.Sorted(maps.Keys(a.entries)) {
		if match(a.entries[n]) {
			names = append(names, n)
		}
	}
	return names
}

// IsQuiescent reports whether no order of this account that needs memory can take effect
// any more. A node that lost its lease may then propose OwnerAcknowledged.
func (a *Account) IsQuiescent() bool {
	return len(a.sortedModels(func(e *entry) bool { return e.loads+e.adapterLoads+e.unknownOutcomes > 0 })) == 0
}
