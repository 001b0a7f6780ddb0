package owner

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// ready returns why no order at all may be given, or nil.
func (a *Account) ready() error {
	switch {
	case a.fence == 0:
		return NotOwner
	case a.NeedsBarrier():
		return NeedsBarrier
	case !a.settled:
		return NeedsState
	}
	return nil
}

// permitted returns the permit under which a model or an adapter of it may be loaded,
// or why it may not.
func (a *Account) permitted(n domain.ModelName) (fold.Permit, error) {
	if err := a.ready(); err != nil {
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

// MayLoad returns why a model may not be loaded now, or nil.
func (a *Account) MayLoad(n domain.ModelName) error {
	p, err := a.permitted(n)
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
	if a.FreeMemory()+a.counted(n, e) < max(p.Size, e.reserved) {
		return NoMemory
	}
	return nil
}

// StartLoad reserves memory for a load order that is given now. The order must be
// finished by FinishLoad, also where the lease is lost meanwhile.
func (a *Account) StartLoad(n domain.ModelName) error {
	if err := a.MayLoad(n); err != nil {
		return err
	}
	e := a.entry(n)
	e.reserved = max(a.permits[n].Size, e.reserved)
	e.loads++
	a.started(e)
	return nil
}

// started notes that an order is given.
func (a *Account) started(e *entry) {
	a.finished(e)
	e.started = e.changed
}

// finished notes that an order ended.
func (a *Account) finished(e *entry) {
	e.changed = a.tick()
	e.since = ""
	e.settle()
}

// know sets what a confirmed order shows, unless the order is older than the last
// doubt.
func (e *entry) know(p presence) {
	if e.started < e.doubted {
		p = unknown
	}
	e.presence = p
}

// unclear keeps an order in account that may still take effect. One from before
// a barrier under a newer fence has none any more.
func (a *Account) unclear(e *entry) {
	if a.barrierAt != 0 && e.started < a.leaseAt {
		return
	}
	e.unclear++
}

// FinishLoad tells what became of a load order.
func (a *Account) FinishLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.loads--
	switch s {
	case engine.Done:
		e.know(loaded)
	case engine.FailedLoad:
		if e.presence == loaded {
			e.presence = unknown
		}
	case engine.RefusedStale:
		a.lose()
	case engine.Unclear:
		a.unclear(e)
		e.presence = unknown
	}
	a.finished(e)
}

// lose drops the lease after the server refused its fence.
func (a *Account) lose() {
	if a.checksFences {
		a.SetLease(0)
	}
}

// StartUnload begins an unload order that is given now. It may be given for a
// model that is not loaded, to make sure.
func (a *Account) StartUnload(n domain.ModelName) error {
	if err := a.ready(); err != nil {
		return err
	}
	e := a.entry(n)
	if e.inFlight() {
		return OrderInFlight
	}
	e.unloads++
	a.started(e)
	return nil
}

// FinishUnload tells what became of an unload order.
func (a *Account) FinishUnload(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.unloads--
	switch s {
	case engine.Done:
		e.know(absent)
	case engine.RefusedStale:
		a.lose()
	case engine.RefusedBusy:
	default:
		e.presence = unknown
	}
	a.finished(e)
}

// StartAdapterLoad begins an order that loads an adapter on a loaded replica. The
// permit's size has room for every adapter of the model.
func (a *Account) StartAdapterLoad(n domain.ModelName) error {
	p, err := a.permitted(n)
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
	case a.FreeMemory()+a.counted(n, e) < max(p.Size, e.reserved):
		return NoMemory
	}
	e.reserved = max(p.Size, e.reserved)
	e.adapters++
	a.started(e)
	return nil
}

// FinishAdapterLoad tells what became of an adapter order.
func (a *Account) FinishAdapterLoad(n domain.ModelName, s engine.OrderStatus) {
	e := a.entry(n)
	e.adapters--
	switch s {
	case engine.Unclear:
		a.unclear(e)
	case engine.RefusedStale:
		a.lose()
	}
	a.finished(e)
}

// CanRelease tells whether a model's permit may be given back: its replica is
// certainly unloaded, and no order of this account or of an earlier owner can load it any
// more. It is false while this node knows of a doubt, even where the fold has cleared
// it since: the earlier owner may have loaded the model just before.
func (a *Account) CanRelease(n domain.ModelName) bool {
	p, permitted := a.permits[n]
	e := a.entries[n]
	if a.ready() != nil || !permitted || e == nil || e.held() || e.releasing {
		return false
	}
	return !slices.ContainsFunc(a.doubts, func(d fold.Doubt) bool { return p.AttachedAt < d.Until })
}

// StartRelease forbids loads while a PermitReleased is proposed.
func (a *Account) StartRelease(n domain.ModelName) bool {
	if !a.CanRelease(n) {
		return false
	}
	a.entry(n).releasing = true
	return true
}

// CancelRelease allows loads again after the fold rejected the release, or where
// it certainly was not proposed. An accepted release shows in SetPermits.
func (a *Account) CancelRelease(n domain.ModelName) {
	a.entry(n).releasing = false
}
