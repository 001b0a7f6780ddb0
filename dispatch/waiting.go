package dispatch

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/placement"
)

// expectedRetryWithin is how long a refused request still counts as waiting. Its caller is
// expected to retry within this time and should then find the model loaded.
const expectedRetryWithin = 4 * time.Second

// DemandCounter counts the requests of this node by model and adapter, so that the owner can plan
// the loads. The zero Demand is ready for use. It is safe for concurrent use.
type DemandCounter struct {
	mu      sync.Mutex
	counts  map[placement.ModelKey]*count
	changed map[placement.ModelKey]bool
	// urgent is signalled when a request starts to wait.
	urgent chan struct{}
}

type count struct {
	waiting, running, arrived, late int
	// retriesExpectedUntil has one time for each refused request: the end of the window
	// for its retry.
	retriesExpectedUntil []time.Time
}

// Urgent returns a channel that is signalled when the demand should be reported at once.
func (d *DemandCounter) Urgent() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.urgentChannel()
}

func (d *DemandCounter) urgentChannel() chan struct{} {
	if d.urgent == nil {
		d.urgent = make(chan struct{}, 1)
	}
	return d.urgent
}

// update changes the count of a key. Requests without a model are not counted.
func (d *DemandCounter) update(k placement.ModelKey, f func(*count)) {
	if k.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[placement.ModelKey]*count{}
		d.changed = map[placement.ModelKey]bool{}
	}
	c := d.counts[k]
	if c == nil {
		c = &count{}
		d.counts[k] = c
	}
	f(c)
	d.changed[k] = true
}

func (d *DemandCounter) countArrival(k placement.ModelKey) {
	d.update(k, func(c *count) { c.arrived++ })
}

// countLate counts a response that came late from an overloaded server.
func (d *DemandCounter) countLate(k placement.ModelKey) { d.update(k, func(c *count) { c.late++ }) }

// startWaiting counts a request that waits for a server, and signals Urgent.
func (d *DemandCounter) startWaiting(k placement.ModelKey) {
	d.update(k, func(c *count) { c.waiting++ })
	select {
	case d.urgentChannel() <- struct{}{}:
	default:
	}
}

func (d *DemandCounter) stopWaiting(k placement.ModelKey) {
	d.update(k, func(c *count) { c.waiting-- })
}

// countRefusal counts a request whose caller is expected to retry.
func (d *DemandCounter) countRefusal(k placement.ModelKey, now time.Time) {
	d.update(k, func(c *count) { c.retriesExpectedUntil = append(c.retriesExpectedUntil, now.Add(expectedRetryWithin)) })
}

// addRunning adds n to the number of running attempts.
func (d *DemandCounter) addRunning(k placement.ModelKey, n int) {
	d.update(k, func(c *count) { c.running += n })
}

// TakeChanges returns the demand for the keys that changed since the last call, and resets
// its counts of arrived and late requests.
func (d *DemandCounter) TakeChanges(now time.Time) []placement.Demand {
	return d.collect(now, false)
}

// TakeAll is TakeChanges for every key. It serves a new owner, which has no demand of this
// node yet.
func (d *DemandCounter) TakeAll(now time.Time) []placement.Demand {
	return d.collect(now, true)
}

// collect returns the demand for the changed keys, or for all, and drops keys that have
// none left.
func (d *DemandCounter) collect(now time.Time, all bool) []placement.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placement.Demand
	for k, c := range d.counts {
		expected := len(c.retriesExpectedUntil)
		for len(c.retriesExpectedUntil) > 0 && now.After(c.retriesExpectedUntil[0]) {
			c.retriesExpectedUntil = c.retriesExpectedUntil[1:]
		}
		if !all && !d.changed[k] && expected == len(c.retriesExpectedUntil) {
			continue
		}
		list = append(list, placement.Demand{ModelKey: k, Waiting: c.waiting + len(c.retriesExpectedUntil), Running: c.running, Arrivals: c.arrived, LateResponses: c.late})
		c.arrived, c.late = 0, 0
		if c.waiting == 0 && c.running == 0 && len(c.retriesExpectedUntil) == 0 {
			delete(d.counts, k)
		}
	}
	clear(d.changed)
	return list
}
