package node

import (
	"context"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/verdict"
)

// evict makes room for m by unloading one replica: the first of evictionCandidates that the
// server unloads. alsoReleasePermit is set if the permits would exceed the server's memory.
// In that case, evict releases an unused permit and unloads nothing. If no permit is unused,
// it unloads a replica and releases the permit of that replica.
func (c *serverController) evict(ctx context.Context, m domain.ModelName, size domain.Bytes, alsoReleasePermit bool) error {
	select {
	case c.evictionSlot <- struct{}{}:
	case <-ctx.Done():
		return noCapacity("no room was made in time")
	}
	defer func() { <-c.evictionSlot }()
	if c.hasRoom(m, size, alsoReleasePermit) {
		return nil
	}
	if alsoReleasePermit && c.releaseUnusedPermit(ctx, m) {
		return nil
	}
	for _, victim := range c.evictionCandidates(m) {
		if err := c.unload(ctx, victim); err != nil {
			continue
		}
		if !alsoReleasePermit {
			return nil
		}
		return c.releasePermit(ctx, victim)
	}
	return noCapacity("every replica on the backend server is in use")
}

// hasRoom reports whether m needs no eviction any more, for example because the eviction for
// another load has freed enough memory.
func (c *serverController) hasRoom(m domain.ModelName, size domain.Bytes, alsoReleasePermit bool) bool {
	if alsoReleasePermit {
		_, _, r := c.permitState(m)
		return r == fold.Accepted
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.account.FreeMemory() >= size
}

// releaseUnusedPermit releases one permit whose replica is not loaded, of a model other than
// except. It reports whether it released one.
func (c *serverController) releaseUnusedPermit(ctx context.Context, except domain.ModelName) bool {
	for _, p := range c.permits() {
		if p.Model != except && c.canReleasePermit(p.Model) && c.releasePermit(ctx, p.Model) == nil {
			return true
		}
	}
	return false
}

// evictionCandidates lists the models other than except that can be unloaded, in the order
// to try: first the models of unreportedModels, then the models of idle replicas, of which
// the cheapest to load again comes first.
func (c *serverController) evictionCandidates(except domain.ModelName) []domain.ModelName {
	c.mu.Lock()
	defer c.mu.Unlock()
	var idle []domain.ModelName
	for _, r := range c.state.Replicas {
		if r.Model == except || r.Loading || r.Running+r.Waiting > 0 || c.unloadsInProgress[r.Model] {
			continue
		}
		idle = append(idle, r.Model)
	}
	return append(c.unreportedModels(except), c.rankIdle(idle, time.Now())...)
}

// unreportedModels lists the models other than except that may be loaded although the polled
// state lacks them. After a completed unload order they are known to be unloaded. The caller
// holds mu.
func (c *serverController) unreportedModels(except domain.ModelName) []domain.ModelName {
	return slices.DeleteFunc(c.account.UnconfirmedModels(), func(m domain.ModelName) bool {
		return m == except || slices.ContainsFunc(c.state.Replicas, func(r engine.Replica) bool { return r.Model == m })
	})
}

// unload unloads one replica. If the replica has requests, the server refuses the order as
// busy and the replica stays loaded.
func (c *serverController) unload(ctx context.Context, m domain.ModelName) error {
	c.mu.Lock()
	if c.unloadsInProgress[m] || c.runningLoads[m] != nil {
		c.mu.Unlock()
		return noCapacity("the replica is changing")
	}
	if err := c.account.StartUnload(m); err != nil {
		c.mu.Unlock()
		return err
	}
	c.unloadsInProgress[m] = true
	c.mu.Unlock()
	// Publish a report without the replica, so that other nodes stop routing to it.
	c.publishReport()
	st, err := c.issueOrder(ctx, engine.Order{Kind: engine.UnloadModel, Model: m})
	c.poll(ctx)
	c.mu.Lock()
	c.account.FinishUnload(m, st)
	delete(c.unloadsInProgress, m)
	if st == engine.Done {
		c.state.Replicas = slices.DeleteFunc(c.state.Replicas, func(r engine.Replica) bool { return r.Model == m })
		delete(c.lastUsedAt, m)
		delete(c.servedRequests, m)
	}
	c.mu.Unlock()
	if st == engine.Done {
		c.log.Info().Str("Event", "ModelUnloaded").Str("Model", string(m)).Msg("replica unloaded")
		return nil
	}
	if err == nil {
		err = noCapacity("the backend server refused the unload: " + st.String())
	}
	return err
}

// releaseUnloaded releases the permit of a model, or returns an error if the model is loaded.
// If the model may be loaded although the polled state lacks it, releaseUnloaded first
// issues an unload order.
func (c *serverController) releaseUnloaded(ctx context.Context, m domain.ModelName) error {
	c.mu.Lock()
	unreported := slices.Contains(c.unreportedModels(""), m)
	c.mu.Unlock()
	if unreported {
		if err := c.unload(ctx, m); err != nil {
			return err
		}
	}
	return c.releasePermit(ctx, m)
}

func (c *serverController) canReleasePermit(m domain.ModelName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runningLoads[m] == nil && !c.unloadsInProgress[m] && c.account.CanRelease(m)
}

// beginPermitRelease reports whether the permit of a model can be released. If so, it blocks
// loads of the model, because the caller proposes the release next.
func (c *serverController) beginPermitRelease(m domain.ModelName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncAccount(nil)
	return c.runningLoads[m] == nil && !c.unloadsInProgress[m] && c.account.StartRelease(m)
}

// releasePermit proposes the release of a model's permit and waits until the release is
// applied.
func (c *serverController) releasePermit(ctx context.Context, m domain.ModelName) error {
	if !c.beginPermitRelease(m) {
		return noCapacity("the replica is loaded, changing or in doubt")
	}
	out, err := c.deps.State.Propose(ctx, fold.PermitReleased{Model: m, Server: c.lease.Server, Fence: c.lease.Fence})
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.syncAccount(nil)
	if err != nil {
		if verdict.Of(err).Verdict == verdict.NotRun {
			c.account.CancelRelease(m)
		}
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the permit cannot move while the log is down", Cause: err}
	}
	if r := out[0].Rejection; r != fold.Accepted {
		c.account.CancelRelease(m)
		return noCapacity("the permit cannot move: " + r.String())
	}
	return nil
}

// unloadAndReleaseUnwanted unloads the replicas without a permit, with a revoked permit or
// idle for longer than their keep-alive, and releases revoked permits. On a drained server
// it unloads every replica and releases every permit.
func (c *serverController) unloadAndReleaseUnwanted(ctx context.Context) {
	permits := c.permits()
	drained := c.deps.isServerDrained(c.lease.Server, c.lease.Facts.Zone)
	for _, m := range c.loadedModels() {
		p, ok := findPermit(permits, m)
		if ok && !drained && !p.Revoked && !c.isIdleFor(m, c.maximumIdleTime(m)) {
			continue
		}
		// A replica in use is refused as busy; the next poll tries again.
		_ = c.unload(ctx, m)
	}
	for _, p := range permits {
		if (drained || p.Revoked) && !c.deps.IsLogDown() && c.canReleasePermit(p.Model) {
			c.tryReleasePermit(ctx, p.Model)
		}
	}
}

// tryReleasePermit releases a permit within proposalTimeoutWhilePolling, or logs the error.
// The next poll tries again.
func (c *serverController) tryReleasePermit(ctx context.Context, m domain.ModelName) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeoutWhilePolling)
	defer cancel()
	if err := c.releasePermit(ctx, m); err != nil {
		c.log.Warn().Err(err).Str("Event", "PermitNotReleased").Str("Model", string(m)).Msg("permit of a drained server or revoked permit was not released; retrying")
	}
}

func findPermit(permits []fold.Permit, m domain.ModelName) (fold.Permit, bool) {
	for _, p := range permits {
		if p.Model == m {
			return p, true
		}
	}
	return fold.Permit{}, false
}

func (c *serverController) loadedModels() []domain.ModelName {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []domain.ModelName
	for _, r := range c.state.Replicas {
		if !r.Loading {
			out = append(out, r.Model)
		}
	}
	return out
}

func (c *serverController) isIdleFor(m domain.ModelName, d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lastUsedAt := c.lastUsedAt[m]
	return d > 0 && !lastUsedAt.IsZero() && time.Since(lastUsedAt) >= d
}
