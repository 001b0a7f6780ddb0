package dispatch

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/placement"
)

// retryWindow is how long a refused request still counts as waiting. Its caller is
// expected to retry within this time and should then find the model loaded.
const retryWindow = 4 * time.Second

// DemandCounter counts the requests of this node by model and adapter. The counts are
// reported to the owner of the servers, which plans the loads. The zero DemandCounter is
// ready for use. It is safe for concurrent use.
type DemandCounter struct {
	mu      sync.Mutex
	counts  map[placement.ModelKey]*keyCounts
	changed map[placement.ModelKey]bool
	// urgent gets a value when a request starts to wait.
	urgent chan struct{}
}

// keyCounts are the counts for one model or adapter: waiting requests, running attempts,
// and the arrivals and late responses since the last report.
type keyCounts struct {
	waiting, running, arrivals, lateResponses int
	// retryWindowEnds holds, for each refused request, the end of the window in which its
	// retry is expected.
	retryWindowEnds []time.Time
}

// Urgent returns a channel that gets a value when the demand should be reported at once.
func (d *DemandCounter) Urgent() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.urgentChannel()
}

// urgentChannel returns the channel that Urgent returns and creates it if needed. The
// caller holds mu.
func (d *DemandCounter) urgentChannel() chan struct{} {
	if d.urgent == nil {
		d.urgent = make(chan struct{}, 1)
	}
	return d.urgent
}

// update calls f with the counts of a key and marks the key as changed. Requests without
// a model are not counted.
func (d *DemandCounter) update(k placement.ModelKey, f func(*keyCounts)) {
	if k.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[placement.ModelKey]*keyCounts{}
		d.changed = map[placement.ModelKey]bool{}
	}
	c := d.counts[k]
	if c == nil {
		c = &keyCounts{}
		d.counts[k] = c
	}
	f(c)
	d.changed[k] = true
}

func (d *DemandCounter) countArrival(k placement.ModelKey) {
	d.update(k, func(c *keyCounts) { c.arrivals++ })
}

// countLate counts a response that missed the goals of its route.
func (d *DemandCounter) countLate(k placement.ModelKey) {
	d.update(k, func(c *keyCounts) { c.lateResponses++ })
}

// startWaiting counts a request that waits for a server and signals the channel that
// Urgent returns.
func (d *DemandCounter) startWaiting(k placement.ModelKey) {
	d.update(k, func(c *keyCounts) { c.waiting++ })
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case d.urgentChannel() <- struct{}{}:
	default:
	}
}

func (d *DemandCounter) stopWaiting(k placement.ModelKey) {
	d.update(k, func(c *keyCounts) { c.waiting-- })
}

// countRefusal counts a refused request, whose caller is expected to retry it within
// retryWindow.
func (d *DemandCounter) countRefusal(k placement.ModelKey, now time.Time) {
	d.update(k, func(c *keyCounts) { c.retryWindowEnds = append(c.retryWindowEnds, now.Add(retryWindow)) })
}

// addRunning adds n to the number of running attempts.
func (d *DemandCounter) addRunning(k placement.ModelKey, n int) {
	d.update(k, func(c *keyCounts) { c.running += n })
}

// TakeChanges returns the demand for the keys that changed since the last call. It resets
// their numbers of arrivals and late responses to zero.
func (d *DemandCounter) TakeChanges(now time.Time) []placement.Demand {
	return d.collect(now, false)
}

// TakeAll is TakeChanges for every key. A new owner needs it because it has no demand of
// this node yet.
func (d *DemandCounter) TakeAll(now time.Time) []placement.Demand {
	return d.collect(now, true)
}

// collect returns the demand for the changed keys, or for all keys, and then removes the
// keys without waiting, running or expected requests. A key has also changed if a retry
// window has ended.
func (d *DemandCounter) collect(now time.Time, all bool) []placement.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placement.Demand
	for k, c := range d.counts {
		expectedRetries := len(c.retryWindowEnds)
		for len(c.retryWindowEnds) > 0 && now.After(c.retryWindowEnds[0]) {
			c.retryWindowEnds = c.retryWindowEnds[1:]
		}
		if !all && !d.changed[k] && expectedRetries == len(c.retryWindowEnds) {
			continue
		}
		list = append(list, placement.Demand{ModelKey: k, Waiting: c.waiting + len(c.retryWindowEnds), Running: c.running, Arrivals: c.arrivals, LateResponses: c.lateResponses})
		c.arrivals, c.lateResponses = 0, 0
		if c.waiting == 0 && c.running == 0 && len(c.retryWindowEnds) == 0 {
			delete(d.counts, k)
		}
	}
	clear(d.changed)
	return list
}
