package node

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// minimumIdleTime is the shortest time that the policy can keep an idle replica loaded.
	// Nodes need that time to receive the report that shows a new replica.
	minimumIdleTime = 2 * time.Second
	// assumedLoadBytesPerSecond is the assumed load rate of a model that this owner has not
	// loaded yet.
	assumedLoadBytesPerSecond = 4 * domain.Gibibyte
)

// costWeights returns the deployment's cost weights in the configuration in force.
func (d *Deps) costWeights() (w waking.Weights) {
	d.State.View(func(s *fold.State) {
		c := s.Deployment()
		w = waking.Weights{ColdStart: c.ColdStartWeight, Idle: c.IdleWeight}
	})
	return w
}

// maximumIdleTime returns how long an idle replica of m stays loaded: the decision of the
// policy, bounded by minimumIdleTime and KeepAlive. Zero means without limit.
func (c *serverController) maximumIdleTime(m domain.ModelName) time.Duration {
	if c.deps.KeepAlivePolicy == nil || c.deps.KeepAlive == 0 {
		return c.deps.KeepAlive
	}
	d := c.deps.KeepAlivePolicy.KeepAlive(m, c.coldStartDuration(m), c.deps.costWeights(), time.Now())
	return min(max(d, minimumIdleTime), c.deps.KeepAlive)
}

// coldStartDuration returns the expected duration of a load of m: the average of this
// owner's loads or, if there are none, an estimate from the permit size.
func (c *serverController) coldStartDuration(m domain.ModelName) time.Duration {
	c.mu.Lock()
	average := c.loadDurations[m]
	c.mu.Unlock()
	if average > 0 {
		return average
	}
	_, size, _ := c.modelAndPermitSize(m)
	return time.Duration(float64(size) / float64(assumedLoadBytesPerSecond) * float64(time.Second))
}

// recordLoadDuration adds the duration of a load to the average; the caller holds mu.
func (c *serverController) recordLoadDuration(m domain.ModelName, d time.Duration) {
	c.loadDurations[m] = smoothDuration(c.loadDurations[m], d)
}

// recordUse updates the time of the replica's last use and reports the number of requests
// since the last poll to the keep-alive policy. It reports nothing at this node's first poll
// of a replica that this controller did not load, because the times of the earlier requests are
// unknown. The caller holds mu.
func (c *serverController) recordUse(r engine.Replica, now time.Time) {
	hasBaseline := !c.lastUsedAt[r.Model].IsZero()
	servedBefore := c.servedRequests[r.Model]
	if r.Served < servedBefore {
		servedBefore = 0
	}
	if r.Running+r.Waiting > 0 || !hasBaseline || c.servedRequests[r.Model] != r.Served {
		c.lastUsedAt[r.Model] = now
	}
	c.servedRequests[r.Model] = r.Served
	if hasBaseline && c.deps.KeepAlivePolicy != nil {
		c.deps.KeepAlivePolicy.RecordArrivals(r.Model, now, int(r.Served-servedBefore))
	}
}

// rankIdle sorts the models of idle replicas in the order in which to evict them: the model
// with the lowest expected cost of another load comes first. The caller holds mu.
func (c *serverController) rankIdle(idle []domain.ModelName, now time.Time) []domain.ModelName {
	candidates := make([]waking.EvictionCandidate, 0, len(idle))
	for _, m := range idle {
		entry := waking.EvictionCandidate{Model: m, IdleFor: now.Sub(c.lastUsedAt[m]), ColdStart: c.loadDurations[m]}
		_, entry.Size, _ = c.modelAndPermitSize(m)
		if p := c.deps.KeepAlivePolicy; p != nil {
			entry.ReuseProbability, entry.Waiters = p.ArrivalProbability(m, now), p.ExpectedWaiters(m, entry.ColdStart)
		}
		candidates = append(candidates, entry)
	}
	return waking.RankForEviction(candidates)
}
