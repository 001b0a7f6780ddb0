package platformlog

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/pause"
)

// fakeLog is an in-memory Log with injected faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	// appended is closed and replaced when records are appended to any stream.
	appended chan struct{}
	random   *rand.Rand
	// unavailable makes the log reject every call with status 503.
	unavailable bool
	// delay is the latency of every call.
	delay time.Duration
	// rateLimitedShare is the share of appends that the log rejects with status 429. Of
	// the other appends, the share lostRequestShare loses its request and has no effect.
	// Of the appends that take effect, the share lostResponseShare loses its response.
	// Both losses leave the outcome unknown to the client.
	lostRequestShare, lostResponseShare, rateLimitedShare float64
	appendAttempts                                        int
}

// fakeStream is one stream of a fakeLog. oldest is the offset of records[0].
type fakeStream struct {
	oldest  domain.Offset
	records [][]byte
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{streams: map[string]*fakeStream{}, appended: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{oldest: 1}
	}
	return l.streams[name]
}

// next returns the offset that the next appended record gets.
func (s *fakeStream) next() domain.Offset { return s.oldest + domain.Offset(len(s.records)) }

// update calls f under mu, to change the faults of the log.
func (l *fakeLog) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// appendAttemptCount returns the number of append attempts, including failed ones.
func (l *fakeLog) appendAttemptCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendAttempts
}

// recordCount returns the number of records in a stream.
func (l *fakeLog) recordCount(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stream(name).records)
}

// applyDelay waits for the latency of a call. It returns an error if ctx ends first.
func (l *fakeLog) applyDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 && !pause.For(ctx, delay, nil) {
		return ctx.Err()
	}
	return nil
}

func (l *fakeLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if err := l.applyDelay(ctx); err != nil {
		return 0, &Error{Failure: OutcomeUnknown, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appendAttempts++
	if l.unavailable {
		return 0, &Error{Failure: NotAppended, Status: 503}
	}
	if l.random.Float64() < l.rateLimitedShare {
		return 0, &Error{Failure: NotAppended, Status: 429}
	}
	if l.random.Float64() < l.lostRequestShare {
		return 0, &Error{Failure: OutcomeUnknown, Cause: errors.New("connection reset")}
	}
	s := l.stream(stream)
	first := s.next()
	s.records = append(s.records, records...)
	close(l.appended)
	l.appended = make(chan struct{})
	if l.random.Float64() < l.lostResponseShare {
		return 0, &Error{Failure: OutcomeUnknown, Cause: errors.New("connection reset")}
	}
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (Page, error) {
	if err := l.applyDelay(ctx); err != nil {
		return Page{}, &Error{Failure: Unavailable, Cause: err}
	}
	l.mu.Lock()
	appended := l.appended
	empty := from >= l.stream(stream).next()
	l.mu.Unlock()
	if empty && wait > 0 {
		pause.For(ctx, wait, appended)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	if l.unavailable {
		return Page{}, &Error{Failure: Unavailable, Status: 503}
	}
	if from < s.oldest {
		return Page{}, &Error{Failure: OutOfRetention, Status: 410, Oldest: s.oldest, Next: s.next()}
	}
	page := Page{Oldest: s.oldest, Next: s.next()}
	for o := from; o < s.next() && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, Entry{Offset: o, Data: s.records[o-s.oldest]})
	}
	return page, nil
}

// truncate drops the records before offset oldest, as the log's retention does.
func (l *fakeLog) truncate(stream string, oldest domain.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.records = s.records[oldest-s.oldest:]
	s.oldest = oldest
}

// startReplica runs a replica until ctx ends. configure may change its options.
func startReplica(ctx context.Context, t *testing.T, l *fakeLog, node domain.NodeID, configure func(*Options)) *Replica {
	t.Helper()
	o := Options{Log: l, Records: operatorRecordCodec, Node: node}
	if configure != nil {
		configure(&o)
	}
	r, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.Run(ctx) }()
	return r
}
