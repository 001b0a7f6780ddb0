package relay

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

const (
	readerCheckInterval = 250 * time.Millisecond
	// maximumMessageSize bounds the records of one message, so that a long catch-up
	// does not delay calls on the link.
	maximumMessageSize = 256 * domain.Kibibyte
)

// Mesh is the part of peer.Mesh that a Forwarder needs.
type Mesh interface {
	Members() []peer.Member
	Changed() <-chan struct{}
	Send(to domain.NodeID, m peer.Message)
}

// Replica is the node's replica of the agreed state.
type Replica interface {
	// Deliver applies records. Without records it only reports that the log reaches
	// up to first-1.
	Deliver(first domain.Offset, records [][]byte)
}

// Options configure a Forwarder; all fields are required.
type Options struct {
	Self    domain.NodeID
	Mesh    Mesh
	Replica Replica
	// Next is the offset after the last record that the replica applied.
	Next func() domain.Offset
	// Healthy reports whether the last read of the log succeeded.
	Healthy func() bool
}

// Runner forwards records between the nodes of a zone and decides whether this node
// reads the log. IsReader and OnRecords are callbacks for a platformlog.Replica,
// Handle is the handler of LogRecords messages.
type Runner struct {
	options Options

	mu         sync.Mutex
	monitor    RelayMonitor
	lastSentAt time.Time
	isReader   bool
}

// New returns a Forwarder that reads the log until Run has ranked the zone.
func New(o Options) *Runner { return &Runner{options: o, isReader: true} }

// Run follows the members of the mesh and the relay until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(readerCheckInterval)
	defer ticker.Stop()
	for {
		changed := r.options.Mesh.Changed()
		r.updateRanking(time.Now())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				waiting = false
			case <-ticker.C:
				r.updateReader(time.Now())
			}
		}
	}
}

// Reads reports whether this node reads the log itself.
func (r *Runner) Reads() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReader
}

// OnRecords forwards records that were read from the log. It does not block.
func (r *Runner) OnRecords(first domain.Offset, records [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isReader {
		return
	}
	for len(records) > 0 {
		n := messageLength(records)
		r.sendToChildren(peer.LogRecords{First: first, Records: records[:n]})
		first += domain.Offset(n)
		records = records[n:]
	}
}

// Handle delivers records or a heartbeat from another node and forwards them if that
// node ranks better.
func (r *Runner) Handle(from domain.NodeID, m peer.LogRecords) {
	r.mu.Lock()
	if r.monitor.RecordMessage(time.Now(), from) {
		r.sendToChildren(m)
	}
	r.mu.Unlock()
	r.options.Replica.Deliver(m.First, m.Records)
}

func (r *Runner) updateRanking(now time.Time) {
	plan := NewPlan(r.options.Self, r.options.Mesh.Members())
	r.mu.Lock()
	r.monitor.SetRanking(now, plan)
	r.mu.Unlock()
	r.updateReader(now)
}

// updateReader updates whether this node reads the log and sends a heartbeat if one
// is due.
func (r *Runner) updateReader(now time.Time) {
	r.mu.Lock()
	wasReader := r.isReader
	r.isReader = r.monitor.ShouldRead(now)
	becameReader := r.isReader && !wasReader
	heartbeatDue := r.isReader && now.Sub(r.lastSentAt) >= HeartbeatInterval && r.options.Healthy()
	if heartbeatDue {
		r.sendToChildren(peer.LogRecords{First: r.options.Next()})
	}
	r.mu.Unlock()
	if becameReader {
		// The apparent gap of one record, which may not exist, makes the replica read
		// the log at once.
		r.options.Replica.Deliver(r.options.Next()+1, nil)
	}
}

// sendToChildren sends a message to the children. The caller holds mu.
func (r *Runner) sendToChildren(m peer.LogRecords) {
	r.lastSentAt = time.Now()
	for _, n := range r.monitor.Ranking().Children() {
		r.options.Mesh.Send(n, m)
	}
}

// messageLength returns the number of records for one message, at least one.
func messageLength(records [][]byte) int {
	size := domain.Bytes(0)
	for i, data := range records {
		size += domain.Bytes(len(data))
		if i > 0 && size > maximumMessageSize {
			return i
		}
	}
	return len(records)
}
