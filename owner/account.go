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

// Refusal is the error that CheckLoad and the Start methods return: the reason why an
// order must not be issued now.
type Refusal int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Refusal -output=refusal_string.go

// The reasons for which an Account refuses an order.
const (
	// NotOwner: the node does not hold the lease of the server.
	NotOwner Refusal = iota
	// NeedsBarrier: the server has not confirmed a Barrier order under the current
	// fencing token.
	NeedsBarrier
	// NeedsState: no engine state that was requested under this lease, and after its
	// barrier, has been observed.
	NeedsState
	// NoPermit: the model has no permit at the server.
	NoPermit
	// PermitRevoked: the permit of the model is revoked and no longer allows loads.
	PermitRevoked
	// NoMemory: the load needs more memory than is free or already counted for its model.
	NoMemory
	// OrderInFlight: an earlier order for the model has not ended yet.
	OrderInFlight
	// Releasing: a PermitReleased record for the model is being proposed.
	Releasing
	// NotLoaded: an adapter can be loaded only while its model is known to be loaded.
	NotLoaded
)

// Error implements error.
func (r Refusal) Error() string { return "order must not be issued: " + r.String() }

// LogicalTime is a time on the logical clock of an Account. The clock advances with every
// lease, start or end of an order, confirmed barrier, restart and invalidation, so that
// times show which of two events came first.
type LogicalTime uint64

// presence says whether a replica is loaded, as far as the Account knows.
type presence int

const (
	// absent replicas are known not to be loaded.
	absent presence = iota
	// unknown replicas may be loaded.
	unknown
	// loaded replicas are known to be loaded, from a completed order or an engine state.
	loaded
)

// entry is the state of one model in an Account.
type entry struct {
	presence presence
	// reservedMemory is the memory reserved for the replica. It counts while mayUseMemory
	// reports true.
	reservedMemory domain.Bytes
	// loadsInFlight, unloadsInFlight and adapterLoadsInFlight count the issued orders that
	// have not ended yet.
	loadsInFlight, unloadsInFlight, adapterLoadsInFlight int
	// unknownOutcomes counts the loads of the model and its adapters whose outcome is
	// unknown. Such a load may still take effect.
	unknownOutcomes int
	// releasing is set while a PermitReleased record is proposed.
	releasing bool
	// lastIssuedAt is when an order for the model was last issued. orderChangedAt is when an
	// order for the model was last issued or last ended.
	lastIssuedAt, orderChangedAt LogicalTime
	// invalidatedAt is when the presence last became unknown for a reason other than an
	// order, such as a new lease. An order that was issued earlier leaves the presence
	// unknown when it completes.
	invalidatedAt LogicalTime
	// observedIncarnation is the incarnation in the last engine state that was requested
	// after both orderChangedAt and invalidatedAt; empty if there is no such state.
	observedIncarnation string
}

func (e *entry) hasOrderInFlight() bool {
	return e.loadsInFlight+e.unloadsInFlight+e.adapterLoadsInFlight > 0
}

// mayUseMemory reports whether the replica may use memory now or after an order that may
// still take effect.
func (e *entry) mayUseMemory() bool {
	return e.presence != absent || e.hasOrderInFlight() || e.unknownOutcomes > 0
}

// dropUnusedReservation sets reservedMemory to 0 if mayUseMemory reports false.
func (e *entry) dropUnusedReservation() {
	if !e.mayUseMemory() {
		e.reservedMemory = 0
	}
}

// Account tracks the memory and permits of one backend server for its owner. The zero
// Account holds no lease. It is not safe for concurrent use.
type Account struct {
	// memory is the total memory of the server.
	memory domain.Bytes
	// checksFences is true if the server rejects orders under outdated fencing tokens.
	checksFences bool
	// fence is the fencing token of the lease, or 0 without a lease.
	fence domain.Fence
	// permits are the permits attached to the server.
	permits map[domain.ModelName]fold.Permit
	entries map[domain.ModelName]*entry
	// now is the current time of the logical clock.
	now LogicalTime
	// barrierConfirmedAt is when the server confirmed the barrier under the current
	// fencing token, or 0.
	barrierConfirmedAt LogicalTime
	// hasCurrentState is true once the Account has observed an engine state that was
	// requested after the lease began and after the barrier was confirmed.
	hasCurrentState bool
	// leaseSetAt is when the fencing token last changed.
	leaseSetAt LogicalTime
	// restartSeenAt is when a new incarnation of the engine was last observed.
	restartSeenAt LogicalTime
	// doubts are the earlier owners whose orders may still take effect.
	doubts []fold.Doubt
	// incarnation is the incarnation in the last observed engine state.
	incarnation string
}

func (a *Account) tick() LogicalTime {
	a.now++
	return a.now
}

// Now returns the current logical time. The caller reads it before it requests an engine
// state or issues a barrier, and passes it to Observe or FinishBarrier afterwards.
func (a *Account) Now() LogicalTime { return a.now }

// SetFacts sets the memory of the server and whether it checks fencing tokens. A server
// that starts to check them needs a barrier before other orders.
func (a *Account) SetFacts(memory domain.Bytes, checksFences bool) {
	if checksFences && !a.checksFences {
		a.barrierConfirmedAt, a.hasCurrentState = 0, false
	}
	a.memory, a.checksFences = memory, checksFences
}

// SetLease sets the fencing token of the lease, or 0 if another node owns the server. A
// change of the token makes the presence of every replica unknown until an order or an
// engine state shows it.
func (a *Account) SetLease(f domain.Fence) {
	if f == a.fence {
		return
	}
	a.fence = f
	a.barrierConfirmedAt, a.hasCurrentState = 0, false
	a.leaseSetAt = a.tick()
	for n := range a.permits {
		a.entry(n)
	}
	for n := range a.entries {
		a.markUnknown(n)
	}
}

// markUnknown makes the presence of a replica unknown and reserves the size of its
// permit. An order that was issued earlier leaves the presence unknown when it completes.
func (a *Account) markUnknown(n domain.ModelName) {
	e := a.entry(n)
	e.presence = unknown
	e.invalidatedAt = a.tick()
	e.observedIncarnation = ""
	e.reservedMemory = max(e.reservedMemory, a.permits[n].Size)
}

// SetDoubts sets the doubts: the earlier owners whose orders may still take effect. On a
// server that ignores fencing tokens, such an order can take effect until the doubt is
// cleared. When a doubt disappears, SetDoubts therefore marks as unknown every replica
// whose permit that owner could have used.
func (a *Account) SetDoubts(doubts []fold.Doubt) {
	for _, d := range a.doubts {
		if !a.checksFences && !slices.Contains(doubts, d) {
			a.markUnknownBefore(d.LeaseLostAt)
		}
	}
	a.doubts = slices.Clone(doubts)
}

// markUnknownBefore marks as unknown every replica whose permit was attached before the log
// offset o.
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

// applyPermit updates the entry of a model if its permit is new or was attached again. A
// permit that was attached before the lease began may be in use already, so that the
// presence of its replica becomes unknown.
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
// fencing token f. After a confirmed barrier, orders under older tokens can no longer take
// effect, so that FinishBarrier clears the unknown outcomes of models without an order
// under this lease. RefusedStale drops the lease, because the server has seen a newer
// token.
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
		if e.lastIssuedAt < a.leaseSetAt {
			e.unknownOutcomes = 0
		}
	}
}

// Observe applies an engine state that was requested at requestedAt. The state may lack
// replicas that were loaded recently. Its incarnation identifies the engine process that
// responded and is always current.
func (a *Account) Observe(requestedAt LogicalTime, s engine.State) {
	restarted := a.incarnation != "" && s.Incarnation != a.incarnation
	a.incarnation = s.Incarnation
	if restarted {
		a.recordRestart()
	}
	a.addUnpermittedEntries(s)
	for n, e := range a.entries {
		if max(e.orderChangedAt, e.invalidatedAt) > requestedAt || e.hasOrderInFlight() {
			continue
		}
		a.observeEntry(n, e, s)
	}
	if a.fence != 0 && requestedAt >= a.leaseSetAt && !a.NeedsBarrier() && requestedAt >= a.barrierConfirmedAt {
		a.hasCurrentState = true
	}
}

// recordRestart records that the engine has restarted. An engine that checks fencing tokens
// then needs a new barrier, because it may not remember the newest token.
func (a *Account) recordRestart() {
	a.restartSeenAt = a.tick()
	if a.checksFences {
		a.barrierConfirmedAt, a.hasCurrentState = 0, false
	}
}

// addUnpermittedEntries adds an entry of unknown presence for each reported replica whose
// model has no entry yet. Every model with a permit has an entry.
func (a *Account) addUnpermittedEntries(s engine.State) {
	for _, r := range s.Replicas {
		if a.entries[r.Model] == nil {
			e := a.entry(r.Model)
			e.presence, e.reservedMemory = unknown, r.Memory
		}
	}
}

// observeEntry applies an engine state to one model, for which no order has been in flight
// since the state was requested.
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
	e.reservedMemory = max(e.reservedMemory, s.Replicas[i].Memory)
}

// FreeMemory returns the memory of the server less the memory that countedMemory returns
// for each model. It is negative if the counted memory exceeds that of the server.
func (a *Account) FreeMemory() domain.Bytes {
	free := a.memory
	for n, e := range a.entries {
		free -= a.countedMemory(n, e)
	}
	return free
}

// countedMemory returns the memory that FreeMemory subtracts for a model: the reserved
// memory if the replica may use it. On a server that ignores fencing tokens, a delayed
// order of an earlier owner may use any permit, so that every permit counts there.
func (a *Account) countedMemory(n domain.ModelName, e *entry) domain.Bytes {
	p, permitted := a.permits[n]
	if permitted && !a.checksFences {
		return max(e.reservedMemory, p.Size)
	}
	if e.mayUseMemory() {
		return e.reservedMemory
	}
	return 0
}

// IsLoaded reports whether a model is known to be loaded.
func (a *Account) IsLoaded(n domain.ModelName) bool {
	e := a.entries[n]
	return e != nil && e.presence == loaded
}

// UnconfirmedModels returns the models of unknown presence without an order in flight,
// sorted by name. The next load or unload order that completes shows their presence.
func (a *Account) UnconfirmedModels() []domain.ModelName {
	return a.sortedModels(func(e *entry) bool { return e.presence == unknown && !e.hasOrderInFlight() })
}

// ModelsWithUnknownOutcome returns the models with loads of unknown outcome, sorted by
// name. Such a load may still take effect although no response will arrive. The model
// keeps its memory and permit until the engine restarts or, if the engine checks fencing
// tokens, until it confirms a barrier under a newer token.
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

// IsQuiescent reports whether no model or adapter load that this node issued can take
// effect any more. A node that lost its lease may then propose OwnerAcknowledged.
func (a *Account) IsQuiescent() bool {
	return len(a.sortedModels(func(e *entry) bool { return e.loadsInFlight+e.adapterLoadsInFlight+e.unknownOutcomes > 0 })) == 0
}
