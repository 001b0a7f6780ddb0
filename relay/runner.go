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

// Replica is the node's replica of the replicated state.
type Replica interface {
	// Deliver applies records. Without records it only reports that the log reaches
	// up to first-1.
	Deliver(first domain.Offset, records [][]byte)
}

// ForwarderOptions configure a Forwarder; all fields are required.
type ForwarderOptions struct {
	Self    domain.NodeID
	Mesh    Mesh
	Replica Replica
	// NextOffset is the offset after the last record that the replica applied.
	NextOffset func() domain.Offset
	// IsLogReadable reports whether the last read of the log succeeded.
	IsLogReadable func() bool
}

// Forwarder forwards records between the nodes of a zone and decides whether this
// node reads the log. IsReader and OnRecords are callbacks for a platformlog.Replica,
// Handle is the handler of LogRecords messages.
type Forwarder struct {
	options ForwarderOptions

	mu         sync.Mutex
	monitor    Monitor
	lastSentAt time.Time
	isReader   bool
}

// NewForwarder returns a Forwarder that reads the log until Run has ranked the zone.
func NewForwarder(o ForwarderOptions) *Forwarder { return &Forwarder{options: o, isReader: true} }

// Run follows the members of the mesh and the relay until ctx ends.
func (f *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(readerCheckInterval)
	defer ticker.Stop()
	for {
		changed := f.options.Mesh.Changed()
		f.updateRanking(time.Now())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				waiting = false
			case <-ticker.C:
				f.updateReader(time.Now())
			}
		}
	}
}

// IsReader reports whether this node reads the log itself.
func (f *Forwarder) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isReader
}

// OnRecords forwards records that were read from the log. It does not block.
func (f *Forwarder) OnRecords(first domain.Offset, records [][]byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isReader {
		return
	}
	for len(records) > 0 {
		n := messageLength(records)
		f.sendToChildren(peer.LogRecords{First: first, Records: records[:n]})
		first += domain.Offset(n)
		records = records[n:]
	}
}

// Handle delivers records or a heartbeat from another node and forwards them if that
// node ranks better.
func (f *Forwarder) Handle(from domain.NodeID, m peer.LogRecords) {
	f.mu.Lock()
	if f.monitor.RecordMessage(time.Now(), from) {
		f.sendToChildren(m)
	}
	f.mu.Unlock()
	f.options.Replica.Deliver(m.First, m.Records)
}

func (f *Forwarder) updateRanking(now time.Time) {
	ranking := NewZoneRanking(f.options.Self, f.options.Mesh.Members())
	f.mu.Lock()
	f.monitor.SetRanking(now, ranking)
	f.mu.Unlock()
	f.updateReader(now)
}

// updateReader updates whether this node reads the log and sends a heartbeat if one
// is due.
func (f *Forwarder) updateReader(now time.Time) {
	f.mu.Lock()
	wasReader := f.isReader
	f.isReader = f.monitor.ShouldRead(now)
	becameReader := f.isReader && !wasReader
	heartbeatDue := f.isReader && now.Sub(f.lastSentAt) >= HeartbeatInterval && f.options.IsLogReadable()
	if heartbeatDue {
		f.sendToChildren(peer.LogRecords{First: f.options.NextOffset()})
	}
	f.mu.Unlock()
	if becameReader {
		// The apparent gap of one record, which may not exist, makes the replica read
		// the log at once.
		f.options.Replica.Deliver(f.options.NextOffset()+1, nil)
	}
}

// sendToChildren sends a message to the children. The caller holds mu.
func (f *Forwarder) sendToChildren(m peer.LogRecords) {
	f.lastSentAt = time.Now()
	for _, n := range f.monitor.Ranking().Children() {
		f.options.Mesh.Send(n, m)
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
