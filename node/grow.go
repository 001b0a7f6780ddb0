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
	// replica is loaded. A shorter burst would end before the load completes.
	scaleUpDelay = time.Second
)

// Run adds replicas to the saturated models that this node coordinates, until ctx ends.
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

// scaleUp starts a load for each model that this node coordinates and that has been
// saturated for scaleUpDelay. Between calls, saturatedSince holds the time at which
// each saturated model became saturated or last got a replica.
func (c *Coordinator) scaleUp(ctx context.Context, saturatedSince map[domain.ModelName]time.Time, now time.Time) {
	members := c.deps.activeNodes()
	saturatedModels := make(map[domain.ModelName]bool)
	for _, m := range c.deps.Reports.Models() {
		// Check for saturation before hashing: few models are saturated.
		if !c.isSaturated(m, now) {
			continue
		}
		if coordinator, ok := rendezvous.First(coordinatorKey(m), members); !ok || coordinator != c.deps.nodeID() {
			continue
		}
		saturatedModels[m] = true
		if saturatedSince[m].IsZero() {
			saturatedSince[m] = now
		}
		if now.Sub(saturatedSince[m]) >= scaleUpDelay {
			saturatedSince[m] = now
			c.addReplica(ctx, m, now)
		}
	}
	for m := range saturatedSince {
		if !saturatedModels[m] {
			delete(saturatedSince, m)
		}
	}
}

// coordinatorKey returns the rendezvous hash key that selects a model's coordinator among
// the active nodes.
func coordinatorKey(m domain.ModelName) string { return "model/" + string(m) }

// isSaturated reports whether a model has ready replicas, fewer than its configured copies,
// and each of them has requests waiting or runs as many requests as its concurrency allows.
// It also subscribes this node to the loads of the replicas, if more are allowed.
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

// addReplica starts a load of the model on the best candidate that does not have the model.
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
