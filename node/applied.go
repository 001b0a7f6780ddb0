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
	// logDownAfter is how long the log must be away before that counts.
	logDownAfter = 2 * time.Second
)

// heard is how far other nodes have said that they have folded. The zero heard is
// empty.
type heard struct {
	mu    sync.Mutex
	nodes map[domain.NodeID]peer.Applied
}

// add takes an answer unless a later one is known.
func (h *heard) add(from domain.NodeID, a peer.Applied) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nodes == nil {
		h.nodes = make(map[domain.NodeID]peer.Applied)
	}
	if h.nodes[from].Decision <= a.Decision {
		h.nodes[from] = a
	}
}

// of returns what the members have said and forgets other nodes.
func (h *heard) of(members []peer.Member) map[domain.NodeID]peer.Applied {
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

// answerApplied is applied with the load of each of the servers that this node owns.
func (n *Node) answerApplied() peer.Applied {
	a := n.applied()
	now := time.Now()
	for _, s := range n.ownership.Owned() {
		if r, ok := n.deps.Reports.Server(s, now); ok {
			a.Loads = append(a.Loads, r.Loads().Total())
		}
	}
	return a
}

// gatherApplied asks the other live nodes how far they have folded. A node that does
// not answer counts with what it said last. With onlyBehind, a node that has said
// before that it has this node's configuration is not asked again: a node never
// goes back, and a restarted one has another id.
func (n *Node) gatherApplied(ctx context.Context, onlyBehind bool) map[domain.NodeID]peer.Applied {
	members := n.mesh.Members()
	own := n.answerApplied()
	n.heard.add(n.options.Node, own)
	known := n.heard.of(members)
	n.eachNode(func(to domain.NodeID) {
		if onlyBehind && known[to].Configuration >= own.Configuration {
			return
		}
		if a, err := n.askApplied(ctx, to); err == nil {
			n.heard.add(to, a)
		}
	})
	out := n.heard.of(members)
	out[n.options.Node] = own
	return out
}

func (n *Node) askApplied(ctx context.Context, to domain.NodeID) (peer.Applied, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := n.mesh.Call(ctx, to, peer.StatusRequest{Part: peer.AppliedPart})
	if err != nil {
		return peer.Applied{}, err
	}
	a, ok := answer.(peer.Applied)
	if !ok {
		return peer.Applied{}, noRoom("the node answered something else")
	}
	return a, nil
}

// tellUsage tells the other nodes what this one's callers use of shared limits.
func (n *Node) tellUsage(ctx context.Context) {
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

// logDown tells whether the platform's log has been away for long enough that
// what needs it is refused at once.
func (n *Node) logDown() bool {
	return !n.replica.IsLogReachable() && n.replica.Lag() >= logDownAfter
}
