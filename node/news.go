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
	// compareInterval is how often a node compares its reports with another node. A node
	// without reports does so each subscriptionInterval.
	compareInterval = time.Second
	// subscriptionInterval is how often a node checks which subscriptions to renew and
	// whether a comparison is due.
	subscriptionInterval = 250 * time.Millisecond
	// repairBatchSize bounds the reports in one repair message.
	repairBatchSize = 32
	// maximumForwardedRepairs is the largest number of new reports in a repair message that a
	// node forwards. More new reports mean that the node has just started and the other nodes
	// have them already.
	maximumForwardedRepairs = 4
)

// ReportGossip exchanges the reports about the backend servers with the other nodes. It
// sends a changed report to every node along a tree of the availability zones. Periodic
// comparisons with another node repair lost reports (anti-entropy). Load counts, which
// change often, go only to the nodes that subscribe to the server.
type ReportGossip struct {
	deps *Deps

	mu sync.Mutex
	// subscriptions are the other nodes' subscriptions to loads of this node's servers.
	subscriptions reports.Subscriptions
	// interests are the servers whose loads this node follows.
	interests reports.Interests
	// tree is computed from members.
	tree    relay.Tree
	members []peer.Member
	// comparisonRound counts the comparisons and selects the next partner.
	comparisonRound int
	lastComparedAt  time.Time
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
	comparisonDue := now.Sub(g.lastComparedAt) >= compareInterval || g.deps.Reports.IsEmpty()
	g.mu.Unlock()
	if !comparisonDue {
		return
	}
	g.deps.Reports.ApplyOwnership(now, func(s domain.ServerID) reports.Ownership { return g.ownershipOf(s, owners) })
	g.startComparison(now)
}

// startComparison removes expired subscriptions and sends the digests of the reports to the
// next partner.
func (g *ReportGossip) startComparison(now time.Time) {
	tree := g.currentTree()
	g.mu.Lock()
	g.lastComparedAt = now
	g.subscriptions.RemoveExpired(now)
	partner := tree.ComparisonPartner(g.comparisonRound)
	g.comparisonRound++
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

// ownershipOf returns Owned if the owner of a server is alive, Gone if the server has no
// lease and is missing from the platform's list, and Ownerless otherwise.
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

// renewSubscriptions sends a Subscribe to the owners of the servers whose loads this node
// follows, if the subscription is due for renewal.
func (g *ReportGossip) renewSubscriptions(now time.Time, owners map[domain.ServerID]domain.NodeID) {
	g.mu.Lock()
	serversByOwner := g.interests.DueRenewals(now, func(s domain.ServerID) domain.NodeID { return owners[s] })
	g.mu.Unlock()
	for owner, servers := range serversByOwner {
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

// PublishReport stores a report of this owner and sends it along the tree to every node.
func (g *ReportGossip) PublishReport(r peer.ServerReport) {
	r = r.WithoutLoads()
	g.deps.Reports.Add(r, time.Now())
	for _, to := range g.currentTree().OriginTargets() {
		g.deps.Mesh.Send(to, peer.Reports{Servers: []peer.ServerReport{r}})
	}
}

// PublishLoads stores the load counts that this owner has just polled. It sends the quantised
// counts to the subscribers that are due for an update.
func (g *ReportGossip) PublishLoads(l reports.Loads) {
	now := time.Now()
	g.mu.Lock()
	l = g.subscriptions.AssignSequence(l)
	quantised := l.Quantise(g.modelConcurrency)
	subscribers := g.subscriptions.DueSubscribers(quantised, now)
	g.mu.Unlock()
	g.deps.Reports.AddLoads(l, now)
	for _, to := range subscribers {
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

// FollowForRouting records that this node routes to the replicas. The node then subscribes to
// the loads of their servers.
func (g *ReportGossip) FollowForRouting(replicas []ReadyReplica, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range replicas {
		g.interests.RecordUse(l.Server, g.followPriority(l.Server), now)
	}
}

// FollowAsCoordinator records that this node coordinates the model of the replicas. The node
// then subscribes to the loads of their servers.
func (g *ReportGossip) FollowAsCoordinator(replicas []ReadyReplica, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range replicas {
		g.interests.RecordUse(l.Server, reports.Coordinated, now)
	}
}

func (g *ReportGossip) followPriority(s domain.ServerID) reports.FollowPriority {
	v, _ := g.deps.Directory.Server(s)
	switch {
	case v.Region != g.deps.Self.Region:
		return reports.OtherRegion
	case v.Zone != g.deps.Self.Zone:
		return reports.SameRegion
	}
	return reports.SameZone
}

// handle processes a message about reports, loads or subscriptions. It returns false for
// other messages.
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

// receiveReports stores the reports in a message and forwards the new ones along the tree,
// unless a repair message has more than maximumForwardedRepairs of them.
func (g *ReportGossip) receiveReports(m peer.Reports, now time.Time) {
	var newReports []peer.ServerReport
	for _, r := range m.Servers {
		if g.deps.Reports.Add(r, now) {
			newReports = append(newReports, r)
		}
	}
	if len(newReports) == 0 || m.Repair && len(newReports) > maximumForwardedRepairs {
		return
	}
	for _, to := range g.currentTree().ForwardTargets() {
		g.deps.Mesh.Send(to, peer.Reports{Servers: newReports})
	}
}

// reconcile compares the report versions of a peer with this node's. It sends the reports
// that the peer lacks and requests the reports that this node lacks.
func (g *ReportGossip) reconcile(from domain.NodeID, m peer.ReportVersions) {
	reportsToSend, versionsToRequest := g.deps.Reports.Reconcile(m)
	for len(reportsToSend) > 0 {
		batch := reportsToSend[:min(repairBatchSize, len(reportsToSend))]
		reportsToSend = reportsToSend[len(batch):]
		g.deps.Mesh.Send(from, peer.Reports{Servers: batch, Repair: true})
	}
	if len(versionsToRequest) > 0 {
		g.deps.Mesh.Send(from, peer.ReportVersions{Versions: versionsToRequest})
	}
}
