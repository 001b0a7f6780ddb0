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

// evict unloads the idle replica that is cheapest to wake again to make room for m.
// With giveBack its permit is released too, which the fold needs before it
// attaches another on a server that ignores fences.
func (k *keeper) evict(ctx context.Context, m domain.ModelName, size domain.Bytes, giveBack bool) error {
	select {
	case k.makeRoom <- struct{}{}:
	case <-ctx.Done():
		return noRoom("no room was made in time")
	}
	defer func() { <-k.makeRoom }()
	if k.roomFor(m, size, giveBack) {
		return nil
	}
	if giveBack && k.releaseIdlePermit(ctx, m) {
		return nil
	}
	for _, v := range k.victims(m) {
		if err := k.unload(ctx, v); err != nil {
			continue
		}
		if !giveBack {
			return nil
		}
		return k.releasePermit(ctx, v)
	}
	return noRoom("every replica on the backend server is in use")
}

// roomFor tells whether another asker made room meanwhile.
func (k *keeper) roomFor(m domain.ModelName, size domain.Bytes, giveBack bool) bool {
	if giveBack {
		_, _, r := k.permitState(m)
		return r == fold.Accepted
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.account.FreeMemory() >= size
}

// releaseIdlePermit gives back a permit whose replica is not loaded.
func (k *keeper) releaseIdlePermit(ctx context.Context, keep domain.ModelName) bool {
	for _, p := range k.permits() {
		if p.Model != keep && k.mayRelease(p.Model) && k.releasePermit(ctx, p.Model) == nil {
			return true
		}
	}
	return false
}

// victims lists what may be taken down: first replicas that may be loaded without
// showing in the state, then idle ones, the cheapest to wake again first.
func (k *keeper) victims(keep domain.ModelName) []domain.ModelName {
	k.mu.Lock()
	defer k.mu.Unlock()
	var idle []domain.ModelName
	for _, r := range k.state.Replicas {
		if r.Model == keep || r.Loading || r.Running+r.Waiting > 0 || k.unloading[r.Model] {
			continue
		}
		idle = append(idle, r.Model)
	}
	return append(k.hidden(keep), k.rankIdle(idle, time.Now())...)
}

// hidden lists models that may be loaded though the server's state does not show
// them, which an unload settles; the caller holds mu.
func (k *keeper) hidden(keep domain.ModelName) []domain.ModelName {
	return slices.DeleteFunc(k.account.UnconfirmedModels(), func(m domain.ModelName) bool {
		return m == keep || slices.ContainsFunc(k.state.Replicas, func(r engine.Replica) bool { return r.Model == m })
	})
}

// unload takes one replica down. A server that still has requests for it refuses
// as busy, and the replica stays.
func (k *keeper) unload(ctx context.Context, m domain.ModelName) error {
	k.mu.Lock()
	if k.unloading[m] || k.loads[m] != nil {
		k.mu.Unlock()
		return noRoom("the replica is changing")
	}
	if err := k.account.StartUnload(m); err != nil {
		k.mu.Unlock()
		return err
	}
	k.unloading[m] = true
	k.mu.Unlock()
	// The report goes first, so that other nodes stop sending.
	k.report()
	st, err := k.order(ctx, engine.Order{Kind: engine.UnloadModel, Model: m})
	k.poll(ctx)
	k.mu.Lock()
	k.account.FinishUnload(m, st)
	delete(k.unloading, m)
	if st == engine.Done {
		k.state.Replicas = slices.DeleteFunc(k.state.Replicas, func(r engine.Replica) bool { return r.Model == m })
		delete(k.usedAt, m)
		delete(k.served, m)
	}
	k.mu.Unlock()
	if st == engine.Done {
		k.log.Info().Str("Event", "ModelUnloaded").Str("Model", string(m)).Msg("replica is taken down")
		return nil
	}
	if err == nil {
		err = noRoom("the backend server refused the unload: " + st.String())
	}
	return err
}

// release gives back the permit of a model that is not loaded here.
func (k *keeper) release(ctx context.Context, m domain.ModelName) error {
	k.mu.Lock()
	hidden := slices.Contains(k.hidden(""), m)
	k.mu.Unlock()
	if hidden {
		if err := k.unload(ctx, m); err != nil {
			return err
		}
	}
	return k.releasePermit(ctx, m)
}

func (k *keeper) mayRelease(m domain.ModelName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.loads[m] == nil && !k.unloading[m] && k.account.CanRelease(m)
}

// startRelease keeps loads from starting under a permit that is on its way back.
func (k *keeper) startRelease(m domain.ModelName) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.agree(nil)
	return k.loads[m] == nil && !k.unloading[m] && k.account.StartRelease(m)
}

func (k *keeper) releasePermit(ctx context.Context, m domain.ModelName) error {
	if !k.startRelease(m) {
		return noRoom("the replica is loaded, changing or in doubt")
	}
	out, err := k.deps.Agreement.Propose(ctx, fold.PermitReleased{Model: m, Server: k.lease.Server, Fence: k.lease.Fence})
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.agree(nil)
	if err != nil {
		if verdict.Of(err).Verdict == verdict.NotRun {
			k.account.CancelRelease(m)
		}
		return &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the permit cannot move while the log is down", Cause: err}
	}
	if r := out[0].Rejection; r != fold.Accepted {
		k.account.CancelRelease(m)
		return noRoom("the permit cannot move: " + r.String())
	}
	return nil
}

// takeDown unloads what may no longer be loaded and what has been idle for long
// enough, and gives revoked permits back. On a drained server that is everything.
func (k *keeper) takeDown(ctx context.Context) {
	permits := k.permits()
	drained := k.deps.serverDrained(k.lease.Server, k.lease.Facts.Zone)
	for _, m := range k.loadedNow() {
		p, ok := permitOf(permits, m)
		if ok && !drained && !p.Revoked && !k.idleFor(m, k.stay(m)) {
			continue
		}
		// A replica that is in use is refused as busy and tried again.
		_ = k.unload(ctx, m)
	}
	for _, p := range permits {
		if (drained || p.Revoked) && !k.deps.LogDown() && k.mayRelease(p.Model) {
			k.giveBack(ctx, p.Model)
		}
	}
}

// giveBack releases a permit that is to go; where the log is slow it is tried again.
func (k *keeper) giveBack(ctx context.Context, m domain.ModelName) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	if err := k.releasePermit(ctx, m); err != nil {
		k.log.Warn().Err(err).Str("Event", "PermitNotReleased").Str("Model", string(m)).Msg("a permit that is to go waits")
	}
}

func permitOf(permits []fold.Permit, m domain.ModelName) (fold.Permit, bool) {
	for _, p := range permits {
		if p.Model == m {
			return p, true
		}
	}
	return fold.Permit{}, false
}

func (k *keeper) loadedNow() []domain.ModelName {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []domain.ModelName
	for _, r := range k.state.Replicas {
		if !r.Loading {
			out = append(out, r.Model)
		}
	}
	return out
}

func (k *keeper) idleFor(m domain.ModelName, d time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.usedAt[m]
	return d > 0 && !at.IsZero() && time.Since(at) >= d
}
