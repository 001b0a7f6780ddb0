package node

import (
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/waking"
)

// Deps is what a node is made of. It is passed down to the parts of the node.
type Deps struct {
	Self      peer.Member
	State     ReplicatedState
	Mesh      Mesh
	Directory *Directory
	Reports   *Reports
	// Gossip passes reports and loads on.
	Gossip  *ReportGossip
	Engines engine.Orderer
	// Waking decides how long an idle replica stays loaded; without it that is KeepAlive.
	Waking *waking.Policy
	// KeepAlive is how long an idle replica stays loaded at most; zero means for good.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
	// IsLeaving tells whether this node is stopping.
	IsLeaving func() bool
	// Journal keeps what was decided for requests; it may be nil.
	Journal *decisions.Journal
	// IsLogDown tells whether what needs the platform's log is refused at once.
	IsLogDown func() bool
	// HasSettledView tells whether this node's view of the others has had time to form.
	// Until then it takes no lease and is not ready.
	HasSettledView func() bool
}

// nodeID is the id of this process.
func (d *Deps) nodeID() domain.NodeID { return d.Self.Node }

// activeNodes are the live nodes that are not leaving; this node is among them
// unless it is leaving itself. Drained nodes are left out while there are others.
func (d *Deps) activeNodes() []domain.NodeID {
	if out := d.filterNodes(d.undrainedFilter()); len(out) > 0 {
		return out
	}
	return d.filterNodes(func(peer.Member) bool { return true })
}

// leaseCandidates are the members in a region that may own its servers. Where there
// are none, all members may, but only once the platform's list agrees that the
// region has none: regions that lose each other would take each other's leases,
// again and again, for as long as the cut lasts.
func (d *Deps) leaseCandidates(r domain.Region) []domain.NodeID {
	undrained := d.undrainedFilter()
	in := func(m peer.Member) bool { return m.Region == r && undrained(m) }
	if out := d.filterNodes(in); len(out) > 0 {
		return out
	}
	leaving := d.leavingNodes()
	listed := func(m peer.Member) bool { return !m.Leaving && !leaving[m.Node] && in(m) && m.Node != d.nodeID() }
	if slices.ContainsFunc(d.Directory.Seeds(), listed) {
		return nil
	}
	return d.activeNodes()
}

// leavingNodes holds the nodes that say themselves that they leave, which the
// platform's list shows later.
func (d *Deps) leavingNodes() map[domain.NodeID]bool {
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		if m.Leaving {
			out[m.Node] = true
		}
	}
	return out
}

// filterNodes returns the live nodes that are not leaving and that keep accepts.
func (d *Deps) filterNodes(keep func(peer.Member) bool) []domain.NodeID {
	var out []domain.NodeID
	for _, m := range d.Mesh.Members() {
		if m.Leaving || (m.Node == d.nodeID() && d.IsLeaving()) || !keep(m) {
			continue
		}
		out = append(out, m.Node)
	}
	return out
}

// undrainedFilter tells which nodes the operators leave in use.
func (d *Deps) undrainedFilter() func(peer.Member) bool {
	var drains []configuration.Drain
	d.State.View(func(s *fold.State) { drains = s.Drains() })
	return func(m peer.Member) bool {
		return !slices.ContainsFunc(drains, func(r configuration.Drain) bool {
			return r.Node != "" && r.Node == m.Node || r.Zone != "" && r.Zone == m.Zone
		})
	}
}

// leaseEligibility holds the live nodes, and for each whether it keeps its leases: one that
// leaves does not, nor one that is drained while another node is not.
func (d *Deps) leaseEligibility() map[domain.NodeID]bool {
	undrained := d.undrainedFilter()
	others := len(d.filterNodes(undrained)) > 0
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		out[m.Node] = !m.Leaving && (undrained(m) || !others)
	}
	return out
}

// isServerDrained tells whether the operators took a backend server out of use.
func (d *Deps) isServerDrained(n domain.ServerID, z domain.Zone) (drained bool) {
	d.State.View(func(s *fold.State) { drained = s.ServerDrained(n, z) })
	return drained
}
