package node

import (
	"context"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// Handler dispatches messages from other nodes. A nil response belongs to a one-way
// message.
type Handler struct {
	Gossip       *ReportGossip
	Coordinator  *Coordinator
	LeaseManager *LeaseManager
	Pacer        *Pacer
	Claims       *Claims
	// Snapshot returns this node's encoded state and the offset that it includes.
	Snapshot func() (domain.Offset, []byte, error)
	// Applied returns how far this node has applied the log, with the loads of its servers.
	Applied func() peer.Applied
	// ReceiveSuspects handles suspected request contents from other nodes.
	ReceiveSuspects func([]peer.Suspect)
	// ReceiveUsage handles another node's use of shared limits.
	ReceiveUsage func(from domain.NodeID, u peer.Usage)
	// Status returns a part of this node's status as JSON.
	Status func(peer.StatusRequest) ([]byte, error)
	// Append appends records for a node of this availability zone.
	Append func(ctx context.Context, a peer.AppendRecords) (peer.Appended, error)
	// Deliver handles records that a relay forwarded.
	Deliver func(from domain.NodeID, r peer.LogRecords)
}

// Handle processes one message and returns the response.
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
			return h.Applied(), nil
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
		h.ReceiveSuspects(m.Suspects)
	case peer.Usage:
		h.ReceiveUsage(from, m)
	case peer.LogRecords:
		h.Deliver(from, m)
	default:
		return verdict.Refuse(verdict.BadRequest, "the message is not known here")
	}
	return nil
}

// load includes the server's report in the response, so that the coordinator does not have
// to wait for the report to arrive.
func (h *Handler) load(ctx context.Context, m peer.Load) (peer.Message, error) {
	a, err := h.LeaseManager.Load(ctx, m)
	if err != nil {
		return nil, err
	}
	a.Reports, a.Age = h.Gossip.ownedReport(m.Server)
	return a, nil
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
