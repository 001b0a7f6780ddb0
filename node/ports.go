// Package node is one process of the system: it joins the callers' API, the
// agreed state, the links to other nodes and the backend servers, and takes the
// roles of entry, home, owner and pacer.
package node

import (
	"context"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// Agreement is this node's copy of the agreed state. *platformlog.Replica
// implements it.
type Agreement interface {
	// View calls f with the state, which f must neither change nor keep.
	View(f func(*fold.State))
	// Propose appends records and returns what the fold made of them.
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
	Alive(n domain.NodeID) bool
}

// VMLister reads the platform's list. *vmlist.VMList implements it.
type VMLister interface {
	List(ctx context.Context) ([]vmlist.VM, error)
}
