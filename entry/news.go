package entry

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// storeUpdateLife is how long a store update stays fresh, in read intervals of
	// the owner.
	storeUpdateLife = 1.6
	// pollCheckInterval is how often a pending poll for a configuration is checked
	// against the owner's store updates. A poll that is behind at two checks in a
	// row has lost its response.
	pollCheckInterval = 250 * time.Millisecond
	// maximumReadGap is the longest time between reads of the registrations even if
	// the owner sees no change: the store keeps its history for a limited time only.
	maximumReadGap = 8 * time.Second
)

// storeUpdates holds the latest store update of the owner. With it the other nodes
// read only the parts of the store that have changed.
type storeUpdates struct {
	// readAt is when the owner last reported a read of the registrations; zero if it
	// has not since this node linked.
	readAt time.Time
	// StoreUpdate holds the offsets up to which the owner saw changes.
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
		n.storeUpdates.readAt = now
	}
	u.RegistrationsRead = false
	if u == n.storeUpdates.StoreUpdate {
		return
	}
	n.storeUpdates.StoreUpdate = u
	n.storeUpdates.notify()
}

// notify wakes the goroutines that wait for a change.
func (s *storeUpdates) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeUpdateTimeLeft returns how long the owner's store update stays fresh; 0 if
// it is not. The caller holds mu.
func (n *Node) storeUpdateTimeLeft(now time.Time) time.Duration {
	if n.storeUpdates.readAt.IsZero() {
		return 0
	}
	return max(0, time.Duration(storeUpdateLife*float64(n.RegistrationsInterval))-now.Sub(n.storeUpdates.readAt))
}

// hasFreshStoreUpdate reports whether the owner's store update is fresh. The caller holds
// mu.
func (n *Node) hasFreshStoreUpdate(now time.Time) bool { return n.storeUpdateTimeLeft(now) > 0 }

// mustReadRegistrations reports whether this node must read the registrations,
// which it last read up to cursor, at lastRead.
func (n *Node) mustReadRegistrations(now time.Time, cursor domain.Offset, lastRead time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fence != 0 || !n.hasFreshStoreUpdate(now) || !n.serversSeen || cursor < n.storeUpdates.RegistrationsOffset || now.Sub(lastRead) >= maximumReadGap
}

// configurationPollWait returns how long a poll may wait for a new configuration.
func (n *Node) configurationPollWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasFreshStoreUpdate(time.Now()) && n.config != nil {
		return longPollWait
	}
	return pollWait
}

// storeUpdateChange returns a channel that is closed when a store update shows a
// change or the link to the owner is lost.
func (n *Node) storeUpdateChange() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeUpdates.changed
}

// cancelLostPoll cancels a poll for a configuration after cursor whose response
// may be lost: the owner has seen a newer configuration, or its store updates have
// stopped and the poll exceeds pollWait.
func (n *Node) cancelLostPoll(ctx context.Context, cancel context.CancelFunc, cursor domain.Offset) {
	start := time.Now()
	missedBefore := false
	for pause.For(ctx, pollCheckInterval, nil) {
		n.mu.Lock()
		now := time.Now()
		missed := n.storeUpdates.ConfigurationOffset > cursor
		timedOut := !n.hasFreshStoreUpdate(now) && now.Sub(start) > pollWait
		n.mu.Unlock()
		if missed && missedBefore || timedOut {
			cancel()
			return
		}
		missedBefore = missed
	}
}

// broadcastStoreUpdate sends the other nodes the offsets of the last changes seen
// in the store, if this node is the owner. The parameter read is true if it has
// just read the registrations. The caller holds mu.
func (n *Node) broadcastStoreUpdate(read bool) {
	if n.fence == 0 {
		return
	}
	u := hub.Update{Store: hub.StoreUpdate{ConfigurationOffset: n.configurationOffset, RegistrationsOffset: n.registrationsOffset, RegistrationsRead: read}}
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "NewsFailed").Err(err).Msg("failed to encode a store update for the other nodes")
	}
}
