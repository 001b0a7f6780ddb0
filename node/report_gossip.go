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
	// compareInterval is how often a node compares its reports with another's;
	// until it knows any report, it does so each interestsInterval.
	compareInterval = time.Second
	// interestsInterval is how often a node looks which loads it needs.
	interestsInterval = 250 * time.Millisecond
	// repairBatchSize bounds the reports of one message.
	repairBatchSize = 32
	// maximumForwardedRepairs is up to how many new reports of a repair are passed on: more are
	// not lost news but what a node that has just started lacks.
	maximumForwardedRepairs = 4
)

// ReportGossip passes on what the nodes know of the backend servers: reports through the
// zones' trees, loads to who asked for them.
type ReportGossip struct {
	deps *Deps

	mu            sync.Mutex
	subscriptions reports.Subscriptions
	interests     reports.Interests
	// tree is of the view in members.
	tree       relay.Tree
	members    []peer.Member
	round      int
	comparedAt time.Time
}

// NewReportGossip returns a News that follows no loads.
func NewReportGossip(d *Deps) *ReportGossip { return &ReportGossip{deps: d} }

// Run repairs lost reports and renews subscriptions until ctx ends.
func (n *ReportGossip) Run(ctx context.Context) {
	t := time.NewTicker(interestsInterval)
	defer t.Stop()
	for {
		n.tick(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *ReportGossip) tick(now time.Time) {
	owners := n.owners()
	n.renewSubscriptions(now, owners)
	n.mu.Lock()
	due := now.Sub(n.comparedAt) >= compareInterval || n.deps.Reports.Empty()
	n.mu.Unlock()
	if !due {
		return
	}
	n.deps.Reports.UpdateStandings(now, func(s domain.ServerID) reports.Standing { return n.ownerStanding(s, owners) })
	n.startComparison(now)
}

func (n *ReportGossip) startComparison(now time.Time) {
	tree := n.currentTree()
	n.mu.Lock()
	n.comparedAt = now
	n.subscriptions.Lapse(now)
	partner := tree.Partner(n.round)
	n.round++
	n.mu.Unlock()
	if partner != "" {
		n.deps.Mesh.Send(partner, n.deps.Reports.Compare())
	}
}

func (n *ReportGossip) owners() map[domain.ServerID]domain.NodeID {
	out := make(map[domain.ServerID]domain.NodeID)
	n.deps.State.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l.Owner
		}
	})
	return out
}

func (n *ReportGossip) ownerStanding(s domain.ServerID, owners map[domain.ServerID]domain.NodeID) reports.Standing {
	owner, leased := owners[s]
	if !leased {
		if _, listed := n.deps.Directory.Server(s); listed || !n.deps.Directory.WasRead() {
			return reports.Ownerless
		}
		return reports.Gone
	}
	if owner == n.deps.nodeID() || n.deps.Mesh.Alive(owner) {
		return reports.Owned
	}
	return reports.Ownerless
}

// renewSubscriptions asks the owners for the loads of the servers that this node routes to.
func (n *ReportGossip) renewSubscriptions(now time.Time, owners map[domain.ServerID]domain.NodeID) {
	n.mu.Lock()
	due := n.interests.Due(now, func(s domain.ServerID) domain.NodeID { return owners[s] })
	n.mu.Unlock()
	for owner, servers := range due {
		if owner != n.deps.nodeID() {
			n.deps.Mesh.Send(owner, peer.Subscribe{Servers: servers})
		}
	}
}

// currentTree returns the tree of the view as it is now.
func (n *ReportGossip) currentTree() relay.Tree {
	members := n.deps.Mesh.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(members) != len(n.members) || len(members) > 0 && &members[0] != &n.members[0] {
		n.tree, n.members = relay.NewTree(n.deps.nodeID(), members), members
	}
	return n.tree
}

// PublishReport sends this owner's report to every node.
func (n *ReportGossip) PublishReport(r peer.ServerReport) {
	r = r.WithoutCounts()
	n.deps.Reports.Add(r, time.Now())
	for _, to := range n.currentTree().Origin() {
		n.deps.Mesh.Send(to, peer.Reports{Servers: []peer.ServerReport{r}})
	}
}

// PublishLoads takes the counts that an owner has just read and sends them to the
// subscribers that do not know them.
func (n *ReportGossip) PublishLoads(l reports.Loads) {
	now := time.Now()
	n.mu.Lock()
	l = n.subscriptions.Number(l)
	quantised := l.Quantise(n.modelConcurrency)
	due := n.subscriptions.Due(quantised, now)
	n.mu.Unlock()
	n.deps.Reports.AddLoads(l, now)
	for _, to := range due {
		n.deps.Mesh.Send(to, peer.Loads{Servers: []reports.Loads{quantised}})
	}
}

// ownedReport returns the report of a server that this node owns, and its age.
func (n *ReportGossip) ownedReport(s domain.ServerID) ([]peer.ServerReport, time.Duration) {
	now := time.Now()
	r, ok := n.deps.Reports.Current(s, now)
	if !ok {
		return nil, 0
	}
	return []peer.ServerReport{r.WithoutCounts()}, now.Sub(n.deps.Reports.ConfirmedAt(s))
}

func (n *ReportGossip) modelConcurrency(m domain.ModelName) int {
	var model configuration.Model
	n.deps.State.View(func(s *fold.State) { model, _ = s.Model(m) })
	if model.Concurrency > 0 {
		return model.Concurrency
	}
	return configuration.DefaultConcurrency
}

// RecordRouting counts that this node routes to the replicas.
func (n *ReportGossip) RecordRouting(replicas []Loaded, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range replicas {
		n.interests.Use(l.Server, n.distance(l.Server), now)
	}
}

// RecordDecision counts that this node decides over the replicas as their home.
func (n *ReportGossip) RecordDecision(replicas []Loaded, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range replicas {
		n.interests.Use(l.Server, reports.Decides, now)
	}
}

func (n *ReportGossip) distance(s domain.ServerID) reports.Distance {
	v, _ := n.deps.Directory.Server(s)
	switch {
	case v.Region != n.deps.Self.Region:
		return reports.Far
	case v.Zone != n.deps.Self.Zone:
		return reports.SameRegion
	}
	return reports.SameZone
}

// handle takes what other nodes send. It returns false for other messages.
func (n *ReportGossip) handle(from domain.NodeID, m peer.Message) bool {
	now := time.Now()
	switch m := m.(type) {
	case peer.Reports:
		n.receiveReports(m, now)
	case peer.CompareReports:
		if v, differs := n.deps.Reports.DiffVersions(m); differs {
			n.deps.Mesh.Send(from, v)
		}
	case peer.ReportVersions:
		n.reconcile(from, m)
	case peer.Subscribe:
		n.mu.Lock()
		for _, s := range m.Servers {
			n.subscriptions.Renew(from, s, now)
		}
		n.mu.Unlock()
	case peer.Loads:
		for _, l := range m.Servers {
			n.deps.Reports.AddLoads(l, now)
		}
	default:
		return false
	}
	return true
}

// receiveReports takes reports and passes on those that are new here.
func (n *ReportGossip) receiveReports(m peer.Reports, now time.Time) {
	var fresh []peer.ServerReport
	for _, r := range m.Servers {
		if n.deps.Reports.Add(r, now) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 || m.Repair && len(fresh) > maximumForwardedRepairs {
		return
	}
	for _, to := range n.currentTree().Onward() {
		n.deps.Mesh.Send(to, peer.Reports{Servers: fresh})
	}
}

func (n *ReportGossip) reconcile(from domain.NodeID, m peer.ReportVersions) {
	give, want := n.deps.Reports.Reconcile(m)
	for len(give) > 0 {
		some := give[:min(repairBatchSize, len(give))]
		give = give[len(some):]
		n.deps.Mesh.Send(from, peer.Reports{Servers: some, Repair: true})
	}
	if len(want) > 0 {
		n.deps.Mesh.Send(from, peer.ReportVersions{Versions: want})
	}
}
