package waking

import "time"

// Weights where the deployment names none.
const (
	// DefaultColdStart is the cost of a second of cold-start wait of one request.
	DefaultColdStart = 1.0
	// DefaultIdle is the cost of an idle accelerator hour: as much as a minute of
	// cold-start wait.
	DefaultIdle = 60.0
)

// Weights are the prices of a deployment. A price that is zero or less stands for its default.
type Weights struct {
	// ColdStart is the cost of one second that one request waits for a cold start.
	ColdStart float64
	// Idle is the cost of one hour in which a loaded replica has no request.
	Idle float64
}

// orDefaults returns w with defaults in place of prices that are not set.
func (w Weights) orDefaults() Weights {
	if w.ColdStart <= 0 {
		w.ColdStart = DefaultColdStart
	}
	if w.Idle <= 0 {
		w.Idle = DefaultIdle
	}
	return w
}

// Cost returns the price of cold-start waits and idle replica time together.
func (w Weights) Cost(waited, idle time.Duration) float64 {
	w = w.orDefaults()
	return w.ColdStart*waited.Seconds() + w.Idle*idle.Hours()
}

// BreakEven returns the idle time that costs as much as one cold start that
// callers requests wait for.
func (w Weights) BreakEven(coldStart time.Duration, callers float64) time.Duration {
	w = w.orDefaults()
	return time.Duration(w.ColdStart * coldStart.Seconds() * callers / w.Idle * float64(time.Hour))
}
