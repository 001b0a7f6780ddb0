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
	// ownershipInterval is how often a node looks for servers to own.
	ownershipInterval = 250 * time.Millisecond
	// leaseTakeoverDelay is how long the owner of a server must be out of this node's
	// view before the lease is taken. A view that has just begun lacks nodes that
	// are alive.
	leaseTakeoverDelay = time.Second
	// stableViewDuration is how long the members must be the same before a lease moves
	// from a live node to the one that hashing wants.
	stableViewDuration = 5 * time.Second
	// liveLeaseCheckInterval is how often a node looks for such leases. Hashing every server is
	// the dearest part of a step.
	liveLeaseCheckInterval = 500 * time.Millisecond
	// leaseMoveInterval spaces such moves at each node.
	leaseMoveInterval = 500 * time.Millisecond
	// viewKeyPrefix keeps the view's missing nodes apart from the list's.
	viewKeyPrefix = "view/"
	// proposalTimeout bounds one wait for the fold.
	proposalTimeout = 10 * time.Second
	// serverGoneDelay is how long a server must be off the platform's list before
	// its permits are given back.
	serverGoneDelay = 5 * time.Second
	// ownerVMGoneDelay is how long the VM of a doubted owner must be off the
	// platform's list before its last packets count as lost. It is longer than a
	// TCP peer keeps unacknowledged data of a vanished host in flight.
	ownerVMGoneDelay = 2 * time.Minute
)

// LeaseManager holds the leases of this node: it takes those that fall to it and
// runs one keeper for each server it owns.
type LeaseManager struct {
	deps *Deps
	pace *PaceClient

	mu          sync.Mutex
	controllers map[domain.ServerID]*serverController
	// retiring counts keepers that lost their lease and have not told so yet.
	retiring int
	// missingSince is since when the platform's list lacks a VM.
	missingSince map[string]time.Time
	// lastMembers are the members last seen, viewSince since when they are the same, and
	// movedAt when a lease was last taken from a live node.
	lastMembers  []domain.NodeID
	membersSince time.Time
	lastMoveAt   time.Time
	// liveLeasesCheckedAt is when leases of live owners were last looked at; only step uses it.
	liveLeasesCheckedAt time.Time
	controllersRunning  sync.WaitGroup
	doubtClock          doubtClock
}

// NewLeaseManager returns an Ownership without leases.
func NewLeaseManager(d *Deps, p *PaceClient) *LeaseManager {
	return &LeaseManager{
		deps:         d,
		pace:         p,
		controllers:  make(map[domain.ServerID]*serverController),
		missingSince: make(map[string]time.Time),
	}
}

// Run takes and keeps leases until ctx ends; it returns when every keeper has
// stopped.
func (o *LeaseManager) Run(ctx context.Context) {
	t := time.NewTicker(ownershipInterval)
	defer t.Stop()
	defer o.controllersRunning.Wait()
	for {
		o.reconcile(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.deps.State.Changed():
		}
	}
}

func (o *LeaseManager) reconcile(ctx context.Context) {
	leases := o.leases()
	o.doubtClock.observe(leases, time.Now())
	o.syncControllers(ctx, leases)
	if o.deps.IsLeaving() || !o.deps.HasSettledView() {
		return
	}
	records := o.leaseProposals(leases)
	records = append(records, o.renewalProposals()...)
	records = append(records, o.goneServerRecords(leases)...)
	records = append(records, o.goneOwnerRecords(leases)...)
	o.propose(ctx, records)
}

func (o *LeaseManager) leases() map[domain.ServerID]fold.Lease {
	out := make(map[domain.ServerID]fold.Lease)
	o.deps.State.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l
		}
	})
	return out
}

// leaseProposals returns the lease records that this node should propose. Most
// servers have a live owner and are passed over without hashing; whether such a
// lease is to move is looked at only now and then.
func (o *LeaseManager) leaseProposals(leases map[domain.ServerID]fold.Lease) []fold.Record {
	now := time.Now()
	look := now.Sub(o.liveLeasesCheckedAt) >= liveLeaseCheckInterval
	if look {
		o.liveLeasesCheckedAt = now
	}
	serving := o.deps.leaseEligibility()
	regions := make(map[domain.Region][]domain.NodeID)
	var out []fold.Record
	for _, v := range o.deps.Directory.OfKind(vmlist.Engine) {
		l, held := leases[domain.ServerID(v.ID)]
		if held && l.Owner == o.deps.nodeID() {
			continue
		}
		alive := held && o.absenceOf(l.Owner, serving) < leaseTakeoverDelay
		if alive && !look {
			continue
		}
		if _, ok := regions[v.Region]; !ok {
			regions[v.Region] = o.deps.leaseCandidates(v.Region)
		}
		if r, ok := o.leaseProposal(v, l, alive, regions[v.Region]); ok {
			out = append(out, r)
		}
	}
	return out
}

// leaseProposal returns the lease record that this node should propose for a server that
// it does not own. A live holder keeps its lease while the view of the members is
// young, so that a changed view moves nothing by itself.
func (o *LeaseManager) leaseProposal(v vmlist.VM, l fold.Lease, alive bool, members []domain.NodeID) (fold.Record, bool) {
	s := domain.ServerID(v.ID)
	first, ok := rendezvous.First("server/"+v.ID, members)
	if !ok || first != o.deps.nodeID() || alive && !o.canMoveFromLiveOwner(l) {
		return nil, false
	}
	var expect domain.Fence
	o.deps.State.View(func(st *fold.State) { expect = st.LastFence(s) })
	facts := fold.ServerFacts{Memory: v.Memory, ChecksFences: v.ChecksFences, Region: v.Region, Zone: v.Zone}
	return fold.LeaseTaken{Server: s, Owner: o.deps.nodeID(), Expect: expect, Facts: facts}, true
}

// renewalProposals takes this node's own lease again where orders without an answer stay
// in doubt: a barrier under the newer fence settles them.
func (o *LeaseManager) renewalProposals() []fold.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []fold.Record
	for s, k := range o.controllers {
		if k.needsNewFence(time.Now()) {
			out = append(out, fold.LeaseTaken{Server: s, Owner: o.deps.nodeID(), Expect: k.lease.Fence, Facts: k.lease.Facts})
		}
	}
	return out
}

// canMoveFromLiveOwner tells whether a lease may move from a live holder to this node,
// where hashing wants it. It does so one at a time and only in a view that has
// been the same for a while, and not while the server loads something.
func (o *LeaseManager) canMoveFromLiveOwner(l fold.Lease) bool {
	now := time.Now()
	members := o.deps.activeNodes()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Equal(members, o.lastMembers) {
		o.lastMembers, o.membersSince = members, now
	}
	if now.Sub(o.membersSince) < stableViewDuration || now.Sub(o.lastMoveAt) < leaseMoveInterval || len(l.Doubts) > 0 {
		return false
	}
	r, seen := o.deps.Reports.Current(l.Server, now)
	if !seen || slices.ContainsFunc(r.Models, func(m peer.ModelReport) bool { return m.Loading }) {
		return false
	}
	o.lastMoveAt = now
	return true
}

// absenceOf returns how long a node has not been among the live nodes that stay.
// A node that says itself that it leaves, or that is drained, is absent for long
// enough at once.
func (o *LeaseManager) absenceOf(n domain.NodeID, serving map[domain.NodeID]bool) time.Duration {
	stays, alive := serving[n]
	missing := o.missingDuration(viewKeyPrefix+string(n), alive)
	if alive && !stays {
		return leaseTakeoverDelay
	}
	return missing
}

// goneServerRecords returns records for leased servers that the platform's list has lacked
// for long enough.
func (o *LeaseManager) goneServerRecords(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !o.deps.Directory.WasRead() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		_, listed := o.deps.Directory.Server(s)
		if o.missingDuration(string(s), listed) < serverGoneDelay || o.isResponding(s) {
			continue
		}
		if first, ok := rendezvous.First("gone/"+string(s), o.deps.activeNodes()); ok && first == o.deps.nodeID() {
			out = append(out, fold.ServerGone{Server: s, Fence: l.Fence})
		}
	}
	return out
}

// isResponding tells whether a server that the list lacks still answers its owner. The
// list may lose a live server, whose replicas must go on counting.
func (o *LeaseManager) isResponding(s domain.ServerID) bool {
	_, alive := o.deps.Reports.Responsive(s, time.Now())
	return alive
}

// goneOwnerRecords clears the doubt about owners whose VM left the platform's list.
func (o *LeaseManager) goneOwnerRecords(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !o.deps.Directory.WasRead() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		if l.Owner != o.deps.nodeID() {
			continue
		}
		for _, d := range l.Doubts {
			listed := o.deps.Directory.ListsNode(d.Owner) || o.deps.Mesh.Alive(d.Owner)
			if o.missingDuration(string(d.Owner), listed) < ownerVMGoneDelay {
				continue
			}
			out = append(out, fold.DoubtCleared{Server: s, Fence: l.Fence, Proof: fold.OwnerVMGone, Earlier: d.Fence})
		}
	}
	return out
}

// missingDuration returns how long a VM or node has been missing without a break.
func (o *LeaseManager) missingDuration(id string, listed bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if listed {
		delete(o.missingSince, id)
		return 0
	}
	since, ok := o.missingSince[id]
	if !ok {
		o.missingSince[id] = time.Now()
		return 0
	}
	return time.Since(since)
}

func (o *LeaseManager) propose(ctx context.Context, records []fold.Record) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if _, err := o.deps.State.Propose(ctx, records...); err != nil {
		o.deps.Logger.Warn().Err(err).Str("Event", "LeaseProposalFailed").Int("Records", len(records)).Msg("leases wait for the log")
	}
}

// syncControllers starts and stops keepers so that they match the leases.
func (o *LeaseManager) syncControllers(ctx context.Context, leases map[domain.ServerID]fold.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s, k := range o.controllers {
		if l, ok := leases[s]; ok && l.Owner == o.deps.nodeID() && l.Fence == k.lease.Fence {
			continue
		}
		k.loseLease()
		o.retiring++
		delete(o.controllers, s)
	}
	for s, l := range leases {
		if l.Owner != o.deps.nodeID() || o.controllers[s] != nil {
			continue
		}
		k := newServerController(o.deps, o.pace, l)
		o.controllers[s] = k
		o.controllersRunning.Add(1)
		go func() {
			defer o.controllersRunning.Done()
			k.run(ctx)
			o.controllerFinished(k)
		}()
	}
}

// controllerFinished counts a keeper that has ended after it lost its lease.
func (o *LeaseManager) controllerFinished(k *serverController) {
	if !k.hasLostLease() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retiring--
}

// OwnedServers returns the servers that this node owns now.
func (o *LeaseManager) OwnedServers() []domain.ServerID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.controllers))
}

// HasHandedOver tells whether this node owns nothing and has told of every lease it lost.
func (o *LeaseManager) HasHandedOver() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.controllers) == 0 && o.retiring == 0
}

func (o *LeaseManager) controller(s domain.ServerID) (*serverController, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if k := o.controllers[s]; k != nil {
		return k, nil
	}
	return nil, verdict.Refuse(verdict.NoCapacity, "this node does not own the backend server")
}

// Load answers a peer's or the home's request to load a model on an owned server.
func (o *LeaseManager) Load(ctx context.Context, l peer.Load) (peer.Loaded, error) {
	k, err := o.controller(l.Server)
	if err != nil {
		return peer.Loaded{}, err
	}
	start := time.Now()
	if err := k.ensureLoaded(ctx, l); err != nil {
		return peer.Loaded{}, err
	}
	return peer.Loaded{Server: l.Server, Model: l.Model, Waited: time.Since(start)}, nil
}

// ReleasePermit answers a request to give back an unused permit.
func (o *LeaseManager) ReleasePermit(ctx context.Context, r peer.ReleasePermit) error {
	k, err := o.controller(r.Server)
	if err != nil {
		return err
	}
	return k.releaseUnloaded(ctx, r.Model)
}
