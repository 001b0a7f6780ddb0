package node

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// minimumIdleTime is how long a replica stays at least: its callers have to hear of it first.
	minimumIdleTime = 2 * time.Second
	// assumedLoadBytesPerSecond is the bytes that a load takes in a second, before one was seen.
	assumedLoadBytesPerSecond = 4 * domain.Gibibyte
)

// wakingWeights are the deployment's prices in the configuration in force.
func (d *Deps) wakingWeights() (w waking.Weights) {
	d.State.View(func(s *fold.State) {
		c := s.Deployment()
		w = waking.Weights{ColdStart: c.ColdStartWeight, Idle: c.IdleWeight}
	})
	return w
}

// maximumIdleTime is how long an idle replica of m stays loaded: as the policy says, within KeepAlive.
func (c *serverController) maximumIdleTime(m domain.ModelName) time.Duration {
	if c.deps.Waking == nil || c.deps.KeepAlive == 0 {
		return c.deps.KeepAlive
	}
	d := c.deps.Waking.KeepFor(m, c.coldStartDuration(m), c.deps.wakingWeights(), time.Now())
	return min(max(d, minimumIdleTime), c.deps.KeepAlive)
}

// coldStartDuration is how long waking m again takes, as far as this owner saw.
func (c *serverController) coldStartDuration(m domain.ModelName) time.Duration {
	c.mu.Lock()
	took := c.loadDurations[m]
	c.mu.Unlock()
	if took > 0 {
		return took
	}
	_, size, _ := c.modelAndPermitSize(m)
	return time.Duration(float64(size) / float64(assumedLoadBytesPerSecond) * float64(time.Second))
}

// recordLoadDuration takes the duration of a load; the caller holds mu.
func (c *serverController) recordLoadDuration(m domain.ModelName, took time.Duration) {
	c.loadDurations[m] = smoothDuration(c.loadDurations[m], took)
}

// recordUse takes in what a replica was used for since the last poll; the caller holds mu. What a
// replica served before this owner first saw it tells nothing about when.
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
	if known && c.deps.Waking != nil {
		c.deps.Waking.Arrived(r.Model, now, int(r.Served-before))
	}
}

// rankIdle orders idle replicas by the expected cost of waking them again, the least
// first; the caller holds mu.
func (c *serverController) rankIdle(idle []domain.ModelName, now time.Time) []domain.ModelName {
	candidates := make([]waking.Candidate, 0, len(idle))
	for _, m := range idle {
		candidate := waking.Candidate{Model: m, IdleFor: now.Sub(c.lastUsedAt[m]), ColdStart: c.loadDurations[m]}
		_, candidate.Size, _ = c.modelAndPermitSize(m)
		if p := c.deps.Waking; p != nil {
			candidate.Chance, candidate.Callers = p.Chance(m, now), p.Callers(m, candidate.ColdStart)
		}
		candidates = append(candidates, candidate)
	}
	return waking.Rank(candidates)
}
