package node

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
)

const (
	// usageInterval is how often a node broadcasts its callers' use of the limits that all
	// nodes share.
	usageInterval = time.Second
	// logDownDelay is how long the log must be unresponsive before requests that need it
	// fail at once.
	logDownDelay = 2 * time.Second
)

// appliedOffsets holds the newest peer.Applied of each node: the offsets up to which it has
// applied the log. The zero value is empty.
type appliedOffsets struct {
	mu    sync.Mutex
	nodes map[domain.NodeID]peer.Applied
}

// record stores the offsets that a node reported, unless a higher decision offset of that
// node is stored.
func (o *appliedOffsets) record(from domain.NodeID, a peer.Applied) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.nodes == nil {
		o.nodes = make(map[domain.NodeID]peer.Applied)
	}
	if o.nodes[from].Decision <= a.Decision {
		o.nodes[from] = a
	}
}

// retainMembers deletes the offsets of nodes that are not members and returns the others. A
// member that has reported nothing has the zero peer.Applied.
func (o *appliedOffsets) retainMembers(members []peer.Member) map[domain.NodeID]peer.Applied {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make(map[domain.NodeID]peer.Applied, len(members))
	for _, m := range members {
		out[m.Node] = o.nodes[m.Node]
	}
	o.nodes = maps.Clone(out)
	return out
}

// localOffsets returns the offsets up to which this node has applied the log.
func (n *Node) localOffsets() (offsets peer.Applied) {
	n.replica.View(func(s *fold.State) {
		offsets = peer.Applied{Decision: s.Offset(), Configuration: s.ConfigurationOffset()}
	})
	return offsets
}

// localOffsetsAndLoads returns the offsets up to which this node has applied the log, and the
// load counts of each server that it owns and has a usable report of.
func (n *Node) localOffsetsAndLoads() peer.Applied {
	offsets := n.localOffsets()
	now := time.Now()
	for _, s := range n.leaseManager.OwnedServers() {
		if r, ok := n.deps.Reports.UsableReport(s, now); ok {
			offsets.Loads = append(offsets.Loads, r.Loads().Total())
		}
	}
	return offsets
}

// collectOffsetsAndLoads asks the other live nodes for their offsets and loads, and returns
// those of every member. The result has the last reported offsets and loads of a node
// that does not respond. If onlyBehind is set, the function does not ask the nodes whose last
// reported configuration offset is at least this node's: offsets never decrease, and a
// restarted node has a new id.
func (n *Node) collectOffsetsAndLoads(ctx context.Context, onlyBehind bool) map[domain.NodeID]peer.Applied {
	members := n.mesh.Members()
	local := n.localOffsetsAndLoads()
	n.appliedOffsets.record(n.options.Node, local)
	lastOffsets := n.appliedOffsets.retainMembers(members)
	n.forEachPeer(func(to domain.NodeID) {
		if onlyBehind && lastOffsets[to].Configuration >= local.Configuration {
			return
		}
		if a, err := n.requestOffsetsAndLoads(ctx, to); err == nil {
			n.appliedOffsets.record(to, a)
		}
	})
	out := n.appliedOffsets.retainMembers(members)
	out[n.options.Node] = local
	return out
}

func (n *Node) requestOffsetsAndLoads(ctx context.Context, to domain.NodeID) (peer.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	response, err := n.mesh.Call(ctx, to, peer.StatusRequest{Part: peer.AppliedPart})
	if err != nil {
		return peer.Applied{}, err
	}
	a, ok := response.(peer.Applied)
	if !ok {
		return peer.Applied{}, noCapacity("the node answered something else")
	}
	return a, nil
}

// broadcastUsageLoop broadcasts, each usageInterval, how much of the shared limits this
// node's callers have used.
func (n *Node) broadcastUsageLoop(ctx context.Context) {
	for {
		if u := n.callers.Usage(); len(u.Counters) > 0 {
			n.mesh.Broadcast(u)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(usageInterval):
		}
	}
}

// isLogDown reports whether the platform's log has been unresponsive for logDownDelay, so
// that requests which need it fail at once.
func (n *Node) isLogDown() bool {
	return !n.replica.IsLogReachable() && n.replica.Lag() >= logDownDelay
}
