package retries

import (
	"slices"
	"time"
)

// Bounds of a learned hedge delay.
const (
	hedgePercentile = 95
	latencies       = 128
	enoughLatencies = 20
	refreshEvery    = 16
	shortestHedge   = 50 * time.Millisecond
)

// FirstTokenLatency learns after how long a first token is late, from the last first
// tokens. The zero Latency knows nothing. It is not safe for concurrent use.
type FirstTokenLatency struct {
	samples [latencies]time.Duration
	count   int
	late    time.Duration
}

// Record adds the time to one first token.
func (l *FirstTokenLatency) Record(d time.Duration) {
	l.samples[l.count%latencies] = d
	l.count++
	if l.count%refreshEvery != 0 && l.late != 0 || l.count < enoughLatencies {
		return
	}
	sorted := slices.Clone(l.samples[:min(l.count, latencies)])
	slices.Sort(sorted)
	l.late = max(shortestHedge, sorted[(len(sorted)-1)*hedgePercentile/100])
}

// HedgeDelay returns when a second attempt is worth its cost, or false where too
// little is known.
func (l *FirstTokenLatency) HedgeDelay() (time.Duration, bool) { return l.late, l.late != 0 }
