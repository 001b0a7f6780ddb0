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
	// scaleUpInterval is how often a coordinator looks for models that need another
	// replica.
	scaleUpInterval = 500 * time.Millisecond
	// scaleUpDelay is how long every replica of a model must be saturated before another
	// one is loaded. Shorter bursts are over before a load completes.
	scaleUpDelay = time.Second
)

// Run adds replicas to the models that this node coordinates, while all replicas of a model
// are saturated and its configured copies allow more, until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	t := time.NewTicker(scaleUpInterval)
	defer t.Stop()
	saturatedSince := make(map[domain.ModelName]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			c.scaleUp(ctx, saturatedSince, time.Now())
		}
	}
}

// scaleUp starts a load for each model that has been saturated for scaleUpDelay.
// saturatedSince persists between calls.
func (c *Coordinator) scaleUp(ctx context.Context, saturatedSince map[domain.ModelName]time.Time, now time.Time) {
	members := c.deps.activeNodes()
	saturated := make(map[domain.ModelName]bool)
	for _, m := range c.deps.Reports.Models() {
		// Few models are saturated, so that most need no hashing.
		if !c.isSaturated(m, now) {
			continue
		}
		if first, ok := rendezvous.First(coordinatorKey(m), members); !ok || first != c.deps.nodeID() {
			continue
		}
		saturated[m] = true
		if saturatedSince[m].IsZero() {
			saturatedSince[m] = now
		}
		if now.Sub(saturatedSince[m]) >= scaleUpDelay {
			saturatedSince[m] = now
			c.addReplica(ctx, m, now)
		}
	}
	for m := range saturatedSince {
		if !saturated[m] {
			delete(saturatedSince, m)
		}
	}
}

// coordinatorKey is hashed over the active nodes to select a model's coordinator.
func coordinatorKey(m domain.ModelName) string { return "model/" + string(m) }

// isSaturated reports whether the configuration allows another replica and every existing
// one has requests waiting or runs as many as it may.
func (c *Coordinator) isSaturated(m domain.ModelName, now time.Time) bool {
	model, ok := c.modelConfiguration(m)
	ready := c.deps.Reports.ReadyReplicas(m, now)
	if !ok || model.Paused || len(ready) == 0 || domain.ReplicaCount(len(ready)) >= model.Copies {
		return false
	}
	c.deps.Gossip.FollowAsCoordinator(ready, now)
	concurrency := model.Concurrency
	if concurrency == 0 {
		concurrency = configuration.DefaultConcurrency
	}
	for _, l := range ready {
		if l.Replica.Waiting == 0 && l.Replica.Running < concurrency {
			return false
		}
	}
	return true
}

// addReplica loads the model on the best server that does not have it.
func (c *Coordinator) addReplica(ctx context.Context, m domain.ModelName, now time.Time) {
	w := peer.Wake{Model: m, Region: c.deps.Self.Region}
	for _, l := range c.deps.Reports.ReadyReplicas(m, now) {
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
				Bool("Ok", err == nil).AnErr("Cause", err).Msg("load of another replica ended; every replica was saturated")
		}()
		return
	}
}
