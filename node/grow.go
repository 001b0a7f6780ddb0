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
	// growInterval is how often a home looks for models that need one more copy.
	growInterval = 500 * time.Millisecond
	// growAfter is how long every replica of a model must have requests waiting
	// before one more is loaded. Shorter bursts are over before a load is.
	growAfter = time.Second
)

// Run adds replicas to the models whose home this node is, while requests wait on
// all of those they have and the operators allow more, until ctx ends.
func (h *Home) Run(ctx context.Context) {
	t := time.NewTicker(growInterval)
	defer t.Stop()
	full := make(map[domain.ModelName]time.Time)
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			h.grow(ctx, full, time.Now())
		}
	}
}

// grow starts a load for each model that has been full for long enough. full keeps
// since when each has been.
func (h *Home) grow(ctx context.Context, full map[domain.ModelName]time.Time, now time.Time) {
	members := h.deps.members()
	busy := make(map[domain.ModelName]bool)
	for _, m := range h.deps.Reports.Models() {
		// Few models are full: most are passed over without hashing.
		if !h.full(m, now) {
			continue
		}
		if first, ok := rendezvous.First(homeKey(m), members); !ok || first != h.deps.node() {
			continue
		}
		busy[m] = true
		if full[m].IsZero() {
			full[m] = now
		}
		if now.Sub(full[m]) >= growAfter {
			full[m] = now
			h.addReplica(ctx, m, now)
		}
	}
	for m := range full {
		if !busy[m] {
			delete(full, m)
		}
	}
}

// homeKey is hashed over the live nodes to find a model's home.
func homeKey(m domain.ModelName) string { return "model/" + string(m) }

// full tells whether the operators allow one more replica and every one there is
// has requests waiting.
func (h *Home) full(m domain.ModelName, now time.Time) bool {
	model, ok := h.model(m)
	ready := h.deps.Reports.Ready(m, now)
	if !ok || model.Paused || len(ready) == 0 || domain.Copies(len(ready)) >= model.Copies {
		return false
	}
	h.deps.News.Decide(ready, now)
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
func (h *Home) addReplica(ctx context.Context, m domain.ModelName, now time.Time) {
	w := peer.Wake{Model: m, Region: h.deps.Self.Region}
	for _, l := range h.deps.Reports.Ready(m, now) {
		w.Exclude = append(w.Exclude, l.Server)
	}
	for _, c := range h.candidates(w) {
		if c.failed {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
			defer cancel()
			err := h.loadOn(ctx, c, w)
			h.deps.Logger.Info().Str("Event", "ReplicaAdded").Str("Model", string(m)).Str("Server", string(c.server)).
				Bool("Ok", err == nil).AnErr("Cause", err).Msg("requests were waiting on every replica")
		}()
		return
	}
}
