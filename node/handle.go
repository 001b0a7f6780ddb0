package node

import (
	"context"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// Handler dispatches messages from other nodes to the node's part in each role.
type Handler struct {
	Gossip       *ReportGossip
	Coordinator  *Coordinator
	LeaseManager *LeaseManager
	Pacer        *Pacer
	Claims       *Claims
	// Snapshot returns this node's encoded state and the offset that it includes.
	Snapshot func() (domain.Offset, []byte, error)
	// OffsetsAndLoads returns the offsets up to which this node has applied the log, with the
	// loads of its servers.
	OffsetsAndLoads func() peer.Applied
	// ReceiveSuspects handles the request contents and traits that another node suspects of
	// crashing backend servers.
	ReceiveSuspects func(peer.Suspects)
	// ReceiveUsage handles another node's use of shared limits.
	ReceiveUsage func(from domain.NodeID, u peer.Usage)
	// Status returns a part of this node's status as JSON.
	Status func(peer.StatusRequest) ([]byte, error)
	// Append appends records to the platform's log for a node of this availability zone,
	// whose relay this node is.
	Append func(ctx context.Context, a peer.AppendRecords) (peer.Appended, error)
	// Deliver handles records that a relay forwarded.
	Deliver func(from domain.NodeID, r peer.LogRecords)
}

// Handle processes one message and returns the response. The response to a one-way message
// is nil.
func (h *Handler) Handle(ctx context.Context, from domain.NodeID, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case peer.Wake:
		return h.Coordinator.handleWake(ctx, m)
	case peer.Load:
		return h.load(ctx, m)
	case peer.ReleasePermit:
		return peer.Released{}, h.LeaseManager.ReleasePermit(ctx, m)
	case peer.AppendRecords:
		return h.Append(ctx, m)
	case peer.AcquirePace:
		return h.Pacer.Acquire(ctx, from, m)
	case peer.CommandQuery:
		return h.Claims.Query(ctx, m), nil
	case peer.SnapshotRequest:
		return h.snapshot(m)
	case peer.StatusRequest:
		if m.Part == peer.AppliedPart {
			return h.OffsetsAndLoads(), nil
		}
		raw, err := h.Status(m)
		return peer.Status{JSON: raw}, err
	}
	return nil, h.handleOneWay(from, m)
}

// handleOneWay processes messages without a response.
func (h *Handler) handleOneWay(from domain.NodeID, m peer.Message) error {
	if h.Gossip.handle(from, m) {
		return nil
	}
	switch m := m.(type) {
	case peer.ReleasePace:
		h.Pacer.Release(m)
	case peer.Suspects:
		h.ReceiveSuspects(m)
	case peer.Usage:
		h.ReceiveUsage(from, m)
	case peer.LogRecords:
		h.Deliver(from, m)
	default:
		return verdict.Refuse(verdict.BadRequest, "the message is not known here")
	}
	return nil
}

// load loads a model and includes the server's report in the response, so that the
// coordinator need not wait for the report to arrive by gossip.
func (h *Handler) load(ctx context.Context, m peer.Load) (peer.Message, error) {
	loaded, err := h.LeaseManager.Load(ctx, m)
	if err != nil {
		return nil, err
	}
	loaded.Reports, loaded.Age = h.Gossip.ownedReport(m.Server)
	return loaded, nil
}

func (h *Handler) snapshot(r peer.SnapshotRequest) (peer.Message, error) {
	through, data, err := h.Snapshot()
	if err != nil {
		return nil, err
	}
	if through < r.AtLeast {
		return nil, verdict.Refuse(verdict.NotReady, "this node's state is older than asked for")
	}
	return peer.Snapshot{Through: through, Data: data}, nil
}
