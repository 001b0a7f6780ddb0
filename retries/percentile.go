package retries

import (
	"slices"
	"time"
)

// Parameters of the estimated hedge delay.
const (
	hedgePercentile   = 95
	latencySamples    = 128
	minimumSamples    = 20
	recomputeInterval = 16 // samples
	minimumHedgeDelay = 50 * time.Millisecond
)

// FirstTokenLatency estimates the hedge delay of a model: a high percentile of its latest
// times to first token. The zero FirstTokenLatency has no samples. It is not safe for
// concurrent use.
type FirstTokenLatency struct {
	// samples is a ring buffer of the latest times to first token. count is the number
	// of times ever recorded.
	samples [latencySamples]time.Duration
	count   int
	// hedgeDelay is zero until there are minimumSamples.
	hedgeDelay time.Duration
}

// Record adds a time to first token. It recomputes the hedge delay only once every
// recomputeInterval samples.
func (l *FirstTokenLatency) Record(d time.Duration) {
	l.samples[l.count%latencySamples] = d
	l.count++
	if l.count%recomputeInterval != 0 && l.hedgeDelay != 0 || l.count < minimumSamples {
		return
	}
	sorted := slices.Clone(l.samples[:min(l.count, latencySamples)])
	slices.Sort(sorted)
	l.hedgeDelay = max(minimumHedgeDelay, sorted[(len(sorted)-1)*hedgePercentile/100])
}

// HedgeDelay returns the time to wait for a first token before a hedged request is
// sent, or false if there are fewer than minimumSamples.
func (l *FirstTokenLatency) HedgeDelay() (time.Duration, bool) {
	return l.hedgeDelay, l.hedgeDelay != 0
}
