package platformlog

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/verdict"
)

// Limits of a node's proposals.
const (
	// MaximumQueuedRecords limits the records in the queue. Propose rejects records that
	// would exceed it.
	MaximumQueuedRecords = 2048
	// MaximumBatchRecords limits the records of one append, and MaximumBatchBytes the sum
	// of the encodedBytes of its proposals.
	MaximumBatchRecords = 256
	MaximumBatchBytes   = 512 << 10

	// appendBurst is the number of appends that the rate limit allows at once.
	appendBurst = 8
)

// proposal is one call of Propose.
type proposal struct {
	records []fold.Record
	// encodedBytes is the length of a batch that has these records alone.
	encodedBytes int
	// firstSequence is the sequence of records[0] in the last batch that included the
	// proposal.
	firstSequence domain.Sequence
	// sent is true while the proposal is in a batch that may be in the log.
	sent    bool
	results []fold.RecordResult
	// unresolved is the number of records without a known result.
	unresolved int
	// done is closed after results or err has been set.
	err  error
	done chan struct{}
}

// finish ends the proposal, with its results if err is nil. The caller holds the
// appender's mu.
func (p *proposal) finish(err error) {
	p.err = err
	close(p.done)
}

// appender combines proposals into batches and appends one batch at a time.
type appender struct {
	replica *Replica
	limiter *rate.Limiter
	// workQueued is signalled when a proposal is queued. resultsKnown is signalled when
	// in-flight proposals may have got their results or an error.
	workQueued, resultsKnown chan struct{}

	// mu guards the fields below and the proposals in queue and inFlight.
	mu            sync.Mutex
	closed        bool
	queue         []*proposal
	queuedRecords int
	// inFlight are the sent proposals without results, in the order of their sequences.
	inFlight []*proposal
	// lastSequence is the highest sequence of a record that may be in the log.
	lastSequence domain.Sequence
	// startedOffset is the offset of the state before this node's first append. It
	// becomes fold.Batch.Started.
	startedOffset domain.Offset
}

func (a *appender) init(r *Replica) {
	a.replica = r
	a.limiter = rate.NewLimiter(DefaultAppendsPerSecond, appendBurst)
	a.workQueued = make(chan struct{}, 1)
	a.resultsKnown = make(chan struct{}, 1)
}

// Propose appends records in one batch, waits until this node has applied them, and
// returns the result of each. Errors are *verdict.Error. NotRun means that none of the
// records is in the log, now or later. MayHaveRun means that the records were sent but
// their results are unknown, because ctx ended, the node shuts down, or a restored
// snapshot covers the records.
func (r *Replica) Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error) {
	p, err := r.appender.enqueue(records)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.done:
		return p.results, p.err
	case <-ctx.Done():
		return r.appender.cancel(p, ctx.Err())
	}
}

// enqueue adds records to the queue as one proposal, or rejects them.
func (a *appender) enqueue(records []fold.Record) (*proposal, error) {
	data, err := a.replica.codec.EncodeBatch(fold.Batch{Node: a.replica.options.Node, Records: records})
	if err != nil || len(records) == 0 || len(records) > MaximumBatchRecords || len(data) > MaximumBatchBytes {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "records cannot be proposed", Cause: err}
	}
	p := &proposal{records: records, encodedBytes: len(data), results: make([]fold.RecordResult, len(records)), unresolved: len(records),
		done: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, verdict.Refuse(verdict.Draining, "the node stops")
	}
	if a.queuedRecords+len(records) > MaximumQueuedRecords {
		return nil, a.queueFullError()
	}
	a.queue = append(a.queue, p)
	a.queuedRecords += len(records)
	notify(a.workQueued)
	return p, nil
}

func (a *appender) queueFullError() error {
	if !a.replica.IsLogReachable() {
		return verdict.Refuse(verdict.LogUnavailable, "the log is down and too many records wait for it")
	}
	return verdict.Refuse(verdict.QueueFull, "too many records wait for the log")
}

// cancel ends the wait for a proposal whose context ended. A proposal that was sent
// stays in flight, and its outcome is unknown. Any other is removed from the queue.
func (a *appender) cancel(p *proposal, cause error) ([]fold.RecordResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-p.done:
		return p.results, p.err
	default:
	}
	reason := verdict.DeadlinePassed
	if !a.replica.IsLogReachable() {
		reason = verdict.LogUnavailable
	}
	if p.sent {
		return nil, verdict.UnknownOutcome(reason, "the append has no known outcome", cause)
	}
	a.queue = slices.DeleteFunc(a.queue, func(q *proposal) bool { return q == p })
	a.queuedRecords -= len(p.records)
	return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason, Message: "the records were not appended in time", Cause: cause}
}

// run appends batches until ctx ends, then fails all proposals.
func (a *appender) run(ctx context.Context) error {
	defer a.shutDown()
	var b backoff
	for ctx.Err() == nil {
		if !a.waitForWork(ctx) {
			break
		}
		if appendsPerSecond := a.replica.options.AppendsPerSecond; appendsPerSecond != nil {
			a.limiter.SetLimit(rate.Limit(appendsPerSecond()))
		}
		if a.limiter.Wait(ctx) != nil {
			break
		}
		a.appendNext(ctx, &b)
	}
	return ctx.Err()
}

// waitForWork waits until the replica is ready and a proposal is queued. It returns
// false if ctx ended.
func (a *appender) waitForWork(ctx context.Context) bool {
	for !a.replica.IsReady() {
		changed := a.replica.Changed()
		if a.replica.IsReady() {
			break
		}
		if !pause.For(ctx, ReadWait, changed) {
			return false
		}
	}
	for {
		a.mu.Lock()
		hasWork := len(a.queue) > 0
		a.mu.Unlock()
		if hasWork {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.workQueued:
		}
	}
}

// dequeueBatch moves as many proposals as fit one append from the head of the queue to
// inFlight. It returns them and a batch of their records.
func (a *appender) dequeueBatch() (fold.Batch, []*proposal) {
	offset := a.replica.offset()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lastSequence == 0 {
		a.startedOffset = offset
	}
	batch := fold.Batch{Node: a.replica.options.Node, First: a.lastSequence + 1, StartOffset: a.startedOffset}
	var proposals []*proposal
	size := 0
	for _, p := range a.queue {
		if len(proposals) > 0 && (len(batch.Records)+len(p.records) > MaximumBatchRecords || size+p.encodedBytes > MaximumBatchBytes) {
			break
		}
		p.firstSequence = batch.First + domain.Sequence(len(batch.Records))
		p.sent = true
		batch.Records = append(batch.Records, p.records...)
		size += p.encodedBytes
		proposals = append(proposals, p)
	}
	a.queue = slices.Clone(a.queue[len(proposals):])
	a.queuedRecords -= len(batch.Records)
	a.inFlight = append(a.inFlight, proposals...)
	a.lastSequence += domain.Sequence(len(batch.Records))
	return batch, proposals
}

// requeue moves the proposals of a batch back to the head of the queue and frees their
// sequences. The caller must know that the batch is not in the log, now or later.
func (a *appender) requeue(batch fold.Batch, proposals []*proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range proposals {
		p.sent = false
	}
	a.inFlight = a.inFlight[:len(a.inFlight)-len(proposals)]
	a.queue = append(slices.Clone(proposals), a.queue...)
	a.queuedRecords += len(batch.Records)
	a.lastSequence -= domain.Sequence(len(batch.Records))
}

// failBatch fails the proposals of a batch that cannot be encoded.
func (a *appender) failBatch(batch fold.Batch, proposals []*proposal, cause error) {
	a.requeue(batch, proposals)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = a.queue[len(proposals):]
	a.queuedRecords -= len(batch.Records)
	for _, p := range proposals {
		p.finish(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "records cannot be encoded", Cause: cause})
	}
}

// appendNext appends one batch. While the outcome is unknown, it appends the same batch
// again, and the state machine deduplicates the records by sequence. It returns when the
// batch is in the log or all its proposals are resolved. It also returns when the batch
// is certainly not in the log and was requeued or failed, or when ctx ends.
func (a *appender) appendNext(ctx context.Context, b *backoff) {
	batch, proposals := a.dequeueBatch()
	if len(proposals) == 0 {
		return
	}
	data, err := a.replica.codec.EncodeBatch(batch)
	if err != nil {
		a.failBatch(batch, proposals, err)
		return
	}
	mayBeAppended := false
	for ctx.Err() == nil && !a.allResolved(proposals) {
		err := a.appendOnce(ctx, data)
		if err == nil {
			b.reset()
			a.replica.requestRead()
			return
		}
		mayBeAppended = mayBeAppended || FailureOf(err) != NotAppended
		if !mayBeAppended {
			a.requeue(batch, proposals)
		}
		a.replica.options.Logger.Warn().Str("Event", "AppendFailed").Err(err).Bool("MayBeAppended", mayBeAppended).Msg("append failed")
		pause.For(ctx, b.nextDelay(), a.resultsKnown)
		if !mayBeAppended {
			return
		}
	}
	b.reset()
}

// appendOnce makes one append attempt and sets lastAppendReachedLog. An append that the
// log rejected with status 429 has reached it.
func (a *appender) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	_, err := a.replica.options.Log.Append(ctx, fold.DecisionStream, [][]byte{data})
	a.replica.scope.Counter("appends").Inc(1)
	if err != nil {
		a.replica.scope.Counter("append_failures").Inc(1)
	}
	var e *Error
	rateLimited := errors.As(err, &e) && e.Status == http.StatusTooManyRequests
	a.replica.lastAppendReachedLog.Store(err == nil || rateLimited)
	return err
}

// allResolved reports whether every proposal has its results or an error.
func (a *appender) allResolved(proposals []*proposal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !slices.ContainsFunc(proposals, func(p *proposal) bool { return p.unresolved > 0 && p.err == nil })
}

// resolve gives in-flight proposals their results from an applied batch of this node.
// The first record of the batch has the sequence first.
func (a *appender) resolve(first domain.Sequence, results []fold.RecordResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.inFlight {
		a.resolveProposal(p, first, results)
	}
	a.inFlight = slices.DeleteFunc(a.inFlight, func(p *proposal) bool { return p.unresolved == 0 })
	notify(a.resultsKnown)
}

// resolveProposal gives a proposal its results if the batch has all its records. It
// ignores a batch that repeats them: the results of the first application count.
func (a *appender) resolveProposal(p *proposal, first domain.Sequence, results []fold.RecordResult) {
	if p.firstSequence < first || p.firstSequence+domain.Sequence(len(p.records)) > first+domain.Sequence(len(results)) {
		return
	}
	part := results[p.firstSequence-first:][:len(p.records)]
	if part[0].Rejection == fold.Duplicate {
		return
	}
	copy(p.results, part)
	p.unresolved = 0
	p.finish(nil)
}

// failCoveredBySnapshot fails the in-flight proposals up to sequence last. A restored snapshot
// covers their records but does not have their results.
func (a *appender) failCoveredBySnapshot(lastCovered domain.Sequence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.inFlight {
		if p.firstSequence <= lastCovered {
			p.unresolved = 0
			p.finish(verdict.UnknownOutcome(verdict.Unknown, "the outcome left the log before this node read it", nil))
		}
	}
	a.inFlight = slices.DeleteFunc(a.inFlight, func(p *proposal) bool { return p.unresolved == 0 })
	notify(a.resultsKnown)
}

// shutDown fails every proposal and makes Propose reject further ones.
func (a *appender) shutDown() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	for _, p := range a.queue {
		p.finish(verdict.Refuse(verdict.Draining, "the node stops"))
	}
	for _, p := range a.inFlight {
		p.finish(verdict.UnknownOutcome(verdict.Draining, "the node stops before the outcome is known", nil))
	}
	a.queue, a.inFlight, a.queuedRecords = nil, nil, 0
}

// notify signals c, whose buffer holds one signal.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
