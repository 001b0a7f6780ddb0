package placement

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// initialConcurrency is how many loads from the weight store run at once until a
	// slow load is measured.
	initialConcurrency = 4
	// rateShare is the share of the weight store's load rate that an owner uses.
	// firstWindowRateShare applies in the first window of its term, when loads of the
	// previous owner may still count.
	rateShare            = 0.9
	firstWindowRateShare = 0.15
	// defaultLoadWindow applies if no window is set.
	defaultLoadWindow = 5 * time.Second
	// slowLoadRatio is the ratio of the measured to the configured load time above which
	// too many loads share the weight store.
	slowLoadRatio = 1.25
	// loadTrackingTimeout is how long a load counts whose end is not reported.
	loadTrackingTimeout = 30 * time.Second
)

// storeLoad is a load from the weight store.
type storeLoad struct {
	server    domain.ServerID
	model     domain.ModelName
	startedAt time.Time
}

// storeLimiter limits the loads from the weight store. It limits the concurrency,
// because beyond a number that the platform does not publish each load takes
// longer in proportion, and the starts within a window. The zero storeLimiter is
// ready for use.
type storeLimiter struct {
	running []storeLoad
	// measuredConcurrency is 0 until a slow load is measured.
	measuredConcurrency int
	// starts are the start times of the loads within the last window.
	starts []time.Time
	// termStartedAt is when this node became owner. Loads that the previous owner
	// started are not known.
	termStartedAt time.Time
}

func (s *storeLimiter) reset(now time.Time) {
	s.running, s.starts, s.termStartedAt = nil, nil, now
}

func (s *storeLimiter) concurrencyLimit() int {
	if s.measuredConcurrency == 0 {
		return initialConcurrency
	}
	return s.measuredConcurrency
}

// canStart reports whether a load may start at now, if the weight store permits
// rate loads per second over a window.
func (s *storeLimiter) canStart(now time.Time, rate float64, window time.Duration) bool {
	if len(s.running) >= s.concurrencyLimit() {
		return false
	}
	share := rateShare
	if now.Sub(s.termStartedAt) < window {
		share = firstWindowRateShare
	}
	s.starts = slices.DeleteFunc(s.starts, func(t time.Time) bool { return now.Sub(t) > window })
	return len(s.starts) < max(1, int(share*rate*window.Seconds()))
}

func (s *storeLimiter) recordStart(now time.Time, id domain.ServerID, m domain.ModelName) {
	s.starts = append(s.starts, now)
	s.running = append(s.running, storeLoad{server: id, model: m, startedAt: now})
}

func (s *storeLimiter) remove(o Order) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return l.server == o.Server.ID && l.model == o.Model })
}

// recordFinish records the duration of a finished load. A slow load sets the
// concurrency limit to the number of loads that would have run at full speed.
func (s *storeLimiter) recordFinish(_ time.Time, o Order, duration time.Duration, m fleet.Model) {
	if o.Operation != Load || o.Adapter != "" || o.tier != fleet.InStore {
		return
	}
	concurrent := len(s.running)
	s.remove(o)
	if m.StoreLoadTime <= 0 || duration < m.StoreLoadTime/2 {
		return
	}
	ratio := duration.Seconds() / m.StoreLoadTime.Seconds()
	if ratio > slowLoadRatio {
		s.measuredConcurrency = max(1, int(float64(concurrent)/ratio+0.5))
	}
}

func (s *storeLimiter) expire(now time.Time) {
	s.running = slices.DeleteFunc(s.running, func(l storeLoad) bool { return now.Sub(l.startedAt) > loadTrackingTimeout })
}
