package placement

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// rateTimeConstant is the time constant of the exponentially decaying request rates.
	rateTimeConstant = 8 * time.Second
	// lateRateTimeConstant is the time constant of the rate of late responses.
	lateRateTimeConstant = 2 * time.Second
	// overloadLateShare is the share of late responses above which a model gets another
	// replica.
	overloadLateShare = 0.1
	// nodeReportTimeout is how long the demand of a node counts after its last report.
	nodeReportTimeout = 3 * time.Second
)

// ModelKey identifies the model, and the adapter if any, that a request needs.
type ModelKey struct {
	Service domain.ServiceName
	Model   domain.ModelName
	// Adapter is empty for the base model.
	Adapter domain.AdapterName
}

// baseModel returns the key of the base model.
func (k ModelKey) baseModel() ModelKey {
	k.Adapter = ""
	return k
}

// Demand is one node's demand for one model or adapter.
type Demand struct {
	ModelKey
	// Waiting requests have no backend server yet; Running ones have.
	Waiting, Running int
	// Arrivals counts the requests since the node's last report. Late counts the
	// responses since then that came late or with long pauses from overloaded servers.
	Arrivals, LateResponses int
}

// totalDemand is the demand for one key over all nodes.
type totalDemand struct {
	waiting, running int
	// waitingSince is when the current period with waiting requests started; zero if
	// none waits.
	waitingSince time.Time
	// rate is in requests per second, as of rateUpdatedAt.
	rate          float64
	rateUpdatedAt time.Time
	// lateRate is the rate of late responses per second, as of lateRateUpdatedAt.
	lateRate          float64
	lateRateUpdatedAt time.Time
	// lastScaleOut is when a replica was last added because of late responses.
	lastScaleOut time.Time
	// lastUsed is when a request last arrived, waited or ran.
	lastUsed time.Time
}

func (t *totalDemand) rateAt(now time.Time) float64 {
	return t.rate * math.Exp(-now.Sub(t.rateUpdatedAt).Seconds()/rateTimeConstant.Seconds())
}

func (t *totalDemand) lateRateAt(now time.Time) float64 {
	return t.lateRate * math.Exp(-now.Sub(t.lateRateUpdatedAt).Seconds()/lateRateTimeConstant.Seconds())
}

// isOverloaded reports whether too many responses of the replicas are late.
func (t *totalDemand) isOverloaded(now time.Time) bool {
	return t.lateRateAt(now) > overloadLateShare*max(t.rateAt(now), 1)
}

// demandTable holds the demand of each node and the totals. The zero demandTable
// is ready for use.
type demandTable struct {
	nodes  map[domain.NodeID]nodeDemand
	totals map[ModelKey]*totalDemand
}

type nodeDemand struct {
	reportedAt time.Time
	keys       map[ModelKey]Demand
}

// record records the changed demand of a node. Keys that are left out are
// unchanged.
func (d *demandTable) record(now time.Time, n domain.NodeID, changed []Demand) {
	if d.nodes == nil {
		d.nodes = map[domain.NodeID]nodeDemand{}
		d.totals = map[ModelKey]*totalDemand{}
	}
	node, ok := d.nodes[n]
	if !ok {
		node.keys = map[ModelKey]Demand{}
	}
	node.reportedAt = now
	d.nodes[n] = node
	for _, c := range changed {
		before := node.keys[c.ModelKey]
		d.add(now, c.ModelKey, c.Waiting-before.Waiting, c.Running-before.Running, c.Arrivals)
		d.addLate(now, c.baseModel(), c.LateResponses)
		if c.Adapter != "" {
			d.add(now, c.baseModel(), 0, c.Running-before.Running, c.Arrivals)
		}
		if c.Waiting == 0 && c.Running == 0 {
			delete(node.keys, c.ModelKey)
			continue
		}
		node.keys[c.ModelKey] = c
	}
}

// add adds differences of waiting and running requests and a number of arrivals to
// the total of a key.
func (d *demandTable) add(now time.Time, k ModelKey, waiting, running, arrived int) {
	t := d.totals[k]
	if t == nil {
		t = &totalDemand{rateUpdatedAt: now}
		d.totals[k] = t
	}
	t.waiting += waiting
	t.running += running
	if arrived > 0 {
		t.rate = t.rateAt(now) + float64(arrived)/rateTimeConstant.Seconds()
		t.rateUpdatedAt = now
	}
	if arrived > 0 || t.running > 0 || t.waiting > 0 {
		t.lastUsed = now
	}
	switch {
	case t.waiting == 0:
		t.waitingSince = time.Time{}
	case t.waitingSince.IsZero():
		t.waitingSince = now
	}
}

func (d *demandTable) addLate(now time.Time, k ModelKey, n int) {
	t := d.totals[k]
	if n == 0 || t == nil {
		return
	}
	t.lateRate = t.lateRateAt(now) + float64(n)/lateRateTimeConstant.Seconds()
	t.lateRateUpdatedAt = now
}

// expire removes the demand of nodes that have stopped reporting.
func (d *demandTable) expire(now time.Time) {
	for n, node := range d.nodes {
		if now.Sub(node.reportedAt) <= nodeReportTimeout {
			continue
		}
		for k, before := range node.keys {
			d.add(now, k, -before.Waiting, -before.Running, 0)
			if k.Adapter != "" {
				d.add(now, k.baseModel(), 0, -before.Running, 0)
			}
		}
		delete(d.nodes, n)
	}
}

// total returns the demand for a key over all nodes; it is never nil.
func (d *demandTable) total(k ModelKey) *totalDemand {
	if t := d.totals[k]; t != nil {
		return t
	}
	return &totalDemand{}
}
