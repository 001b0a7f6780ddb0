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
	// takeoverAfter is how long the owner of a server must be out of this node's
	// view before the lease is taken. A view that has just begun lacks nodes that
	// are alive.
	takeoverAfter = time.Second
	// stableView is how long the members must be the same before a lease moves
	// from a live node to the one that hashing wants.
	stableView = 5 * time.Second
	// lookInterval is how often a node looks for such leases. Hashing every server is
	// the dearest part of a step.
	lookInterval = 500 * time.Millisecond
	// moveInterval spaces such moves at each node.
	moveInterval = 500 * time.Millisecond
	// absentPrefix keeps the view's missing nodes apart from the list's.
	absentPrefix = "view/"
	// proposalTimeout bounds one wait for the fold.
	proposalTimeout = 10 * time.Second
	// goneAfter is how long a server must be off the platform's list before
	// its permits are given back.
	goneAfter = 5 * time.Second
	// ownerVMGoneAfter is how long the VM of a doubted owner must be off the
	// platform's list before its last packets count as lost. It is longer than a
	// TCP peer keeps unacknowledged data of a vanished host in flight.
	ownerVMGoneAfter = 2 * time.Minute
)

// Ownership holds the leases of this node: it takes those that fall to it and
// runs one keeper for each server it owns.
type Ownership struct {
	deps *Deps
	pace *PaceClient

	mu      sync.Mutex
	keepers map[domain.ServerID]*keeper
	// retiring counts keepers that lost their lease and have not told so yet.
	retiring int
	// missing is since when the platform's list lacks a VM.
	missing map[string]time.Time
	// view are the members last seen, viewSince since when they are the same, and
	// movedAt when a lease was last taken from a live node.
	view      []domain.NodeID
	viewSince time.Time
	movedAt   time.Time
	// lookedAt is when leases of live owners were last looked at; only step uses it.
	lookedAt time.Time
	wait     sync.WaitGroup
	doubts   doubtClock
}

// NewOwnership returns an Ownership without leases.
func NewOwnership(d *Deps, p *PaceClient) *Ownership {
	return &Ownership{
		deps:    d,
		pace:    p,
		keepers: make(map[domain.ServerID]*keeper),
		missing: make(map[string]time.Time),
	}
}

// Run takes and keeps leases until ctx ends; it returns when every keeper has
// stopped.
func (o *Ownership) Run(ctx context.Context) {
	t := time.NewTicker(ownershipInterval)
	defer t.Stop()
	defer o.wait.Wait()
	for {
		o.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-o.deps.Agreement.Changed():
		}
	}
}

func (o *Ownership) step(ctx context.Context) {
	leases := o.leases()
	o.doubts.see(leases, time.Now())
	o.follow(ctx, leases)
	if o.deps.Leaving() || !o.deps.Settled() {
		return
	}
	records := o.wantedLeases(leases)
	records = append(records, o.renewals()...)
	records = append(records, o.gone(leases)...)
	records = append(records, o.goneOwners(leases)...)
	o.propose(ctx, records)
}

func (o *Ownership) leases() map[domain.ServerID]fold.Lease {
	out := make(map[domain.ServerID]fold.Lease)
	o.deps.Agreement.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l
		}
	})
	return out
}

// wantedLeases returns the lease records that this node should propose. Most
// servers have a live owner and are passed over without hashing; whether such a
// lease is to move is looked at only now and then.
func (o *Ownership) wantedLeases(leases map[domain.ServerID]fold.Lease) []fold.Record {
	now := time.Now()
	look := now.Sub(o.lookedAt) >= lookInterval
	if look {
		o.lookedAt = now
	}
	serving := o.deps.serving()
	regions := make(map[domain.Region][]domain.NodeID)
	var out []fold.Record
	for _, v := range o.deps.Directory.OfKind(vmlist.Engine) {
		l, held := leases[domain.ServerID(v.ID)]
		if held && l.Owner == o.deps.node() {
			continue
		}
		alive := held && o.absentFor(l.Owner, serving) < takeoverAfter
		if alive && !look {
			continue
		}
		if _, ok := regions[v.Region]; !ok {
			regions[v.Region] = o.deps.regionMembers(v.Region)
		}
		if r, ok := o.wanted(v, l, alive, regions[v.Region]); ok {
			out = append(out, r)
		}
	}
	return out
}

// wanted returns the lease record that this node should propose for a server that
// it does not own. A live holder keeps its lease while the view of the members is
// young, so that a changed view moves nothing by itself.
func (o *Ownership) wanted(v vmlist.VM, l fold.Lease, alive bool, members []domain.NodeID) (fold.Record, bool) {
	s := domain.ServerID(v.ID)
	first, ok := rendezvous.First("server/"+v.ID, members)
	if !ok || first != o.deps.node() || alive && !o.mayTakeFromAlive(l) {
		return nil, false
	}
	var expect domain.Fence
	o.deps.Agreement.View(func(st *fold.State) { expect = st.LastFence(s) })
	facts := fold.ServerFacts{Memory: v.Memory, ChecksFences: v.ChecksFences, Region: v.Region, Zone: v.Zone}
	return fold.LeaseTaken{Server: s, Owner: o.deps.node(), Expect: expect, Facts: facts}, true
}

// renewals takes this node's own lease again where orders without an answer stay
// in doubt: a barrier under the newer fence settles them.
func (o *Ownership) renewals() []fold.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []fold.Record
	for s, k := range o.keepers {
		if k.wantsNewFence(time.Now()) {
			out = append(out, fold.LeaseTaken{Server: s, Owner: o.deps.node(), Expect: k.lease.Fence, Facts: k.lease.Facts})
		}
	}
	return out
}

// mayTakeFromAlive tells whether a lease may move from a live holder to this node,
// where hashing wants it. It does so one at a time and only in a view that has
// been the same for a while, and not while the server loads something.
func (o *Ownership) mayTakeFromAlive(l fold.Lease) bool {
	now := time.Now()
	members := o.deps.members()
	o.mu.Lock()
	defer o.mu.Unlock()
	if !slices.Equal(members, o.view) {
		o.view, o.viewSince = members, now
	}
	if now.Sub(o.viewSince) < stableView || now.Sub(o.movedAt) < moveInterval || len(l.Doubts) > 0 {
		return false
	}
	r, seen := o.deps.Reports.Server(l.Server, now)
	if !seen || slices.ContainsFunc(r.Models, func(m peer.ModelReport) bool { return m.Loading }) {
		return false
	}
	o.movedAt = now
	return true
}

// absentFor returns how long a node has not been among the live nodes that stay.
// A node that says itself that it leaves, or that is drained, is absent for long
// enough at once.
func (o *Ownership) absentFor(n domain.NodeID, serving map[domain.NodeID]bool) time.Duration {
	stays, alive := serving[n]
	missing := o.missingFor(absentPrefix+string(n), alive)
	if alive && !stays {
		return takeoverAfter
	}
	return missing
}

// gone returns records for leased servers that the platform's list has lacked
// for long enough.
func (o *Ownership) gone(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !o.deps.Directory.Known() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		_, listed := o.deps.Directory.Server(s)
		if o.missingFor(string(s), listed) < goneAfter || o.answers(s) {
			continue
		}
		if first, ok := rendezvous.First("gone/"+string(s), o.deps.members()); ok && first == o.deps.node() {
			out = append(out, fold.ServerGone{Server: s, Fence: l.Fence})
		}
	}
	return out
}

// answers tells whether a server that the list lacks still answers its owner. The
// list may lose a live server, whose replicas must go on counting.
func (o *Ownership) answers(s domain.ServerID) bool {
	_, alive := o.deps.Reports.Answers(s, time.Now())
	return alive
}

// goneOwners clears the doubt about owners whose VM left the platform's list.
func (o *Ownership) goneOwners(leases map[domain.ServerID]fold.Lease) []fold.Record {
	if !o.deps.Directory.Known() {
		return nil
	}
	var out []fold.Record
	for s, l := range leases {
		if l.Owner != o.deps.node() {
			continue
		}
		for _, d := range l.Doubts {
			listed := o.deps.Directory.ListsNode(d.Owner) || o.deps.Mesh.Alive(d.Owner)
			if o.missingFor(string(d.Owner), listed) < ownerVMGoneAfter {
				continue
			}
			out = append(out, fold.DoubtCleared{Server: s, Fence: l.Fence, Proof: fold.OwnerVMGone, Earlier: d.Fence})
		}
	}
	return out
}

// missingFor returns how long a VM or node has been missing without a break.
func (o *Ownership) missingFor(id string, listed bool) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if listed {
		delete(o.missing, id)
		return 0
	}
	since, ok := o.missing[id]
	if !ok {
		o.missing[id] = time.Now()
		return 0
	}
	return time.Since(since)
}

func (o *Ownership) propose(ctx context.Context, records []fold.Record) {
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if _, err := o.deps.Agreement.Propose(ctx, records...); err != nil {
		o.deps.Logger.Warn().Err(err).Str("Event", "LeaseProposalFailed").Int("Records", len(records)).Msg("leases wait for the log")
	}
}

// follow starts and stops keepers so that they match the leases.
func (o *Ownership) follow(ctx context.Context, leases map[domain.ServerID]fold.Lease) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for s, k := range o.keepers {
		if l, ok := leases[s]; ok && l.Owner == o.deps.node() && l.Fence == k.lease.Fence {
			continue
		}
		k.retire()
		o.retiring++
		delete(o.keepers, s)
	}
	for s, l := range leases {
		if l.Owner != o.deps.node() || o.keepers[s] != nil {
			continue
		}
		k := newKeeper(o.deps, o.pace, l)
		o.keepers[s] = k
		o.wait.Add(1)
		go func() {
			defer o.wait.Done()
			k.run(ctx)
			o.finished(k)
		}()
	}
}

// finished counts a keeper that has ended after it lost its lease.
func (o *Ownership) finished(k *keeper) {
	if !k.isRetired() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.retiring--
}

// Owned returns the servers that this node owns now.
func (o *Ownership) Owned() []domain.ServerID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.keepers))
}

// Quiet tells whether this node owns nothing and has told of every lease it lost.
func (o *Ownership) Quiet() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.keepers) == 0 && o.retiring == 0
}

func (o *Ownership) keeper(s domain.ServerID) (*keeper, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if k := o.keepers[s]; k != nil {
		return k, nil
	}
	return nil, verdict.Refuse(verdict.NoCapacity, "this node does not own the backend server")
}

// Load answers a peer's or the home's request to load a model on an owned server.
func (o *Ownership) Load(ctx context.Context, l peer.Load) (peer.Loaded, error) {
	k, err := o.keeper(l.Server)
	if err != nil {
		return peer.Loaded{}, err
	}
	start := time.Now()
	if err := k.load(ctx, l); err != nil {
		return peer.Loaded{}, err
	}
	return peer.Loaded{Server: l.Server, Model: l.Model, Waited: time.Since(start)}, nil
}

// Release answers a request to give back an unused permit.
func (o *Ownership) Release(ctx context.Context, r peer.ReleasePermit) error {
	k, err := o.keeper(r.Server)
	if err != nil {
		return err
	}
	return k.release(ctx, r.Model)
}
