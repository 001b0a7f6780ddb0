package node

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/relay"
	"github.com/parsleylug/parsleylug/reports"
)

const (
	// compareInterval is how often a node compares its reports with those of another node.
	// While it has no report, it does so each subscriptionInterval.
	compareInterval = time.Second
	// subscriptionInterval is how often a node checks which subscriptions to renew.
	subscriptionInterval = 250 * time.Millisecond
	// repairBatchSize bounds the reports in one repair message.
	repairBatchSize = 32
	// maximumForwardedRepairs is up to how many new reports of a repair are forwarded: more
	// mean that this node has just started, and the others have them already.
	maximumForwardedRepairs = 4
)

// ReportGossip spreads the reports about the backend servers. A changed report goes to
// every node over a tree of the availability zones; periodic comparisons with another node
// repair lost reports (anti-entropy). Load counts, which change often, go only to the nodes
// that subscribe to a server.
type ReportGossip struct {
	deps *Deps

	mu            sync.Mutex
	subscriptions reports.Subscriptions
	interests     reports.Interests
	// tree is computed from members.
	tree       relay.Tree
	members    []peer.Member
	round      int
	comparedAt time.Time
}

// NewReportGossip returns a ReportGossip without subscriptions.
func NewReportGossip(d *Deps) *ReportGossip { return &ReportGossip{deps: d} }

// Run repairs lost reports and renews subscriptions until ctx ends.
func (g *ReportGossip) Run(ctx context.Context) {
	t := time.NewTicker(subscriptionInterval)
	defer t.Stop()
	for {
		g.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (g *ReportGossip) tick(now time.Time) {
	owners := g.owners()
	g.renewSubscriptions(now, owners)
	g.mu.Lock()
	due := now.Sub(g.comparedAt) >= compareInterval || g.deps.Reports.IsEmpty()
	g.mu.Unlock()
	if !due {
		return
	}
	g.deps.Reports.ApplyOwnership(now, func(s domain.ServerID) reports.Ownership { return g.ownershipOf(s, owners) })
	g.startComparison(now)
}

// startComparison sends the digests of the reports to the next partner.
func (g *ReportGossip) startComparison(now time.Time) {
	tree := g.currentTree()
	g.mu.Lock()
	g.comparedAt = now
	g.subscriptions.RemoveExpired(now)
	partner := tree.ComparisonPartner(g.round)
	g.round++
	g.mu.Unlock()
	if partner != "" {
		g.deps.Mesh.Send(partner, g.deps.Reports.Comparison())
	}
}

func (g *ReportGossip) owners() map[domain.ServerID]domain.NodeID {
	out := make(map[domain.ServerID]domain.NodeID)
	g.deps.State.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l.Owner
		}
	})
	return out
}

// ownershipOf returns whether a server has a live owner, no live owner, or is gone.
func (g *ReportGossip) ownershipOf(s domain.ServerID, owners map[domain.ServerID]domain.NodeID) reports.Ownership {
	owner, leased := owners[s]
	if !leased {
		if _, listed := g.deps.Directory.Server(s); listed || !g.deps.Directory.WasRead() {
			return reports.Ownerless
		}
		return reports.Gone
	}
	if owner == g.deps.nodeID() || g.deps.Mesh.IsAlive(owner) {
		return reports.Owned
	}
	return reports.Ownerless
}

// renewSubscriptions subscribes with the owners to the loads of the servers that this node
// routes to or coordinates.
func (g *ReportGossip) renewSubscriptions(now time.Time, owners map[domain.ServerID]domain.NodeID) {
	g.mu.Lock()
	due := g.interests.DueRenewals(now, func(s domain.ServerID) domain.NodeID { return owners[s] })
	g.mu.Unlock()
	for owner, servers := range due {
		if owner != g.deps.nodeID() {
			g.deps.Mesh.Send(owner, peer.Subscribe{Servers: servers})
		}
	}
}

// currentTree returns the tree of the current members.
func (g *ReportGossip) currentTree() relay.Tree {
	members := g.deps.Mesh.Members()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(members) != len(g.members) || len(members) > 0 && &members[0] != &g.members[0] {
		g.tree, g.members = relay.NewTree(g.deps.nodeID(), members), members
	}
	return g.tree
}

// PublishReport sends this owner's report to every node.
func (g *ReportGossip) PublishReport(r peer.ServerReport) {
	r = r.WithoutLoads()
	g.deps.Reports.Add(r, time.Now())
	for _, to := range g.currentTree().OriginTargets() {
		g.deps.Mesh.Send(to, peer.Reports{Servers: []peer.ServerReport{r}})
	}
}

// PublishLoads stores the load counts that this owner has just polled and sends them,
// quantised, to the subscribers whose copy differs.
func (g *ReportGossip) PublishLoads(l reports.Loads) {
	now := time.Now()
	g.mu.Lock()
	l = g.subscriptions.AssignSequence(l)
	quantised := l.Quantise(g.modelConcurrency)
	due := g.subscriptions.DueSubscribers(quantised, now)
	g.mu.Unlock()
	g.deps.Reports.AddLoads(l, now)
	for _, to := range due {
		g.deps.Mesh.Send(to, peer.Loads{Servers: []reports.Loads{quantised}})
	}
}

// ownedReport returns the current report of a server that this node owns, and its age.
func (g *ReportGossip) ownedReport(s domain.ServerID) ([]peer.ServerReport, time.Duration) {
	now := time.Now()
	r, ok := g.deps.Reports.UsableReport(s, now)
	if !ok {
		return nil, 0
	}
	return []peer.ServerReport{r.WithoutLoads()}, now.Sub(g.deps.Reports.ConfirmedAt(s))
}

func (g *ReportGossip) modelConcurrency(m domain.ModelName) int {
	var model configuration.Model
	g.deps.State.View(func(s *fold.State) { model, _ = s.Model(m) })
	if model.Concurrency > 0 {
		return model.Concurrency
	}
	return configuration.DefaultConcurrency
}

// FollowForRouting records that this node routes to the replicas, so that it subscribes to
// their loads.
func (g *ReportGossip) FollowForRouting(replicas []Loaded, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range replicas {
		g.interests.RecordUse(l.Server, g.distance(l.Server), now)
	}
}

// FollowAsCoordinator records that this node coordinates the model of the replicas, so that
// it subscribes to their loads.
func (g *ReportGossip) FollowAsCoordinator(replicas []Loaded, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range replicas {
		g.interests.RecordUse(l.Server, reports.Coordinated, now)
	}
}

func (g *ReportGossip) distance(s domain.ServerID) reports.FollowPriority {
	v, _ := g.deps.Directory.Server(s)
	switch {
	case v.Region != g.deps.Self.Region:
		return reports.OtherRegion
	case v.Zone != g.deps.Self.Zone:
		return reports.SameRegion
	}
	return reports.SameZone
}

// handle processes a message about reports or loads. It returns false for other messages.
func (g *ReportGossip) handle(from domain.NodeID, m peer.Message) bool {
	now := time.Now()
	switch m := m.(type) {
	case peer.Reports:
		g.receiveReports(m, now)
	case peer.CompareReports:
		if v, differs := g.deps.Reports.DifferingVersions(m); differs {
			g.deps.Mesh.Send(from, v)
		}
	case peer.ReportVersions:
		g.reconcile(from, m)
	case peer.Subscribe:
		g.mu.Lock()
		for _, s := range m.Servers {
			g.subscriptions.Renew(from, s, now)
		}
		g.mu.Unlock()
	case peer.Loads:
		for _, l := range m.Servers {
			g.deps.Reports.AddLoads(l, now)
		}
	default:
		return false
	}
	return true
}

// receiveReports stores reports and forwards those that are new to this node.
func (g *ReportGossip) receiveReports(m peer.Reports, now time.Time) {
	var fresh []peer.ServerReport
	for _, r := range m.Servers {
		if g.deps.Reports.Add(r, now) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 || m.Repair && len(fresh) > maximumForwardedRepairs {
		return
	}
	for _, to := range g.currentTree().ForwardTargets() {
		g.deps.Mesh.Send(to, peer.Reports{Servers: fresh})
	}
}

// reconcile sends the reports that a peer lacks and requests those that this node lacks.
func (g *ReportGossip) reconcile(from domain.NodeID, m peer.ReportVersions) {
	missing, wanted := g.deps.Reports.Reconcile(m)
	for len(missing) > 0 {
		batch := missing[:min(repairBatchSize, len(missing))]
		missing = missing[len(batch):]
		g.deps.Mesh.Send(from, peer.Reports{Servers: batch, Repair: true})
	}
	if len(wanted) > 0 {
		g.deps.Mesh.Send(from, peer.ReportVersions{Versions: wanted})
	}
}
