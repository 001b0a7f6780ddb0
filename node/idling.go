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
func (k *serverController) maximumIdleTime(m domain.ModelName) time.Duration {
	if k.deps.Waking == nil || k.deps.KeepAlive == 0 {
		return k.deps.KeepAlive
	}
	d := k.deps.Waking.KeepFor(m, k.coldStartDuration(m), k.deps.wakingWeights(), time.Now())
	return min(max(d, minimumIdleTime), k.deps.KeepAlive)
}

// coldStartDuration is how long waking m again takes, as far as this owner saw.
func (k *serverController) coldStartDuration(m domain.ModelName) time.Duration {
	k.mu.Lock()
	took := k.loadDurations[m]
	k.mu.Unlock()
	if took > 0 {
		return took
	}
	_, size, _ := k.modelAndPermitSize(m)
	return time.Duration(float64(size) / float64(assumedLoadBytesPerSecond) * float64(time.Second))
}

// recordLoadDuration takes the duration of a load; the caller holds mu.
func (k *serverController) recordLoadDuration(m domain.ModelName, took time.Duration) {
	k.loadDurations[m] = smoothDuration(k.loadDurations[m], took)
}

// recordUse takes in what a replica was used for since the last poll; the caller holds mu. What a
// replica served before this owner first saw it tells nothing about when.
func (k *serverController) recordUse(r engine.Replica, now time.Time) {
	known := !k.lastUsedAt[r.Model].IsZero()
	before := k.servedCounts[r.Model]
	if r.Served < before {
		before = 0
	}
	if r.Running+r.Waiting > 0 || !known || k.servedCounts[r.Model] != r.Served {
		k.lastUsedAt[r.Model] = now
	}
	k.servedCounts[r.Model] = r.Served
	if known && k.deps.Waking != nil {
		k.deps.Waking.Arrived(r.Model, now, int(r.Served-before))
	}
}

// rankIdle orders idle replicas by the expected cost of waking them again, the least
// first; the caller holds mu.
func (k *serverController) rankIdle(idle []domain.ModelName, now time.Time) []domain.ModelName {
	candidates := make([]waking.Candidate, 0, len(idle))
	for _, m := range idle {
		c := waking.Candidate{Model: m, IdleFor: now.Sub(k.lastUsedAt[m]), ColdStart: k.loadDurations[m]}
		_, c.Size, _ = k.modelAndPermitSize(m)
		if p := k.deps.Waking; p != nil {
			c.Chance, c.Callers = p.Chance(m, now), p.Callers(m, c.ColdStart)
		}
		candidates = append(candidates, c)
	}
	return waking.Rank(candidates)
}
