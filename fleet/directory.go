package fleet

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// reregistrationWindow is how long servers whose registrations expired during an
	// outage of the store may take to register again after the outage.
	reregistrationWindow = 2 * time.Second
	// massRemovalShare is the share of the registrations whose removal within
	// reregistrationWindow indicates an outage of the store rather than that many
	// servers leaving.
	massRemovalShare = 0.34
	// removalRetention is how long the directory keeps the entry of a removed server.
	removalRetention = time.Minute
)

// entry is the directory entry of one server.
type entry struct {
	offset domain.Offset
	// server is the last valid registration.
	server *Server
	// removedAt is when the registration was removed; zero while it exists.
	removedAt time.Time
	// announcedLeave means that the server registered as draining, so that an outage of
	// the store does not explain its removal.
	announcedLeave bool
}

// Directory is a node's view of the registered backend servers. The zero Directory
// is empty. It is not safe for concurrent use.
type Directory struct {
	entries map[domain.ServerID]*entry
	// storeFailedAt is when the store last failed to respond.
	storeFailedAt time.Time
}

// RecordStoreFailure records that a call to the store got no response at now.
func (d *Directory) RecordStoreFailure(now time.Time) { d.storeFailedAt = now }

// Apply applies registration changes and returns the servers whose state changed.
// It ignores a change with a lower offset than the last one of the same server.
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
	e.offset = c.Offset
	if c.Server == nil {
		if e.removedAt.IsZero() {
			e.removedAt = now
			return true
		}
		return false
	}
	changed := e.server == nil || !e.removedAt.IsZero() || registrationDiffers(e.server, c.Server)
	e.removedAt = time.Time{}
	e.announcedLeave = c.Server.State == Draining
	e.server = c.Server
	return changed
}

// registrationDiffers reports whether two registrations differ in state, address,
// service, process or whether the server warms up. Loaded models are not compared:
// nodes get these from the owner.
func registrationDiffers(a, b *Server) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service ||
		a.EngineState.StartedAtMs != b.EngineState.StartedAtMs || (a.WarmUpRemaining > 0) != (b.WarmUpRemaining > 0)
}

// ApplyListing applies a complete listing of the registrations, read when the log
// ended at end. Servers missing from the listing are removed unless they
// registered after it.
func (d *Directory) ApplyListing(now time.Time, listed []Change, end domain.Offset) []domain.ServerID {
	isListed := make(map[domain.ServerID]bool, len(listed))
	for _, c := range listed {
		isListed[c.ID] = true
	}
	changes := listed
	for id, e := range d.entries {
		if !isListed[id] && e.offset < end && e.removedAt.IsZero() {
			changes = append(changes, Change{ID: id, Offset: e.offset})
		}
	}
	return d.Apply(now, changes)
}

func (d *Directory) deleteOldRemovals(now time.Time) {
	for id, e := range d.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removalRetention {
			delete(d.entries, id)
		}
	}
}

// Usable returns the servers to which new requests may be sent at now.
func (d *Directory) Usable(now time.Time) []*Server {
	outage := d.isStoreOutageLikely(now)
	servers := make([]*Server, 0, len(d.entries))
	for _, e := range d.entries {
		if e.server == nil || e.announcedLeave {
			continue
		}
		mayReregister := outage && now.Sub(later(e.removedAt, d.storeFailedAt)) < reregistrationWindow
		if e.removedAt.IsZero() || mayReregister {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// IsStable reports whether Usable changes only through new changes, not through
// the passing of time. It stays false for twice reregistrationWindow, so that a
// caller that polls it calls Usable again after the window has ended.
func (d *Directory) IsStable(now time.Time) bool {
	for _, e := range d.entries {
		if !e.removedAt.IsZero() && now.Sub(later(e.removedAt, d.storeFailedAt)) < 2*reregistrationWindow {
			return false
		}
	}
	return true
}

// isStoreOutageLikely reports whether an outage of the store, rather than servers
// that left, explains the recent removals.
func (d *Directory) isStoreOutageLikely(now time.Time) bool {
	if !d.storeFailedAt.IsZero() && now.Sub(d.storeFailedAt) < reregistrationWindow {
		return true
	}
	recent := 0
	for _, e := range d.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) < reregistrationWindow {
			recent++
		}
	}
	return recent > 1 && float64(recent) >= massRemovalShare*float64(len(d.entries))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
