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

// Intervals and limits of a Replica.
const (
	// ReadWait is the long-poll wait of a read.
	ReadWait = time.Second
	// RelayedReadInterval is how often a node reads the log while it gets its records
	// from a relay.
	RelayedReadInterval = time.Minute
	// DefaultBatchesPerSnapshot is the number of batches between snapshots.
	DefaultBatchesPerSnapshot = 10000
	// DefaultSnapshotInterval is the time after a snapshot at which the next is due
	// even with fewer batches.
	DefaultSnapshotInterval = 10 * time.Minute
	// DefaultAppendsPerSecond limits the appends of a node whose
	// Options.AppendsPerSecond is nil.
	DefaultAppendsPerSecond = 20.0

	// recordsPerRead is the page size of reads of the decision stream.
	recordsPerRead = 1000
)

// Log is the part of the log's client that a Replica uses. *Client implements it. A Read
// must end by itself if its response makes no progress.
type Log interface {
	Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error)
	Read(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (Page, error)
}

// Options configure a Replica. Log, Records and Node are required.
type Options struct {
	Log     Log
	Records RecordCodec
	Node    domain.NodeID
	Logger  zerolog.Logger
	// Scope receives the metrics; nil means none.
	Scope tally.Scope
	// RankDelay returns the time for which this node leaves a due import or snapshot to
	// nodes of better rank. This node does the work itself if it still is due afterwards.
	// The node that is first in rank has the delay 0; nil means 0.
	RankDelay func() time.Duration
	// ReadsLog reports whether this node reads the log itself; nil means that it does.
	// Otherwise its records come by Deliver, and it reads the log only after a gap and
	// every RelayedReadInterval.
	ReadsLog func() bool
	// OnRecords receives the records that were read from the log, to relay them to
	// other nodes. It must not block.
	OnRecords func(first domain.Offset, records [][]byte)
	// AppendsPerSecond returns this node's share of the log's append rate; nil means
	// DefaultAppendsPerSecond.
	AppendsPerSecond func() float64
	// A snapshot is due after BatchesPerSnapshot batches or after SnapshotInterval,
	// whichever comes first. Zero means the default; with a negative
	// BatchesPerSnapshot this node writes no snapshots.
	BatchesPerSnapshot int
	SnapshotInterval   time.Duration
	// PeerSnapshot requests a snapshot that covers minimumOffset from the peers. It
	// returns the last offset that the snapshot covers, and the snapshot. Nil means that
	// there are no peers.
	PeerSnapshot func(ctx context.Context, minimumOffset domain.Offset) (domain.Offset, []byte, error)
}

// Replica is a node's replica of the state machine. While Run runs, it applies the
// decision stream, appends proposed records, imports operator records and writes
// snapshots.
type Replica struct {
	options  Options
	codec    *Codec
	scope    tally.Scope
	appender appender
	// readRequested is signalled to make follow read the log at once. Its buffer holds
	// one signal.
	readRequested chan struct{}

	// mu guards the fields down to snapshotAt.
	mu    sync.RWMutex
	state *fold.State
	// changed is closed and replaced when the state or ready changes.
	changed chan struct{}
	// readyOffset is the last offset of the log at this node's first successful read.
	// The replica is ready once the state covers it. hasReadyOffset is true after that
	// read.
	readyOffset    domain.Offset
	hasReadyOffset bool
	ready          bool
	// caughtUpAt is when a read last showed that the state covers the whole log.
	caughtUpAt time.Time
	// assembler collects the snapshot chunks in the decision stream.
	assembler snapshotAssembler
	// snapshotOffset is the offset that the newest complete snapshot in the decision
	// stream covers, and snapshotAt is when its last chunk was applied. Before the first
	// snapshot, snapshotAt is when Run started.
	snapshotOffset domain.Offset
	snapshotAt     time.Time

	// pageRecords limits the records of a read.
	pageRecords pageSize

	// lastReadReachedLog is true if the last read of the decision stream reached the log,
	// and lastAppendReachedLog if the last append to it did.
	lastReadReachedLog   atomic.Bool
	lastAppendReachedLog atomic.Bool
}

// New returns a replica with an empty state.
func New(o Options) (*Replica, error) {
	if o.Log == nil || o.Node == "" || o.Records.Encode == nil || o.Records.Decode == nil {
		return nil, errors.New("Options.Log, Node and Records are required")
	}
	codec, err := NewCodec(o.Records)
	if err != nil {
		return nil, err
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.BatchesPerSnapshot == 0 {
		o.BatchesPerSnapshot = DefaultBatchesPerSnapshot
	}
	if o.SnapshotInterval == 0 {
		o.SnapshotInterval = DefaultSnapshotInterval
	}
	r := &Replica{options: o, codec: codec, scope: o.Scope, readRequested: make(chan struct{}, 1),
		state: &fold.State{}, changed: make(chan struct{})}
	r.appender.init(r)
	r.lastAppendReachedLog.Store(true)
	return r, nil
}

// Run keeps the replica up to date until ctx ends. It must be called at most once.
func (r *Replica) Run(ctx context.Context) error {
	r.mu.Lock()
	r.caughtUpAt, r.snapshotAt = time.Now(), time.Now()
	r.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.follow(ctx) })
	group.Go(func() error { return r.appender.run(ctx) })
	group.Go(func() error { return r.importLoop(ctx) })
	if r.options.BatchesPerSnapshot > 0 {
		group.Go(func() error { return r.snapshotLoop(ctx) })
	}
	return group.Wait()
}

// View calls f with the state under a read lock. f must neither change the state nor
// keep a reference to it.
func (r *Replica) View(f func(*fold.State)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

// Changed returns a channel that is closed when the state changes next or the replica
// becomes ready.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// IsReady reports whether the state covers the log as it was at this node's
// first successful read, or was restored from a peer while the log was unreachable.
func (r *Replica) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready
}

// Lag returns the time since a read last showed that the state covers the whole log.
// Before the first such read it is the time since Run started.
func (r *Replica) Lag() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return time.Since(r.caughtUpAt)
}

// IsLogReachable reports whether both the last read of the decision stream and the last
// append to it reached the log. It is false before the first read. An append that the log
// rejected with status 429 reached it.
func (r *Replica) IsLogReachable() bool {
	return r.lastReadReachedLog.Load() && r.lastAppendReachedLog.Load()
}

// Deliver applies relayed records with consecutive offsets from first on. It ignores
// records that the state already covers. If records before first are missing, it makes
// follow read the log. A call without records reports that first-1 is the last offset of
// the log.
func (r *Replica) Deliver(first domain.Offset, records [][]byte) {
	gap := r.apply(first, records)
	behind := len(records) == 0 && first > r.offset()+1
	if gap || behind {
		r.requestRead()
	}
}

// requestRead makes follow read the log now.
func (r *Replica) requestRead() {
	select {
	case r.readRequested <- struct{}{}:
	default:
	}
}

// decodedBatch is the batch of one log record, or the error from decoding it.
type decodedBatch struct {
	batch fold.Batch
	err   error
}

// apply applies records with consecutive offsets from first on. It reports whether there
// is a gap between the state and these records.
func (r *Replica) apply(first domain.Offset, records [][]byte) bool {
	batches := make([]decodedBatch, len(records))
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
			r.applyBatch(o, d)
		}
	}
	if r.state.Offset() != before {
		r.publishChange()
	}
	return false
}

// applyBatch applies the batch at offset o. The caller holds mu.
func (r *Replica) applyBatch(o domain.Offset, d decodedBatch) {
	if d.err != nil {
		r.state.Skip(o)
		r.scope.Counter("undecodable_decisions").Inc(1)
		r.options.Logger.Error().Str("Event", "DecisionSkipped").Err(d.err).Uint64("Offset", uint64(o)).Msg("decision record cannot be decoded and is skipped by every node")
		return
	}
	results := r.state.Apply(o, d.batch)
	for i, record := range d.batch.Records {
		r.observeRecord(o, record, results[i])
	}
	if d.batch.Node == r.options.Node {
		r.appender.resolve(d.batch.First, results)
	}
}

// observeRecord adds an accepted snapshot chunk to assembler. For an accepted import it
// logs the operator records that had no effect. The caller holds mu.
func (r *Replica) observeRecord(o domain.Offset, record fold.Record, result fold.RecordResult) {
	if result.Rejection != fold.Accepted {
		return
	}
	switch record := record.(type) {
	case fold.SnapshotChunk:
		if _, complete := r.assembler.add(record); complete && record.Through > r.snapshotOffset {
			r.snapshotOffset, r.snapshotAt = record.Through, time.Now()
		}
	case fold.ConfigurationImported:
		r.logRejectedChanges(o, record)
	}
}

// logRejectedChanges counts an import, and counts and logs its operator records that had
// no effect. It looks at the last MaximumResults only, because the state has no results of
// earlier ones.
func (r *Replica) logRejectedChanges(o domain.Offset, record fold.ConfigurationImported) {
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

// publishChange updates ready and the gauges, and closes the channel of Changed. The
// caller holds mu.
func (r *Replica) publishChange() {
	if r.hasReadyOffset && r.state.Offset() >= r.readyOffset {
		r.ready = true
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.scope.Gauge("decision_offset").Update(float64(r.state.Offset()))
	r.scope.Gauge("configuration_offset").Update(float64(r.state.ConfigurationOffset()))
}

// offset returns the decision offset of the state.
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
