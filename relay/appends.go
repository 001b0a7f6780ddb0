package relay

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/platformlog"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	// maximumBatchSize is the maximum size of the records of a batch, which is one
	// append to the log with the records of several appends. A single larger append
	// is a batch of its own.
	maximumBatchSize = domain.Mebibyte
	// maximumQueuedAppends is the maximum number of appends in the queue of a relay.
	maximumQueuedAppends = 4096
	// appendTimeout is the timeout of a node's call to its relay, and of the relay's
	// append to the log.
	appendTimeout = 5 * time.Second
	// directAppendPeriod is how long a node appends to the log directly after an append
	// through its relay failed.
	directAppendPeriod = 10 * time.Second
	// appendBurst is the size of the token buckets for batches and for direct appends.
	appendBurst = 4
)

// PeerClient sends requests to other nodes. *peer.Mesh implements it.
type PeerClient interface {
	Call(ctx context.Context, to domain.NodeID, m peer.Message) (peer.Message, error)
}

// BatchedLogOptions configure a BatchedLog; all fields are required.
type BatchedLogOptions struct {
	// Log is the platform's log without batching.
	Log  platformlog.Log
	Mesh PeerClient
	// Ranking returns the current ranking of the zone.
	Ranking func() ZoneRanking
	// ZoneAppendsPerSecond returns the rate limit of the batches of a relay, and
	// NodeAppendsPerSecond the rate limit of the direct appends of a node.
	ZoneAppendsPerSecond, NodeAppendsPerSecond func() float64
}

// BatchedLog is the platform's log with group commit of the decision stream: the
// nodes of an availability zone send their appends to the relay, which combines its
// queued appends into batches. A node whose relay fails appends directly for
// directAppendPeriod. A record can reach the log twice that way, as after any lost
// response; the state machine ignores the duplicate.
type BatchedLog struct {
	options     BatchedLogOptions
	zoneLimiter *rate.Limiter
	nodeLimiter *rate.Limiter

	mu          sync.Mutex
	queue       []*queuedAppend
	queueSignal chan struct{}
	// directDeadline is the time until which this node appends directly because its
	// relay failed.
	directDeadline time.Time
}

// queuedAppend is one append in the queue of the relay.
type queuedAppend struct {
	records [][]byte
	size    domain.Bytes
	done    chan struct{}
	// firstOffset is the offset of the first of records in the log. It and err, the
	// error of the append, are set before done is closed.
	firstOffset domain.Offset
	err         error
}

var _ platformlog.Log = (*BatchedLog)(nil)

// NewBatchedLog returns a BatchedLog. It serves as a relay only while Run runs.
func NewBatchedLog(o BatchedLogOptions) *BatchedLog {
	return &BatchedLog{
		options:     o,
		zoneLimiter: rate.NewLimiter(1, appendBurst),
		nodeLimiter: rate.NewLimiter(1, appendBurst),
		queueSignal: make(chan struct{}, 1),
	}
}

// Read implements platformlog.Log.
func (l *BatchedLog) Read(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (platformlog.Page, error) {
	return l.options.Log.Read(ctx, stream, from, limit, wait)
}

// Append implements platformlog.Log. It appends records of the decision stream in
// batches: through the relay, or in its own batches if this node is the relay or alone
// in its zone. If an append through the relay failed within directAppendPeriod, it
// appends them directly.
func (l *BatchedLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if stream != fold.DecisionStream {
		return l.options.Log.Append(ctx, stream, records)
	}
	ranking := l.options.Ranking()
	if ranking.Rank == 0 || len(ranking.Ranked) < 2 {
		return l.appendBatched(ctx, records)
	}
	if time.Now().Before(l.directUntil()) {
		return l.appendDirect(ctx, records)
	}
	return l.appendViaRelay(ctx, ranking.Ranked[0], records)
}

func (l *BatchedLog) directUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.directDeadline
}

// appendViaRelay sends records to the relay. If the call fails, this node appends
// directly for directAppendPeriod. If the relay certainly did not append the records,
// appendViaRelay appends them directly; otherwise their outcome is unknown.
func (l *BatchedLog) appendViaRelay(ctx context.Context, relay domain.NodeID, records [][]byte) (domain.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	response, err := l.options.Mesh.Call(ctx, relay, peer.AppendRecords{Records: records})
	if appended, ok := response.(peer.Appended); err == nil && ok {
		return appended.First, nil
	}
	l.mu.Lock()
	l.directDeadline = time.Now().Add(directAppendPeriod)
	l.mu.Unlock()
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		return l.appendDirect(ctx, records)
	}
	return 0, &platformlog.Error{Failure: platformlog.OutcomeUnknown, Cause: errors.Wrap(err, "append through the relay")}
}

// appendDirect appends records to the log without the relay, within this node's rate
// limit.
func (l *BatchedLog) appendDirect(ctx context.Context, records [][]byte) (domain.Offset, error) {
	l.nodeLimiter.SetLimit(rate.Limit(l.options.NodeAppendsPerSecond()))
	if err := l.nodeLimiter.Wait(ctx); err != nil {
		return 0, &platformlog.Error{Failure: platformlog.NotAppended, Cause: err}
	}
	return l.options.Log.Append(ctx, fold.DecisionStream, records)
}

// Handle appends the records of another node of the zone. It does so even if this node
// is not the relay in its own view, because this costs only one more append.
func (l *BatchedLog) Handle(ctx context.Context, m peer.AppendRecords) (peer.Appended, error) {
	first, err := l.appendBatched(ctx, m.Records)
	if err == nil {
		return peer.Appended{First: first}, nil
	}
	if platformlog.FailureOf(err) == platformlog.NotAppended {
		return peer.Appended{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the relay did not append", Cause: err}
	}
	return peer.Appended{}, verdict.UnknownOutcome(verdict.LogUnavailable, "the relay's append has no known outcome", err)
}

// appendBatched queues records for the next batch and waits for its outcome.
func (l *BatchedLog) appendBatched(ctx context.Context, records [][]byte) (domain.Offset, error) {
	w := &queuedAppend{records: records, done: make(chan struct{})}
	for _, r := range records {
		w.size += domain.Bytes(len(r))
	}
	if !l.enqueue(w) {
		return 0, &platformlog.Error{Failure: platformlog.NotAppended, Cause: errors.New("relay: append queue is full")}
	}
	select {
	case <-w.done:
		return w.firstOffset, w.err
	case <-ctx.Done():
		return 0, l.dequeue(w, ctx.Err())
	}
}

func (l *BatchedLog) enqueue(w *queuedAppend) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maximumQueuedAppends {
		return false
	}
	l.queue = append(l.queue, w)
	select {
	case l.queueSignal <- struct{}{}:
	default:
	}
	return true
}

// dequeue removes an append from the queue because its caller stopped waiting, and returns
// the error for the caller. If the append is no longer queued, its outcome is unknown,
// because its records may be in the log.
func (l *BatchedLog) dequeue(w *queuedAppend, cause error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, x := range l.queue {
		if x == w {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return &platformlog.Error{Failure: platformlog.NotAppended, Cause: cause}
		}
	}
	return &platformlog.Error{Failure: platformlog.OutcomeUnknown, Cause: cause}
}

// Run appends the queued records to the log in batches until ctx ends.
func (l *BatchedLog) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.queueSignal:
		}
		for l.appendNextBatch(ctx) {
		}
	}
}

// appendNextBatch appends one batch and reports whether more is queued.
func (l *BatchedLog) appendNextBatch(ctx context.Context) bool {
	l.zoneLimiter.SetLimit(rate.Limit(l.options.ZoneAppendsPerSecond()))
	if l.zoneLimiter.Wait(ctx) != nil {
		return false
	}
	batch, more := l.nextBatch()
	if len(batch) == 0 {
		return false
	}
	var records [][]byte
	for _, w := range batch {
		records = append(records, w.records...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	first, err := l.options.Log.Append(ctx, fold.DecisionStream, records)
	for _, w := range batch {
		w.firstOffset, w.err = first, err
		first += domain.Offset(len(w.records))
		close(w.done)
	}
	return more
}

// nextBatch removes the next batch from the queue and reports whether anything is
// left in it.
func (l *BatchedLog) nextBatch() ([]*queuedAppend, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, domain.Bytes(0)
	for _, w := range l.queue {
		size += w.size
		if n > 0 && size > maximumBatchSize {
			break
		}
		n++
	}
	batch := l.queue[:n:n]
	l.queue = append([]*queuedAppend(nil), l.queue[n:]...)
	return batch, len(l.queue) > 0
}
