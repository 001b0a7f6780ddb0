package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
)

// appliedInterval bounds how often a node tells how far it has folded; it does so
// on change.
const appliedInterval = 200 * time.Millisecond

const (
	// usageInterval is how often nodes tell each other the use of limits.
	usageInterval = time.Second
	// logDownAfter is how long the log must be away before that counts.
	logDownAfter = 2 * time.Second
)

// heard is how far other nodes say that they have folded. The zero heard is empty.
type heard struct {
	mu    sync.Mutex
	nodes map[domain.NodeID]peer.Applied
}

func (h *heard) add(from domain.NodeID, a peer.Applied) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.nodes == nil {
		h.nodes = make(map[domain.NodeID]peer.Applied)
	}
	h.nodes[from] = a
}

func (h *heard) all() map[domain.NodeID]peer.Applied {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[domain.NodeID]peer.Applied, len(h.nodes))
	maps.Copy(out, h.nodes)
	return out
}

// applied returns how far this node has folded.
func (n *Node) applied() (a peer.Applied) {
	n.replica.View(func(s *fold.State) {
		a = peer.Applied{Decision: s.Offset(), Configuration: s.ConfigurationOffset()}
	})
	return a
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
	return !n.replica.LogUp() && n.replica.Lag() >= logDownAfter
}

// tellApplied tells the other nodes how far this one has folded.
func (n *Node) tellApplied(ctx context.Context) {
	var last peer.Applied
	var sent time.Time
	for {
		if a := n.applied(); a.Configuration != last.Configuration || time.Since(sent) >= announceInterval {
			n.mesh.Broadcast(a)
			last, sent = a, time.Now()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(appliedInterval):
		}
	}
}

// statusJSON is this node's own view.
func (n *Node) statusJSON() ([]byte, error) {
	return json.Marshal(n.applied())
}
