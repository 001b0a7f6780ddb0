package entry

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// restoredSettleTime is the time after the return of the store from an older copy in which nothing
// that it lacks counts as nonexistent: the operator and the backend servers write again what was
// lost.
const restoredSettleTime = 2 * time.Second

// restoration is what a node knows of the era of the platform's store. The zero restoration has seen
// no response. Node.mu guards it.
type restoration struct {
	// era is the newest era seen, if isKnown is set.
	era     domain.Era
	isKnown bool
	// isRestored is set if the era has risen while this node ran; settledAt is then the uptime from
	// which on a missing configuration counts as nonexistent.
	isRestored bool
	settledAt  time.Duration
	// readVersion is the newest version of the configuration that was read in this era.
	readVersion fleet.Version
}

// recordEra records an era and reports whether the store was restored since the last one.
func (r *restoration) recordEra(uptime time.Duration, e domain.Era) bool {
	if r.isKnown && e <= r.era {
		return false
	}
	isRise := r.isKnown
	*r = restoration{era: e, isKnown: true, isRestored: isRise}
	if isRise {
		r.settledAt = uptime + restoredSettleTime
	}
	return isRise
}

// recordVersion records a read of the configuration in an era; c is nil if it returned none.
func (r *restoration) recordVersion(e domain.Era, c *fleet.Configuration) {
	if e == r.era && c != nil {
		r.readVersion = max(r.readVersion, c.Version)
	}
}

// mayConfirm reports whether a read at an uptime may show that a version is the newest one. The
// restored store may lack versions that other nodes have read before, which the operator then writes
// again.
func (r *restoration) mayConfirm(v fleet.Version, at time.Duration) bool {
	return !r.isRestored || at >= r.settledAt && r.readVersion >= v
}

// RecordStoreEra records the era of a response of the store. A rise means that the store was restored
// from an older copy: this node then reads everything again.
func (n *Node) RecordStoreEra(e domain.Era) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordEra(time.Now(), e)
}

// recordEra is RecordStoreEra for a caller that holds mu. The offsets of the former era need no reset:
// each of the new one is larger.
func (n *Node) recordEra(now time.Time, e domain.Era) {
	if n.restoration.isKnown && e <= n.restoration.era {
		return
	}
	previous := n.restoration.era
	n.lease.RecordEra(n.Uptime.Now(), e)
	if !n.restoration.recordEra(n.Uptime.Now(), e) {
		return
	}
	n.Logger.Warn().Str("Event", "StoreRestored").Uint64("Era", uint64(e)).Uint64("Previous", uint64(previous)).Int64("Version", int64(n.version())).
		Bool("Owner", n.fence != 0).Msg("the platform's store was restored from an older copy; this node reads it again")
	if n.Counters != nil {
		n.Counters.CountStoreRestoration()
	}
	n.lastOwners = ownerList{}
	n.forgetStoredLocked()
	n.keys.isConfirmed = false
	n.storeUpdates.notify()
	close(n.storeRecovered)
	n.storeRecovered = make(chan struct{})
	signal(n.renewTrigger)
	signal(n.traitsLost)
	n.updateBehind(now)
}

// storeEra returns the newest era of the store that this node has seen.
func (n *Node) storeEra() domain.Era {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.restoration.era
}

// isOfFormerEra reports whether an offset is of a former era of the store.
func (n *Node) isOfFormerEra(o domain.Offset) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return o.Era() < n.restoration.era
}
