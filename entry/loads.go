package entry

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/serverload"
)

const (
	// loadUpdateGap is the least time between two updates of server loads to all nodes. A server
	// changes its pace several times a second.
	loadUpdateGap = 250 * time.Millisecond
	// maximumLoadBytesPerSecond bounds the loads that the owner sends to each node.
	maximumLoadBytesPerSecond = 6000
	// loadLinkShare is the share of Options.UpdateBytesPerSecond that loads may use, so that the
	// engine states are not delayed.
	loadLinkShare = 0.5
)

// Loads holds what a node knows of the load of backend servers.
type Loads interface {
	// TakeLoads returns what the node has heard since the last call, for the owner.
	TakeLoads(now time.Time) []serverload.Shared
	// MergeLoads applies what another node has sent to this one, the owner.
	MergeLoads(now time.Time, list []serverload.Shared)
	// ApplyLoads applies what the owner has sent.
	ApplyLoads(now time.Time, list []serverload.Shared)
	// TakeLoadChanges returns what this node, the owner, sends to all nodes, at most the given
	// number of servers, those whose load has changed most.
	TakeLoadChanges(now time.Time, maximum int) []serverload.Shared
	// UsualPace returns the mean pace of a server over the last seconds, or 0 if it is unknown.
	UsualPace(now time.Time, s *fleet.Server) float64
}

// takeLoads returns the loads of servers for the next report to the owner.
func (n *Node) takeLoads(now time.Time) []serverload.Shared {
	if n.Loads == nil {
		return nil
	}
	return n.Loads.TakeLoads(now)
}

// hasReports reports whether a list has loads that the other nodes use at once. The samples of a
// learned pace wait for the next report with something else.
func hasReports(loads []serverload.Shared) bool {
	return slices.ContainsFunc(loads, func(s serverload.Shared) bool { return s.Slots > 0 })
}

// hasOnlyLoads reports whether a report changes nothing that orders are planned by.
func hasOnlyLoads(r hub.Report) bool {
	return len(r.Loads) > 0 && len(r.Demands) == 0 && len(r.StaleServers) == 0 && len(r.LeavingServers) == 0 && len(r.CrashReports) == 0 && r.Traits.IsEmpty()
}

// sendLoads sends the changed loads of servers to all nodes, unless isRenewalLate is set: the
// renewals of the lease must get through. The caller holds mu.
func (n *Node) sendLoads(now time.Time, isRenewalLate bool) {
	gap := max(loadUpdateGap, n.updateGap())
	elapsed := now.Sub(n.loadsSentAt)
	if n.Loads == nil || isRenewalLate || elapsed < gap {
		return
	}
	n.loadsSentAt = now
	links := n.Hub.LinkCount()
	if links == 0 {
		return
	}
	loads := n.Loads.TakeLoadChanges(now, n.maximumLoads(links, min(elapsed, 2*gap)))
	if len(loads) == 0 {
		return
	}
	if err := n.Hub.Broadcast(hub.Update{Loads: loads}); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("failed to encode the loads of servers for the other nodes")
	}
}

// maximumLoads returns the number of servers whose loads may be sent to each of the linked nodes
// after the given time.
func (n *Node) maximumLoads(links int, elapsed time.Duration) int {
	rate := float64(maximumLoadBytesPerSecond)
	if n.UpdateBytesPerSecond > 0 {
		rate = min(rate, loadLinkShare*float64(n.UpdateBytesPerSecond)/float64(links))
	}
	return max(0, int(rate*elapsed.Seconds()-hub.UpdateBytes)/hub.LoadBytes)
}

// setPaces makes the planner prefer servers whose work takes less time. The caller holds mu.
func (n *Node) setPaces(now time.Time) {
	if n.Loads == nil {
		return
	}
	n.planner.Pace = func(s *fleet.Server) float64 { return n.Loads.UsualPace(now, s) }
}
