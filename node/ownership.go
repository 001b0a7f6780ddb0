package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/rendezvous"
	"github.com/parsleylug/parsleylug/verdict"
	"github.com/parsleylug/parsleylug/vmlist"
)

const (
	// leaseReconcileInterval is how often a node compares the leases with the members.
	leaseReconcileInterval = 250 * time.Millisecond
	// leaseTakeoverDelay is how long the owner of a server must be missing from this node's
	// members before its lease is taken over. A node that has just started does not see
	// every live node yet.
	leaseTakeoverDelay = time.Second
	// stableViewDuration is how long the members must be unchanged before a lease moves
	// from a live owner to the node that rendezvous hashing selects.
	stableViewDuration = 5 * time.Second
	// liveLeaseCheckInterval is how often a node checks the leases of live owners. Hashing
	// every server is the most expensive part of a reconciliation.
	liveLeaseCheckInterval = 500 * time.Millisecond
	// leaseMoveInterval spaces the moves of leases of live owners at each node.
	leaseMoveInterval = 500 * time.Millisecond
	// viewKeyPrefix keeps nodes missing from the members apart from VMs missing from the
	// platform's list in missingSince.
	viewKeyPrefix = "view/"
	// proposalTimeout bounds the wait until a proposal is applied.
	proposalTimeout = 10 * time.Second
	// serverGoneDelay is how long a server must be off the platform's list before its lease
	// and permits are removed.
	serverGoneDelay = 5 * time.Second
	// ownerVMGoneDelay is how long the VM of an earlier owner must be off the platform's
	// list before its last orders count as lost. It is longer than a TCP peer keeps
	// unacknowledged data of a vanished host in flight.
	ownerVMGoneDelay = 2 * time.Minute
)

// LeaseManager acquires and holds the leases on backend servers: it takes those that
// rendezvous hashing assigns to this node and runs one serverController for each server it
// owns.
type LeaseManager struct {
	deps       *Deps
	paceClient *PaceClient

	mu          sync.Mutex
	controllers map[domain.ServerID]*serverController
	// retiring counts controllers that lost their lease and have not acknowledged it yet.
	retiring int
	// missingSince is when a VM was first missing from the platform's list, or a node,
	// under viewKeyPrefix, from the members.
	missingSince map[string]time.Time
	// lastMembers are the members last seen, membersSince is since when they are unchanged,
	// and lastMoveAt is when a lease was last taken from a live owner.
	lastMembers  []domain.NodeID
	membersSince time.Time
	lastMoveAt   time.Time
	// liveLeasesCheckedAt is when the leases of live owners were last checked. Only
	// reconcile uses it.
	liveLeasesCheckedAt time.Time
	controllersRunning  sync.WaitGroup
	doubtClock          doubtClock
}

// NewLeaseManager returns a LeaseManager that holds no lease.
func NewLeaseManager(d *Deps, p *PaceClient) *LeaseManager {
	return &LeaseManager{
		deps:         d,
		paceClient:   p,
		controllers:  make(map[domain.ServerID]*serverController),
		missingSince: make(map[string]time.Time),
	}
}

// Run acquires and renews leases until ctx ends, and returns when every controller has
// stopped.
func (m *LeaseManager) Run(ctx context.Context) {
	t := time.NewTicker(leaseReconcileInterval)
	defer t.Stop()
	defer m.controllersRunning.Wait()
	for {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.deps.State.Changed():
		}
	}
}

// reconcile matches the controllers with the leases and proposes the changes that this node
// is responsible for.
func (m *LeaseManager) reconcile(ctx context.Context) {
	leases := m.leases()
	m.doubtClock.observe(leases, time.Now())
	m.syncControllers(ctx, leases)
	if m.deps.IsLeaving() || !m.deps.HasSettledView() {
		return
	}
	records := m.leaseProposals(leases)
	records = append(records, m.renewalProposals()...)
	records = append(records, m.goneServerRecords(leases)...)
	records = append(records, m.goneOwnerRecords(leases)...)
	m.propose(ctx, records)
}

func (m *LeaseManager) leases() map[domain.ServerID]fold.Lease {
	out := make(map[domain.ServerID]fold.Lease)
	m.deps.State.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l
		}
	})
	return out
}

// leaseProposals returns the records for leases that this node should take. Most servers
// have a live owner and are skipped without hashing; their leases are checked for a move
// only every liveLeaseCheckInterval.
func (m *LeaseManager) leaseProposals(leases map[domain.ServerID]fold.Lease) []fold.Record {
	now := time.Now()
	checkLive := now.Sub(m.liveLeasesCheckedAt) >= liveLeaseCheckInterval
	if checkLive {
		m.liveLeasesCheckedAt = now
	}
	eligibility := m.deps.leaseEligibility()
	regions := make(map[domain.Region][]domain.NodeID)
	var out []fold.Record
	for _, v := range m.deps.Directory.OfKind(vmlist.Engine) {
		l, leased := leases[domain.ServerID(v.ID)]
		if leased && l.Owner == m.deps.nodeID() {
			continue
		}
		alive := leased && m.absenceOf(l.Owner, eligibility) < leaseTakeoverDelay
		if alive && !checkLive {
			continue
		}
		if _, ok := regions[v.Region]; !ok {
			regions[v.Region] = m.deps.leaseCandidates(v.Region)
		}
		if r, ok := m.leaseProposal(v, l, alive, regions[v.Region]); ok {
			out = append(out, r)
		}
	}
	return out
}

// leaseProposal returns the record for the lease of a server that this node does not own,
// if this node should take it. A live owner keeps its lease until the members have been
// unchanged for a while, so that a membership change alone moves nothing.
func (m *LeaseManager) leaseProposal(v vmlist.VM, l fold.Lease, alive bool, members []domain.NodeID) (fold.Record, bool) {
	s := domain.ServerID(v.ID)
	first, ok := rendezvous.First("server/"+v.ID, members)
	if !ok || first != m.deps.nodeID() || alive && !m.canMoveFromLiveOwner(l) {
		return nil, false
	}
	var expect domain.Fence
	m.deps.State.View(func(st *fold.State) { expect = st.LastFence(s) })
	facts := fold.ServerFacts{Memory: v.Memory, ChecksFences: v.ChecksFences, Region: v.Region, Zone: v.Zone}
	return fold.LeaseTaken{Server: s, Owner: m.deps.nodeID(), Expect: expect, Facts: facts}, true
}

// renewalProposals returns records that renew this node's own leases under a newer fencing
// token where the outcome of orders stays unknown: a barrier order under the new token
// settles them.
func (m *LeaseManager) renewalProposals() []fold.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []fold.Record
	for s, c := range m.controllers {
		if c.needsNewFence(time.Now()) {
			out = append(out, fold.LeaseTaken{Server: s, Owner: m.deps.nodeID(), Expect: c.lease.Fence, Facts: c.lease.Facts})
		}
	}
	return out
}

// canMoveFromLiveOwner reports whether this node may take a lease from its live owner now.
// Leases move one at a time, only while the members are unchanged for a while, and not
// while the server loads a model or earlier orders have an unknown outcome.
func (m *LeaseManager) canMoveFromLiveOwner(l fold.Lease) bool {
	now := time.Now()
	members := m.deps.activeNodes()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(members, m.lastMembers) {
		m.lastMembers, m.membersSince = members, now
	}
	if now.Sub(m.membersSince) < stableViewDuration || now.Sub(m.lastMoveAt) < leaseMoveInterval || len(l.Doubts) > 0 {
		return false
	}
	r, seen := m.deps.Reports.CurrentReport(l.Server, now)
	if !seen || slices.ContainsFunc(r.Models, func(m peer.ModelReport) bool { return m.Loading }) {
		return false
	}
	m.lastMoveAt = now
	return true
}

// absenceOf returns how long a node has been missing from the members. A leaving or drained
// node counts as missing for leaseTakeoverDelay from the start. eligibility holds the
// members and whether each may hold leases.
func (m *LeaseManager) absenceOf(n domain.NodeID, eligibility map[domain.NodeID]bool) time.Duration {
	eligible, alive := eligibility[n]
	missing := m.missingDuration(viewKeyPrefix+string(n), alive)
	if alive && !eligible {
		return leaseTakeoverDelay
	}
	return missing
}

// goneServerRecords returns records that remove leased servers which have been off the
// platform's list for serverGoneDelay.
func (m *LeaseManager) goneServerRecords(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !m.deps.Directory.WasRead() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		_, listed := m.deps.Directory.Server(s)
		if m.missingDuration(string(s), listed) < serverGoneDelay || m.isResponding(s) {
			continue
		}
		if first, ok := rendezvous.First("gone/"+string(s), m.deps.activeNodes()); ok && first == m.deps.nodeID() {
			out = append(out, fold.ServerGone{Server: s, Fence: l.Fence})
		}
	}
	return out
}

// isResponding reports whether a server still responds to its owner. The platform's list
// may lose a live server, whose replicas must go on counting.
func (m *LeaseManager) isResponding(s domain.ServerID) bool {
	_, alive := m.deps.Reports.ResponsiveReport(s, time.Now())
	return alive
}

// goneOwnerRecords returns records that clear the doubts about earlier owners whose VM left
// the platform's list.
func (m *LeaseManager) goneOwnerRecords(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !m.deps.Directory.WasRead() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		if l.Owner != m.deps.nodeID() {
			continue
		}
		for _, d := range l.Doubts {
			listed := m.deps.Directory.ListsNode(d.Owner) || m.deps.Mesh.IsAlive(d.Owner)
			if m.missingDuration(string(d.Owner), listed) < ownerVMGoneDelay {
				continue
			}
			out = append(out, fold.DoubtCleared{Server: s, Fence: l.Fence, Proof: fold.OwnerVMGone, Earlier: d.Fence})
		}
	}
	return out
}

// missingDuration returns how long a VM or node has been missing without interruption.
func (m *LeaseManager) missingDuration(id string, listed bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if listed {
		delete(m.missingSince, id)
		return 0
	}
	since, ok := m.missingSince[id]
	if !ok {
		m.missingSince[id] = time.Now()
		return 0
	}
	return time.Since(since)
}

func (m *LeaseManager) propose(ctx context.Context, records []fold.Record) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if _, err := m.deps.State.Propose(ctx, records...); err != nil {
		m.deps.Logger.Warn().Err(err).Str("Event", "LeaseProposalFailed").Int("Records", len(records)).Msg("lease records could not be appended; retrying")
	}
}

// syncControllers starts and stops controllers so that they match the leases.
func (m *LeaseManager) syncControllers(ctx context.Context, leases map[domain.ServerID]fold.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, c := range m.controllers {
		if l, ok := leases[s]; ok && l.Owner == m.deps.nodeID() && l.Fence == c.lease.Fence {
			continue
		}
		c.loseLease()
		m.retiring++
		delete(m.controllers, s)
	}
	for s, l := range leases {
		if l.Owner != m.deps.nodeID() || m.controllers[s] != nil {
			continue
		}
		c := newServerController(m.deps, m.paceClient, l)
		m.controllers[s] = c
		m.controllersRunning.Add(1)
		go func() {
			defer m.controllersRunning.Done()
			c.run(ctx)
			m.controllerFinished(c)
		}()
	}
}

// controllerFinished counts down the retiring controllers.
func (m *LeaseManager) controllerFinished(c *serverController) {
	if !c.hasLostLease() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retiring--
}

// OwnedServers returns the servers that this node owns now.
func (m *LeaseManager) OwnedServers() []domain.ServerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.controllers))
}

// HasHandedOver reports whether this node owns no server and has acknowledged every lost
// lease.
func (m *LeaseManager) HasHandedOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.controllers) == 0 && m.retiring == 0
}

func (m *LeaseManager) controller(s domain.ServerID) (*serverController, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.controllers[s]; c != nil {
		return c, nil
	}
	return nil, verdict.Refuse(verdict.NoCapacity, "this node does not own the backend server")
}

// Load loads a model on an owned server, for a peer's coordinator or this node's own.
func (m *LeaseManager) Load(ctx context.Context, l peer.Load) (peer.Loaded, error) {
	c, err := m.controller(l.Server)
	if err != nil {
		return peer.Loaded{}, err
	}
	start := time.Now()
	if err := c.ensureLoaded(ctx, l); err != nil {
		return peer.Loaded{}, err
	}
	return peer.Loaded{Server: l.Server, Model: l.Model, LoadTime: time.Since(start)}, nil
}

// ReleasePermit releases an unused permit of an owned server.
func (m *LeaseManager) ReleasePermit(ctx context.Context, r peer.ReleasePermit) error {
	c, err := m.controller(r.Server)
	if err != nil {
		return err
	}
	return c.releaseUnloaded(ctx, r.Model)
}
