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
	// leaseReconcileInterval is the longest time between two reconciliations of the leases.
	// Each change of the replicated state also causes one.
	leaseReconcileInterval = 250 * time.Millisecond
	// leaseTakeoverDelay is how long the owner of a server must be missing from the live
	// members before this node takes over the lease. A node that has just started does not
	// see every live node yet.
	leaseTakeoverDelay = time.Second
	// stableViewDuration is how long the active nodes must be unchanged before a lease moves
	// from a live owner to the node that rendezvous hashing selects.
	stableViewDuration = 5 * time.Second
	// liveLeaseCheckInterval is how often a node checks the leases of live owners. Hashing
	// every server is the most expensive part of a reconciliation.
	liveLeaseCheckInterval = 500 * time.Millisecond
	// leaseMoveInterval is the shortest time between two leases that one node takes from
	// live owners.
	leaseMoveInterval = 500 * time.Millisecond
	// viewKeyPrefix marks the keys of missingSince that are nodes missing from the live
	// members. Keys without it are servers or nodes missing from the platform's list.
	viewKeyPrefix = "view/"
	// proposalTimeout bounds the wait until a proposal is applied.
	proposalTimeout = 10 * time.Second
	// serverGoneDelay is how long a server must be missing from the platform's list before
	// its lease and permits are removed.
	serverGoneDelay = 5 * time.Second
	// ownerVMGoneDelay is how long an earlier owner of a server must be missing from the
	// platform's list and from the live members before its last orders count as lost. It is
	// longer than data that a vanished host sent over TCP can stay in transit to the server.
	ownerVMGoneDelay = 2 * time.Minute
)

// LeaseManager acquires the leases on backend servers that rendezvous hashing assigns to
// this node, and runs one serverController for each server that the node owns. It also
// proposes the removal of servers that are gone and the clearing of doubts about earlier
// owners whose VM is gone.
type LeaseManager struct {
	deps       *Deps
	paceClient *PaceClient

	mu          sync.Mutex
	controllers map[domain.ServerID]*serverController
	// retiringControllers counts the controllers that lost their lease and still run, until
	// they have acknowledged the loss.
	retiringControllers int
	// missingSince holds when a server or earlier owner was first found missing from the
	// platform's list. Under viewKeyPrefix it holds when an owner was first found missing
	// from the live members.
	missingSince map[string]time.Time
	// lastMembers are the active nodes at the last call of reserveLeaseMove, unchanged since
	// membersUnchangedSince. lastMoveAt is when this node last took a lease from a live
	// owner.
	lastMembers           []domain.NodeID
	membersUnchangedSince time.Time
	lastMoveAt            time.Time
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

// Run reconciles the controllers and leases until ctx ends, and returns when every
// controller has returned.
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

// reconcile starts and stops controllers so that they match the leases, and proposes the
// changes of leases for which this node is responsible. A node that is leaving or has no
// complete view proposes none.
func (m *LeaseManager) reconcile(ctx context.Context) {
	leases := m.leases()
	m.doubtClock.observe(leases, time.Now())
	m.syncControllers(ctx, leases)
	if m.deps.IsLeaving() || !m.deps.HasCompleteView() {
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

// leaseProposals returns a record for each lease that this node should take. Most servers
// have a live owner. It checks those only every liveLeaseCheckInterval, because hashing each
// of them is expensive.
func (m *LeaseManager) leaseProposals(leases map[domain.ServerID]fold.Lease) []fold.Record {
	now := time.Now()
	checkLive := now.Sub(m.liveLeasesCheckedAt) >= liveLeaseCheckInterval
	if checkLive {
		m.liveLeasesCheckedAt = now
	}
	eligibility := m.deps.leaseEligibility()
	regions := make(map[domain.Region][]domain.NodeID)
	var out []fold.Record
	for _, v := range m.deps.Directory.VMsOfKind(vmlist.Engine) {
		l, leased := leases[domain.ServerID(v.ID)]
		if leased && l.Owner == m.deps.nodeID() {
			continue
		}
		ownerAlive := leased && m.trackOwnerAbsence(l.Owner, eligibility) < leaseTakeoverDelay
		if ownerAlive && !checkLive {
			continue
		}
		if _, ok := regions[v.Region]; !ok {
			regions[v.Region] = m.deps.leaseCandidates(v.Region)
		}
		if r, ok := m.leaseProposal(v, l, ownerAlive, regions[v.Region]); ok {
			out = append(out, r)
		}
	}
	return out
}

// leaseProposal returns the record that takes the lease of a server for this node. It
// returns false unless rendezvous hashing over members assigns the server to this node and,
// if the owner is alive, reserveLeaseMove permits the move.
func (m *LeaseManager) leaseProposal(v vmlist.VM, l fold.Lease, ownerAlive bool, members []domain.NodeID) (fold.Record, bool) {
	s := domain.ServerID(v.ID)
	assignee, ok := rendezvous.First("server/"+v.ID, members)
	if !ok || assignee != m.deps.nodeID() || ownerAlive && !m.reserveLeaseMove(l) {
		return nil, false
	}
	var lastFence domain.Fence
	m.deps.State.View(func(st *fold.State) { lastFence = st.LastFence(s) })
	facts := fold.ServerFacts{Memory: v.Memory, ChecksFences: v.ChecksFences, Region: v.Region, Zone: v.Zone}
	return fold.LeaseTaken{Server: s, Owner: m.deps.nodeID(), Expect: lastFence, Facts: facts}, true
}

// renewalProposals returns records that renew leases of this node under a newer fencing
// token, for the servers on which the outcome of orders stays unknown. After a barrier
// order under the new token, the earlier orders can no longer take effect.
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

// reserveLeaseMove reports whether this node may take a lease from its live owner now. If
// so, it records the time, and refuses other moves for leaseMoveInterval. A lease moves only
// after the active nodes have been unchanged for stableViewDuration, and not while the
// server loads a model or the lease has doubts about earlier owners.
func (m *LeaseManager) reserveLeaseMove(l fold.Lease) bool {
	now := time.Now()
	members := m.deps.activeNodes()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Equal(members, m.lastMembers) {
		m.lastMembers, m.membersUnchangedSince = members, now
	}
	if now.Sub(m.membersUnchangedSince) < stableViewDuration || now.Sub(m.lastMoveAt) < leaseMoveInterval || len(l.Doubts) > 0 {
		return false
	}
	r, seen := m.deps.Reports.UsableReport(l.Server, now)
	if !seen || slices.ContainsFunc(r.Models, func(m peer.ModelReport) bool { return m.Loading }) {
		return false
	}
	m.lastMoveAt = now
	return true
}

// trackOwnerAbsence returns how long the owner n has been missing from the live members, as
// trackMissing records it. A live owner that may not keep its leases, because it is leaving
// or drained, counts as missing for leaseTakeoverDelay. eligibility is the result of
// leaseEligibility.
func (m *LeaseManager) trackOwnerAbsence(n domain.NodeID, eligibility map[domain.NodeID]bool) time.Duration {
	eligible, alive := eligibility[n]
	absence := m.trackMissing(viewKeyPrefix+string(n), alive)
	if alive && !eligible {
		return leaseTakeoverDelay
	}
	return absence
}

// goneServerRecords returns records that remove leased servers which have been missing from
// the platform's list for serverGoneDelay and do not respond. For each server, rendezvous
// hashing selects the node that proposes its record.
func (m *LeaseManager) goneServerRecords(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !m.deps.Directory.WasRead() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		_, listed := m.deps.Directory.Server(s)
		if m.trackMissing(string(s), listed) < serverGoneDelay || m.isResponding(s) {
			continue
		}
		if assignee, ok := rendezvous.First("gone/"+string(s), m.deps.activeNodes()); ok && assignee == m.deps.nodeID() {
			out = append(out, fold.ServerGone{Server: s, Fence: l.Fence})
		}
	}
	return out
}

// isResponding reports whether a server still responds to its owner. A server that responds
// keeps its lease and permits even if it is missing from the platform's list.
func (m *LeaseManager) isResponding(s domain.ServerID) bool {
	_, alive := m.deps.Reports.AliveReport(s, time.Now())
	return alive
}

// goneOwnerRecords returns records that clear the doubts about earlier owners of this node's
// servers, if the earlier owner has been missing from the platform's list and from the live
// members for ownerVMGoneDelay.
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
			present := m.deps.Directory.ListsNode(d.Owner) || m.deps.Mesh.IsAlive(d.Owner)
			if m.trackMissing(string(d.Owner), present) < ownerVMGoneDelay {
				continue
			}
			out = append(out, fold.DoubtCleared{Server: s, Fence: l.Fence, Proof: fold.OwnerVMGone, EarlierFence: d.Fence})
		}
	}
	return out
}

// trackMissing records whether a VM or node is present now, and returns how long it has
// been missing without interruption. id is its key in missingSince.
func (m *LeaseManager) trackMissing(id string, present bool) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if present {
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

// syncControllers starts a controller for each lease of this node, and notifies the
// controllers whose lease this node no longer holds.
func (m *LeaseManager) syncControllers(ctx context.Context, leases map[domain.ServerID]fold.Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s, c := range m.controllers {
		if l, ok := leases[s]; ok && l.Owner == m.deps.nodeID() && l.Fence == c.lease.Fence {
			continue
		}
		c.loseLease()
		m.retiringControllers++
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

// controllerFinished decrements retiringControllers if the controller had lost its lease.
func (m *LeaseManager) controllerFinished(c *serverController) {
	if !c.hasLostLease() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.retiringControllers--
}

// OwnedServers returns the servers that this node owns now.
func (m *LeaseManager) OwnedServers() []domain.ServerID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.controllers))
}

// HasHandedOver reports whether this node owns no server and every controller that lost its
// lease has returned.
func (m *LeaseManager) HasHandedOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.controllers) == 0 && m.retiringControllers == 0
}

func (m *LeaseManager) controller(s domain.ServerID) (*serverController, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c := m.controllers[s]; c != nil {
		return c, nil
	}
	return nil, verdict.Refuse(verdict.NoCapacity, "this node does not own the backend server")
}

// Load loads a model, and its adapter if named, on a server that this node owns. The
// coordinator of the model requests it, from this node or another.
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

// ReleasePermit releases the permit of a model that is not loaded on a server that this node
// owns.
func (m *LeaseManager) ReleasePermit(ctx context.Context, r peer.ReleasePermit) error {
	c, err := m.controller(r.Server)
	if err != nil {
		return err
	}
	return c.releaseUnloaded(ctx, r.Model)
}
