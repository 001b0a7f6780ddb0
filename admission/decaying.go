package admission

import (
	"math"
	"time"
)

// decayingCount counts events. The weight of an event decreases exponentially with its age.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

// read returns the weighted number of events at a time.
func (c decayingCount) read(now time.Time, period time.Duration) float64 {
	if c.value == 0 {
		return 0
	}
	return c.value * math.Exp(-float64(max(0, now.Sub(c.updatedAt)))/float64(period))
}

// add counts one event.
func (c *decayingCount) add(now time.Time, period time.Duration) {
	c.value, c.updatedAt = c.read(now, period)+1, now
}

// approach returns a value that has moved from value to target for the given time.
func approach(value, target float64, elapsed, period time.Duration) float64 {
	return target + (value-target)*math.Exp(-float64(max(0, elapsed))/float64(period))
}
