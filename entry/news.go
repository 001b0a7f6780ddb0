package entry

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
)

const (
	// storeUpdateLifeIntervals is how long a store update stays fresh, as a
	// multiple of Options.RegistrationsInterval.
	storeUpdateLifeIntervals = 1.6
	// maximumReadGap is the longest time between two reads of the registrations,
	// even if the owner reports no change, because the store keeps its history
	// for a limited time only.
	maximumReadGap = 8 * time.Second
)

// storeUpdates holds the latest store update of the owner. With it the other nodes
// read only the parts of the store that have changed.
type storeUpdates struct {
	// readReportedAt is when the owner last reported that it had read the
	// registrations; zero if it has not reported a read since this node linked.
	readReportedAt time.Time
	// StoreUpdate holds the offsets up to which the owner saw changes. Its field
	// RegistrationsRead is always false; readReportedAt replaces it.
	hub.StoreUpdate
	// changed is closed when an offset changes or the link to the owner is lost.
	changed chan struct{}
}

// applyStoreUpdate records a store update from the owner. The caller holds mu.
func (n *Node) applyStoreUpdate(now time.Time, u hub.StoreUpdate) {
	if u == (hub.StoreUpdate{}) {
		return
	}
	if u.RegistrationsRead {
		n.storeUpdates.readReportedAt = now
	}
	u.RegistrationsRead = false
	// A new owner may have read less than the one before.
	u.ConfigurationOffset = max(u.ConfigurationOffset, n.storeUpdates.ConfigurationOffset)
	if u == n.storeUpdates.StoreUpdate {
		return
	}
	n.storeUpdates.StoreUpdate = u
	n.updateBehind(now)
	n.storeUpdates.notify()
}

// notify wakes the goroutines that wait for a change.
func (s *storeUpdates) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeUpdateTimeLeft returns the time until the owner's store update is no
// longer fresh; 0 if it is not fresh now. The caller holds mu.
func (n *Node) storeUpdateTimeLeft(now time.Time) time.Duration {
	if n.storeUpdates.readReportedAt.IsZero() {
		return 0
	}
	return max(0, time.Duration(storeUpdateLifeIntervals*float64(n.RegistrationsInterval))-now.Sub(n.storeUpdates.readReportedAt))
}

// hasFreshStoreUpdate reports whether the owner's store update is fresh. The caller holds
// mu.
func (n *Node) hasFreshStoreUpdate(now time.Time) bool { return n.storeUpdateTimeLeft(now) > 0 }

// mustReadRegistrations reports whether this node must read the registrations
// now. It last read them at lastRead, up to the offset cursor.
func (n *Node) mustReadRegistrations(now time.Time, cursor domain.Offset, lastRead time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fence != 0 || !n.hasFreshStoreUpdate(now) || !n.serversSeen || cursor < n.storeUpdates.RegistrationsOffset || now.Sub(lastRead) >= maximumReadGap
}

// storeUpdateChange returns a channel that is closed when a store update shows a
// change or the link to the owner is lost.
func (n *Node) storeUpdateChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeUpdates.changed
}

// broadcastStoreUpdate sends the other nodes the offsets of the last changes that
// this node has seen in the store, if it is the owner. The parameter
// registrationsRead is true if this node has just read the registrations. The
// caller holds mu.
func (n *Node) broadcastStoreUpdate(registrationsRead bool) {
	if n.fence == 0 {
		return
	}
	u := hub.Update{Store: hub.StoreUpdate{ConfigurationOffset: n.configurationOffset, RegistrationsOffset: n.registrationsOffset, RegistrationsRead: registrationsRead}}
	if u.Store.ConfigurationOffset != n.announcedOffset {
		n.announcedOffset = u.Store.ConfigurationOffset
		n.Logger.Info().Str("Event", "ConfigurationAnnounced").Uint64("Offset", uint64(n.announcedOffset)).Int("Links", n.Hub.LinkCount()).
			Msg("announced a configuration to the linked nodes")
	}
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "NewsFailed").Err(err).Msg("failed to encode a store update for the other nodes")
	}
}
