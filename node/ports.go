// Package node assembles one process of the system. It connects the callers' API (package
// caller), the replicated state (fold, over platformlog), the mesh of peers and the backend
// servers, and implements this process's part in each cluster role: entry for callers,
// coordinator of a model's cold starts, lease owner of backend servers, and pacer of loads
// from the weight store.
//
// The command serve creates a Node and runs it until shutdown. The rules themselves are in
// other packages (fold, owner, waking, routing, reports); node reads clocks, calls peers
// and servers, and applies those rules. It changes the replicated state only by proposing
// records to the log.
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
	// Propose appends records and returns what the state machine decided about each.
	Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Mesh carries messages to other nodes. *peer.Mesh implements it.
type Mesh interface {
	Call(ctx context.Context, to domain.NodeID, m peer.Message) (peer.Message, error)
	Send(to domain.NodeID, m peer.Message)
	Broadcast(m peer.Message)
	Members() []peer.Member
	IsAlive(n domain.NodeID) bool
}

// VMLister reads the platform's list of VMs. *vmlist.VMList implements it.
type VMLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}
