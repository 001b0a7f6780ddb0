package fleet

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// reregistrationWindow is the time that servers have to register again after an
	// outage of the store in which their registrations expired.
	reregistrationWindow = 2 * time.Second
	// removalRetention is how long the directory keeps the entry of a removed server.
	removalRetention = time.Minute
)

// entry is the directory entry of one server.
type entry struct {
	// offset is the offset of the latest change applied.
	offset domain.Offset
	// server is the last valid registration, registeredAt its offset.
	server       *Server
	registeredAt domain.Offset
	// removedAt is when the removal of the registration was applied; zero while the
	// registration exists.
	removedAt time.Time
	// isDraining means that the last registration was in the state Draining. A later
	// removal is then not explained by an outage of the store.
	isDraining bool
	// isLost means that the registration was missing when the store came back from an older copy.
	isLost bool
}

// Directory is a node's view of the registered backend servers. The zero Directory
// is empty. It is not safe for concurrent use.
type Directory struct {
	// DoubtWindow is how long a removed server stays usable if the store was away for other nodes
	// only. The server may be among those for which it was away, or have left; it must then
	// get no request later than its drain bound after the removal, which this node has read late.
	DoubtWindow time.Duration

	entries map[domain.ServerID]*entry
	// storeFailedAt is when the store was last away for this node, as far as its calls tell, and
	// outageBeganAt when the first call of this outage failed; isAway is true if no call has succeeded
	// since. storeDoubtedAt is when the store was last away for another node.
	storeFailedAt, outageBeganAt, storeDoubtedAt time.Time
	isAway                                       bool
}

// RecordStoreFailure records that a call to the store got no response at now. Failures within
// reregistrationWindow of each other are one outage.
func (d *Directory) RecordStoreFailure(now time.Time) {
	if !d.isAway && now.Sub(d.storeFailedAt) >= reregistrationWindow {
		d.outageBeganAt = now
	}
	d.storeFailedAt, d.isAway = now, true
}

// RecordStoreSuccess records that a call to the store succeeded at now. If one failed before, the
// store may have been away until now.
func (d *Directory) RecordStoreSuccess(now time.Time) {
	if d.isAway {
		d.storeFailedAt, d.isAway = now, false
	}
}

// RecordStoreDoubt records that the store was away for another node at a time, or had no room for a
// call of this one.
func (d *Directory) RecordStoreDoubt(at time.Time) { d.storeDoubtedAt = later(d.storeDoubtedAt, at) }

// StoreFailedAt returns when the store was last away for this node, as far as its calls tell; zero for never.
func (d *Directory) StoreFailedAt() time.Time { return d.storeFailedAt }

// StoreDoubtedAt returns when the store was last away for another node as far as this one was told; zero for never.
func (d *Directory) StoreDoubtedAt() time.Time { return d.storeDoubtedAt }

// Apply applies registration changes and returns the servers whose state changed. It
// ignores a change whose offset is lower than the offset of the last change applied to
// the same server.
func (d *Directory) Apply(now time.Time, changes []Change) []domain.ServerID {
	if d.entries == nil {
		d.entries = map[domain.ServerID]*entry{}
	}
	var changed []domain.ServerID
	for _, c := range changes {
		if d.applyChange(now, c) {
			changed = append(changed, c.ID)
		}
	}
	d.deleteOldRemovals(now)
	return changed
}

func (d *Directory) applyChange(now time.Time, c Change) bool {
	e := d.entries[c.ID]
	if e == nil {
		if c.Server == nil {
			return false
		}
		e = &entry{}
		d.entries[c.ID] = e
	}
	if e.server != nil && c.Offset < e.offset {
		return false
	}
	isOutdated := e.isOutdated(c)
	e.offset = c.Offset
	if isOutdated {
		return false
	}
	if c.Server == nil {
		if e.removedAt.IsZero() {
			e.removedAt = now
			return true
		}
		return false
	}
	changed := e.server == nil || !e.removedAt.IsZero() || registrationDiffers(e.server, c.Server)
	e.removedAt, e.isLost = time.Time{}, false
	e.isDraining = c.Server.State == Draining
	e.server, e.registeredAt = c.Server, c.Offset
	return changed
}

// registrationDiffers reports whether two registrations differ in state, address,
// service, process or in whether the server warms up. It does not compare the loaded
// models, which nodes receive from the owner.
func registrationDiffers(a, b *Server) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service ||
		a.EngineState.StartedAtMs != b.EngineState.StartedAtMs || (a.WarmUpRemaining > 0) != (b.WarmUpRemaining > 0)
}

// ApplyListing applies a complete listing of the registrations; end is the end offset of
// the log when the listing was read. Servers missing from the listing are removed unless
// they registered at end or later.
func (d *Directory) ApplyListing(now time.Time, listed []Change, end domain.Offset) []domain.ServerID {
	return d.Apply(now, d.addMissing(listed, end))
}

func (d *Directory) deleteOldRemovals(now time.Time) {
	for id, e := range d.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removalRetention {
			delete(d.entries, id)
		}
	}
}

// Usable returns the servers to which new requests may be sent at now. Registrations expire while the
// store is away. So servers whose registrations were removed recently are usable while calls of this node to the store
// failed lately, and for DoubtWindow if calls of others did. The number of removals tells nothing: a zone
// that is drained and servers that crash beside others that leave look the same. Usable
// includes the servers whose registrations the store lost when it came back from an older copy.
func (d *Directory) Usable(now time.Time) []*Server {
	servers := make([]*Server, 0, len(d.entries))
	for _, e := range d.entries {
		if e.server == nil || e.isDraining {
			continue
		}
		if e.removedAt.IsZero() || d.mayReregister(now, e) || e.mayBeRewritten(now) {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// Find returns the last valid registration of a server, also if it was removed within
// removalRetention.
func (d *Directory) Find(id domain.ServerID) (*Server, bool) {
	e := d.entries[id]
	if e == nil || e.server == nil {
		return nil, false
	}
	return e.server, true
}

// Changes returns the last change of each of some servers that the directory has an entry of.
func (d *Directory) Changes(ids []domain.ServerID) []Change {
	var changes []Change
	for _, id := range ids {
		e := d.entries[id]
		if e == nil {
			continue
		}
		c := Change{ID: id, Offset: e.offset}
		if e.removedAt.IsZero() {
			c.Server = e.server
		}
		changes = append(changes, c)
	}
	return changes
}

// IsStable reports whether the result of Usable depends on the changes alone and no
// longer on the time. It stays false for twice reregistrationWindow after a removal, so
// that a caller that polls it calls Usable again after the window has ended.
func (d *Directory) IsStable(now time.Time) bool {
	for _, e := range d.entries {
		if !e.removedAt.IsZero() && now.Sub(later(e.removedAt, d.storeFailedAt)) < 2*reregistrationWindow {
			return false
		}
	}
	return true
}

// mayReregister reports whether the registration of a removed server may have expired because the store
// was away, so that the server registers again soon. That of a server that drained was removed for another
// reason.
func (d *Directory) mayReregister(now time.Time, e *entry) bool {
	if now.Sub(d.storeFailedAt) < reregistrationWindow && !e.removedAt.Before(d.outageBeganAt) {
		return true
	}
	wasAwayForOthers := now.Sub(d.storeDoubtedAt) < reregistrationWindow
	return wasAwayForOthers && now.Sub(e.removedAt) < d.DoubtWindow
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
