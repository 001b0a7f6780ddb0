package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/parsleylug/parsleylug/pause"
)

const (
	adapterFullSpeed = 30
	adapterLoadLow   = 3 * time.Millisecond
	adapterLoadHigh  = 15 * time.Millisecond
)

// adapterStore paces adapter loads over all engines: each takes 3 to 15 ms while
// at most 30 are in flight, and proportionally longer beyond.
type adapterStore struct {
	seed     uint64
	inFlight atomic.Int64
}

func (s *adapterStore) load(ctx context.Context, name string) bool {
	inFlight := s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	crowding := max(1, float64(inFlight)/adapterFullSpeed)
	return pause.For(ctx, time.Duration(float64(s.timeOf(name))*crowding), nil)
}

// timeOf is how long an adapter takes at full speed.
func (s *adapterStore) timeOf(name string) time.Duration {
	return adapterLoadLow + time.Duration(shareOf(s.seed, name)*float64(adapterLoadHigh-adapterLoadLow))
}

// adapter is one loaded or loading adapter of a replica.
type adapter struct {
	version string
	memory  int64
	loading bool
	failed  bool
	settled chan struct{}
	running int
}

func (e *modelEngine) loadAdapter(l *life, o wireOrder) string {
	var r *replica
	var a *adapter
	var started bool
	var refusal string
	if !e.locked(l, func() { r, a, started, refusal = e.reserveAdapter(o) }) {
		return statusFailedLoad
	}
	if refusal != "" {
		return refusal
	}
	if started {
		return e.finishAdapter(l, r, a, o)
	}
	if !settle(l.ctx, a.settled) || a.failed {
		return statusFailedLoad
	}
	return statusDone
}

func (e *modelEngine) reserveAdapter(o wireOrder) (r *replica, a *adapter, started bool, refusal string) {
	r, ok := e.life.replicas[o.Model]
	if !ok || r.loading {
		return nil, nil, false, statusFailedLoad
	}
	if a, ok := r.adapters[o.Adapter]; ok {
		if a.version != o.Version {
			return nil, nil, false, statusRefusedBusy
		}
		return r, a, false, ""
	}
	if e.options.EnforceMemory && e.used()+o.MemoryBytes > int64(e.options.EngineMemory) {
		return nil, nil, false, statusRefusedMemory
	}
	a = &adapter{version: o.Version, memory: o.MemoryBytes, loading: true, settled: make(chan struct{})}
	r.adapters[o.Adapter] = a
	e.observer.memory(e.observed, a.memory)
	return r, a, true, ""
}

func (e *modelEngine) finishAdapter(l *life, r *replica, a *adapter, o wireOrder) string {
	loaded := e.adapters.load(l.ctx, o.Model+":"+o.Adapter)
	alive := e.locked(l, func() {
		a.loading = false
		a.failed = !loaded
		if !loaded {
			delete(r.adapters, o.Adapter)
			e.observer.memory(e.observed, -a.memory)
		}
		close(a.settled)
	})
	if !alive || !loaded {
		return statusFailedLoad
	}
	return statusDone
}

func (e *modelEngine) unloadAdapter(l *life, o wireOrder) string {
	status := statusDone
	alive := e.locked(l, func() {
		r, ok := l.replicas[o.Model]
		if !ok {
			return
		}
		a, ok := r.adapters[o.Adapter]
		if !ok {
			return
		}
		if a.loading || a.running > 0 {
			status = statusRefusedBusy
			return
		}
		delete(r.adapters, o.Adapter)
		e.observer.memory(e.observed, -a.memory)
	})
	if !alive {
		return statusFailedLoad
	}
	return status
}
