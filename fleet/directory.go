package fleet

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// returnTime is how long the registrations that lapsed while the store was
	// away may take to come back after its return.
	returnTime = 2 * time.Second
	// lapseShare is the share of registrations whose loss within returnTime is
	// taken for a lapse, not for so many servers leaving.
	lapseShare = 0.34
	// removalsKept bounds how long a removal is remembered.
	removalsKept = time.Minute
)

// entry is what the directory keeps of one server.
type entry struct {
	offset domain.Offset
	// server is the last registration that could be used.
	server *Server
	// removed is when the registration went; zero while it stands.
	removed time.Time
	// left means that the server itself said that it leaves, so that no lapse
	// explains a later removal.
	left bool
}

// Directory is a node's view of the registered backend servers. The zero
// Directory is empty. It is not safe for concurrent use.
type Directory struct {
	entries map[domain.ServerID]*entry
	// troubled is when the store last failed to answer.
	troubled time.Time
}

// RecordStoreFailure notes that the store did not answer at now.
func (d *Directory) RecordStoreFailure(now time.Time) { d.troubled = now }

// Apply takes in changes. Changes that are older than what is known of a server
// are left out. It returns the servers whose state changed.
func (d *Directory) Apply(now time.Time, changes []Change) []domain.ServerID {
	if d.entries == nil {
		d.entries = map[domain.ServerID]*entry{}
	}
	var changed []domain.ServerID
	for _, c := range changes {
		if d.apply(now, c) {
			changed = append(changed, c.ID)
		}
	}
	d.forget(now)
	return changed
}

func (d *Directory) apply(now time.Time, c Change) bool {
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
		if e.removed.IsZero() {
			e.removed = now
			return true
		}
		return false
	}
	changed := e.server == nil || !e.removed.IsZero() || differs(e.server, c.Server)
	e.removed = time.Time{}
	e.left = c.Server.State == Draining
	e.server = c.Server
	return changed
}

// differs tells whether a registration says more than an earlier one for those who
// learn from the owner what the server has loaded.
func differs(a, b *Server) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service ||
		a.EngineState.StartedAtMs != b.EngineState.StartedAtMs || (a.WarmUpRemaining > 0) != (b.WarmUpRemaining > 0)
}

// ApplyListing takes in a listing of every registration, read when the log ended at
// end. A server that is known but not listed is gone, unless it registered after
// the listing.
func (d *Directory) ApplyListing(now time.Time, listed []Change, end domain.Offset) []domain.ServerID {
	present := make(map[domain.ServerID]bool, len(listed))
	for _, c := range listed {
		present[c.ID] = true
	}
	changes := listed
	for id, e := range d.entries {
		if !present[id] && e.offset < end && e.removed.IsZero() {
			changes = append(changes, Change{ID: id, Offset: e.offset})
		}
	}
	return d.Apply(now, changes)
}

func (d *Directory) forget(now time.Time) {
	for id, e := range d.entries {
		if !e.removed.IsZero() && now.Sub(e.removed) > removalsKept {
			delete(d.entries, id)
		}
	}
}

// Usable returns the servers that may be given new requests at now.
func (d *Directory) Usable(now time.Time) []*Server {
	lapsed := d.lapsed(now)
	servers := make([]*Server, 0, len(d.entries))
	for _, e := range d.entries {
		if e.server == nil || e.left {
			continue
		}
		mayReturn := lapsed && now.Sub(later(e.removed, d.troubled)) < returnTime
		if e.removed.IsZero() || mayReturn {
			servers = append(servers, e.server)
		}
	}
	return servers
}

// IsStable tells that what is usable does not change with time alone.
func (d *Directory) IsStable(now time.Time) bool {
	for _, e := range d.entries {
		if !e.removed.IsZero() && now.Sub(later(e.removed, d.troubled)) < 2*returnTime {
			return false
		}
	}
	return true
}

// lapsed tells whether recent removals are explained by an outage of the store
// rather than by servers that left.
func (d *Directory) lapsed(now time.Time) bool {
	if !d.troubled.IsZero() && now.Sub(d.troubled) < returnTime {
		return true
	}
	recent := 0
	for _, e := range d.entries {
		if !e.removed.IsZero() && now.Sub(e.removed) < returnTime {
			recent++
		}
	}
	return recent > 1 && float64(recent) >= lapseShare*float64(len(d.entries))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
