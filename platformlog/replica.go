package platformlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// Times and sizes of a Replica.
const (
	// ReadWait is how long one read waits at the log for the next record.
	ReadWait = time.Second
	// CallTimeout bounds a call to the log beside the wait it asks for.
	CallTimeout = 5 * time.Second
	// IdleRead is how often a node reads that gets its records from a relay.
	IdleRead = time.Minute
	// DefaultSnapshotEvery is the number of batches between snapshots.
	DefaultSnapshotEvery = 10000
	// DefaultSnapshotInterval is the longest time between snapshots.
	DefaultSnapshotInterval = 10 * time.Minute
	// DefaultAppendsPerSecond is a node's share of the append rate.
	DefaultAppendsPerSecond = 20.0

	readRecords = 1000
)

// Log is the part of the platform's log that a Replica needs. *Client implements
// it.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error)
	Read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (Page, error)
}

// Options say what a Replica works with. Client, Records and Node are needed.
type Options struct {
	Log     Log
	Records RecordCodec
	Node    domain.NodeID
	Logger  zerolog.Logger
	// Scope gets the metrics; nil means none.
	Scope tally.Scope
	// RankDelay is how long this node waits for others before it imports
	// operator records; nil or 0 for the first in rank.
	RankDelay func() time.Duration
	// ReadsLog tells whether this node follows the log itself; nil means that it
	// does. Others get records by Deliver and read only where that fails.
	ReadsLog func() bool
	// OnRecords is told of records that were read from the log, for a relay to
	// pass on. It must not block.
	OnRecords func(first domain.Offset, records [][]byte)
	// AppendsPerSecond is this node's share of the append rate; nil means
	// DefaultAppendsPerSecond.
	AppendsPerSecond func() float64
	// SnapshotEvery is the number of batches between snapshots, SnapshotInterval
	// the longest time; zero means the defaults, a negative SnapshotEvery that
	// this node writes none.
	SnapshotEvery    int
	SnapshotInterval time.Duration
	// PeerSnapshot asks peers for a state that covers an offset, the newest that
	// they have; nil where there are none.
	PeerSnapshot func(ctx context.Context, atLeast domain.Offset) (domain.Offset, []byte, error)
}

// Replica is a node's copy of the agreed state. It follows the decision stream,
// proposes records, imports configuration and writes snapshots while Run runs.
type Replica struct {
	options Options
	codec   *Codec
	scope   tally.Scope
	append  appender
	// kick asks the follower to read now.
	kick chan struct{}

	// mu guards the fields below.
	mu      sync.RWMutex
	state   *fold.State
	changed chan struct{}
	// target is the last offset that the log had when this node first saw it.
	target   domain.Offset
	targeted bool
	ready    bool
	// caughtUp is when the state last had every record that the log showed.
	caughtUp time.Time
	// chunks are those of the newest snapshot seen passing, whole the offset that
	// the newest whole one covers.
	chunks  collector
	whole   domain.Offset
	wholeAt time.Time

	readUp   atomic.Bool
	appendUp atomic.Bool
}

// New returns a replica with an empty state.
func New(o Options) (*Replica, error) {
	if o.Log == nil || o.Node == "" || o.Records.Encode == nil || o.Records.Decode == nil {
		return nil, errors.New("options need Client, Node and Records")
	}
	codec, err := NewCodec(o.Records)
	if err != nil {
		return nil, err
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.SnapshotEvery == 0 {
		o.SnapshotEvery = DefaultSnapshotEvery
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = DefaultSnapshotInterval
	}
	r := &Replica{options: o, codec: codec, scope: o.Scope, kick: make(chan struct{}, 1),
		state: &fold.State{}, changed: make(chan struct{})}
	r.append.init(r)
	r.appendUp.Store(true)
	return r, nil
}

// Run follows the log until ctx ends. It may be called once.
func (r *Replica) Run(ctx context.Context) error {
	r.mu.Lock()
	r.caughtUp, r.wholeAt = time.Now(), time.Now()
	r.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.append.run(ctx) })
	group.Go(func() error { return r.importLoop(ctx) })
	if r.options.SnapshotEvery > 0 {
		group.Go(func() error { return r.snapshotLoop(ctx) })
	}
	return group.Wait()
}

// View calls f with the state under a read lock. F must not keep the state.
func (r *Replica) View(f func(*fold.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Changed returns a channel that is closed at the next change of the state.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// IsReady tells whether the state is at least as new as the log was when this node
// first saw it, or as its peers were where the log is down.
func (r *Replica) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Lag is how long ago the state last had every record that the log showed.
func (r *Replica) Lag() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return time.Since(r.caughtUp)
}

// IsLogReachable tells whether the last read and the last append reached the log.
func (r *Replica) IsLogReachable() bool { return r.readUp.Load() && r.appendUp.Load() }

// Deliver applies records that a relay passed on. Records that are known already
// are ignored; after a gap the node reads the log itself. Without records, first
// only tells that the log reaches up to first-1.
func (r *Replica) Deliver(first domain.Offset, records [][]byte) {
	gap := r.apply(first, records)
	behind := len(records) == 0 && first > r.offset()+1
	if gap || behind {
		r.readNow()
	}
}

// readNow asks the follower to read without waiting.
func (r *Replica) readNow() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// decoded is one record of the decision stream.
type decoded struct {
	batch fold.Batch
	err   error
}

// apply folds records from offset first on and tells whether there was a gap
// before them.
func (r *Replica) apply(first domain.Offset, records [][]byte) bool {
	batches := make([]decoded, len(records))
	for i, data := range records {
		batches[i].batch, batches[i].err = r.codec.DecodeBatch(data)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.state.Offset()
	for i, d := range batches {
		o := first + domain.Offset(i)
		if o > r.state.Offset()+1 {
			return true
		}
		if o == r.state.Offset()+1 {
			r.applyOne(o, d)
		}
	}
	if r.state.Offset() != before {
		r.noteChange()
	}
	return false
}

// applyOne folds one record. The caller holds mu.
func (r *Replica) applyOne(o domain.Offset, d decoded) {
	if d.err != nil {
		r.state.Skip(o)
		r.scope.Counter("undecodable_decisions").Inc(1)
		r.options.Logger.Error().Str("Event", "DecisionSkipped").Err(d.err).Uint64("Offset", uint64(o)).Msg("decision record cannot be decoded and is skipped by every node")
		return
	}
	outcomes := r.state.Apply(o, d.batch)
	for i, record := range d.batch.Records {
		r.note(o, record, outcomes[i])
	}
	if d.batch.Node == r.options.Node {
		r.append.resolve(d.batch.First, outcomes)
	}
}

// note watches for snapshots and logs operator records without effect. The caller
// holds mu.
func (r *Replica) note(o domain.Offset, record fold.Record, outcome fold.RecordResult) {
	if outcome.Rejection != fold.Accepted {
		return
	}
	switch record := record.(type) {
	case fold.SnapshotChunk:
		if _, whole := r.chunks.add(record); whole && record.Through > r.whole {
			r.whole, r.wholeAt = record.Through, time.Now()
		}
	case fold.ConfigurationImported:
		r.noteImport(o, record)
	}
}

// noteImport logs every operator record that had no effect, as far as the fold
// keeps its result.
func (r *Replica) noteImport(o domain.Offset, record fold.ConfigurationImported) {
	r.scope.Counter("configuration_imports").Inc(1)
	first := record.After + 1
	if record.Through-record.After > fold.MaximumResults {
		first = record.Through - fold.MaximumResults + 1
	}
	for c := first; c <= record.Through; c++ {
		rejection, known := r.state.ConfigurationResult(c)
		if !known || rejection == fold.Accepted {
			continue
		}
		r.scope.Counter("configuration_skipped").Inc(1)
		r.options.Logger.Error().Str("Event", "ConfigurationSkipped").Uint64("ConfigurationOffset", uint64(c)).Uint64("Offset", uint64(o)).
			Stringer("Rejection", rejection).Msg("operator record has no effect")
	}
}

// noteChange wakes those who wait for a change. The caller holds mu.
func (r *Replica) noteChange() {
	if r.targeted && r.state.Offset() >= r.target {
		r.ready = true
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.scope.Gauge("decision_offset").Update(float64(r.state.Offset()))
	r.scope.Gauge("configuration_offset").Update(float64(r.state.ConfigurationOffset()))
}

// offset returns the offset of the state.
func (r *Replica) offset() domain.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Offset()
}

// configurationOffset returns the configuration offset of the state.
func (r *Replica) configurationOffset() domain.Offset {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.ConfigurationOffset()
}
