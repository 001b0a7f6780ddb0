package placement

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
)

// Guards against CEILING: after a loss of power nobody knows which loads the former owner has
// begun. The loads of two owners together stay within what the platform allows in a window.
func TestLoadsOfTwoOwnersStayWithinTheRate(t *testing.T) {
	const (
		rate   = 10
		window = 5 * time.Second
		// The platform allows a tenth and three loads more.
		limit = rate*11/10*int(window/time.Second) + 3
	)
	var starts []time.Time
	begin := func(s *storeLimiter, from, to time.Time) {
		s.reset(from)
		for now := from; now.Before(to); now = now.Add(5 * time.Millisecond) {
			if s.canStart(now, rate, window) {
				o := Order{Operation: Load, tier: fleet.InStore}
				s.recordStart(now, o.Server.ID, o.Model)
				s.removeLoad(o)
				starts = append(starts, now)
			}
		}
	}
	var former, next storeLimiter
	// The former owner has just used its share of a window.
	change := start.Add(2*window + window/2)
	begin(&former, start, change)
	begin(&next, change, change.Add(3*window))
	for i, first := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(first) <= window {
				n++
			}
		}
		if n > limit {
			t.Fatalf("%d loads started within %v, want %d at most", n, window, limit)
		}
	}
}
