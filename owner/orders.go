package owner

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// checkReady returns the reason why no load, unload or release may start for any model, or
// nil.
func (a *Account) checkReady() error {
	switch {
	case a.fence == 0:
		return NotOwner
	case a.NeedsBarrier():
		return NeedsBarrier
	case !a.hasCurrentState:
		return NeedsState
	}
	return nil
}

// usablePermit returns the permit under which a model and its adapters may be loaded, or
// the reason why there is none.
func (a *Account) usablePermit(n domain.ModelName) (fold.Permit, error) {
	if err := a.checkReady(); err != nil {
		return fold.Permit{}, err
	}
	p, ok := a.permits[n]
	if !ok {
		return p, NoPermit
	}
	if p.Revoked {
		return p, PermitRevoked
	}
	return p, nil
}

// CheckLoad returns the reason why a model must not be loaded now, or nil.
func (a *Account) CheckLoad(n domain.ModelName) error {
	p, err := a.usablePermit(n)
	if err != nil {
		return err
	}
	e := a.entry(n)
	if e.releasing {
		return Releasing
	}
	if e.loadsInFlight+e.unloadsInFlight > 0 {
		return OrderInFlight
	}
	if a.FreeMemory()+a.countedMemory(n, e) < max(p.Size, e.reservedMemory) {
		return NoMemory
	}
	return nil
}

// StartLoad reserves memory for a load order, which the caller issues next. The caller
// must call FinishLoad once for each StartLoad that succeeds, also after it lost the lease.
func (a *Account) StartLoad(n domain.ModelName) error {
	if err := a.CheckLoad(n); err != nil {
		return err
	}
	e := a.entry(n)
	e.reservedMemory = max(a.permits[n].Size, e.reservedMemory)
	e.loadsInFlight++
	a.recordOrderStart(e)
	return nil
}

// recordOrderStart records that an order for the model is issued now.
func (a *Account) recordOrderStart(e *entry) {
	a.recordOrderChange(e)
	e.lastIssuedAt = e.orderChangedAt
}

// recordOrderChange records that an order for the model is issued or ends now, and drops
// the memory reservation if nothing needs it any more.
func (a *Account) recordOrderChange(e *entry) {
	e.orderChangedAt = a.tick()
	e.observedIncarnation = ""
	e.dropUnusedReservation()
}

// setPresenceAfterOrder sets the presence that a completed order shows. If the order was
// issued before invalidatedAt, the presence becomes unknown instead.
func (e *entry) setPresenceAfterOrder(p presence) {
	if e.lastIssuedAt < e.invalidatedAt {
		p = unknown
	}
	e.presence = p
}

// recordUnknownOutcome counts a load of unknown outcome. It does not count a load that was
// issued before the lease if the barrier is confirmed, because the server rejects that load.
func (a *Account) recordUnknownOutcome(e *entry) {
	if a.barrierConfirmedAt != 0 && e.lastIssuedAt < a.leaseSetAt {
		return
	}
	e.unknownOutcomes++
}

// FinishLoad records the status of a load order.
func (a *Account) FinishLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.loadsInFlight--
	switch s {
	case engine.Done:
		e.setPresenceAfterOrder(loaded)
	case engine.FailedLoad:
		if e.presence == loaded {
			e.presence = unknown
		}
	case engine.RefusedStale:
		a.dropLease()
	case engine.Unclear:
		a.recordUnknownOutcome(e)
		e.presence = unknown
	}
	a.recordOrderChange(e)
}

// dropLease drops the lease after the server rejected its fencing token. Only a server that
// checks tokens can do so.
func (a *Account) dropLease() {
	if a.checksFences {
		a.SetLease(0)
	}
}

// StartUnload records an unload order, which the caller issues next. The model need not be
// loaded: the completed order then shows that it is absent.
func (a *Account) StartUnload(n domain.ModelName) error {
	if err := a.checkReady(); err != nil {
		return err
	}
	e := a.entry(n)
	if e.hasOrderInFlight() {
		return OrderInFlight
	}
	e.unloadsInFlight++
	a.recordOrderStart(e)
	return nil
}

// FinishUnload records the status of an unload order.
func (a *Account) FinishUnload(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.unloadsInFlight--
	switch s {
	case engine.Done:
		e.setPresenceAfterOrder(absent)
	case engine.RefusedStale:
		a.dropLease()
	case engine.RefusedBusy:
	default:
		e.presence = unknown
	}
	a.recordOrderChange(e)
}

// StartAdapterLoad records an order that loads an adapter on a loaded replica, which the
// caller issues next. The size of the permit includes every adapter of the model.
func (a *Account) StartAdapterLoad(n domain.ModelName) error {
	p, err := a.usablePermit(n)
	if err != nil {
		return err
	}
	e := a.entry(n)
	switch {
	case e.releasing:
		return Releasing
	case e.loadsInFlight+e.unloadsInFlight > 0:
		return OrderInFlight
	case e.presence != loaded:
		return NotLoaded
	case a.FreeMemory()+a.countedMemory(n, e) < max(p.Size, e.reservedMemory):
		return NoMemory
	}
	e.reservedMemory = max(p.Size, e.reservedMemory)
	e.adapterLoadsInFlight++
	a.recordOrderStart(e)
	return nil
}

// FinishAdapterLoad records the status of an adapter load order.
func (a *Account) FinishAdapterLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.adapterLoadsInFlight--
	switch s {
	case engine.Unclear:
		a.recordUnknownOutcome(e)
	case engine.RefusedStale:
		a.dropLease()
	}
	a.recordOrderChange(e)
}

// CanRelease reports whether the permit of a model can be released: the replica is known
// to be unloaded, and no order of this node or of an earlier owner can load it any more.
// A doubt that the state machine has cleared blocks the release until SetDoubts removes it
// here, because the earlier owner may have loaded the model just before.
func (a *Account) CanRelease(n domain.ModelName) bool {
	p, permitted := a.permits[n]
	e := a.entries[n]
	if a.checkReady() != nil || !permitted || e == nil || e.mayUseMemory() || e.releasing {
		return false
	}
	return !slices.ContainsFunc(a.doubts, func(d fold.Doubt) bool { return p.AttachedAt < d.LeaseLostAt })
}

// StartRelease blocks loads of a model until its PermitReleased record, which the caller
// proposes next, is applied or CancelRelease is called. It reports false and blocks nothing
// if the permit cannot be released.
func (a *Account) StartRelease(n domain.ModelName) bool {
	if !a.CanRelease(n) {
		return false
	}
	a.entry(n).releasing = true
	return true
}

// CancelRelease allows loads again. The caller calls it if the PermitReleased record was
// rejected or certainly not appended. An accepted record takes effect through SetPermits.
func (a *Account) CancelRelease(n domain.ModelName) {
	a.entry(n).releasing = false
}
