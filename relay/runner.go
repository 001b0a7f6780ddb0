package relay

import (
	"context"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

const (
	checkInterval = 250 * time.Millisecond
	// maximumChunk bounds the records of one message, so that a long catch-up
	// does not hold up calls on the link.
	maximumChunk = 256 * domain.Kibibyte
)

// Mesh is the part of peer.Mesh that a Runner needs.
type Mesh interface {
	Members() []peer.Member
	Changed() <-chan struct{}
	Send(to domain.NodeID, m peer.Message)
}

// Replica is the node's copy of the agreed state.
type Replica interface {
	// Deliver applies records; with none it only tells that the log reaches
	// up to first-1.
	Deliver(first domain.Offset, records [][]byte)
}

// ForwarderOptions say what a Runner works with; all are needed.
type ForwarderOptions struct {
	Self    domain.NodeID
	Mesh    Mesh
	Replica Replica
	// Next is the offset after the last record that the replica applied.
	Next func() domain.Offset
	// Healthy tells whether the last read of the log worked.
	Healthy func() bool
}

// Forwarder is one node's part in passing records on. Reads and OnRecords are the
// Relay and OnRecords of a platformlog.Replica, Handle takes its LogRecords.
type Forwarder struct {
	options ForwarderOptions

	mu    sync.Mutex
	watch Watch
	sent  time.Time
	reads bool
}

// NewForwarder returns a runner that reads the log until Run knows better.
func NewForwarder(o ForwarderOptions) *Forwarder { return &Forwarder{options: o, reads: true} }

// Run follows the mesh until ctx ends.
func (r *Forwarder) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		changed := r.options.Mesh.Changed()
		r.replan(time.Now())
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
				waiting = false
			case <-ticker.C:
				r.check(time.Now())
			}
		}
	}
}

// IsReader tells whether this node reads the log itself.
func (r *Forwarder) IsReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// OnRecords passes records on that were read from the log. It does not block.
func (r *Forwarder) OnRecords(first domain.Offset, records [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reads {
		return
	}
	for len(records) > 0 {
		n := chunk(records)
		r.send(peer.LogRecords{First: first, Records: records[:n]})
		first += domain.Offset(n)
		records = records[n:]
	}
}

// Handle takes in what a relay passed on.
func (r *Forwarder) Handle(from domain.NodeID, m peer.LogRecords) {
	r.mu.Lock()
	if r.watch.Heard(time.Now(), from) {
		r.send(m)
	}
	r.mu.Unlock()
	r.options.Replica.Deliver(m.First, m.Records)
}

func (r *Forwarder) replan(now time.Time) {
	plan := NewZoneRanking(r.options.Self, r.options.Mesh.Members())
	r.mu.Lock()
	r.watch.Follow(now, plan)
	r.mu.Unlock()
	r.check(now)
}

// check settles whether this node reads and says so to the others.
func (r *Forwarder) check(now time.Time) {
	r.mu.Lock()
	before := r.reads
	r.reads = r.watch.Reads(now)
	began := r.reads && !before
	beat := r.reads && now.Sub(r.sent) >= HeartbeatInterval && r.options.Healthy()
	if beat {
		r.send(peer.LogRecords{First: r.options.Next()})
	}
	r.mu.Unlock()
	if began {
		// A gap of one record that may not exist makes the replica read at once.
		r.options.Replica.Deliver(r.options.Next()+1, nil)
	}
}

// send passes a message to the children. The caller holds mu.
func (r *Forwarder) send(m peer.LogRecords) {
	r.sent = time.Now()
	for _, n := range r.watch.Plan().Targets() {
		r.options.Mesh.Send(n, m)
	}
}

// chunk returns how many records go into one message, at least one.
func chunk(records [][]byte) int {
	size := domain.Bytes(0)
	for i, data := range records {
		size += domain.Bytes(len(data))
		if i > 0 && size > maximumChunk {
			return i
		}
	}
	return len(records)
}
