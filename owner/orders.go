package owner

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// checkReady returns the reason why no order at all may be issued, or nil.
func (a *Account) checkReady() error {
	switch {
	case a.fence == 0:
		return NotOwner
	case a.NeedsBarrier():
		return NeedsBarrier
	case !a.stateRead:
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
	if e.loads+e.unloads > 0 {
		return OrderInFlight
	}
	if a.FreeMemory()+a.countedMemory(n, e) < max(p.Size, e.reserved) {
		return NoMemory
	}
	return nil
}

// StartLoad reserves memory for a load order that the caller issues next. Every StartLoad
// that succeeds needs a FinishLoad, also if the lease is lost in between.
func (a *Account) StartLoad(n domain.ModelName) error {
	if err := a.CheckLoad(n); err != nil {
		return err
	}
	e := a.entry(n)
	e.reserved = max(a.permits[n].Size, e.reserved)
	e.loads++
	a.recordOrderStart(e)
	return nil
}

// recordOrderStart records that an order is issued.
func (a *Account) recordOrderStart(e *entry) {
	a.recordOrderChange(e)
	e.startedAt = e.changedAt
}

// recordOrderChange records that an order is issued or has ended.
func (a *Account) recordOrderChange(e *entry) {
	e.changedAt = a.tick()
	e.observedIncarnation = ""
	e.dropUnusedReservation()
}

// confirm sets the presence that a completed order shows, or unknown if the order was
// issued before invalidatedAt.
func (e *entry) confirm(p presence) {
	if e.startedAt < e.invalidatedAt {
		p = unknown
	}
	e.presence = p
}

// recordUnknownOutcome counts an order that may still take effect. An order from before
// the lease is not counted once the barrier is confirmed, since the server refuses it.
func (a *Account) recordUnknownOutcome(e *entry) {
	if a.barrierConfirmedAt != 0 && e.startedAt < a.leaseSetAt {
		return
	}
	e.unknownOutcomes++
}

// FinishLoad records the status of a load order.
func (a *Account) FinishLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.loads--
	switch s {
	case engine.Done:
		e.confirm(loaded)
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

// dropLease drops the lease after the server rejected its fencing token.
func (a *Account) dropLease() {
	if a.checksFences {
		a.SetLease(0)
	}
}

// StartUnload records an unload order that the caller issues next. The model need not be
// loaded: the order then confirms that it is not.
func (a *Account) StartUnload(n domain.ModelName) error {
	if err := a.checkReady(); err != nil {
		return err
	}
	e := a.entry(n)
	if e.hasOrderInFlight() {
		return OrderInFlight
	}
	e.unloads++
	a.recordOrderStart(e)
	return nil
}

// FinishUnload records the status of an unload order.
func (a *Account) FinishUnload(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.unloads--
	switch s {
	case engine.Done:
		e.confirm(absent)
	case engine.RefusedStale:
		a.dropLease()
	case engine.RefusedBusy:
	default:
		e.presence = unknown
	}
	a.recordOrderChange(e)
}

// StartAdapterLoad records an order that loads an adapter on a loaded replica. The size of
// the permit includes every adapter of the model.
func (a *Account) StartAdapterLoad(n domain.ModelName) error {
	p, err := a.usablePermit(n)
	if err != nil {
		return err
	}
	e := a.entry(n)
	switch {
	case e.releasing:
		return Releasing
	case e.loads+e.unloads > 0:
		return OrderInFlight
	case e.presence != loaded:
		return NotLoaded
	case a.FreeMemory()+a.countedMemory(n, e) < max(p.Size, e.reserved):
		return NoMemory
	}
	e.reserved = max(p.Size, e.reserved)
	e.adapterLoads++
	a.recordOrderStart(e)
	return nil
}

// FinishAdapterLoad records the status of an adapter order.
func (a *Account) FinishAdapterLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.adapterLoads--
	switch s {
	case engine.Unclear:
		a.recordUnknownOutcome(e)
	case engine.RefusedStale:
		a.dropLease()
	}
	a.recordOrderChange(e)
}

// CanRelease reports whether the permit of a model can be released: its replica is known
// to be unloaded, and no order of this account or of an earlier owner can load it any
// more. It reports false while the Account has a doubt that covers the permit, even if
// the state machine has cleared that doubt since: the earlier owner may have loaded the
// model just before.
func (a *Account) CanRelease(n domain.ModelName) bool {
	p, permitted := a.permits[n]
	e := a.entries[n]
	if a.checkReady() != nil || !permitted || e == nil || e.mayUseMemory() || e.releasing {
		return false
	}
	return !slices.ContainsFunc(a.doubts, func(d fold.Doubt) bool { return p.AttachedAt < d.Until })
}

// StartRelease refuses loads of a model while a PermitReleased record is proposed. It
// reports false if the permit cannot be released.
func (a *Account) StartRelease(n domain.ModelName) bool {
	if !a.CanRelease(n) {
		return false
	}
	a.entry(n).releasing = true
	return true
}

// CancelRelease allows loads again after the release was rejected or if it certainly was
// not proposed. An accepted release takes effect through SetPermits.
func (a *Account) CancelRelease(n domain.ModelName) {
	a.entry(n).releasing = false
}
