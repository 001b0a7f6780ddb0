package fleet

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// addMissing returns the changes of a listing whose end offset is end, and the removals of the servers
// missing from it.
func (d *Directory) addMissing(listed []Change, end domain.Offset) []Change {
	isListed := make(map[domain.ServerID]bool, len(listed))
	for _, c := range listed {
		isListed[c.ID] = true
	}
	changes := listed
	for id, e := range d.entries {
		if isListed[id] || e.offset >= end || !e.removedAt.IsZero() {
			continue
		}
		e.isLost = e.offset.Era() < end.Era()
		changes = append(changes, Change{ID: id, Offset: max(e.offset, domain.OffsetIn(end.Era(), 0))})
	}
	return changes
}

// mayBeRewritten reports whether the store has lost the registration so recently that the server may
// still write it again.
func (e *entry) mayBeRewritten(now time.Time) bool {
	return e.isLost && now.Sub(e.removedAt) < reregistrationWindow
}

// isOutdated reports whether a change is the registration of a server that the restored store
// still has, though the server has left or begun to drain since: its removal, or its record with the
// state Draining, is among what the store lost. The copy has all records that it kept at the positions
// at which this node knew them, so only the first record of an era can be old, and only at a position
// up to the last one known. A new record may be there too, because positions are assigned again; it
// then counts as old, and the server is used after its next record.
func (e *entry) isOutdated(c Change) bool {
	if c.Server == nil || e.server == nil || e.isLost || c.Offset.Era() <= e.offset.Era() {
		return false
	}
	isSameProcess := e.server.EngineState.StartedAtMs == c.Server.EngineState.StartedAtMs
	hasLeft := !e.removedAt.IsZero() || e.isDraining && c.Server.State != Draining
	return isSameProcess && hasLeft && c.Offset.Position() <= e.registeredAt.Position()
}
