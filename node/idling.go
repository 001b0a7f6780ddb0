package node

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// minimumIdleTime is how long an idle replica stays loaded at least: nodes must first
	// receive a report that shows it.
	minimumIdleTime = 2 * time.Second
	// assumedLoadBytesPerSecond estimates the duration of a load before one was measured.
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

// maximumIdleTime is how long an idle replica of m stays loaded: as the policy decides, at
// most KeepAlive. Zero means without limit.
func (c *serverController) maximumIdleTime(m domain.ModelName) time.Duration {
	if c.deps.KeepAlivePolicy == nil || c.deps.KeepAlive == 0 {
		return c.deps.KeepAlive
	}
	d := c.deps.KeepAlivePolicy.KeepAlive(m, c.coldStartDuration(m), c.deps.costWeights(), time.Now())
	return min(max(d, minimumIdleTime), c.deps.KeepAlive)
}

// coldStartDuration is the expected duration of a load of m, from this owner's past loads
// or the size.
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

// recordUse records how a replica was used since the last poll; the caller holds mu.
// Requests that the replica served before this owner's first poll have no known time and
// count for nothing.
func (c *serverController) recordUse(r engine.Replica, now time.Time) {
	known := !c.lastUsedAt[r.Model].IsZero()
	before := c.servedCounts[r.Model]
	if r.Served < before {
		before = 0
	}
	if r.Running+r.Waiting > 0 || !known || c.servedCounts[r.Model] != r.Served {
		c.lastUsedAt[r.Model] = now
	}
	c.servedCounts[r.Model] = r.Served
	if known && c.deps.KeepAlivePolicy != nil {
		c.deps.KeepAlivePolicy.RecordArrivals(r.Model, now, int(r.Served-before))
	}
}

// rankIdle sorts idle replicas by the expected cost of loading them again, the cheapest
// first; the caller holds mu.
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
