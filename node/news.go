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
	// repairChunk bounds the reports of one message.
	repairChunk = 32
	// fewRepairs is up to how many new reports of a repair are passed on: more are
	// not lost news but what a node that has just started lacks.
	fewRepairs = 4
)

// News passes on what the nodes know of the backend servers: reports through the
// zones' trees, loads to who asked for them.
type News struct {
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

// NewNews returns a News that follows no loads.
func NewNews(d *Deps) *News { return &News{deps: d} }

// Run repairs lost reports and renews subscriptions until ctx ends.
func (n *News) Run(ctx context.Context) {
	t := time.NewTicker(interestsInterval)
	defer t.Stop()
	for {
		n.step(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (n *News) step(now time.Time) {
	owners := n.owners()
	n.renew(now, owners)
	n.mu.Lock()
	due := now.Sub(n.comparedAt) >= compareInterval || n.deps.Reports.Empty()
	n.mu.Unlock()
	if !due {
		return
	}
	n.deps.Reports.Sweep(now, func(s domain.ServerID) reports.Ownership { return n.standing(s, owners) })
	n.compare(now)
}

func (n *News) compare(now time.Time) {
	tree := n.currentTree()
	n.mu.Lock()
	n.comparedAt = now
	n.subscriptions.RemoveExpired(now)
	partner := tree.ComparisonPartner(n.round)
	n.round++
	n.mu.Unlock()
	if partner != "" {
		n.deps.Mesh.Send(partner, n.deps.Reports.Comparison())
	}
}

func (n *News) owners() map[domain.ServerID]domain.NodeID {
	out := make(map[domain.ServerID]domain.NodeID)
	n.deps.Agreement.View(func(s *fold.State) {
		for _, l := range s.Leases() {
			out[l.Server] = l.Owner
		}
	})
	return out
}

func (n *News) standing(s domain.ServerID, owners map[domain.ServerID]domain.NodeID) reports.Ownership {
	owner, leased := owners[s]
	if !leased {
		if _, listed := n.deps.Directory.Server(s); listed || !n.deps.Directory.Known() {
			return reports.Ownerless
		}
		return reports.Gone
	}
	if owner == n.deps.node() || n.deps.Mesh.Alive(owner) {
		return reports.Owned
	}
	return reports.Ownerless
}

// renew asks the owners for the loads of the servers that this node routes to.
func (n *News) renew(now time.Time, owners map[domain.ServerID]domain.NodeID) {
	n.mu.Lock()
	due := n.interests.DueRenewals(now, func(s domain.ServerID) domain.NodeID { return owners[s] })
	n.mu.Unlock()
	for owner, servers := range due {
		if owner != n.deps.node() {
			n.deps.Mesh.Send(owner, peer.Subscribe{Servers: servers})
		}
	}
}

// currentTree returns the tree of the view as it is now.
func (n *News) currentTree() relay.Tree {
	members := n.deps.Mesh.Members()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(members) != len(n.members) || len(members) > 0 && &members[0] != &n.members[0] {
		n.tree, n.members = relay.NewTree(n.deps.node(), members), members
	}
	return n.tree
}

// Publish sends this owner's report to every node.
func (n *News) Publish(r peer.ServerReport) {
	r = r.WithoutLoads()
	n.deps.Reports.Add(r, time.Now())
	for _, to := range n.currentTree().OriginTargets() {
		n.deps.Mesh.Send(to, peer.Reports{Servers: []peer.ServerReport{r}})
	}
}

// Offer takes the counts that an owner has just read and sends them to the
// subscribers that do not know them.
func (n *News) Offer(l reports.Loads) {
	now := time.Now()
	n.mu.Lock()
	l = n.subscriptions.AssignSequence(l)
	quantised := l.Quantise(n.concurrency)
	due := n.subscriptions.DueSubscribers(quantised, now)
	n.mu.Unlock()
	n.deps.Reports.AddLoads(l, now)
	for _, to := range due {
		n.deps.Mesh.Send(to, peer.Loads{Servers: []reports.Loads{quantised}})
	}
}

// own returns the report of a server that this node owns, and its age.
func (n *News) own(s domain.ServerID) ([]peer.ServerReport, time.Duration) {
	now := time.Now()
	r, ok := n.deps.Reports.Server(s, now)
	if !ok {
		return nil, 0
	}
	return []peer.ServerReport{r.WithoutLoads()}, now.Sub(n.deps.Reports.Confirmed(s))
}

func (n *News) concurrency(m domain.ModelName) int {
	var model configuration.Model
	n.deps.Agreement.View(func(s *fold.State) { model, _ = s.Model(m) })
	if model.Concurrency > 0 {
		return model.Concurrency
	}
	return configuration.DefaultConcurrency
}

// Use counts that this node routes to the replicas.
func (n *News) Use(replicas []Loaded, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range replicas {
		n.interests.RecordUse(l.Server, n.distance(l.Server), now)
	}
}

// Decide counts that this node decides over the replicas as their home.
func (n *News) Decide(replicas []Loaded, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range replicas {
		n.interests.RecordUse(l.Server, reports.Coordinated, now)
	}
}

func (n *News) distance(s domain.ServerID) reports.Distance {
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
func (n *News) handle(from domain.NodeID, m peer.Message) bool {
	now := time.Now()
	switch m := m.(type) {
	case peer.Reports:
		n.learn(m, now)
	case peer.CompareReports:
		if v, differs := n.deps.Reports.Differs(m); differs {
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

// learn takes reports and passes on those that are new here.
func (n *News) learn(m peer.Reports, now time.Time) {
	var fresh []peer.ServerReport
	for _, r := range m.Servers {
		if n.deps.Reports.Add(r, now) {
			fresh = append(fresh, r)
		}
	}
	if len(fresh) == 0 || m.Repair && len(fresh) > fewRepairs {
		return
	}
	for _, to := range n.currentTree().ForwardTargets() {
		n.deps.Mesh.Send(to, peer.Reports{Servers: fresh})
	}
}

func (n *News) reconcile(from domain.NodeID, m peer.ReportVersions) {
	give, want := n.deps.Reports.Reconcile(m)
	for len(give) > 0 {
		some := give[:min(repairChunk, len(give))]
		give = give[len(some):]
		n.deps.Mesh.Send(from, peer.Reports{Servers: some, Repair: true})
	}
	if len(want) > 0 {
		n.deps.Mesh.Send(from, peer.ReportVersions{Versions: want})
	}
}
