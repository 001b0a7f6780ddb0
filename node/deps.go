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
	// Gossip exchanges server reports and load counts with other nodes.
	Gossip  *ReportGossip
	Engines engine.ControlClient
	// KeepAlivePolicy decides how long an idle replica stays loaded, up to KeepAlive. If it is
	// nil, the replica stays for KeepAlive.
	KeepAlivePolicy *waking.Policy
	// KeepAlive is the longest time that an idle replica stays loaded; zero means without
	// limit.
	KeepAlive time.Duration
	Logger    zerolog.Logger
	Scope     tally.Scope
	// IsLeaving reports whether this node is shutting down.
	IsLeaving func() bool
	// Journal records the decisions for each request; it may be nil.
	Journal *decisions.Journal
	// IsLogDown reports whether the platform's log has been unresponsive for logDownDelay.
	// Requests that need the log then fail at once.
	IsLogDown func() bool
	// HasCompleteView reports whether this node and the others should know each other (see
	// Node.hasCompleteView). Until then the node acquires no lease and is not ready.
	HasCompleteView func() bool
}

// nodeID returns the id of this process.
func (d *Deps) nodeID() domain.NodeID { return d.Self.Node }

// activeNodes returns the live nodes that are neither leaving nor drained. If every live node
// is leaving or drained, it returns the drained nodes.
func (d *Deps) activeNodes() []domain.NodeID {
	if out := d.filterNodes(d.undrainedFilter()); len(out) > 0 {
		return out
	}
	return d.filterNodes(func(peer.Member) bool { return true })
}

// leaseCandidates returns the nodes that may own servers of a region: the undrained live
// nodes of the region. If there are none and the platform's list shows no other undrained
// node of the region either, it returns activeNodes. Without the check of the list, regions
// that are partitioned from each other would take over each other's leases again and again
// until the partition heals.
func (d *Deps) leaseCandidates(r domain.Region) []domain.NodeID {
	undrained := d.undrainedFilter()
	isUndrainedInRegion := func(m peer.Member) bool { return m.Region == r && undrained(m) }
	if out := d.filterNodes(isUndrainedInRegion); len(out) > 0 {
		return out
	}
	leaving := d.leavingNodes()
	isOtherCandidate := func(m peer.Member) bool {
		return !m.Leaving && !leaving[m.Node] && isUndrainedInRegion(m) && m.Node != d.nodeID()
	}
	if slices.ContainsFunc(d.Directory.Seeds(), isOtherCandidate) {
		return nil
	}
	return d.activeNodes()
}

// leavingNodes returns the members that announced to their peers that they are leaving. The
// platform's list may not show this yet.
func (d *Deps) leavingNodes() map[domain.NodeID]bool {
	out := make(map[domain.NodeID]bool)
	for _, m := range d.Mesh.Members() {
		if m.Leaving {
			out[m.Node] = true
		}
	}
	return out
}

// filterNodes returns the live nodes that are not leaving and for which keep returns true.
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

// leaseEligibility returns, for each live node, whether the node may keep its leases. A
// leaving node may not keep them. A drained node may keep them only if every live node is
// leaving or drained.
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
