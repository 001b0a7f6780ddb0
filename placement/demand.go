package placement

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// rateMemory is the time constant of the request rates.
	rateMemory = 8 * time.Second
	// lateMemory is the time constant of the rate of late answers.
	lateMemory = 2 * time.Second
	// lateShare of a model's requests answered late asks for another replica.
	lateShare = 0.1
	// silentNode is after how long a node's demand is dropped.
	silentNode = 3 * time.Second
)

// ModelKey names what a request needs at a model engine.
type ModelKey struct {
	Service domain.ServiceName
	Model   domain.ModelName
	// Adapter is empty where the base model is asked for.
	Adapter domain.AdapterName
}

// base returns the key of the base model.
func (k ModelKey) base() ModelKey {
	k.Adapter = ""
	return k
}

// Demand is what one node needs of one key.
type Demand struct {
	ModelKey
	// Waiting requests have no backend server yet; Running ones have.
	Waiting, Running int
	// Arrived counts the requests since the node's last report, Late those of them
	// that a crowded server answered late or with long pauses.
	Arrived, Late int
}

// interest is the demand for one key over all nodes.
type interest struct {
	waiting, running int
	// since is when requests began to wait; zero while none does.
	since time.Time
	// rate is in requests a second, as of at.
	rate float64
	at   time.Time
	// late is the rate of late answers, as of lateAt.
	late   float64
	lateAt time.Time
	// spread is when another replica was last wanted for late answers.
	spread time.Time
	// used is when a request last arrived or ran.
	used time.Time
}

func (i *interest) rateAt(now time.Time) float64 {
	return i.rate * math.Exp(-now.Sub(i.at).Seconds()/rateMemory.Seconds())
}

func (i *interest) lateRateAt(now time.Time) float64 {
	return i.late * math.Exp(-now.Sub(i.lateAt).Seconds()/lateMemory.Seconds())
}

// crowded tells whether the replicas there are serve too many requests late.
func (i *interest) crowded(now time.Time) bool {
	return i.lateRateAt(now) > lateShare*max(i.rateAt(now), 1)
}

// demands adds up what the nodes need. The zero demands are ready for use.
type demands struct {
	nodes  map[domain.NodeID]nodeDemand
	totals map[ModelKey]*interest
}

type nodeDemand struct {
	at   time.Time
	keys map[ModelKey]Demand
}

// report takes in what changed at a node. A key that a report leaves out is as
// before.
func (d *demands) report(now time.Time, n domain.NodeID, changed []Demand) {
	if d.nodes == nil {
		d.nodes = map[domain.NodeID]nodeDemand{}
		d.totals = map[ModelKey]*interest{}
	}
	node, ok := d.nodes[n]
	if !ok {
		node.keys = map[ModelKey]Demand{}
	}
	node.at = now
	d.nodes[n] = node
	for _, c := range changed {
		before := node.keys[c.ModelKey]
		d.add(now, c.ModelKey, c.Waiting-before.Waiting, c.Running-before.Running, c.Arrived)
		d.late(now, c.base(), c.Late)
		if c.Adapter != "" {
			d.add(now, c.base(), 0, c.Running-before.Running, c.Arrived)
		}
		if c.Waiting == 0 && c.Running == 0 {
			delete(node.keys, c.ModelKey)
			continue
		}
		node.keys[c.ModelKey] = c
	}
}

func (d *demands) add(now time.Time, k ModelKey, waiting, running, arrived int) {
	t := d.totals[k]
	if t == nil {
		t = &interest{at: now}
		d.totals[k] = t
	}
	t.waiting += waiting
	t.running += running
	if arrived > 0 {
		t.rate = t.rateAt(now) + float64(arrived)/rateMemory.Seconds()
		t.at = now
	}
	if arrived > 0 || t.running > 0 || t.waiting > 0 {
		t.used = now
	}
	switch {
	case t.waiting == 0:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = now
	}
}

func (d *demands) late(now time.Time, k ModelKey, n int) {
	t := d.totals[k]
	if n == 0 || t == nil {
		return
	}
	t.late = t.lateRateAt(now) + float64(n)/lateMemory.Seconds()
	t.lateAt = now
}

// expire drops what nodes said that have been silent.
func (d *demands) expire(now time.Time) {
	for n, node := range d.nodes {
		if now.Sub(node.at) <= silentNode {
			continue
		}
		for k, before := range node.keys {
			d.add(now, k, -before.Waiting, -before.Running, 0)
			if k.Adapter != "" {
				d.add(now, k.base(), 0, -before.Running, 0)
			}
		}
		delete(d.nodes, n)
	}
}

// of returns the demand for a key; it is never nil.
func (d *demands) of(k ModelKey) *interest {
	if t := d.totals[k]; t != nil {
		return t
	}
	return &interest{}
}
