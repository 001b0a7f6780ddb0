package objective

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleylug/parsleylug/domain"
)

// Recorder counts the events of one node. The zero Recorder is ready for use. It is safe
// for concurrent use.
type Recorder struct {
	// Goals returns the goal of a measure for a team and model; nil means DefaultGoal.
	// It must not be changed after the first use of the recorder.
	Goals func(k Key, m Measure) Goal

	mu         sync.Mutex
	series     map[Key]*series
	histograms map[domain.ModelName]*histograms
	lastSweep  time.Time
}

// series holds the counters of one team and model.
type series struct {
	windows [windowCount]windowBuckets
}

// Range and precision of the histograms.
const (
	lowestMilliseconds  = 1
	highestMilliseconds = int64(10 * time.Minute / time.Millisecond)
	significantDigits   = 2
	// generationLength is the period of one histogram. Reports cover the current and the
	// previous generation.
	generationLength = 30 * time.Minute
)

// histograms hold the latencies of one model, in milliseconds.
type histograms struct {
	// generation is the number of the current generation, counted from the Unix epoch.
	generation        int64
	current, previous [measureCount]*hdrhistogram.Histogram
}

// Record counts one finished request.
func (r *Recorder) Record(e Event) {
	if e.Outcome == CallerLeft {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(e.At)
	k := r.seriesKey(Key{Team: e.Team, Model: e.Model})
	s := r.series[k]
	s.count(e.At, InTime, Count{Total: 1, Missed: countIf(e.Outcome != Answered && e.Outcome != RefusedInTime)})
	if e.Outcome != Answered || e.FirstToken == 0 {
		return
	}
	h := r.histogramsOf(e.Model, e.At)
	r.recordFirstToken(k, s, h, e)
	r.recordBetweenTokens(k, s, h, e)
}

func (r *Recorder) recordFirstToken(k Key, s *series, h *histograms, e Event) {
	m := FirstToken
	if e.Cold {
		m = ColdStart
	}
	s.count(e.At, m, Count{Total: 1, Missed: countIf(e.FirstToken > r.goal(k, m).Within)})
	h.record(m, e.FirstToken)
}

func (r *Recorder) recordBetweenTokens(k Key, s *series, h *histograms, e Event) {
	if len(e.BetweenTokens) == 0 {
		return
	}
	bound := r.goal(k, BetweenTokens).Within
	c := Count{Total: uint64(len(e.BetweenTokens))}
	for _, gap := range e.BetweenTokens {
		c.Missed += countIf(gap > bound)
		h.record(BetweenTokens, gap)
	}
	s.count(e.At, BetweenTokens, c)
}

// countIf returns 1 for true and 0 for false.
func countIf(b bool) uint64 {
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

// seriesKey creates the series for k if it does not exist and returns its key. Where the
// recorder is full, it returns the key of the overflow series instead.
func (r *Recorder) seriesKey(k Key) Key {
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
		s.windows[i].add(w.index(at), w.steps(), m, c)
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
	h.rotate(at)
	return h
}

// rotate starts a new generation where at is later than the current one.
func (h *histograms) rotate(at time.Time) {
	index := at.UnixNano() / int64(generationLength)
	if index <= h.generation {
		return
	}
	if index == h.generation+1 {
		h.previous = h.current
	} else {
		h.previous = [measureCount]*hdrhistogram.Histogram{}
	}
	h.current = [measureCount]*hdrhistogram.Histogram{}
	h.generation = index
}

func (h *histograms) record(m Measure, d time.Duration) {
	if h.current[m] == nil {
		h.current[m] = newHistogram()
	}
	v := min(max(d.Milliseconds(), lowestMilliseconds), highestMilliseconds)
	// RecordValue fails only for values outside the histogram's range.
	_ = h.current[m].RecordValue(v)
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMilliseconds, highestMilliseconds, significantDigits)
}

// sweepInterval is the minimum time between sweeps.
const sweepInterval = time.Minute

// sweep deletes expired buckets, series without buckets and expired histograms, so that
// idle models use no memory.
func (r *Recorder) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < sweepInterval {
		return
	}
	r.lastSweep = now
	for k, s := range r.series {
		if s.dropExpired(now) {
			delete(r.series, k)
		}
	}
	for m, h := range r.histograms {
		if now.UnixNano()/int64(generationLength) > h.generation+1 {
			delete(r.histograms, m)
		}
	}
}

// dropExpired removes the buckets that are outside their window and reports whether none
// is left.
func (s *series) dropExpired(now time.Time) bool {
	empty := true
	for i, w := range Windows() {
		s.windows[i].dropBefore(w.firstIndex(now))
		empty = empty && len(s.windows[i].buckets) == 0
	}
	return empty
}
