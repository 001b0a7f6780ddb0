package dispatch

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/placement"
)

// expectedReturn is how long a refused request still counts as waiting: its
// caller comes back, and should then find the model.
const expectedReturn = 4 * time.Second

// Demand counts what this node's requests need, for the owner of the engines.
// The zero Demand is ready for use.
type Demand struct {
	mu      sync.Mutex
	keys    map[placement.ModelKey]*count
	changed map[placement.ModelKey]bool
	// urgent is signalled when a request begins to wait.
	urgent chan struct{}
}

type count struct {
	waiting, running, arrived, late int
	// returning are the times until which refused requests are expected back.
	returning []time.Time
}

// Urgent is signalled when the owner should be told at once.
func (d *Demand) Urgent() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.signal()
}

func (d *Demand) signal() chan struct{} {
	if d.urgent == nil {
		d.urgent = make(chan struct{}, 1)
	}
	return d.urgent
}

func (d *Demand) change(k placement.ModelKey, f func(*count)) {
	if k.Model == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.keys == nil {
		d.keys = map[placement.ModelKey]*count{}
		d.changed = map[placement.ModelKey]bool{}
	}
	c := d.keys[k]
	if c == nil {
		c = &count{}
		d.keys[k] = c
	}
	f(c)
	d.changed[k] = true
}

func (d *Demand) arrived(k placement.ModelKey) { d.change(k, func(c *count) { c.arrived++ }) }

// late counts an answer that a crowded server gave late.
func (d *Demand) late(k placement.ModelKey) { d.change(k, func(c *count) { c.late++ }) }

// wait counts a request that has no server yet.
func (d *Demand) wait(k placement.ModelKey) {
	d.change(k, func(c *count) { c.waiting++ })
	select {
	case d.signal() <- struct{}{}:
	default:
	}
}

func (d *Demand) stopWaiting(k placement.ModelKey) { d.change(k, func(c *count) { c.waiting-- }) }

// refused counts a request whose caller is expected to come back.
func (d *Demand) refused(k placement.ModelKey, now time.Time) {
	d.change(k, func(c *count) { c.returning = append(c.returning, now.Add(expectedReturn)) })
}

func (d *Demand) run(k placement.ModelKey, n int) { d.change(k, func(c *count) { c.running += n }) }

// TakeChanges returns what changed since the last call.
func (d *Demand) TakeChanges(now time.Time) []placement.Demand {
	return d.take(now, false)
}

// TakeAll returns everything, for an owner that knows nothing.
func (d *Demand) TakeAll(now time.Time) []placement.Demand {
	return d.take(now, true)
}

func (d *Demand) take(now time.Time, all bool) []placement.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []placement.Demand
	for k, c := range d.keys {
		before := len(c.returning)
		for len(c.returning) > 0 && now.After(c.returning[0]) {
			c.returning = c.returning[1:]
		}
		if !all && !d.changed[k] && before == len(c.returning) {
			continue
		}
		list = append(list, placement.Demand{ModelKey: k, Waiting: c.waiting + len(c.returning), Running: c.running, Arrived: c.arrived, Late: c.late})
		c.arrived, c.late = 0, 0
		if c.waiting == 0 && c.running == 0 && len(c.returning) == 0 {
			delete(d.keys, k)
		}
	}
	clear(d.changed)
	return list
}
