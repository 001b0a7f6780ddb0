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
	// prefixShare is the share of the bytes for loads that cached prompt parts may use. Stale loads
	// cost more: with a quarter, nearly twice as many sendings were rejected in a simulation of busy
	// servers.
	prefixShare = 0.125
	// maximumReportedPrefixes bounds the cached prompt parts in a report to the owner.
	maximumReportedPrefixes = 64
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
	// TakePrefixes returns the cached prompt parts that the other nodes should be told of, at most
	// the given number, the newest ones.
	TakePrefixes(now time.Time, maximum int) []serverload.SharedPrefix
	// ApplyPrefixes applies what another node has told of cached prompt parts. mustPassOn is true
	// on the owner.
	ApplyPrefixes(now time.Time, list []serverload.SharedPrefix, mustPassOn bool)
	// UsualPace returns the mean pace of a server over the last seconds, or 0 if it is unknown.
	UsualPace(now time.Time, s *fleet.Server) float64
}

// takeLoads returns the loads and caches of servers for the next report to the owner.
func (n *Node) takeLoads(now time.Time) ([]serverload.Shared, []serverload.SharedPrefix) {
	if n.Loads == nil {
		return nil, nil
	}
	return n.Loads.TakeLoads(now), n.Loads.TakePrefixes(now, maximumReportedPrefixes)
}

// applyLoads applies the loads and caches in an update of the owner.
func (n *Node) applyLoads(now time.Time, u hub.Update) {
	if n.Loads != nil {
		n.Loads.ApplyLoads(now, u.Loads)
		n.Loads.ApplyPrefixes(now, u.Prefixes, false)
	}
}

// mergeLoads applies the loads and caches in the report of another node to this one, the owner.
func (n *Node) mergeLoads(now time.Time, r hub.Report) {
	if n.Loads != nil {
		n.Loads.MergeLoads(now, r.Loads)
		n.Loads.ApplyPrefixes(now, r.Prefixes, true)
	}
}

// hasReports reports whether a list has loads that the other nodes use at once. The samples of a
// learned pace wait for the next report with something else.
func hasReports(loads []serverload.Shared) bool {
	return slices.ContainsFunc(loads, func(s serverload.Shared) bool { return s.Slots > 0 })
}

// hasOnlyLoads reports whether a report changes nothing that orders are planned by.
func hasOnlyLoads(r hub.Report) bool {
	return len(r.Loads)+len(r.Prefixes) > 0 && len(r.Demands) == 0 && len(r.StaleServers) == 0 && len(r.LeavingServers) == 0 && len(r.CrashReports) == 0 && len(r.Contents) == 0 && r.Traits.IsEmpty()
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
	bytes := n.maximumLoadBytes(links, min(elapsed, 2*gap))
	prefixes := n.Loads.TakePrefixes(now, int(prefixShare*float64(bytes))/hub.PrefixBytes)
	loads := n.Loads.TakeLoadChanges(now, (bytes-hub.PrefixBytes*len(prefixes))/hub.LoadBytes)
	if len(loads)+len(prefixes) == 0 {
		return
	}
	if err := n.Hub.Broadcast(hub.Update{Loads: loads, Prefixes: prefixes}); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("failed to encode the loads of servers for the other nodes")
	}
}

// maximumLoadBytes returns the bytes of loads and caches that may be sent to each of the linked nodes
// after the given time.
func (n *Node) maximumLoadBytes(links int, elapsed time.Duration) int {
	rate := float64(maximumLoadBytesPerSecond)
	if n.UpdateBytesPerSecond > 0 {
		rate = min(rate, loadLinkShare*float64(n.UpdateBytesPerSecond)/float64(links))
	}
	return max(0, int(rate*elapsed.Seconds())-hub.UpdateBytes)
}

// setPaces makes the planner prefer servers whose work takes less time. The caller holds mu.
func (n *Node) setPaces(now time.Time) {
	if n.Loads == nil {
		return
	}
	n.planner.Pace = func(s *fleet.Server) float64 { return n.Loads.UsualPace(now, s) }
}
