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
	// usageInterval is how often nodes tell each other the use of limits.
	usageInterval = time.Second
	// logDownDelay is how long the log must be away before that counts.
	logDownDelay = 2 * time.Second
)

// appliedOffsets is how far other nodes have said that they have folded. The zero heard is
// empty.
type appliedOffsets struct {
	mu    sync.Mutex
	nodes map[domain.NodeID]peer.Applied
}

// record takes an answer unless a later one is known.
func (h *appliedOffsets) record(from domain.NodeID, a peer.Applied) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nodes == nil {
		h.nodes = make(map[domain.NodeID]peer.Applied)
	}
	if h.nodes[from].Decision <= a.Decision {
		h.nodes[from] = a
	}
}

// forMembers returns what the members have said and forgets other nodes.
func (h *appliedOffsets) forMembers(members []peer.Member) map[domain.NodeID]peer.Applied {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[domain.NodeID]peer.Applied, len(members))
	for _, m := range members {
		out[m.Node] = h.nodes[m.Node]
	}
	h.nodes = maps.Clone(out)
	return out
}

// applied returns how far this node has folded.
func (n *Node) applied() (a peer.Applied) {
	n.replica.View(func(s *fold.State) {
		a = peer.Applied{Decision: s.Offset(), Configuration: s.ConfigurationOffset()}
	})
	return a
}

// appliedWithLoads is applied with the load of each of the servers that this node owns.
func (n *Node) appliedWithLoads() peer.Applied {
	a := n.applied()
	now := time.Now()
	for _, s := range n.leaseManager.OwnedServers() {
		if r, ok := n.deps.Reports.Current(s, now); ok {
			a.Loads = append(a.Loads, r.Counts().Total())
		}
	}
	return a
}

// collectApplied asks the other live nodes how far they have folded. A node that does
// not answer counts with what it said last. With onlyBehind, a node that has said
// before that it has this node's configuration is not asked again: a node never
// goes back, and a restarted one has another id.
func (n *Node) collectApplied(ctx context.Context, onlyBehind bool) map[domain.NodeID]peer.Applied {
	members := n.mesh.Members()
	own := n.appliedWithLoads()
	n.appliedOffsets.record(n.options.Node, own)
	known := n.appliedOffsets.forMembers(members)
	n.forEachPeer(func(to domain.NodeID) {
		if onlyBehind && known[to].Configuration >= own.Configuration {
			return
		}
		if a, err := n.requestApplied(ctx, to); err == nil {
			n.appliedOffsets.record(to, a)
		}
	})
	out := n.appliedOffsets.forMembers(members)
	out[n.options.Node] = own
	return out
}

func (n *Node) requestApplied(ctx context.Context, to domain.NodeID) (peer.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, peerRequestTimeout)
	defer cancel()
	answer, err := n.mesh.Call(ctx, to, peer.StatusRequest{Part: peer.AppliedPart})
	if err != nil {
		return peer.Applied{}, err
	}
	a, ok := answer.(peer.Applied)
	if !ok {
		return peer.Applied{}, noCapacity("the node answered something else")
	}
	return a, nil
}

// broadcastUsageLoop tells the other nodes what this one's callers use of shared limits.
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

// isLogDown tells whether the platform's log has been away for long enough that
// what needs it is refused at once.
func (n *Node) isLogDown() bool {
	return !n.replica.LogUp() && n.replica.Lag() >= logDownDelay
}
