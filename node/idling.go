package node

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/waking"
)

const (
	// leastStay is how long a replica stays at least: its callers have to hear of it first.
	leastStay = 2 * time.Second
	// assumedPace is the bytes that a load takes in a second, before one was seen.
	assumedPace = 4 * domain.Gibibyte
)

// weights are the deployment's prices in the configuration in force.
func (d *Deps) weights() (w waking.Weights) {
	d.Agreement.View(func(s *fold.State) {
		c := s.Deployment()
		w = waking.Weights{ColdStart: c.ColdStartWeight, Idle: c.IdleWeight}
	})
	return w
}

// stay is how long an idle replica of m stays loaded: as the policy says, within KeepAlive.
func (k *keeper) stay(m domain.ModelName) time.Duration {
	if k.deps.Waking == nil || k.deps.KeepAlive == 0 {
		return k.deps.KeepAlive
	}
	d := k.deps.Waking.KeepFor(m, k.coldStart(m), k.deps.weights(), time.Now())
	return min(max(d, leastStay), k.deps.KeepAlive)
}

// coldStart is how long waking m again takes, as far as this owner saw.
func (k *keeper) coldStart(m domain.ModelName) time.Duration {
	k.mu.Lock()
	took := k.took[m]
	k.mu.Unlock()
	if took > 0 {
		return took
	}
	_, size, _ := k.model(m)
	return time.Duration(float64(size) / float64(assumedPace) * float64(time.Second))
}

// noteLoad takes the duration of a load; the caller holds mu.
func (k *keeper) noteLoad(m domain.ModelName, took time.Duration) {
	k.took[m] = smooth(k.took[m], took)
}

// noteUse takes in what a replica was used for since the last poll; the caller holds mu. What a
// replica served before this owner first saw it tells nothing about when.
func (k *keeper) noteUse(r engine.Replica, now time.Time) {
	known := !k.usedAt[r.Model].IsZero()
	before := k.served[r.Model]
	if r.Served < before {
		before = 0
	}
	if r.Running+r.Waiting > 0 || !known || k.served[r.Model] != r.Served {
		k.usedAt[r.Model] = now
	}
	k.served[r.Model] = r.Served
	if known && k.deps.Waking != nil {
		k.deps.Waking.Arrived(r.Model, now, int(r.Served-before))
	}
}

// rankIdle orders idle replicas by the expected cost of waking them again, the least
// first; the caller holds mu.
func (k *keeper) rankIdle(idle []domain.ModelName, now time.Time) []domain.ModelName {
	candidates := make([]waking.Candidate, 0, len(idle))
	for _, m := range idle {
		c := waking.Candidate{Model: m, IdleFor: now.Sub(k.usedAt[m]), ColdStart: k.took[m]}
		_, c.Size, _ = k.model(m)
		if p := k.deps.Waking; p != nil {
			c.Chance, c.Callers = p.Chance(m, now), p.Callers(m, c.ColdStart)
		}
		candidates = append(candidates, c)
	}
	return waking.Rank(candidates)
}
