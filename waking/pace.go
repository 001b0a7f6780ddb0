package waking

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Load is a load that waits for the weight store.
type Load struct {
	Model domain.ModelName
	// Callers wait for it; none for a load ahead of its callers.
	Callers int
	// Takes is the expected time of the transfer.
	Takes time.Duration
	// Deadline is when the callers must have their replica.
	Deadline domain.Deadline
	// Since orders equal loads.
	Since time.Time
}

// Next returns which of the waiting loads goes next, or -1 if there is none: among loads
// that can still be in time the one with most callers per second of the store's
// time, so that most deadlines are saved; then late ones; loads without callers last.
func Next(waiting []Load, now time.Time) int {
	best := -1
	for i := range waiting {
		if best < 0 || before(&waiting[i], &waiting[best], now) {
			best = i
		}
	}
	return best
}

func before(a, b *Load, now time.Time) bool {
	if x, y := a.class(now), b.class(now); x != y {
		return x < y
	}
	x := float64(a.Callers) * b.Takes.Seconds()
	y := float64(b.Callers) * a.Takes.Seconds()
	if x != y {
		return x > y
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.Model < b.Model
}

func (l *Load) class(now time.Time) int {
	switch {
	case l.Callers == 0:
		return 2
	case !l.Deadline.At.IsZero() && now.Add(l.Takes).After(l.Deadline.At):
		return 1
	}
	return 0
}

// EstimateWake returns how long a wake takes from now: what waits before it at the store, the
// slots that are shared, and its own transfer less what has run. ahead is empty for
// a load that doesn't use the store.
func EstimateWake(takes, running time.Duration, ahead []time.Duration, slots int) time.Duration {
	var queue time.Duration
	for _, d := range ahead {
		queue += d
	}
	return queue/time.Duration(max(1, slots)) + max(0, takes-running)
}
