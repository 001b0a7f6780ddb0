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
	// maximumReadGap is the longest time between two reads of the registrations, even if the
	// owner has passed on all changes. A node whose last read is older than the store's history
	// lists all registrations.
	maximumReadGap = 45 * time.Second
	// maximumPassedChanges bounds the changes of registrations that the owner passes on in one
	// update. The other nodes read more than that in the store, which has more bandwidth.
	maximumPassedChanges = 64
)

// storeUpdates holds the latest store update of the owner. With it the other nodes
// read only the parts of the store that have changed.
type storeUpdates struct {
	// readReportedAt is when the owner last read the registrations as far as this node has been
	// told; zero if it has not.
	readReportedAt time.Time
	// StoreUpdate holds the offsets up to which the owner saw changes. Its fields about the
	// owner's last read are always zero; readReportedAt replaces them.
	hub.StoreUpdate
	// changed is closed when an offset changes or the link to the owner is lost.
	changed chan struct{}
}

// applyStoreUpdate records a store update from the owner. It ignores one of a former era, which says
// nothing of the restored store. The caller holds mu.
func (n *Node) applyStoreUpdate(now time.Time, u hub.StoreUpdate) {
	if u == (hub.StoreUpdate{}) || u.Era() < n.restoration.era {
		return
	}
	if u.RegistrationsRead {
		n.storeUpdates.readReportedAt = now.Add(-u.ReadAge)
	}
	isSameEra := n.registrationsKnown.Era() == u.ReadOffset.Era()
	if u.RegistrationsRead && n.serversSeen && isSameEra && n.registrationsKnown >= u.RegistrationsOffset {
		// What the owner has read beyond the last change that it passed on changes nothing here.
		n.registrationsKnown = max(n.registrationsKnown, u.ReadOffset)
	}
	u.RegistrationsRead, u.ReadAge, u.ReadOffset = false, 0, 0
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
	return max(0, n.storeUpdateLife()-now.Sub(n.storeUpdates.readReportedAt))
}

// storeUpdateLife returns how long a store update stays fresh.
func (n *Node) storeUpdateLife() time.Duration {
	return time.Duration(storeUpdateLifeIntervals * float64(n.RegistrationsInterval))
}

// hasFreshStoreUpdate reports whether the owner's store update is fresh. The caller holds
// mu.
func (n *Node) hasFreshStoreUpdate(now time.Time) bool { return n.storeUpdateTimeLeft(now) > 0 }

// mustReadRegistrations reports whether this node must read the registrations now. It last read
// them at lastRead.
func (n *Node) mustReadRegistrations(now, lastRead time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retainsLease() || !n.hasFreshStoreUpdate(now) || !n.serversSeen || n.registrationsKnown < n.storeUpdates.RegistrationsOffset || n.registrationsKnown.Era() < n.restoration.era || now.Sub(lastRead) >= maximumReadGap
}

// passedChanges returns what the owner passes on to the other nodes after it has read changes of
// some servers' registrations up to an offset. The caller holds mu.
func (n *Node) passedChanges(changed []domain.ServerID, offset domain.Offset) hub.RegistrationChanges {
	isSameEra := n.registrationsOffset.Era() == offset.Era()
	if len(changed) > maximumPassedChanges || !isSameEra {
		return hub.RegistrationChanges{}
	}
	return hub.RegistrationChanges{Previous: n.registrationsOffset, Offset: offset, Changes: n.directory.Changes(changed)}
}

// applyRegistrationChanges applies changes of registrations that the owner has read, if this node
// knows all changes before them. Otherwise it reads them in the store. The caller holds mu.
func (n *Node) applyRegistrationChanges(now time.Time, c hub.RegistrationChanges) {
	isSameEra := c.Offset.Era() == n.registrationsKnown.Era()
	if len(c.Changes) == 0 || !isSameEra || c.Previous > n.registrationsKnown || c.Offset <= n.registrationsKnown || !n.serversSeen {
		return
	}
	n.registrationsKnown = c.Offset
	// As the next owner, this node announces them to those that have missed them.
	n.registrationsOffset = max(n.registrationsOffset, c.Offset)
	n.logServerChanges(n.directory.Apply(now, c.Changes), n.applyUsable(now))
}

// storeUpdateChange returns a channel that is closed when a store update shows a
// change or the link to the owner is lost.
func (n *Node) storeUpdateChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeUpdates.changed
}

// storeUpdate returns the offsets of the last changes that this node has seen in the store. The
// caller holds mu.
func (n *Node) storeUpdate(registrationsRead bool) hub.StoreUpdate {
	u := hub.StoreUpdate{ConfigurationOffset: n.configurationOffset, RegistrationsOffset: n.registrationsOffset, RegistrationsRead: registrationsRead}
	if registrationsRead {
		u.ReadOffset = n.registrationsKnown
	}
	return u
}

// broadcastStoreUpdate sends the other nodes the offsets of the last changes that
// this node has seen in the store, if it is the owner. The parameter
// registrationsRead is true if this node has just read the registrations, and c has
// the changes that it found. The caller holds mu.
func (n *Node) broadcastStoreUpdate(registrationsRead bool, c hub.RegistrationChanges) {
	if !n.retainsLease() {
		return
	}
	u := hub.Update{Registrations: c, CandidateCount: n.countCandidates(), Store: n.storeUpdate(registrationsRead), Keys: n.newKeyUpdate(), StoreFailure: n.knownStoreFailure(time.Now())}
	if u.Store.ConfigurationOffset != n.announcedOffset {
		n.announcedOffset = u.Store.ConfigurationOffset
		n.Logger.Info().Str("Event", "ConfigurationAnnounced").Uint64("Offset", n.announcedOffset.Position()).Uint64("Era", uint64(n.announcedOffset.Era())).Int("Links", n.Hub.LinkCount()).
			Msg("announced a configuration to the linked nodes")
	}
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "NewsFailed").Err(err).Msg("failed to encode a store update for the other nodes")
	}
}
