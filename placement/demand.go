package placement

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// rateTimeConstant is the time constant with which the request rates decay
	// exponentially.
	rateTimeConstant = 8 * time.Second
	// lateRateTimeConstant is the time constant with which the rates of late responses
	// decay.
	lateRateTimeConstant = 2 * time.Second
	// overloadLateShare is the share of late responses above which a model counts as
	// overloaded and gets another replica.
	overloadLateShare = 0.1
	// minimumObservation is the shortest time over which a request rate is computed.
	minimumObservation = 2 * time.Second
	// nodeReportTimeout is how long the demand that a node has reported counts without a
	// new report.
	nodeReportTimeout = 3 * time.Second
)

// ModelKey identifies the model, and the adapter if any, that a request needs.
type ModelKey struct {
	Service domain.ServiceName
	Model   domain.ModelName
	// Adapter is empty for the base model.
	Adapter domain.AdapterName
}

// baseModel returns the key of the model without an adapter.
func (k ModelKey) baseModel() ModelKey {
	k.Adapter = ""
	return k
}

// Demand is one node's demand for one model or adapter.
type Demand struct {
	ModelKey
	// Waiting is the number of requests that have no backend server yet, Running the
	// number of attempts at backend servers.
	Waiting, Running int
	// Arrivals is the number of requests that arrived since the node's last report.
	// LateResponses is the number of responses since then that missed the latency goal or
	// the event gap goal of their route.
	Arrivals, LateResponses int
}

// totalDemand is the demand for one key over all nodes.
type totalDemand struct {
	// waiting is the number of waiting requests, running the number of running attempts.
	waiting, running int
	// waitingSince is when the current period with waiting requests started; zero if no
	// request waits.
	waitingSince time.Time
	// rate is the exponentially decaying request rate per second, as of rateUpdatedAt.
	rate          float64
	rateUpdatedAt time.Time
	// lateRate is the exponentially decaying rate of late responses per second, as of
	// lateRateUpdatedAt.
	lateRate          float64
	lateRateUpdatedAt time.Time
	// lastScaleOutAt is when a replica was last added because of late responses.
	lastScaleOutAt time.Time
	// lastUsedAt is when a report last showed an arrival, a waiting request or a running
	// attempt; zero if none has.
	lastUsedAt time.Time
	// observedSince is when the owner received its first report of any demand.
	observedSince time.Time
}

// rateAt returns the request rate per second at now. The decaying sum of a new owner lacks the
// requests before its first report and is scaled up, so that a busy model does not look idle
// after a change of the owner.
func (t *totalDemand) rateAt(now time.Time) float64 {
	return t.decayedRateAt(now) / (1 - math.Exp(-max(now.Sub(t.observedSince), minimumObservation).Seconds()/rateTimeConstant.Seconds()))
}

// decayedRateAt returns the exponentially decaying sum from which the request rate follows.
func (t *totalDemand) decayedRateAt(now time.Time) float64 {
	return t.rate * math.Exp(-now.Sub(t.rateUpdatedAt).Seconds()/rateTimeConstant.Seconds())
}

// lateRateAt returns the rate of late responses per second at now.
func (t *totalDemand) lateRateAt(now time.Time) float64 {
	return t.lateRate * math.Exp(-now.Sub(t.lateRateUpdatedAt).Seconds()/lateRateTimeConstant.Seconds())
}

// isOverloaded reports whether the share of late responses is above overloadLateShare. A
// request rate below one per second counts as one per second.
func (t *totalDemand) isOverloaded(now time.Time) bool {
	return t.lateRateAt(now) > overloadLateShare*max(t.rateAt(now), 1)
}

// demandTable holds the demand of each node and the totals over all nodes. The zero
// demandTable is ready for use.
type demandTable struct {
	nodes  map[domain.NodeID]nodeDemand
	totals map[ModelKey]*totalDemand
	// observedSince is when the first report with demand was recorded.
	observedSince time.Time
}

// nodeDemand is the demand that one node last reported. keys holds the keys with waiting
// or running requests.
type nodeDemand struct {
	reportedAt time.Time
	keys       map[ModelKey]Demand
}

// record records the changed demand of a node. Keys that are not in changed keep their
// demand. Running requests and arrivals for an adapter also count for its base model;
// late responses count for the base model only.
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
		previous := node.keys[c.ModelKey]
		d.add(now, c.ModelKey, c.Waiting-previous.Waiting, c.Running-previous.Running, c.Arrivals)
		d.addLateResponses(now, c.baseModel(), c.LateResponses)
		if c.Adapter != "" {
			d.add(now, c.baseModel(), 0, c.Running-previous.Running, c.Arrivals)
		}
		if c.Waiting == 0 && c.Running == 0 {
			delete(node.keys, c.ModelKey)
			continue
		}
		node.keys[c.ModelKey] = c
	}
}

// add adds changes of the numbers of waiting and running requests and a number of
// arrivals to the total demand for a key.
func (d *demandTable) add(now time.Time, k ModelKey, waitingChange, runningChange, arrivals int) {
	t := d.totals[k]
	if t == nil {
		if d.observedSince.IsZero() {
			d.observedSince = now
		}
		t = &totalDemand{rateUpdatedAt: now, observedSince: d.observedSince}
		d.totals[k] = t
	}
	t.waiting += waitingChange
	t.running += runningChange
	if arrivals > 0 {
		t.rate = t.decayedRateAt(now) + float64(arrivals)/rateTimeConstant.Seconds()
		t.rateUpdatedAt = now
	}
	if arrivals > 0 || t.running > 0 || t.waiting > 0 {
		t.lastUsedAt = now
	}
	switch {
	case t.waiting == 0:
		t.waitingSince = time.Time{}
	case t.waitingSince.IsZero():
		t.waitingSince = now
	}
}

// addLateResponses adds a number of late responses to the total demand for a key.
func (d *demandTable) addLateResponses(now time.Time, k ModelKey, n int) {
	t := d.totals[k]
	if n == 0 || t == nil {
		return
	}
	t.lateRate = t.lateRateAt(now) + float64(n)/lateRateTimeConstant.Seconds()
	t.lateRateUpdatedAt = now
}

// expire removes the demand of each node without a report within nodeReportTimeout.
func (d *demandTable) expire(now time.Time) {
	for n, node := range d.nodes {
		if now.Sub(node.reportedAt) <= nodeReportTimeout {
			continue
		}
		for k, previous := range node.keys {
			d.add(now, k, -previous.Waiting, -previous.Running, 0)
			if k.Adapter != "" {
				d.add(now, k.baseModel(), 0, -previous.Running, 0)
			}
		}
		delete(d.nodes, n)
	}
}

// total returns the total demand for a key over all nodes. It is never nil.
func (d *demandTable) total(k ModelKey) *totalDemand {
	if t := d.totals[k]; t != nil {
		return t
	}
	return &totalDemand{}
}

// nodesWaitingFor returns the nodes with waiting requests for keys that f accepts, once for each
// key.
func (d *demandTable) nodesWaitingFor(f func(ModelKey) bool) []domain.NodeID {
	var nodes []domain.NodeID
	for id, n := range d.nodes {
		for k, demand := range n.keys {
			if demand.Waiting > 0 && f(k) {
				nodes = append(nodes, id)
			}
		}
	}
	return nodes
}
