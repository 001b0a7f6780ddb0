package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// durationsPeriod is how long a duration counts at least. It counts for twice as long at
	// most.
	durationsPeriod = 30 * time.Second
	// durationClassesPerDoubling is the number of classes of durations between one duration
	// and its double.
	durationClassesPerDoubling = 8
	// shortestClass is the upper bound of the first class.
	shortestClass = time.Millisecond
	// durationClassCount is the number of classes. The last one ends at 131 s, which is longer
	// than any grace period, and holds all that is longer.
	durationClassCount = 17*durationClassesPerDoubling + 1
)

// durationKey identifies the requests that are expected to take equally long.
type durationKey struct {
	route   fleet.RouteName
	service domain.ServiceName
}

// measuredRequest is a request from its first attempt on.
type measuredRequest struct {
	key       durationKey
	startedAt time.Time
}

// recentDurations holds how long recent requests took, and since when the others run, by route
// and service. The zero recentDurations is ready for use. It is safe for concurrent use.
type recentDurations struct {
	mu sync.Mutex
	// periodStart is when the current period began.
	periodStart time.Time
	// current and previous are the durations of the current period and of the one before.
	current, previous map[durationKey]*durationCounts
	// running are the requests that have not ended; there is no empty set.
	running map[durationKey]map[*measuredRequest]struct{}
}

// durationCounts are the numbers of durations of one period by class. They stop at their
// highest value.
type durationCounts struct {
	served, unserved [durationClassCount]uint16
}

// durationClass returns the class of a duration, the first whose upper bound is not less.
func durationClass(d time.Duration) int {
	if d <= shortestClass {
		return 0
	}
	class := math.Ceil(durationClassesPerDoubling * math.Log2(float64(d)/float64(shortestClass)))
	return min(int(class), durationClassCount-1)
}

// upperBound returns the longest duration of a class.
func upperBound(class int) time.Duration {
	return time.Duration(float64(shortestClass) * math.Exp2(float64(class)/durationClassesPerDoubling))
}

// start records that a request runs from now on.
func (r *recentDurations) start(now time.Time, k durationKey) *measuredRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running == nil {
		r.running = map[durationKey]map[*measuredRequest]struct{}{}
	}
	if r.running[k] == nil {
		r.running[k] = map[*measuredRequest]struct{}{}
	}
	m := &measuredRequest{key: k, startedAt: now}
	r.running[k][m] = struct{}{}
	return m
}

// remove removes a request that runs; nil is none. The caller holds mu.
func (r *recentDurations) remove(m *measuredRequest) {
	if m == nil {
		return
	}
	delete(r.running[m.key], m)
	if len(r.running[m.key]) == 0 {
		delete(r.running, m.key)
	}
}

// forget ends a request without a duration. It does nothing if the request has ended.
func (r *recentDurations) forget(m *measuredRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(m)
}

// end records how long a request took. One that was not served would have taken longer.
func (r *recentDurations) end(now time.Time, m *measuredRequest, isServed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(m)
	r.advance(now)
	if r.current == nil {
		r.current = map[durationKey]*durationCounts{}
	}
	counts := r.current[m.key]
	if counts == nil {
		counts = &durationCounts{}
		r.current[m.key] = counts
	}
	count := &counts.unserved[durationClass(now.Sub(m.startedAt))]
	if isServed {
		count = &counts.served[durationClass(now.Sub(m.startedAt))]
	}
	if *count < math.MaxUint16 {
		*count++
	}
}

// distribution returns the distribution of the durations of a route's requests at a service.
func (r *recentDurations) distribution(now time.Time, k durationKey) *durationDistribution {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now)
	d := &durationDistribution{}
	for _, counts := range []*durationCounts{r.current[k], r.previous[k]} {
		d.add(counts)
	}
	for m := range r.running[k] {
		d.unserved[durationClass(now.Sub(m.startedAt))]++
	}
	return d
}

// advance begins a new period if the current one has ended. The caller holds mu.
func (r *recentDurations) advance(now time.Time) {
	age := now.Sub(r.periodStart)
	if age < durationsPeriod {
		return
	}
	r.previous, r.current, r.periodStart = r.current, nil, now
	if age >= 2*durationsPeriod {
		r.previous = nil
	}
}

// durationDistribution tells how long a request is expected to take: the numbers of recent
// requests by the class of their duration.
type durationDistribution struct {
	served [durationClassCount]int
	// unserved holds the requests that would have taken longer, or still run: their duration
	// is a lower bound.
	unserved [durationClassCount]int
}

func (d *durationDistribution) add(c *durationCounts) {
	if c == nil {
		return
	}
	for class := range c.served {
		d.served[class] += int(c.served[class])
		d.unserved[class] += int(c.unserved[class])
	}
}

// servedCount returns the number of requests that were served.
func (d *durationDistribution) servedCount() int {
	sum := 0
	for _, n := range d.served {
		sum += n
	}
	return sum
}

// exceededBy returns the time that at most the given share of the requests exceeds, by the
// estimator of Kaplan and Meier. Of a request that is not served, it is uncertain that it takes no
// longer than the others: they make the share larger by a part of one request. It returns false
// with the longest duration that is known if too many requests have not been served for that.
func (d *durationDistribution) exceededBy(share float64) (time.Duration, bool) {
	total := 0
	for class := range d.served {
		total += d.served[class] + d.unserved[class]
	}
	exceeding, longer, uncertain := 1.0, total, 0
	for class := range d.served {
		if longer == 0 {
			break
		}
		exceeding *= 1 - float64(d.served[class])/(float64(longer)+float64(uncertain)/float64(total))
		if exceeding <= share {
			return upperBound(class), true
		}
		longer -= d.served[class] + d.unserved[class]
		uncertain += d.unserved[class]
	}
	return d.longest(), false
}

// longest returns the longest duration that is known.
func (d *durationDistribution) longest() time.Duration {
	for class := durationClassCount - 1; class > 0; class-- {
		if d.served[class]+d.unserved[class] > 0 {
			return upperBound(class)
		}
	}
	return upperBound(0)
}
