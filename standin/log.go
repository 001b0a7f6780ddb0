package standin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// configurationStream is the stream of operator records.
const configurationStream = "configuration"

// appendBurst is the time over which unused appends of the rate limit accumulate.
const appendBurst = 200 * time.Millisecond

// platformLog is the platform's append-only log: streams of records with offsets from 1, a
// rate limit on appends, retention by record count, and faults.
type platformLog struct {
	observer     *observer
	decodeCopies func(raw []byte) (model string, copies int, ok bool)
	random       *randomSource
	appends      atomic.Int64
	reads        atomic.Int64

	mu        sync.Mutex
	limiter   *rate.Limiter
	faults    logFaults
	retention int
	streams   map[string]*logStream
	// changed is closed and replaced when records are appended or faults change.
	changed chan struct{}
}

// logFaults are the faults that the log injects.
type logFaults struct {
	// down makes the log unavailable.
	down bool
	// delay is how long each accepted append, and each read, waits before it is served.
	delay time.Duration
	// lostResponseShare is the share of appends that take effect but get no response.
	lostResponseShare float64
}

// logStream holds the retained records of a stream.
type logStream struct {
	// first is the offset of records[0].
	first   uint64
	records [][]byte
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.records)) }

func newPlatformLog(o Options, ob *observer) *platformLog {
	l := &platformLog{
		observer:     ob,
		decodeCopies: o.DecodeCopies,
		random:       newRandomSource(o.Seed, "log"),
		retention:    o.LogRetention,
		streams:      make(map[string]*logStream),
		changed:      make(chan struct{}),
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

// append adds records atomically. It returns the offset of the first record and the offset
// after the last.
func (l *platformLog) append(stream string, records [][]byte) (first, next uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	first = s.next()
	for _, r := range records {
		s.records = append(s.records, r)
		l.recordCopies(stream, r)
	}
	next = s.next()
	l.applyRetention(s)
	l.notifyReaders()
	return first, next
}

// applyRetention drops the oldest records beyond the retention limit.
func (l *platformLog) applyRetention(s *logStream) {
	excess := len(s.records) - l.retention
	if excess <= 0 {
		return
	}
	clear(s.records[:excess])
	s.records = s.records[excess:]
	s.first += uint64(excess)
}

// recordCopies reports the copy limit in a configuration record to the observer.
func (l *platformLog) recordCopies(stream string, record []byte) {
	if stream != configurationStream || l.decodeCopies == nil {
		return
	}
	if model, copies, ok := l.decodeCopies(record); ok {
		l.observer.setCopies(model, copies)
	}
}

func (l *platformLog) notifyReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// logPage is the result of a read.
type logPage struct {
	oldest, next uint64
	from         uint64
	records      [][]byte
	// expired means that the record at offset from is no longer retained.
	expired bool
	down    bool
}

const maximumPageBytes = 4 << 20

func (l *platformLog) page(stream string, from uint64, limit int) (logPage, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(stream)
	p := logPage{oldest: s.first, next: s.next(), from: from, down: l.faults.down}
	if from < s.first {
		p.expired = true
		return p, l.changed
	}
	if from < s.next() {
		p.records = limitPage(s.records[from-s.first:], limit)
	}
	return p, l.changed
}

// limitPage returns the first records: at most limit, and at most maximumPageBytes unless
// the first record alone is larger.
func limitPage(records [][]byte, limit int) [][]byte {
	var size int
	for i, r := range records {
		size += len(r)
		if i == limit || (i > 0 && size > maximumPageBytes) {
			return records[:i:i]
		}
	}
	return records[:len(records):len(records)]
}

// read returns the page that starts at offset from. If the page is empty, it waits for a
// record until ctx ends, unless the log is down or from has expired.
func (l *platformLog) read(ctx context.Context, stream string, from uint64, limit int) logPage {
	l.reads.Add(1)
	for {
		p, changed := l.page(stream, from, limit)
		if p.expired || p.down || len(p.records) > 0 {
			return p
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p
		}
	}
}

func (l *platformLog) currentFaults() (logFaults, *rate.Limiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.limiter
}
