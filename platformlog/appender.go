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

// Bounds of a node's proposals.
const (
	// MaximumQueuedRecords wait at a node for their append; further ones are
	// refused.
	MaximumQueuedRecords = 2048
	// MaximumBatchRecords and MaximumBatchBytes bound one append.
	MaximumBatchRecords = 256
	MaximumBatchBytes   = 512 << 10

	appendBurst = 8
)

// proposal is one call of Propose.
type proposal struct {
	records []fold.Record
	size    int
	// first is the sequence of records[0] in the batch that was built last.
	first domain.Sequence
	// sent proposals may be in the log.
	sent     bool
	outcomes []fold.RecordResult
	// left counts records whose outcome is not known.
	left int
	err  error
	done chan struct{}
}

// finish hands the result to Propose. The caller holds the appender's mu.
func (p *proposal) finish(err error) {
	p.err = err
	close(p.done)
}

// appender batches proposals into appends, one at a time.
type appender struct {
	replica *Replica
	limiter *rate.Limiter
	// wake has something when the queue may have become nonempty, resolved when
	// an outcome became known.
	wake, resolved chan struct{}

	mu      sync.Mutex
	stopped bool
	queue   []*proposal
	queued  int
	// open are proposals that were sent and have no outcome yet, by sequence.
	open []*proposal
	// last is the last sequence that may be in the log.
	last    domain.Sequence
	started domain.Offset
}

func (a *appender) init(r *Replica) {
	a.replica = r
	a.limiter = rate.NewLimiter(DefaultAppendsPerSecond, appendBurst)
	a.wake = make(chan struct{}, 1)
	a.resolved = make(chan struct{}, 1)
}

// Propose appends records in one batch and returns what the fold made of each.
// An error is a *verdict.Error: NotRun says that no record was or will be
// appended by this node, MayHaveRun that the outcome was not known when ctx ended.
func (r *Replica) Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error) {
	p, err := r.append.enqueue(records)
	if err != nil {
		return nil, err
	}
	select {
	case <-p.done:
		return p.outcomes, p.err
	case <-ctx.Done():
		return r.append.giveUp(p, ctx.Err())
	}
}

func (a *appender) enqueue(records []fold.Record) (*proposal, error) {
	data, err := a.replica.codec.EncodeBatch(fold.Batch{Node: a.replica.options.Node, Records: records})
	if err != nil || len(records) == 0 || len(records) > MaximumBatchRecords || len(data) > MaximumBatchBytes {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "records cannot be proposed", Cause: err}
	}
	p := &proposal{records: records, size: len(data), outcomes: make([]fold.RecordResult, len(records)), left: len(records),
		done: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return nil, verdict.Refuse(verdict.Draining, "the node stops")
	}
	if a.queued+len(records) > MaximumQueuedRecords {
		return nil, a.full()
	}
	a.queue = append(a.queue, p)
	a.queued += len(records)
	signal(a.wake)
	return p, nil
}

func (a *appender) full() error {
	if !a.replica.IsLogReachable() {
		return verdict.Refuse(verdict.LogUnavailable, "the log is down and too many records wait for it")
	}
	return verdict.Refuse(verdict.QueueFull, "too many records wait for the log")
}

// giveUp ends a proposal whose proposer cannot wait any longer.
func (a *appender) giveUp(p *proposal, cause error) ([]fold.RecordResult, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-p.done:
		return p.outcomes, p.err
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
	a.queued -= len(p.records)
	return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: reason, Message: "the records were not appended in time", Cause: cause}
}

// run appends batches until ctx ends.
func (a *appender) run(ctx context.Context) error {
	defer a.stop()
	var b backoff
	for ctx.Err() == nil {
		if !a.waitForWork(ctx) {
			break
		}
		if rates := a.replica.options.AppendsPerSecond; rates != nil {
			a.limiter.SetLimit(rate.Limit(rates()))
		}
		if a.limiter.Wait(ctx) != nil {
			break
		}
		a.appendNext(ctx, &b)
	}
	return ctx.Err()
}

// waitForWork waits until the node is ready and something is queued.
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
		waiting := len(a.queue) > 0
		a.mu.Unlock()
		if waiting {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-a.wake:
		}
	}
}

// take moves the first proposals of the queue into a batch.
func (a *appender) take() (fold.Batch, []*proposal) {
	offset := a.replica.offset()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.last == 0 {
		a.started = offset
	}
	batch := fold.Batch{Node: a.replica.options.Node, First: a.last + 1, Started: a.started}
	var taken []*proposal
	size := 0
	for _, p := range a.queue {
		if len(taken) > 0 && (len(batch.Records)+len(p.records) > MaximumBatchRecords || size+p.size > MaximumBatchBytes) {
			break
		}
		p.first = batch.First + domain.Sequence(len(batch.Records))
		p.sent = true
		batch.Records = append(batch.Records, p.records...)
		size += p.size
		taken = append(taken, p)
	}
	a.queue = slices.Clone(a.queue[len(taken):])
	a.queued -= len(batch.Records)
	a.open = append(a.open, taken...)
	a.last += domain.Sequence(len(batch.Records))
	return batch, taken
}

// putBack returns proposals to the queue that certainly are not in the log.
func (a *appender) putBack(batch fold.Batch, taken []*proposal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range taken {
		p.sent = false
	}
	a.open = a.open[:len(a.open)-len(taken)]
	a.queue = append(slices.Clone(taken), a.queue...)
	a.queued += len(batch.Records)
	a.last -= domain.Sequence(len(batch.Records))
}

// fail ends proposals that cannot be encoded together.
func (a *appender) fail(batch fold.Batch, taken []*proposal, cause error) {
	a.putBack(batch, taken)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = a.queue[len(taken):]
	a.queued -= len(batch.Records)
	for _, p := range taken {
		p.finish(&verdict.Error{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "records cannot be encoded", Cause: cause})
	}
}

// appendNext appends one batch. It returns when the batch is in the log, or
// certainly not.
func (a *appender) appendNext(ctx context.Context, b *backoff) {
	batch, taken := a.take()
	if len(taken) == 0 {
		return
	}
	data, err := a.replica.codec.EncodeBatch(batch)
	if err != nil {
		a.fail(batch, taken, err)
		return
	}
	maybe := false
	for ctx.Err() == nil && !a.settled(taken) {
		err := a.call(ctx, data)
		if err == nil {
			b.reset()
			a.replica.readNow()
			return
		}
		maybe = maybe || FailureOf(err) != NotAppended
		if !maybe {
			a.putBack(batch, taken)
		}
		a.replica.options.Logger.Warn().Str("Event", "AppendFailed").Err(err).Bool("MayBeAppended", maybe).Msg("append failed")
		pause.For(ctx, b.next(), a.resolved)
		if !maybe {
			return
		}
	}
	b.reset()
}

// call makes one append.
func (a *appender) call(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	_, err := a.replica.options.Log.Append(ctx, fold.DecisionStream, [][]byte{data})
	a.replica.scope.Counter("appends").Inc(1)
	if err != nil {
		a.replica.scope.Counter("append_failures").Inc(1)
	}
	var e *Error
	refused := errors.As(err, &e) && e.Status == http.StatusTooManyRequests
	a.replica.appendUp.Store(err == nil || refused)
	return err
}

// settled tells whether the fold has applied the batch.
func (a *appender) settled(taken []*proposal) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !slices.ContainsFunc(taken, func(p *proposal) bool { return p.left > 0 && p.err == nil })
}

// resolve hands the outcomes of a batch of this node to its proposals.
func (a *appender) resolve(first domain.Sequence, outcomes []fold.RecordResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.open {
		a.resolveOne(p, first, outcomes)
	}
	a.open = slices.DeleteFunc(a.open, func(p *proposal) bool { return p.left == 0 })
	signal(a.resolved)
}

func (a *appender) resolveOne(p *proposal, first domain.Sequence, outcomes []fold.RecordResult) {
	if p.first < first || p.first+domain.Sequence(len(p.records)) > first+domain.Sequence(len(outcomes)) {
		return
	}
	part := outcomes[p.first-first:][:len(p.records)]
	if part[0].Rejection == fold.Duplicate {
		return
	}
	copy(p.outcomes, part)
	p.left = 0
	p.finish(nil)
}

// skipTo ends proposals whose outcome lies within a snapshot that replaced the
// state.
func (a *appender) skipTo(last domain.Sequence) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.open {
		if p.first <= last {
			p.left = 0
			p.finish(verdict.UnknownOutcome(verdict.Unknown, "the outcome left the log before this node read it", nil))
		}
	}
	a.open = slices.DeleteFunc(a.open, func(p *proposal) bool { return p.left == 0 })
	signal(a.resolved)
}

// stop ends every proposal.
func (a *appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	for _, p := range a.queue {
		p.finish(verdict.Refuse(verdict.Draining, "the node stops"))
	}
	for _, p := range a.open {
		p.finish(verdict.UnknownOutcome(verdict.Draining, "the node stops before the outcome is known", nil))
	}
	a.queue, a.open, a.queued = nil, nil, 0
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
