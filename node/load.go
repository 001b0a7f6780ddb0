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

// retryLoadAfter is the Retry-After of a load that found no room.
const retryLoadAfter = 2 * time.Second

// load makes a model, and its adapter if named, usable on the server. Askers for
// the same model share one load; it goes on when an asker gives up.
func (k *keeper) load(ctx context.Context, l peer.Load) error {
	ctx, cancel := context.WithTimeout(ctx, l.Within)
	defer cancel()
	if !k.replicaReady(l.Model) {
		if err := k.joinLoad(ctx, l.Model); err != nil {
			return err
		}
	}
	if l.Adapter == "" || k.adapterReady(l.Model, l.Adapter) {
		return nil
	}
	return k.loadAdapter(ctx, l.Model, l.Adapter)
}

func (k *keeper) joinLoad(ctx context.Context, m domain.ModelName) error {
	k.mu.Lock()
	f := k.loads[m]
	if f == nil {
		f = &flight{done: make(chan struct{}), began: time.Now()}
		k.loads[m] = f
		go k.runLoad(context.WithoutCancel(ctx), m, f)
	}
	k.mu.Unlock()
	late := verdict.Refuse(verdict.DeadlineTooShort, "the model is still loading").WithRetryAfter(retryLoadAfter)
	return f.wait(ctx, late)
}

func (k *keeper) runLoad(ctx context.Context, m domain.ModelName, f *flight) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	start := time.Now()
	f.err = k.loadModel(ctx, m)
	if f.err == nil {
		// A poll before done makes the next asker find the replica.
		k.poll(ctx)
		k.report()
	}
	k.mu.Lock()
	if f.err == nil {
		k.noteLoad(m, time.Since(start))
	}
	delete(k.loads, m)
	k.mu.Unlock()
	close(f.done)
	e := k.log.Info()
	if f.err != nil {
		e = k.log.Warn().Err(f.err)
	}
	e.Str("Event", "ModelLoaded").Str("Model", string(m)).Dur("Took", time.Since(start)).Bool("Ok", f.err == nil).Msg("load ended")
}

// loadModel takes a permit, memory and a slot at the weight store, in this
// order, and gives the order.
func (k *keeper) loadModel(ctx context.Context, m domain.ModelName) error {
	model, size, ok := k.model(m)
	if !ok {
		return verdict.Refuse(verdict.UnknownModel, "the model is not configured")
	}
	if model.Paused {
		return verdict.Refuse(verdict.ModelPaused, "an operator paused the model")
	}
	if err := k.ensurePermit(ctx, m, size); err != nil {
		return err
	}
	model, err := k.reserve(ctx, m, size)
	if err != nil {
		return err
	}
	release, err := k.pace.Acquire(ctx, m)
	if err != nil {
		k.finishLoad(m, engine.FailedLoad)
		return err
	}
	defer release()
	return k.giveLoad(ctx, model)
}

func (k *keeper) giveLoad(ctx context.Context, model configuration.Model) error {
	st, err := k.order(ctx, engine.Order{
		Kind:    engine.LoadModel,
		Model:   model.Name,
		Version: model.Version,
		Memory:  model.Memory,
	})
	k.finishLoad(model.Name, st)
	switch {
	case st == engine.Done:
		k.touch(model.Name)
		return nil
	case err != nil:
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the load failed", Cause: err}
	}
	return noRoom("the backend server refused the load: " + st.String())
}

func noRoom(message string) error {
	return verdict.Refuse(verdict.NoCapacity, message).WithRetryAfter(retryLoadAfter)
}

func (k *keeper) finishLoad(m domain.ModelName, st engine.OrderStatus) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.account.FinishLoad(m, st)
}

func (k *keeper) touch(m domain.ModelName) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.usedAt[m] = time.Now()
}

func (k *keeper) model(m domain.ModelName) (model configuration.Model, size domain.Bytes, ok bool) {
	k.deps.Agreement.View(func(s *fold.State) {
		model, ok = s.Model(m)
		size = s.PermitSize(m)
	})
	return model, size, ok
}

// ensurePermit attaches a permit for m to the server, taking idle replicas down
// where the fold wants their memory back first.
func (k *keeper) ensurePermit(ctx context.Context, m domain.ModelName, size domain.Bytes) error {
	for {
		held, revoked, rejection := k.permitState(m)
		switch {
		case held && revoked:
			return noRoom("the permit is revoked")
		case held:
			return nil
		case rejection == fold.OverMemory:
			if err := k.evict(ctx, m, size, true); err != nil {
				return err
			}
			continue
		case rejection != fold.Accepted:
			return noRoom("no permit can be attached: " + rejection.String())
		}
		out, err := k.deps.Agreement.Propose(ctx, fold.PermitAttached{Model: m, Server: k.lease.Server, Fence: k.lease.Fence})
		if err != nil {
			return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "no permit can be had while the log is down", RetryAfter: retryLoadAfter, Cause: err}
		}
		if r := out[0].Rejection; r != fold.Accepted && r != fold.OverMemory {
			return noRoom("no permit can be attached: " + r.String())
		}
	}
}

func (k *keeper) permitState(m domain.ModelName) (held, revoked bool, r fold.Rejection) {
	k.deps.Agreement.View(func(s *fold.State) {
		for _, p := range s.ServerPermits(k.lease.Server) {
			if p.Model == m {
				held, revoked = true, p.Revoked
			}
		}
		if !held {
			r = s.CheckAttach(m, k.lease.Server)
		}
	})
	return held, revoked, r
}

// reserve starts the load in the account, after idle replicas made room for it. It
// returns the model of the same state as the permit: one read at another moment
// could take more memory than the permit has.
func (k *keeper) reserve(ctx context.Context, m domain.ModelName, size domain.Bytes) (model configuration.Model, err error) {
	for {
		k.mu.Lock()
		k.agree(func(s *fold.State) { model, _ = s.Model(m) })
		err := k.account.StartLoad(m)
		k.mu.Unlock()
		if err == nil {
			return model, nil
		}
		if !errors.Is(err, owner.NoMemory) {
			return model, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the load cannot start now", RetryAfter: retryLoadAfter, Cause: err}
		}
		if evictErr := k.evict(ctx, m, size, false); evictErr != nil {
			return model, evictErr
		}
	}
}

// replicaReady tells whether the last state shows a loaded replica.
func (k *keeper) replicaReady(m domain.ModelName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unloading[m] {
		return false
	}
	for _, r := range k.state.Replicas {
		if r.Model == m {
			return !r.Loading
		}
	}
	return false
}

func (k *keeper) adapterReady(m domain.ModelName, a domain.AdapterName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.state.Replicas {
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

// loadAdapter puts an adapter on a loaded replica. Its memory is part of the
// permit's size, so that it needs no room of its own.
func (k *keeper) loadAdapter(ctx context.Context, m domain.ModelName, a domain.AdapterName) error {
	var adapter configuration.Adapter
	var ok bool
	k.mu.Lock()
	k.agree(func(s *fold.State) { adapter, ok = s.Adapter(m, a) })
	if !ok {
		k.mu.Unlock()
		return verdict.Refuse(verdict.UnknownModel, "the adapter is not configured")
	}
	err := k.account.StartAdapterLoad(m)
	k.mu.Unlock()
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the adapter cannot load now", RetryAfter: retryLoadAfter, Cause: err}
	}
	st, err := k.order(ctx, engine.Order{
		Kind:    engine.LoadAdapter,
		Model:   m,
		Adapter: a,
		Version: adapter.Version,
		Memory:  adapter.Memory,
	})
	k.mu.Lock()
	k.account.FinishAdapterLoad(m, st)
	k.mu.Unlock()
	if st == engine.Done {
		k.poll(ctx)
		k.report()
		return nil
	}
	if err != nil {
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.NoCapacity, Message: "the adapter did not load", Cause: err}
	}
	return noRoom("the backend server refused the adapter: " + st.String())
}
