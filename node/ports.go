// Package node assembles one process of the system. It connects the callers' API (package
// caller), the replicated state (fold, over platformlog), the mesh of peers and the backend
// servers, and implements this process's part in each cluster role: entry for callers,
// coordinator of a model's cold starts, lease owner of backend servers, and pacer of loads
// from the weight store.
//
// The command serve creates a Node and runs it until shutdown. Most decisions are made in
// other packages (fold, owner, waking, routing, reports); node reads clocks, calls peers
// and servers, and executes the decisions. It changes the replicated state only by
// proposing records to the log.
package node

import (
	"context"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// ReplicatedState is this node's replica of the state that all nodes compute from the
// platform's log. *platformlog.Replica implements it.
type ReplicatedState interface {
	// View calls f with the state, which f must neither modify nor retain.
	View(f func(*fold.State))
	// Propose appends records to the log and returns the state machine's result for each.
	Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error)
	// Changed returns a channel that is closed at the next change of the state.
	Changed() <-chan struct{}
}

// Mesh carries messages to other nodes. *peer.Mesh implements it.
type Mesh interface {
	// Call sends a message and waits for the response.
	Call(ctx context.Context, to domain.NodeID, m peer.Message) (peer.Message, error)
	// Send sends a one-way message, which may be lost.
	Send(to domain.NodeID, m peer.Message)
	// Broadcast sends a one-way message to every other live node.
	Broadcast(m peer.Message)
	// Members returns the live nodes, this node included.
	Members() []peer.Member
	IsAlive(n domain.NodeID) bool
}

// VMLister reads the platform's list of VMs. *vmlist.Client implements it.
type VMLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}
