package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// configurationStream is the stream that operators write.
const configurationStream = "configuration"

// appendBurst is how long the log lets unused appends add up.
const appendBurst = 200 * time.Millisecond

// platformLog is the platform's append-only log: streams of records with offsets
// from 1, a cap on appends, retention by count, and faults.
type platformLog struct {
	observer *observer
	copiesOf func(raw []byte) (model string, copies int, ok bool)
	chance   *chance
	appends  atomic.Int64
	reads    atomic.Int64

	mu        sync.Mutex
	limiter   *rate.Limiter
	faults    logFaults
	retention int
	streams   map[string]*logStream
	// changed is closed and replaced when a record or a fault arrives.
	changed chan struct{}
}

type logFaults struct {
	down        bool
	delay       time.Duration
	loseAnswers float64
}

// logStream holds the records that retention left.
type logStream struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.records)) }

func newLog(o Options, ob *observer) *platformLog {
	l := &platformLog{
		observer:  ob,
		copiesOf:  o.DecodeCopies,
		chance:    newChance(o.Seed, "log"),
		retention: o.LogRetention,
		streams:   make(map[string]*logStream),
		changed:   make(chan struct{}),
	}
	l.setRate(o.AppendsPerSecond)
	l.append(configurationStream, o.ConfigurationRecords)
	return l
}

func (l *platformLog) setRate(perSecond float64) {
	burst := max(1, int(perSecond*appendBurst.Seconds()))
	l.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
}

func (l *platformLog) stream(name string) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1}
		l.streams[name] = s
	}
	return s
}

// append adds records in one step and returns the offset of the first and the
// one after the last.
func (l *platformLog) append(name string, records [][]byte) (first, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first = s.next()
	for _, r := range records {
		s.records = append(s.records, r)
		l.observe(name, r)
	}
	next = s.next()
	l.trim(s)
	l.notify()
	return first, next
}

func (l *platformLog) trim(s *logStream) {
	over := len(s.records) - l.retention
	if over <= 0 {
		return
	}
	clear(s.records[:over])
	s.records = s.records[over:]
	s.first += uint64(over)
}

func (l *platformLog) observe(name string, record []byte) {
	if name != configurationStream || l.copiesOf == nil {
		return
	}
	if model, copies, ok := l.copiesOf(record); ok {
		l.observer.setCopies(model, copies)
	}
}

func (l *platformLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// logPage is what one read returns.
type logPage struct {
	oldest, next uint64
	from         uint64
	records      [][]byte
	gone         bool
	down         bool
}

const maximumPageBytes = 4 << 20

func (l *platformLog) page(name string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	p := logPage{oldest: s.first, next: s.next(), from: from, down: l.faults.down}
	if from < s.first {
		p.gone = true
		return p, l.changed
	}
	if from < s.next() {
		p.records = firstOf(s.records[from-s.first:], limit)
	}
	return p, l.changed
}

// firstOf returns the first records, at most limit and about maximumPageBytes.
func firstOf(records [][]byte, limit int) [][]byte {
	var size int
	for i, r := range records {
		size += len(r)
		if i == limit || (i > 0 && size > maximumPageBytes) {
			return records[:i:i]
		}
	}
	return records[:len(records):len(records)]
}

// read returns a page; it waits for a first record while the log is up.
func (l *platformLog) read(ctx context.Context, name string, from uint64, limit int) logPage {
	l.reads.Add(1)
	for {
		p, changed := l.page(name, from, limit)
		if p.gone || p.down || len(p.records) > 0 {
			return p
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p
		}
	}
}

func (l *platformLog) current() (logFaults, *rate.Limiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.limiter
}
