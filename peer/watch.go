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
	// spreadInterval bounds how often urgent news goes on between two ticks.
	spreadInterval = 20 * time.Millisecond
	// syncInterval is how often two neighbours compare their views while nothing
	// changes, changedSyncInterval while something does.
	syncInterval        = 10 * time.Second
	changedSyncInterval = time.Second
	// nearPing and farPing are how often a neighbour in the own and in another
	// region is pinged.
	nearPing = 500 * time.Millisecond
	farPing  = 2 * time.Second
	// pongTime is how long after a ping without a pong a new connection is tried.
	pongTime = 500 * time.Millisecond
	// silentTime is how long a link may owe a pong without a byte before it is
	// dropped.
	silentTime = 2 * time.Second
	// lateStep is the time between two ticks that shows that this process lacks
	// processor time; its failed connections prove nothing for busyTime then.
	lateStep = 3 * tickInterval
	busyTime = time.Second
	// idleTime is how long a link that is not to a neighbour stays without use.
	idleTime = time.Minute
)

// follow reads the platform's list again and again.
func (m *Mesh) follow(ctx context.Context) {
	if m.options.Seeds == nil {
		return
	}
	ticker := time.NewTicker(seedInterval)
	defer ticker.Stop()
	for {
		m.seed(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Mesh) seed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedInterval)
	defer cancel()
	members, err := m.options.Seeds(ctx)
	if err != nil {
		m.options.Logger.Warn().Str("Event", "VMListNotRead").Err(err).Msg("list of VMs cannot be read")
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.ApplyListing(time.Now(), members)
	m.publish()
}

func (m *Mesh) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.step(time.Now())
		}
	}
}

// step does what is due: links to neighbours, probes, pings and gossip.
func (m *Mesh) step(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Tick(now)
	paused := !m.lastStep.IsZero() && now.Sub(m.lastStep) > membership.PauseThreshold
	if !m.lastStep.IsZero() && now.Sub(m.lastStep) > lateStep {
		m.busyUntil = now.Add(busyTime)
	}
	m.lastStep = now
	neighbours := m.table.Neighbours()
	for _, n := range neighbours {
		if r := m.remote(n); r.best() == nil {
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
			r.excuse(now)
		}
		m.checkLinks(now, n, r, slices.Contains(neighbours, n))
	}
	m.metrics.links.Update(float64(links))
	m.sync(now, neighbours)
	m.publish()
	m.spread()
}

// excuse starts the watch of the links anew: this process was paused itself, so
// that silence proves nothing.
func (r *remote) excuse(now time.Time) {
	for _, l := range r.links {
		l.mu.Lock()
		l.readAt, l.pingAt = now, time.Time{}
		l.mu.Unlock()
	}
}

func (m *Mesh) checkLinks(now time.Time, n domain.NodeID, r *remote, neighbour bool) {
	interval := nearPing
	if u, ok := m.table.Lookup(n); ok && u.Member.Region != m.options.Self.Region {
		interval = farPing
	}
	patience := time.Duration(1 + m.table.HealthMultiplier())
	best := r.best()
	for _, l := range slices.Clone(r.links) {
		switch l.check(now, interval, patience, neighbour && l.dialled, l == best) {
		case linkFine:
		case linkDoubtful:
			m.startDial(n, r)
		case linkSilent:
			m.metrics.silent.Inc(1)
			go l.close()
		case linkIdle:
			go l.close()
		}
	}
}

type linkState int

const (
	linkFine linkState = iota
	// linkDoubtful links owe a pong; a new connection tells more.
	linkDoubtful
	// linkSilent links owe bytes for too long.
	linkSilent
	// linkIdle links are not needed any more.
	linkIdle
)

// check pings if it is time to and judges the link.
func (l *link) check(now time.Time, interval, patience time.Duration, keep, best bool) linkState {
	l.mu.Lock()
	defer l.mu.Unlock()
	watched := keep || len(l.calls) > 0
	if !l.pingAt.IsZero() {
		return l.overdue(now, patience)
	}
	if watched && now.Sub(l.lastPingAt) >= interval {
		l.pingAt, l.lastPingAt = now, now
		l.sendUrgent(wireFrame{}, Ping{Nonce: l.next})
		return linkFine
	}
	if !l.dialled && !l.pingedAt.IsZero() && now.Sub(l.readAt) > farPing+silentTime && l.neighbour(now.Add(-silentTime)) {
		l.pingAt, l.lastPingAt = now, now
		l.sendUrgent(wireFrame{}, Ping{Nonce: l.next})
		return linkFine
	}
	spare := l.dialled && !best && l.mesh.options.Self.Node > l.node
	idle := l.dialled && !keep && len(l.serving) == 0 && now.Sub(l.usedAt) > idleTime
	if len(l.calls) == 0 && (idle || spare && now.Sub(l.usedAt) > silentTime) {
		l.idleClose = true
		return linkIdle
	}
	return linkFine
}

func (l *link) overdue(now time.Time, patience time.Duration) linkState {
	silence := now.Sub(l.pingAt)
	if l.readAt.After(l.pingAt) {
		silence = now.Sub(l.readAt)
	}
	if silence >= silentTime*patience {
		return linkSilent
	}
	if silence >= pongTime*patience && !l.probed {
		l.probed = true
		return linkDoubtful
	}
	return linkFine
}

// neighbour tells whether either side pings the link. The caller holds mu.
func (l *link) neighbour(now time.Time) bool {
	last := l.lastPingAt
	if l.pingedAt.After(last) {
		last = l.pingedAt
	}
	return now.Sub(last) < farPing+silentTime
}

// spread passes fresh news to the neighbours. The caller holds mu.
func (m *Mesh) spread() {
	updates := m.table.TakeGossip()
	if len(updates) == 0 {
		return
	}
	frame, err := encodeFrame(wireFrame{}, Gossip{Updates: updates})
	if err != nil {
		return
	}
	now := time.Now()
	m.spreadAt = now
	for _, l := range m.allLinks() {
		l.mu.Lock()
		near := l.neighbour(now) || now.Sub(l.usedAt) < nearPing
		l.mu.Unlock()
		if near {
			l.out.pushUrgent(frame)
		}
	}
}

// sync compares views with one neighbour now and then, which repairs news that
// was lost. The caller holds mu.
func (m *Mesh) sync(now time.Time, neighbours []domain.NodeID) {
	if m.syncVersion != m.table.Version() && m.nextSync.After(now.Add(changedSyncInterval)) {
		m.nextSync = now.Add(changedSyncInterval)
	}
	if now.Before(m.nextSync) || len(neighbours) == 0 {
		return
	}
	m.nextSync = now.Add(syncInterval)
	m.syncVersion = m.table.Version()
	m.syncs++
	n := neighbours[m.syncs%len(neighbours)]
	if l := m.remote(n).best(); l != nil {
		l.sendUrgent(wireFrame{}, Compare{Digests: m.table.Digests()})
	}
}

func (m *Mesh) merge(updates []membership.Update) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Merge(time.Now(), updates)
	if m.table.HasUrgentGossip() && time.Since(m.spreadAt) >= spreadInterval {
		m.spread()
	}
}

// compare returns what this node knows where the other's view differs.
func (m *Mesh) compare(other membership.Digests) (Differs, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.table.Digests()
	if own == other {
		return Differs{}, false
	}
	return Differs{Updates: m.table.DifferingUpdates(other), Digests: own}, true
}

// lacking returns what the other node of a comparison still lacks.
func (m *Mesh) lacking(d Differs) (Differs, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if d.Digests == (membership.Digests{}) || d.Digests == m.table.Digests() {
		return Differs{}, false
	}
	return Differs{Updates: m.table.DifferingUpdates(d.Digests)}, true
}
