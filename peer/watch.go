package peer

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
)

const (
	tickInterval = 100 * time.Millisecond
	seedInterval = 2 * time.Second
	// urgentGossipInterval is the minimum time since the last gossip after which
	// received urgent updates are passed on at once. Otherwise they wait for the next
	// tick.
	urgentGossipInterval = 20 * time.Millisecond
	// antiEntropyInterval is how often two neighbours compare their views while nothing
	// changes, changedAntiEntropyInterval while something does.
	antiEntropyInterval        = 10 * time.Second
	changedAntiEntropyInterval = time.Second
	// sameRegionPingInterval and crossRegionPingInterval are how often a neighbour in the
	// same and in another region is pinged.
	sameRegionPingInterval  = 500 * time.Millisecond
	crossRegionPingInterval = 2 * time.Second
	// pongTimeout is how long a link may receive no frames while a pong is outstanding
	// before a new connection is tried.
	pongTimeout = 500 * time.Millisecond
	// unresponsiveTimeout is how long a link may receive no frames while a pong is
	// outstanding before it is closed.
	unresponsiveTimeout = 2 * time.Second
	// lateTickThreshold is the interval between two ticks above which this process
	// lacks CPU time. The process then ignores its connection timeouts for
	// timeoutDistrustPeriod.
	lateTickThreshold     = 3 * tickInterval
	timeoutDistrustPeriod = time.Second
	// idleTimeout is how long an unused link to a node that is no neighbour stays open.
	idleTimeout = time.Minute
)

// pollSeeds reads the platform's list of VMs periodically.
func (m *Mesh) pollSeeds(ctx context.Context) {
	if m.options.Seeds == nil {
		return
	}
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for {
		m.readSeeds(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) readSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedInterval)
	defer cancel()
	members, err := m.options.Seeds(ctx)
	if err != nil {
		m.options.Logger.Warn().Str("Event", "VMListNotRead").Err(err).Msg("cannot read the platform's list of VMs")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.ApplyListing(time.Now(), members)
	m.publishMembers()
}

func (m *Mesh) runTicker(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.tick(time.Now())
		}
	}
}

// tick advances the membership table and does what is due: it dials neighbours and probed
// nodes, checks the links, compares views and sends gossip.
func (m *Mesh) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Tick(now)
	paused := !m.lastTickAt.IsZero() && now.Sub(m.lastTickAt) > membership.PauseThreshold
	if !m.lastTickAt.IsZero() && now.Sub(m.lastTickAt) > lateTickThreshold {
		m.distrustTimeoutsUntil = now.Add(timeoutDistrustPeriod)
	}
	m.lastTickAt = now
	neighbours := m.table.Neighbours()
	for _, n := range neighbours {
		if r := m.remote(n); r.newestLink() == nil {
			m.startDial(n, r)
		}
	}
	for _, n := range m.table.DueProbes(now) {
		m.startDial(n, m.remote(n))
	}
	links := 0
	for n, r := range m.remotes {
		if _, known := m.table.Lookup(n); !known && len(r.links) == 0 && !r.dialling {
			delete(m.remotes, n)
			continue
		}
		links += len(r.links)
		if paused {
			r.restartTimeouts(now)
		}
		m.checkLinks(now, n, r, slices.Contains(neighbours, n))
	}
	m.metrics.links.Update(float64(links))
	m.startAntiEntropy(now, neighbours)
	m.publishMembers()
	m.sendGossip()
}

// restartTimeouts restarts the timeouts of the links after this process itself was
// paused, since the missing bytes then say nothing about the peer.
func (r *remote) restartTimeouts(now time.Time) {
	for _, l := range r.links {
		l.mu.Lock()
		l.lastReadAt, l.unansweredPingAt = now, time.Time{}
		l.mu.Unlock()
	}
}

// checkLinks acts on the state of each link to a node.
func (m *Mesh) checkLinks(now time.Time, n domain.NodeID, r *remote, neighbour bool) {
	interval := sameRegionPingInterval
	if u, ok := m.table.Lookup(n); ok && u.Member.Region != m.options.Self.Region {
		interval = crossRegionPingInterval
	}
	multiplier := time.Duration(1 + m.table.HealthMultiplier())
	newest := r.newestLink()
	for _, l := range slices.Clone(r.links) {
		switch l.check(now, interval, multiplier, neighbour && l.dialled, l == newest) {
		case linkHealthy:
		case linkSuspect:
			m.startDial(n, r)
		case linkUnresponsive:
			m.metrics.unresponsiveLinks.Inc(1)
			go l.close()
		case linkIdle:
			go l.close()
		}
	}
}

type linkState int

const (
	linkHealthy linkState = iota
	// linkSuspect means that a pong is late; a new connection shows whether the node is
	// alive.
	linkSuspect
	// linkUnresponsive means that the link has received nothing for too long.
	linkUnresponsive
	// linkIdle means that the link is not needed any more.
	linkIdle
)

// check returns the state of the link and sends a ping if one is due.
func (l *link) check(now time.Time, interval, multiplier time.Duration, isNeighbour, isNewest bool) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed := isNeighbour || len(l.pendingCalls) > 0
	if !l.unansweredPingAt.IsZero() {
		return l.checkPong(now, multiplier)
	}
	if needed && now.Sub(l.lastPingSentAt) >= interval {
		l.unansweredPingAt, l.lastPingSentAt = now, now
		l.sendUrgent(wireFrame{}, Ping{Nonce: l.lastCallID})
		return linkHealthy
	}
	if !l.dialled && !l.lastPingReceivedAt.IsZero() && now.Sub(l.lastReadAt) > crossRegionPingInterval+unresponsiveTimeout && l.isNeighbourLink(now.Add(-unresponsiveTimeout)) {
		l.unansweredPingAt, l.lastPingSentAt = now, now
		l.sendUrgent(wireFrame{}, Ping{Nonce: l.lastCallID})
		return linkHealthy
	}
	redundant := l.dialled && !isNewest && l.mesh.options.Self.Node > l.node
	idle := l.dialled && !isNeighbour && len(l.cancelByCall) == 0 && now.Sub(l.lastUsedAt) > idleTimeout
	if len(l.pendingCalls) == 0 && (idle || redundant && now.Sub(l.lastUsedAt) > unresponsiveTimeout) {
		l.closedIdle = true
		return linkIdle
	}
	return linkHealthy
}

// checkPong returns the state of a link that waits for a pong. The caller holds mu.
func (l *link) checkPong(now time.Time, multiplier time.Duration) linkState {
	unresponsiveTime := now.Sub(l.unansweredPingAt)
	if l.lastReadAt.After(l.unansweredPingAt) {
		unresponsiveTime = now.Sub(l.lastReadAt)
	}
	if unresponsiveTime >= unresponsiveTimeout*multiplier {
		return linkUnresponsive
	}
	if unresponsiveTime >= pongTimeout*multiplier && !l.redialStarted {
		l.redialStarted = true
		return linkSuspect
	}
	return linkHealthy
}

// isNeighbourLink reports whether either node has pinged the other over the link
// recently, as neighbours do. The caller holds mu.
func (l *link) isNeighbourLink(now time.Time) bool {
	lastPingAt := l.lastPingSentAt
	if l.lastPingReceivedAt.After(lastPingAt) {
		lastPingAt = l.lastPingReceivedAt
	}
	return now.Sub(lastPingAt) < crossRegionPingInterval+unresponsiveTimeout
}

// sendGossip sends new membership updates over the links to neighbours and those in
// recent use. The caller holds mu.
func (m *Mesh) sendGossip() {
	updates := m.table.TakeGossip()
	if len(updates) == 0 {
		return
	}
	frame, err := encodeFrame(wireFrame{}, Gossip{Updates: updates})
	if err != nil {
		return
	}
	now := time.Now()
	m.lastGossipAt = now
	for _, l := range m.newestLinks() {
		l.mu.Lock()
		inUse := l.isNeighbourLink(now) || now.Sub(l.lastUsedAt) < sameRegionPingInterval
		l.mu.Unlock()
		if inUse {
			l.outbox.pushUrgent(frame)
		}
	}
}

// startAntiEntropy compares the views with one neighbour periodically, which repairs lost
// gossip. The caller holds mu.
func (m *Mesh) startAntiEntropy(now time.Time, neighbours []domain.NodeID) {
	if m.antiEntropyVersion != m.table.Version() && m.nextAntiEntropyAt.After(now.Add(changedAntiEntropyInterval)) {
		m.nextAntiEntropyAt = now.Add(changedAntiEntropyInterval)
	}
	if now.Before(m.nextAntiEntropyAt) || len(neighbours) == 0 {
		return
	}
	m.nextAntiEntropyAt = now.Add(antiEntropyInterval)
	m.antiEntropyVersion = m.table.Version()
	m.antiEntropyRounds++
	n := neighbours[m.antiEntropyRounds%len(neighbours)]
	if l := m.remote(n).newestLink(); l != nil {
		l.sendUrgent(wireFrame{}, Compare{Digests: m.table.Digests()})
	}
}

// mergeUpdates applies received updates. It gossips urgent updates at once unless it
// gossiped within urgentGossipInterval.
func (m *Mesh) mergeUpdates(updates []membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge(time.Now(), updates)
	if m.table.HasUrgentGossip() && time.Since(m.lastGossipAt) >= urgentGossipInterval {
		m.sendGossip()
	}
}

// diff returns this node's updates for the buckets that differ from the other node's
// view, and false if the views are equal.
func (m *Mesh) diff(other membership.Digests) (Differs, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	digests := m.table.Digests()
	if digests == other {
		return Differs{}, false
	}
	return Differs{Updates: m.table.DifferingUpdates(other), Digests: digests}, true
}

// missingUpdates returns the updates that the sender of a Differs lacks. It returns false
// if the views are equal now, or if the message is the second of the exchange.
func (m *Mesh) missingUpdates(d Differs) (Differs, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Digests == (membership.Digests{}) || d.Digests == m.table.Digests() {
		return Differs{}, false
	}
	return Differs{Updates: m.table.DifferingUpdates(d.Digests)}, true
}
