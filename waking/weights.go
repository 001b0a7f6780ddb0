package waking

import "time"

// Weights that apply if the deployment sets none.
const (
	// DefaultColdStartWeight is the cost of one second of cold-start wait of one request.
	DefaultColdStartWeight = 1.0
	// DefaultIdleWeight is the cost of one idle accelerator hour: as much as one minute in
	// which one request waits for a cold start.
	DefaultIdleWeight = 60.0
)

// Weights are the prices of a deployment. A price of zero or less means the default.
type Weights struct {
	// ColdStart is the cost of one second that one request waits for a cold start.
	ColdStart float64
	// Idle is the cost of one hour in which a loaded replica serves no request.
	Idle float64
}

// withDefaults returns w with defaults in place of unset prices.
func (w Weights) withDefaults() Weights {
	if w.ColdStart <= 0 {
		w.ColdStart = DefaultColdStartWeight
	}
	if w.Idle <= 0 {
		w.Idle = DefaultIdleWeight
	}
	return w
}

// Cost returns the total price of the time that requests waited for cold starts and the
// time that loaded replicas were idle.
func (w Weights) Cost(waited, idle time.Duration) float64 {
	w = w.withDefaults()
	return w.ColdStart*waited.Seconds() + w.Idle*idle.Hours()
}

// BreakEven returns the idle time that costs as much as one cold start for which the given
// number of requests wait.
func (w Weights) BreakEven(coldStart time.Duration, waiters float64) time.Duration {
	w = w.withDefaults()
	return time.Duration(w.ColdStart * coldStart.Seconds() * waiters / w.Idle * float64(time.Hour))
}
