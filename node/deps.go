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

// Deps are the dependencies that the parts of a node share.
type Deps struct {
	Self      peer.Member
	State     ReplicatedState
	Mesh      Mesh
	Directory *Directory
	Reports   *Reports
	// Gossip spreads server reports and load counts to other nodes.
	Gossip  *ReportGossip
	Engines engine.ControlClient
	// KeepAlivePolicy predicts how long an idle replica should stay loaded; nil means that
	// KeepAlive alone decides.
	KeepAlivePolicy *waking.Policy
	// KeepAlive is how long an idle replica stays loaded at most; zero means without limit.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
	// IsLeaving reports whether this node is shutting down.
	IsLeaving func() bool
	// Journal records the decisions for each request; it may be nil.
	Journal *decisions.Journal
	// IsLogDown reports whether the platform's log has been down for long enough that
	// requests which need it fail at once.
	IsLogDown func() bool
	// HasSettledView reports whether this node knows the others and they know it. Until
	// then it acquires no lease and is not ready.
	HasSettledView func() bool
}

// nodeID returns the id of this process.
func (d *Deps) nodeID() domain.NodeID { return d.Self.Node }

// activeNodes returns the live nodes that are neither leaving nor drained, or the drained
// ones too if all are drained. This node is among them unless it is leaving.
func (d *Deps) activeNodes() []domain.NodeID {
	if out := d.filterNodes(d.undrainedFilter()); len(out) > 0 {
		return out
	}
	return d.filterNodes(func(peer.Member) bool { return true })
}

// leaseCandidates returns the nodes that may own servers of a region: its active nodes or,
// where it has none, all active nodes, but only once the platform's list shows no node in
// the region either. Without that check, regions cut off from each other would take over
// each other's leases again and again until the partition heals.
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

// leavingNodes returns the members that announced that they are leaving, which the
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

// undrainedFilter returns a filter for the nodes that operators have not drained.
func (d *Deps) undrainedFilter() func(peer.Member) bool {
	var drains []configuration.Drain
	d.State.View(func(s *fold.State) { drains = s.Drains() })
	return func(m peer.Member) bool {
		return !slices.ContainsFunc(drains, func(r configuration.Drain) bool {
			return r.Node != "" && r.Node == m.Node || r.Zone != "" && r.Zone == m.Zone
		})
	}
}

// leaseEligibility returns the live nodes and for each whether it may keep its leases. A
// leaving node may not, nor may a drained node while another node is not drained.
func (d *Deps) leaseEligibility() map[domain.NodeID]bool {
	undrained := d.undrainedFilter()
	anyUndrained := len(d.filterNodes(undrained)) > 0
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		out[m.Node] = !m.Leaving && (undrained(m) || !anyUndrained)
	}
	return out
}

// isServerDrained reports whether operators drained a backend server or its availability
// zone.
func (d *Deps) isServerDrained(n domain.ServerID, z domain.Zone) (drained bool) {
	d.State.View(func(s *fold.State) { drained = s.IsServerDrained(n, z) })
	return drained
}
