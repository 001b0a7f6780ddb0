package entry

import (
	"context"
	"maps"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// minimumRetryPause and maximumRetryPause bound the backoff after a failed call.
	minimumRetryPause = 100 * time.Millisecond
	maximumRetryPause = 800 * time.Millisecond
	// startupInterval is the first interval between reads while the node has no
	// configuration or no usable server; it grows to maximumStartupInterval.
	startupInterval        = 400 * time.Millisecond
	maximumStartupInterval = time.Second
)

// followServers keeps the directory of backend servers current. While the owner
// sends store updates, this node reads the registrations only after a change and
// at least every maximumReadGap.
func (n *Node) followServers(ctx context.Context) {
	var lastRead time.Time
	startupPause := startupInterval
	for ctx.Err() == nil {
		changed := n.storeUpdateChange()
		interval := n.RegistrationsInterval
		if n.mustReadRegistrations(time.Now(), lastRead) {
			changes, complete, next, err := n.Feed.Servers(ctx, n.registrationsCursor())
			if ctx.Err() != nil {
				return
			}
			if err == nil {
				lastRead = time.Now()
			}
			n.applyRegistrations(changes, complete, next, err)
			if err == nil && !n.hasSeenServers() {
				interval = startupPause
				startupPause = nextStartupInterval(startupPause)
			}
		} else {
			interval = min(interval, n.refreshUsable())
		}
		n.awaitStoreChange(ctx, interval, changed)
	}
}

// registrationsCursor returns the offset from which this node reads the registrations next.
func (n *Node) registrationsCursor() domain.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registrationsKnown
}

// awaitStoreChange waits for d, or until changed is closed by a store update or
// the store recovers.
func (n *Node) awaitStoreChange(ctx context.Context, d time.Duration, changed <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-n.storeRecovery():
	case <-changed:
	case <-t.C:
	}
}

// refreshUsable recomputes which servers are usable without reading the store: a
// server becomes unusable some time after its registration was removed. It
// returns the time until the owner's store update is no longer fresh, when this
// node must read the store.
func (n *Node) refreshUsable() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if !n.directory.IsStable(now) {
		n.applyUsable(now)
	}
	return n.storeUpdateTimeLeft(now)
}

// applyUsable passes the servers that are usable now to the planner and the
// published view, and returns their number. The planner does not get those that
// leave. The caller holds mu.
func (n *Node) applyUsable(now time.Time) int {
	usable := n.directory.Usable(now)
	n.planner.SetServers(now, n.withoutLeaving(usable))
	n.publishUsable(usable)
	return len(usable)
}

// nextStartupInterval returns the next, longer interval between reads at startup.
func nextStartupInterval(d time.Duration) time.Duration { return min(d*3/2, maximumStartupInterval) }

func (n *Node) hasSeenServers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.serversSeen
}

// applyRegistrations applies the result of a read of the registrations to the
// directory, the planner and the published view. If complete is set, the changes
// list every server; else only those that changed. The offset is the store's
// cursor after the read.
func (n *Node) applyRegistrations(changes []fleet.Change, complete bool, offset domain.Offset, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.recordStoreResult(now, "Servers", err)
	if err != nil {
		n.applyUsable(now)
		return
	}
	n.recordEra(now, offset.Era())
	if offset.Era() < n.restoration.era {
		return
	}
	var changed []domain.ServerID
	if complete {
		changed = n.directory.ApplyListing(now, changes, offset)
	} else {
		changed = n.directory.Apply(now, changes)
	}
	n.registrationsReadAt = now
	passed := n.passedChanges(changed, offset)
	if len(changed) > 0 || offset.Era() > n.registrationsOffset.Era() {
		n.registrationsOffset = offset
	}
	n.registrationsKnown = max(n.registrationsKnown, offset)
	n.Notices.Prune(now, n.directory.Find)
	n.broadcastStoreUpdate(true, passed)
	if n.retainsLease() {
		n.candidacy.RecordLinkedCandidates(n.Uptime.Now(), n.countCandidates())
	}
	n.dropStaleOverlay(changes, complete)
	usable := n.applyUsable(now)
	n.serversSeen = n.serversSeen || usable > 0
	n.logServerChanges(changed, usable)
	n.triggerPlan()
}

// dropStaleOverlay removes the engine states of a lost owner for which newer registrations were
// read. The caller holds mu.
func (n *Node) dropStaleOverlay(changes []fleet.Change, complete bool) {
	if !n.overlayStale || n.fence != 0 {
		return
	}
	if complete {
		n.overlay, n.overlayStale = nil, false
		return
	}
	n.overlay = maps.Clone(n.overlay)
	for _, c := range changes {
		delete(n.overlay, c.ID)
	}
}

// logServerChanges logs whose registrations changed; usable is the number of usable servers.
func (n *Node) logServerChanges(changed []domain.ServerID, usable int) {
	for _, id := range changed {
		n.Logger.Debug().Str("Event", "ServerChanged").Str("Server", string(id)).Int("Usable", usable).Msg("the registration of a backend server changed")
	}
}

// triggerPlan makes the owner plan without waiting for its interval.
func (n *Node) triggerPlan() {
	select {
	case n.planTrigger <- struct{}{}:
	default:
	}
}
