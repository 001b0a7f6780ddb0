package entry

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
)

const (
	// updateGapPerNode times the number of linked nodes is the least time between two updates of
	// engine states to all nodes, so that they do not use up the owner's processor.
	// standbyUpdateGapPerNode replaces it on a standby. The gap is maximumUpdateGap at most.
	updateGapPerNode        = 300 * time.Microsecond
	standbyUpdateGapPerNode = time.Millisecond
	maximumUpdateGap        = 400 * time.Millisecond
)

// engineStateDigest contains the parts of a server's engine state that are
// compared to detect a change.
type engineStateDigest struct {
	startedAtMs              int64
	sequence                 uint64
	busy                     bool
	modelCount, adapterCount int
}

func digest(s fleet.EngineState) engineStateDigest {
	d := engineStateDigest{startedAtMs: s.StartedAtMs, sequence: s.Sequence, busy: s.Busy, modelCount: len(s.Models)}
	for _, m := range s.Models {
		d.adapterCount += len(m.Adapters)
	}
	return d
}

// sendEngineStates sends the changed engine states, and the new crash reports and traits, to the
// other nodes, and publishes a view with them on this node. Between two updates to all nodes, it
// sends a changed state only to those whose requests wait for a model of that server. While
// isRenewalLate is set, no update goes to all nodes, so that the renewals of the lease get through.
// The caller holds mu.
func (n *Node) sendEngineStates(now time.Time, isRenewalLate bool) {
	states := n.planner.Snapshot()
	changed := n.changedEngineStates(states)
	if !isRenewalLate && now.Sub(n.broadcastAt) >= n.updateGap() {
		n.broadcastAt = now
		n.countOwnerLinks(n.Hub.LinkCount())
		n.broadcastEngineStates(now, states, changed)
		return
	}
	n.sendUrgentEngineStates(now, states, changed)
}

func (n *Node) countOwnerLinks(links int) {
	if n.Counters != nil {
		n.Counters.SetOwnerLinks(links)
	}
}

// updateGap returns the least time between two updates to all nodes.
func (n *Node) updateGap() time.Duration {
	perNode := updateGapPerNode
	if n.Standby {
		perNode = standbyUpdateGapPerNode
	}
	return min(maximumUpdateGap, time.Duration(n.Hub.LinkCount())*perNode)
}

// changedEngineStates returns the states that differ from those last sent to all nodes. The caller
// holds mu.
func (n *Node) changedEngineStates(states map[domain.ServerID]fleet.EngineState) []hub.ServerState {
	var changed []hub.ServerState
	for id, state := range states {
		if n.sentDigests[id] != digest(state) {
			changed = append(changed, hub.ServerState{ID: id, EngineState: state})
		}
	}
	return changed
}

// broadcastEngineStates sends changed engine states, crash reports and traits to all nodes. The
// caller holds mu.
func (n *Node) broadcastEngineStates(now time.Time, states map[domain.ServerID]fleet.EngineState, changed []hub.ServerState) {
	u := hub.Update{NodeCount: n.countNodes(now), CrashReports: n.takeCrashReports(now), Contents: n.takeContentNews(), Traits: n.takeTraitReport(), Servers: changed}
	n.nodeCount = max(n.nodeCount, u.NodeCount)
	if n.sentDigests == nil {
		n.sentDigests = map[domain.ServerID]engineStateDigest{}
	}
	for _, s := range changed {
		n.sentDigests[s.ID] = digest(s.EngineState)
	}
	for id := range n.sentDigests {
		if _, ok := states[id]; !ok {
			delete(n.sentDigests, id)
		}
	}
	n.urgentDigests = nil
	if len(u.Servers) == 0 && len(u.CrashReports)+len(u.Contents) == 0 && u.Traits.IsEmpty() {
		return
	}
	n.overlay = states
	n.publishView(now)
	if err := n.Hub.Broadcast(u); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("failed to encode an update for the other nodes")
	}
}

// sendUrgentEngineStates sends changed engine states to the nodes whose requests wait for what the
// servers have loaded. The caller holds mu.
func (n *Node) sendUrgentEngineStates(now time.Time, states map[domain.ServerID]fleet.EngineState, changed []hub.ServerState) {
	var u hub.Update
	var nodes []domain.NodeID
	for _, s := range changed {
		d := digest(s.EngineState)
		if n.urgentDigests[s.ID] == d {
			continue
		}
		waiting := n.planner.WaitingNodes(s.ID)
		if len(waiting) == 0 {
			continue
		}
		if n.urgentDigests == nil {
			n.urgentDigests = map[domain.ServerID]engineStateDigest{}
		}
		n.urgentDigests[s.ID] = d
		u.Servers = append(u.Servers, s)
		nodes = append(nodes, waiting...)
	}
	if len(nodes) == 0 {
		return
	}
	if slices.Contains(nodes, n.Name) {
		n.overlay = states
		n.publishView(now)
	}
	if err := n.Hub.Send(nodes, u); err != nil {
		n.Logger.Error().Str("Event", "UpdateFailed").Err(err).Msg("failed to encode an update for waiting nodes")
	}
}
