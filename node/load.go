package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/owner"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
)

// loadRetryAfter is the Retry-After of errors that report no capacity or an unavailable log.
const loadRetryAfter = 2 * time.Second

// ensureLoaded loads a model, and its adapter if named, unless the server has them loaded.
// Concurrent requests for one model share one load. The load continues when the context of
// a request ends.
func (c *serverController) ensureLoaded(ctx context.Context, l peer.Load) error {
	ctx, cancel := context.WithTimeout(ctx, l.Within)
	defer cancel()
	if !c.isReplicaReady(l.Model) {
		if err := c.awaitSharedLoad(ctx, l.Model); err != nil {
			return err
		}
	}
	if l.Adapter == "" || c.isAdapterReady(l.Model, l.Adapter) {
		return nil
	}
	return c.loadAdapter(ctx, l.Model, l.Adapter)
}

// awaitSharedLoad waits for the running load of the model, or starts one.
func (c *serverController) awaitSharedLoad(ctx context.Context, m domain.ModelName) error {
	c.mu.Lock()
	f := c.runningLoads[m]
	if f == nil {
		f = &flight{done: make(chan struct{}), startedAt: time.Now()}
		c.runningLoads[m] = f
		go c.runLoad(context.WithoutCancel(ctx), m, f)
	}
	c.mu.Unlock()
	timeoutErr := verdict.Refuse(verdict.DeadlineTooShort, "the model is still loading").WithRetryAfter(loadRetryAfter)
	return f.wait(ctx, timeoutErr)
}

func (c *serverController) runLoad(ctx context.Context, m domain.ModelName, f *flight) {
	ctx, cancel := context.WithTimeout(ctx, loadOrderTimeout)
	defer cancel()
	start := time.Now()
	f.err = c.loadModel(ctx, m)
	if f.err == nil {
		// Poll before closing f.done, so that the waiting requests find the replica.
		c.poll(ctx)
		c.publishReport()
	}
	c.mu.Lock()
	if f.err == nil {
		c.recordLoadDuration(m, time.Since(start))
	}
	delete(c.runningLoads, m)
	c.mu.Unlock()
	close(f.done)
	e := c.log.Info()
	if f.err != nil {
		e = c.log.Warn().Err(f.err)
	}
	e.Str("Event", "ModelLoaded").Str("Model", string(m)).Dur("Took", time.Since(start)).Bool("Ok", f.err == nil).Msg("load ended")
}

// loadModel acquires a permit, memory and a weight store slot, in this order, and then
// issues the order.
func (c *serverController) loadModel(ctx context.Context, m domain.ModelName) error {
	model, size, ok := c.modelAndPermitSize(m)
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if err := c.ensurePermit(ctx, m, size); err != nil {
		return err
	}
	model, err := c.reserveMemory(ctx, m, size)
	if err != nil {
		return err
	}
	release, err := c.paceClient.Acquire(ctx, m)
	if err != nil {
		c.finishLoad(m, engine.FailedLoad)
		return err
	}
	defer release()
	return c.issueLoadOrder(ctx, model)
}

func (c *serverController) issueLoadOrder(ctx context.Context, model configuration.Model) error {
	st, err := c.issueOrder(ctx, engine.Order{
		Kind:    engine.LoadModel,
		Model:   model.Name,
		Version: model.Version,
		Memory:  model.Memory,
	})
	c.finishLoad(model.Name, st)
	switch {
	case st == engine.Done:
		c.markUsed(model.Name)
		return nil
	case err != nil:
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the load failed", Cause: err}
	}
	return noCapacity("the backend server refused the load: " + st.String())
}

func noCapacity(message string) error {
	return verdict.Refuse(verdict.NoCapacity, message).WithRetryAfter(loadRetryAfter)
}

func (c *serverController) finishLoad(m domain.ModelName, st engine.OrderStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.account.FinishLoad(m, st)
}

func (c *serverController) markUsed(m domain.ModelName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsedAt[m] = time.Now()
}

func (c *serverController) modelAndPermitSize(m domain.ModelName) (model configuration.Model, size domain.Bytes, ok bool) {
	c.deps.State.View(func(s *fold.State) {
		model, ok = s.Model(m)
		size = s.PermitSize(m)
	})
	return model, size, ok
}

// ensurePermit attaches a permit for m to the server unless it has one. If the permits would
// exceed the server's memory, ensurePermit first evicts idle replicas with their permits.
func (c *serverController) ensurePermit(ctx context.Context, m domain.ModelName, size domain.Bytes) error {
	for {
		attached, revoked, rejection := c.permitState(m)
		switch {
		case attached && revoked:
			return noCapacity("the permit is revoked")
		case attached:
			return nil
		case rejection == fold.OverMemory:
			if err := c.evict(ctx, m, size, true); err != nil {
				return err
			}
			continue
		case rejection != fold.Accepted:
			return noCapacity("no permit can be attached: " + rejection.String())
		}
		out, err := c.deps.State.Propose(ctx, fold.PermitAttached{Model: m, Server: c.lease.Server, Fence: c.lease.Fence})
		if err != nil {
			return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "no permit can be had while the log is down", RetryAfter: loadRetryAfter, Cause: err}
		}
		if r := out[0].Rejection; r != fold.Accepted && r != fold.OverMemory {
			return noCapacity("no permit can be attached: " + r.String())
		}
	}
}

func (c *serverController) permitState(m domain.ModelName) (attached, revoked bool, r fold.Rejection) {
	c.deps.State.View(func(s *fold.State) {
		for _, p := range s.ServerPermits(c.lease.Server) {
			if p.Model == m {
				attached, revoked = true, p.Revoked
			}
		}
		if !attached {
			r = s.CheckAttach(m, c.lease.Server)
		}
	})
	return attached, revoked, r
}

// reserveMemory starts the load in the account and evicts idle replicas until the model
// fits. It returns the model's configuration from the same View as the permit, because a
// configuration read at another time could need more memory than the permit covers.
func (c *serverController) reserveMemory(ctx context.Context, m domain.ModelName, size domain.Bytes) (model configuration.Model, err error) {
	for {
		c.mu.Lock()
		c.syncAccount(func(s *fold.State) { model, _ = s.Model(m) })
		err := c.account.StartLoad(m)
		c.mu.Unlock()
		if err == nil {
			return model, nil
		}
		if !errors.Is(err, owner.NoMemory) {
			return model, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the load cannot start now", RetryAfter: loadRetryAfter, Cause: err}
		}
		if evictErr := c.evict(ctx, m, size, false); evictErr != nil {
			return model, evictErr
		}
	}
}

// isReplicaReady reports whether the last polled state shows the replica as loaded and no
// unload of it is in progress.
func (c *serverController) isReplicaReady(m domain.ModelName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unloadsInProgress[m] {
		return false
	}
	for _, r := range c.state.Replicas {
		if r.Model == m {
			return !r.Loading
		}
	}
	return false
}

func (c *serverController) isAdapterReady(m domain.ModelName, a domain.AdapterName) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.state.Replicas {
		if r.Model != m {
			continue
		}
		for _, n := range r.Adapters {
			if n == a {
				return true
			}
		}
	}
	return false
}

// loadAdapter loads an adapter on a loaded replica. It evicts nothing, because the size of
// the model's permit includes the memory of its adapters.
func (c *serverController) loadAdapter(ctx context.Context, m domain.ModelName, a domain.AdapterName) error {
	var adapter configuration.Adapter
	var ok bool
	c.mu.Lock()
	c.syncAccount(func(s *fold.State) { adapter, ok = s.Adapter(m, a) })
	if !ok {
		c.mu.Unlock()
		return verdict.Refuse(verdict.UnknownModel, "the adapter is not configured")
	}
	err := c.account.StartAdapterLoad(m)
	c.mu.Unlock()
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the adapter cannot load now", RetryAfter: loadRetryAfter, Cause: err}
	}
	st, err := c.issueOrder(ctx, engine.Order{
		Kind:    engine.LoadAdapter,
		Model:   m,
		Adapter: a,
		Version: adapter.Version,
		Memory:  adapter.Memory,
	})
	c.mu.Lock()
	c.account.FinishAdapterLoad(m, st)
	c.mu.Unlock()
	if st == engine.Done {
		c.poll(ctx)
		c.publishReport()
		return nil
	}
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the adapter did not load", Cause: err}
	}
	return noCapacity("the backend server refused the adapter: " + st.String())
}
