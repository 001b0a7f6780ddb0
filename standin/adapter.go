package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/parsleylug/parsleylug/pause"
)

const (
	fullSpeedAdapterLoads = 30
	minAdapterLoadTime    = 3 * time.Millisecond
	maxAdapterLoadTime    = 15 * time.Millisecond
)

// adapterLoader simulates adapter loads, across all engines: a load takes 3 to 15 ms while
// at most 30 are in flight, and proportionally longer with more.
type adapterLoader struct {
	seed     uint64
	inFlight atomic.Int64
}

func (l *adapterLoader) load(ctx context.Context, name string) bool {
	inFlight := l.inFlight.Add(1)
	defer l.inFlight.Add(-1)
	slowdown := max(1, float64(inFlight)/fullSpeedAdapterLoads)
	return pause.For(ctx, time.Duration(float64(l.baseLoadTime(name))*slowdown), nil)
}

// baseLoadTime is the load time of an adapter at full speed.
func (l *adapterLoader) baseLoadTime(name string) time.Duration {
	return minAdapterLoadTime + time.Duration(seededFraction(l.seed, name)*float64(maxAdapterLoadTime-minAdapterLoadTime))
}

// adapter is a loaded or loading adapter of a replica.
type adapter struct {
	version      string
	memory       int64
	loading      bool
	failed       bool
	loadFinished chan struct{}
	running      int
}

func (e *modelEngine) loadAdapter(inc *incarnation, o wireOrder) string {
	var r *replica
	var a *adapter
	var isNew bool
	var refusalStatus string
	if !e.applyIfCurrent(inc, func() { r, a, isNew, refusalStatus = e.findOrAddAdapter(o) }) {
		return statusFailedLoad
	}
	if refusalStatus != "" {
		return refusalStatus
	}
	if isNew {
		return e.finishAdapterLoad(inc, r, a, o)
	}
	if !waitForLoad(inc.ctx, a.loadFinished) || a.failed {
		return statusFailedLoad
	}
	return statusDone
}

func (e *modelEngine) findOrAddAdapter(o wireOrder) (r *replica, a *adapter, isNew bool, refusalStatus string) {
	r, ok := e.incarnation.replicas[o.Model]
	if !ok || r.loading {
		return nil, nil, false, statusFailedLoad
	}
	if a, ok := r.adapters[o.Adapter]; ok {
		if a.version != o.Version {
			return nil, nil, false, statusRefusedBusy
		}
		return r, a, false, ""
	}
	if e.options.EnforceMemory && e.usedMemory()+o.MemoryBytes > int64(e.options.EngineMemory) {
		return nil, nil, false, statusRefusedMemory
	}
	a = &adapter{version: o.Version, memory: o.MemoryBytes, loading: true, loadFinished: make(chan struct{})}
	r.adapters[o.Adapter] = a
	e.observer.addMemory(e.observed, a.memory)
	return r, a, true, ""
}

func (e *modelEngine) finishAdapterLoad(inc *incarnation, r *replica, a *adapter, o wireOrder) string {
	loaded := e.adapterLoader.load(inc.ctx, o.Model+":"+o.Adapter)
	current := e.applyIfCurrent(inc, func() {
		a.loading = false
		a.failed = !loaded
		if !loaded {
			delete(r.adapters, o.Adapter)
			e.observer.addMemory(e.observed, -a.memory)
		}
		close(a.loadFinished)
	})
	if !current || !loaded {
		return statusFailedLoad
	}
	return statusDone
}

func (e *modelEngine) unloadAdapter(inc *incarnation, o wireOrder) string {
	status := statusDone
	current := e.applyIfCurrent(inc, func() {
		r, ok := inc.replicas[o.Model]
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
		e.observer.addMemory(e.observed, -a.memory)
	})
	if !current {
		return statusFailedLoad
	}
	return status
}
