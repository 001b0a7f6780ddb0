package objective

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleylug/parsleylug/domain"
)

// Recorder counts events. The zero Recorder is ready for use and safe for
// concurrent use.
type Recorder struct {
	// Goals tells the goal of a measure for a team and model; nil means
	// DefaultGoal. It must not change once the recorder is in use.
	Goals func(k Key, m Measure) Goal

	mu         sync.Mutex
	series     map[Key]*series
	histograms map[domain.ModelName]*histograms
	swept      time.Time
}

// series holds the counters of one team and model.
type series struct {
	rings [windows]ring
}

// Range and precision of the histograms.
const (
	lowestMilliseconds  = 1
	highestMilliseconds = int64(10 * time.Minute / time.Millisecond)
	significantDigits   = 2
	// generation is how long a histogram collects; reports cover the current one
	// and the one before.
	generation = 30 * time.Minute
)

// histograms hold the latencies of one model, in milliseconds.
type histograms struct {
	// index is the generation that current collects.
	index             int64
	current, previous [measures]*hdrhistogram.Histogram
}

// Record counts one finished request.
func (r *Recorder) Record(e Event) {
	if e.Outcome == CallerLeft {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(e.At)
	k := r.place(Key{Team: e.Team, Model: e.Model})
	s := r.series[k]
	s.count(e.At, InTime, Count{Total: 1, Missed: one(e.Outcome != Answered && e.Outcome != RefusedInTime)})
	if e.Outcome != Answered || e.FirstToken == 0 {
		return
	}
	h := r.histogramsOf(e.Model, e.At)
	r.recordFirst(k, s, h, e)
	r.recordBetween(k, s, h, e)
}

func (r *Recorder) recordFirst(k Key, s *series, h *histograms, e Event) {
	m := FirstToken
	if e.Cold {
		m = ColdStart
	}
	s.count(e.At, m, Count{Total: 1, Missed: one(e.FirstToken > r.goal(k, m).Within)})
	h.record(m, e.FirstToken)
}

func (r *Recorder) recordBetween(k Key, s *series, h *histograms, e Event) {
	if len(e.BetweenTokens) == 0 {
		return
	}
	bound := r.goal(k, BetweenTokens).Within
	c := Count{Total: uint64(len(e.BetweenTokens))}
	for _, gap := range e.BetweenTokens {
		c.Missed += one(gap > bound)
		h.record(BetweenTokens, gap)
	}
	s.count(e.At, BetweenTokens, c)
}

func one(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}

func (r *Recorder) goal(k Key, m Measure) Goal {
	if r.Goals == nil {
		return DefaultGoal(m)
	}
	return r.Goals(k, m)
}

// place returns the key that counts for k: k itself, or Other where there is
// no room.
func (r *Recorder) place(k Key) Key {
	if r.series == nil {
		r.series = make(map[Key]*series)
	}
	if _, ok := r.series[k]; ok {
		return k
	}
	if len(r.series) >= MaximumSeries-1 {
		k = Key{Team: Other, Model: Other}
	}
	if _, ok := r.series[k]; !ok {
		r.series[k] = &series{}
	}
	return k
}

func (s *series) count(at time.Time, m Measure, c Count) {
	for i, w := range Windows() {
		s.rings[i].add(w.index(at), w.steps(), m, c)
	}
}

func (r *Recorder) histogramsOf(m domain.ModelName, at time.Time) *histograms {
	if r.histograms == nil {
		r.histograms = make(map[domain.ModelName]*histograms)
	}
	h, ok := r.histograms[m]
	if !ok && len(r.histograms) >= MaximumHistograms-1 {
		m = Other
		h, ok = r.histograms[m]
	}
	if !ok {
		h = &histograms{}
		r.histograms[m] = h
	}
	h.turn(at)
	return h
}

// turn starts a new generation where at is past the current one.
func (h *histograms) turn(at time.Time) {
	index := at.UnixNano() / int64(generation)
	if index <= h.index {
		return
	}
	if index == h.index+1 {
		h.previous = h.current
	} else {
		h.previous = [measures]*hdrhistogram.Histogram{}
	}
	h.current = [measures]*hdrhistogram.Histogram{}
	h.index = index
}

func (h *histograms) record(m Measure, d time.Duration) {
	if h.current[m] == nil {
		h.current[m] = newHistogram()
	}
	v := min(max(d.Milliseconds(), lowestMilliseconds), highestMilliseconds)
	// The value is within the histogram's range, so there is no error.
	_ = h.current[m].RecordValue(v)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMilliseconds, highestMilliseconds, significantDigits)
}

// sweepEvery is how often idle series are looked for.
const sweepEvery = time.Minute

// sweep drops what is older than every window, so that idle models cost nothing.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.swept) < sweepEvery {
		return
	}
	r.swept = now
	for k, s := range r.series {
		if s.drop(now) {
			delete(r.series, k)
		}
	}
	for m, h := range r.histograms {
		if now.UnixNano()/int64(generation) > h.index+1 {
			delete(r.histograms, m)
		}
	}
}

// drop removes old buckets and tells whether none is left.
func (s *series) drop(now time.Time) bool {
	empty := true
	for i, w := range Windows() {
		s.rings[i].dropBefore(w.firstIndex(now))
		empty = empty && len(s.rings[i].buckets) == 0
	}
	return empty
}
