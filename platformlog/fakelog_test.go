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

// fakeLog is a log in memory with faults.
type fakeLog struct {
	mu      sync.Mutex
	streams map[string]*fakeStream
	grown   chan struct{}
	random  *rand.Rand
	// down refuses every call; delay slows them.
	down  bool
	delay time.Duration
	// loseBefore and loseAfter are shares of appends that break off before or
	// after they took effect; refuse is the share refused for rate.
	loseBefore, loseAfter, refuse float64
	appends                       int
}

type fakeStream struct {
	oldest  domain.Offset
	records [][]byte
}

func newFakeLog(seed uint64) *fakeLog {
	return &fakeLog{streams: map[string]*fakeStream{}, grown: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
}

func (l *fakeLog) stream(name string) *fakeStream {
	if l.streams[name] == nil {
		l.streams[name] = &fakeStream{oldest: 1}
	}
	return l.streams[name]
}

func (s *fakeStream) next() domain.Offset { return s.oldest + domain.Offset(len(s.records)) }

func (l *fakeLog) set(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// appended returns how many appends were tried.
func (l *fakeLog) appended() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// length returns how many records a stream has.
func (l *fakeLog) length(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.stream(name).records)
}

func (l *fakeLog) wait(ctx context.Context) error {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 && !pause.For(ctx, delay, nil) {
		return ctx.Err()
	}
	return nil
}

func (l *fakeLog) Append(ctx context.Context, stream string, records [][]byte) (domain.Offset, error) {
	if err := l.wait(ctx); err != nil {
		return 0, &Error{Failure: OutcomeUnknown, Cause: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	if l.down {
		return 0, &Error{Failure: NotAppended, Status: 503}
	}
	if l.random.Float64() < l.refuse {
		return 0, &Error{Failure: NotAppended, Status: 429}
	}
	if l.random.Float64() < l.loseBefore {
		return 0, &Error{Failure: OutcomeUnknown, Cause: errors.New("connection reset")}
	}
	s := l.stream(stream)
	first := s.next()
	s.records = append(s.records, records...)
	close(l.grown)
	l.grown = make(chan struct{})
	if l.random.Float64() < l.loseAfter {
		return 0, &Error{Failure: OutcomeUnknown, Cause: errors.New("connection reset")}
	}
	return first, nil
}

func (l *fakeLog) Read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (Page, error) {
	if err := l.wait(ctx); err != nil {
		return Page{}, &Error{Failure: Unavailable, Cause: err}
	}
	l.mu.Lock()
	grown := l.grown
	empty := from >= l.stream(stream).next()
	l.mu.Unlock()
	if empty && wait > 0 {
		pause.For(ctx, wait, grown)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	if l.down {
		return Page{}, &Error{Failure: Unavailable, Status: 503}
	}
	if from < s.oldest {
		return Page{}, &Error{Failure: OutOfRetention, Status: 410, Oldest: s.oldest, Next: s.next()}
	}
	page := Page{Oldest: s.oldest, Next: s.next()}
	for o := from; o < s.next() && len(page.Records) < most; o++ {
		page.Records = append(page.Records, Entry{Offset: o, Data: s.records[o-s.oldest]})
	}
	return page, nil
}

// truncate drops records before an offset.
func (l *fakeLog) truncate(stream string, oldest domain.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	s.records = s.records[oldest-s.oldest:]
	s.oldest = oldest
}

// start runs a replica until the test ends.
func start(ctx context.Context, t *testing.T, l *fakeLog, node domain.NodeID, change func(*Options)) *Replica {
	t.Helper()
	o := Options{Log: l, Records: operatorRecords, Node: node}
	if change != nil {
		change(&o)
	}
	r, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = r.Run(ctx) }()
	return r
}
