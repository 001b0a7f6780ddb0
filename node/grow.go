package node

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/rendezvous"
)

const (
	// scaleUpInterval is how often a home looks for models that need one more copy.
	scaleUpInterval = 500 * time.Millisecond
	// scaleUpDelay is how long every replica of a model must have requests waiting
	// before one more is loaded. Shorter bursts are over before a load is.
	scaleUpDelay = time.Second
)

// Run adds replicas to the models whose home this node is, while requests wait on
// all of those they have and the operators allow more, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(scaleUpInterval)
	defer t.Stop()
	full := make(map[domain.ModelName]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.scaleUp(ctx, full, time.Now())
		}
	}
}

// scaleUp starts a load for each model that has been full for long enough. full keeps
// since when each has been.
func (c *Coordinator) scaleUp(ctx context.Context, full map[domain.ModelName]time.Time, now time.Time) {
	members := c.deps.activeNodes()
	busy := make(map[domain.ModelName]bool)
	for _, m := range c.deps.Reports.Models() {
		// Few models are full: most are passed over without hashing.
		if !c.isSaturated(m, now) {
			continue
		}
		if first, ok := rendezvous.First(coordinatorKey(m), members); !ok || first != c.deps.nodeID() {
			continue
		}
		busy[m] = true
		if full[m].IsZero() {
			full[m] = now
		}
		if now.Sub(full[m]) >= scaleUpDelay {
			full[m] = now
			c.addReplica(ctx, m, now)
		}
	}
	for m := range full {
		if !busy[m] {
			delete(full, m)
		}
	}
}

// coordinatorKey is hashed over the live nodes to find a model's home.
func coordinatorKey(m domain.ModelName) string { return "model/" + string(m) }

// isSaturated tells whether the operators allow one more replica and every one there is
// has requests waiting.
func (c *Coordinator) isSaturated(m domain.ModelName, now time.Time) bool {
	model, ok := c.modelConfiguration(m)
	ready := c.deps.Reports.Ready(m, now)
	if !ok || model.Paused || len(ready) == 0 || domain.Copies(len(ready)) >= model.Copies {
		return false
	}
	c.deps.Gossip.RecordDecision(ready, now)
	concurrency := model.Concurrency
	if concurrency == 0 {
		concurrency = configuration.DefaultConcurrency
	}
	for _, l := range ready {
		if l.Model.Waiting == 0 && l.Model.Running < concurrency {
			return false
		}
	}
	return true
}

// addReplica loads the model on the best server that does not have it.
func (c *Coordinator) addReplica(ctx context.Context, m domain.ModelName, now time.Time) {
	w := peer.Wake{Model: m, Region: c.deps.Self.Region}
	for _, l := range c.deps.Reports.Ready(m, now) {
		w.Exclude = append(w.Exclude, l.Server)
	}
	for _, target := range c.candidates(w) {
		if target.excluded {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, coldStartTimeout)
			defer cancel()
			err := c.loadOn(ctx, target, w)
			c.deps.Logger.Info().Str("Event", "ReplicaAdded").Str("Model", string(m)).Str("Server", string(target.server)).
				Bool("Ok", err == nil).AnErr("Cause", err).Msg("requests were waiting on every replica")
		}()
		return
	}
}
