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
	// maximumAppend bounds the bytes of one append for several nodes.
	maximumAppend = domain.Mebibyte
	// maximumWaiting bounds the appends that wait at a relay.
	maximumWaiting = 4096
	// appendTimeout bounds one append, at the relay and for the log.
	appendTimeout = 5 * time.Second
	// directFor is how long a node appends by itself after its relay failed it.
	directFor = 10 * time.Second
	// directBurst is how many appends a node may make at once by itself.
	directBurst = 4
)

// Caller sends requests to other nodes. *peer.Mesh implements it.
type Caller interface {
	Call(ctx context.Context, to domain.NodeID, m peer.Message) (peer.Message, error)
}

// BatchedLogOptions say what Appends work with; all are needed.
type BatchedLogOptions struct {
	// Log is the platform's log itself.
	Log  platformlog.Log
	Mesh Caller
	// Ranking is the zone's ranks now.
	Ranking func() ZoneRanking
	// ZoneAppendsPerSecond and NodeRate are the appends a second that a relay, and a node by
	// itself, may make.
	ZoneAppendsPerSecond, NodeAppendsPerSecond func() float64
}

// BatchedLog is the platform's log as the nodes of an availability zone append to it:
// the relay puts the appends of all of them that wait into one. A node whose
// relay fails it appends by itself for a while. Records that reach the log twice
// that way are the fold's to ignore, as after every lost answer.
type BatchedLog struct {
	options BatchedLogOptions
	zone    *rate.Limiter
	node    *rate.Limiter

	mu      sync.Mutex
	waiting []*waitingAppend
	wake    chan struct{}
	// direct is until when this node appends by itself.
	direct time.Time
}

// waitingAppend is one node's records at the relay.
type waitingAppend struct {
	records [][]byte
	size    domain.Bytes
	done    chan struct{}
	// first and err are set before done is closed.
	first domain.Offset
	err   error
}

var _ platformlog.Log = (*BatchedLog)(nil)

// NewBatchedLog returns Appends; Run makes the relay's part of it work.
func NewBatchedLog(o BatchedLogOptions) *BatchedLog {
	return &BatchedLog{
		options: o,
		zone:    rate.NewLimiter(1, directBurst),
		node:    rate.NewLimiter(1, directBurst),
		wake:    make(chan struct{}, 1),
	}
}

// Read implements platformlog.Log.
func (a *BatchedLog) Read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (platformlog.Page, error) {
	return a.options.Log.Read(ctx, stream, from, most, wait)
}

// Append implements platformlog.Log.
func (a *BatchedLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if stream != fold.DecisionStream {
		return a.options.Log.Append(ctx, stream, records)
	}
	p := a.options.Ranking()
	if p.Rank == 0 || len(p.Ranked) < 2 {
		return a.Join(ctx, records)
	}
	if time.Now().Before(a.directUntil()) {
		return a.appendDirect(ctx, records)
	}
	return a.appendByRelay(ctx, p.Ranked[0], records)
}

func (a *BatchedLog) directUntil() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.direct
}

// appendByRelay hands records to the relay. Where it fails, the next append of this node is
// direct; this one too, if the relay certainly has not got it.
func (a *BatchedLog) appendByRelay(ctx context.Context, relay domain.NodeID, records [][]byte) (domain.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	answer, err := a.options.Mesh.Call(ctx, relay, peer.AppendRecords{Records: records})
	if done, ok := answer.(peer.Appended); err == nil && ok {
		return done.First, nil
	}
	a.mu.Lock()
	a.direct = time.Now().Add(directFor)
	a.mu.Unlock()
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		return a.appendDirect(ctx, records)
	}
	return 0, &platformlog.Error{Failure: platformlog.OutcomeUnknown, Cause: errors.Wrap(err, "append by the relay")}
}

// appendDirect appends within this node's own share of the rate.
func (a *BatchedLog) appendDirect(ctx context.Context, records [][]byte) (domain.Offset, error) {
	a.node.SetLimit(rate.Limit(a.options.NodeAppendsPerSecond()))
	if err := a.node.Wait(ctx); err != nil {
		return 0, &platformlog.Error{Failure: platformlog.NotAppended, Cause: err}
	}
	return a.options.Log.Append(ctx, fold.DecisionStream, records)
}

// Handle answers a node of the zone. A node that believes this one to be the relay
// is served even if this one does not: it costs one append.
func (a *BatchedLog) Handle(ctx context.Context, m peer.AppendRecords) (peer.Appended, error) {
	first, err := a.Join(ctx, m.Records)
	if err == nil {
		return peer.Appended{First: first}, nil
	}
	if platformlog.FailureOf(err) == platformlog.NotAppended {
		return peer.Appended{}, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the relay did not append", Cause: err}
	}
	return peer.Appended{}, verdict.UnknownOutcome(verdict.LogUnavailable, "the relay's append has no known outcome", err)
}

// Join appends records together with those of others that wait.
func (a *BatchedLog) Join(ctx context.Context, records [][]byte) (domain.Offset, error) {
	w := &waitingAppend{records: records, done: make(chan struct{})}
	for _, r := range records {
		w.size += domain.Bytes(len(r))
	}
	if !a.enter(w) {
		return 0, &platformlog.Error{Failure: platformlog.NotAppended, Cause: errors.New("relay: too many appends wait")}
	}
	select {
	case <-w.done:
		return w.first, w.err
	case <-ctx.Done():
		return 0, a.leave(w, ctx.Err())
	}
}

func (a *BatchedLog) enter(w *waitingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) >= maximumWaiting {
		return false
	}
	a.waiting = append(a.waiting, w)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return true
}

// leave takes records back that are still waiting. Others may be in the log.
func (a *BatchedLog) leave(w *waitingAppend, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, x := range a.waiting {
		if x == w {
			a.waiting = append(a.waiting[:i], a.waiting[i+1:]...)
			return &platformlog.Error{Failure: platformlog.NotAppended, Cause: cause}
		}
	}
	return &platformlog.Error{Failure: platformlog.OutcomeUnknown, Cause: cause}
}

// Run appends what waits until ctx ends.
func (a *BatchedLog) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for a.step(ctx) {
		}
	}
}

// step makes one append and tells whether more waits.
func (a *BatchedLog) step(ctx context.Context) bool {
	a.zone.SetLimit(rate.Limit(a.options.ZoneAppendsPerSecond()))
	if a.zone.Wait(ctx) != nil {
		return false
	}
	batch, more := a.take()
	if len(batch) == 0 {
		return false
	}
	var records [][]byte
	for _, w := range batch {
		records = append(records, w.records...)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	first, err := a.options.Log.Append(ctx, fold.DecisionStream, records)
	for _, w := range batch {
		w.first, w.err = first, err
		first += domain.Offset(len(w.records))
		close(w.done)
	}
	return more
}

// take returns what goes into the next append, and whether anything is left.
func (a *BatchedLog) take() ([]*waitingAppend, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, domain.Bytes(0)
	for _, w := range a.waiting {
		size += w.size
		if n > 0 && size > maximumAppend {
			break
		}
		n++
	}
	batch := a.waiting[:n:n]
	a.waiting = append([]*waitingAppend(nil), a.waiting[n:]...)
	return batch, len(a.waiting) > 0
}
