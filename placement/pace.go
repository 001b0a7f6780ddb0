package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// initialConcurrency bounds the number of loads from the weight store that run at once
	// until a load is measured.
	initialConcurrency = 4
	// rateShare is the share of the weight store's load rate that an owner uses. In the
	// first window of its term it uses firstWindowRateShare, because loads that the
	// previous owner started still count in the window.
	rateShare            = 0.9
	firstWindowRateShare = 0.15
	// defaultLoadWindow is the window of the load rate if Planner.LoadWindow is zero.
	defaultLoadWindow = 5 * time.Second
	// slowLoadRatio is the ratio of the measured to the configured load time above which
	// a load counts as slow. A slow load means that too many loads share the weight
	// store.
	slowLoadRatio = 1.25
	// maximumLoadDuration is how long a load should take at most. Requests that wait longer than
	// that for a model have mostly been abandoned.
	maximumLoadDuration = 22 * time.Second
	// loadTrackingTimeout is how long a load from the weight store counts as running if
	// its end is not reported.
	loadTrackingTimeout = 30 * time.Second
)

// storeLoad is a load from the weight store.
type storeLoad struct {
	server    domain.ServerID
	model     domain.ModelName
	startedAt time.Time
}

// storeLimiter limits how many loads from the weight store run at once and how many start
// within a window. Above a certain number of concurrent loads, which the platform does
// not publish, each load takes longer in proportion. The zero storeLimiter is ready for
// use.
type storeLimiter struct {
	// running holds the loads that have not finished.
	running []storeLoad
	// longestLoad is the longest load time of the configured models at full speed; 0 if unknown.
	longestLoad time.Duration
	// measuredConcurrency is the concurrency limit derived from the latest measured load; 0
	// until there is one.
	measuredConcurrency int
	// starts holds the start times of the loads within the latest window.
	starts []time.Time
	// termStartedAt is when this node became owner. The loads that the previous owner
	// started are not known.
	termStartedAt time.Time
}

// reset starts a new term as owner.
func (s *storeLimiter) reset(now time.Time) {
	s.running, s.starts, s.termStartedAt = nil, nil, now
}

// concurrencyLimit returns how many loads may run at once. Until a load is measured, it is the
// number whose duration stays within maximumLoadDuration even if the weight store runs only one at
// full speed: a load blocks its server for the requests that wait for the checkpoints there.
func (s *storeLimiter) concurrencyLimit() int {
	if s.measuredConcurrency > 0 {
		return s.measuredConcurrency
	}
	return min(initialConcurrency, max(1, int(maximumLoadDuration/max(s.longestLoad, time.Second))))
}

// canStart reports whether a load may start at now; rate is the number of loads per
// second that the weight store permits, measured over a window.
func (s *storeLimiter) canStart(now time.Time, rate float64, window time.Duration) bool {
	return s.canStartBeside(now, rate, window, 0)
}

// canStartBeside is canStart beside a number of loads that are planned and have not started.
func (s *storeLimiter) canStartBeside(now time.Time, rate float64, window time.Duration, planned int) bool {
	if len(s.running)+planned >= s.concurrencyLimit() {
		return false
	}
	share := rateShare
	if now.Sub(s.termStartedAt) < window {
		share = firstWindowRateShare
	}
	s.starts = slices.DeleteFunc(s.starts, func(t time.Time) bool { return now.Sub(t) > window })
	return len(s.starts)+planned < max(1, int(share*rate*window.Seconds()))
}

func (s *storeLimiter) recordStart(now time.Time, id domain.ServerID, m domain.ModelName) {
	s.starts = append(s.starts, now)
	s.running = append(s.running, storeLoad{server: id, model: m, startedAt: now})
}

// removeLoad removes the load that an order started from the running loads.
func (s *storeLimiter) removeLoad(o Order) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return l.server == o.Server.ID && l.model == o.Model })
}

// recordFinish removes a finished load from the running loads. If the load was slow, the
// concurrency limit becomes the number of loads that would have run at full speed. If it ran at
// full speed beside as many loads as the limit permits, the limit rises by one. It ignores all
// other orders.
func (s *storeLimiter) recordFinish(o Order, duration time.Duration, m fleet.Model) {
	if o.Operation != Load || o.Adapter != "" || o.tier != fleet.InStore {
		return
	}
	concurrentLoads := len(s.running)
	s.removeLoad(o)
	if m.StoreLoadTime <= 0 || duration < m.StoreLoadTime/2 {
		return
	}
	ratio := duration.Seconds() / m.StoreLoadTime.Seconds()
	switch {
	case ratio > slowLoadRatio:
		s.measuredConcurrency = max(1, int(float64(concurrentLoads)/ratio+0.5))
	case concurrentLoads >= s.concurrencyLimit():
		s.measuredConcurrency = concurrentLoads + 1
	}
}

// expire removes the loads that started more than loadTrackingTimeout ago.
func (s *storeLimiter) expire(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return now.Sub(l.startedAt) > loadTrackingTimeout })
}
