package standin

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/pause"
)

// loadModel loads a model, or waits for a load that runs already.
func (e *modelEngine) loadModel(l *life, o wireOrder) string {
	var r *replica
	var refusal string
	var started bool
	if !e.locked(l, func() { r, started, refusal = e.reserve(o) }) {
		return statusFailedLoad
	}
	if refusal != "" {
		return refusal
	}
	if started {
		return e.finishLoad(l, r, o)
	}
	if !settle(l.ctx, r.settled) || r.failed {
		return statusFailedLoad
	}
	return statusDone
}

// reserve returns the replica that is there, or begins a new one. The caller
// holds the lock.
func (e *modelEngine) reserve(o wireOrder) (r *replica, started bool, refusal string) {
	if r, ok := e.life.replicas[o.Model]; ok {
		if r.version != o.Version {
			return nil, false, statusRefusedBusy
		}
		return r, false, ""
	}
	if e.options.EnforceMemory && e.used()+o.MemoryBytes > int64(e.options.EngineMemory) {
		return nil, false, statusRefusedMemory
	}
	r = &replica{
		model:    o.Model,
		version:  o.Version,
		memory:   o.MemoryBytes,
		loading:  true,
		settled:  make(chan struct{}),
		adapters: make(map[string]*adapter),
		batch:    batch{slots: e.options.Concurrency},
		observed: e.observer.loading(e.observed, o.Model),
	}
	e.life.replicas[o.Model] = r
	e.observer.memory(e.observed, r.memory)
	e.noteReport()
	return r, true, ""
}

func (e *modelEngine) finishLoad(l *life, r *replica, o wireOrder) string {
	loaded := e.fetch(l, checkpoint{o.Model, o.Version}, o.MemoryBytes)
	alive := e.locked(l, func() {
		r.loading = false
		r.failed = !loaded
		if loaded {
			r.observed.loadDone()
		} else {
			delete(l.replicas, r.model)
			e.drop(r)
		}
		close(r.settled)
		e.noteReport()
	})
	if !alive || !loaded {
		return statusFailedLoad
	}
	return statusDone
}

// fetch takes a checkpoint from the nearest place that has it.
func (e *modelEngine) fetch(l *life, p checkpoint, size int64) bool {
	var inMemory, onDisk bool
	e.locked(l, func() {
		inMemory = l.memoryCache.has(p)
		onDisk = e.diskCache.has(p)
	})
	full := time.Duration(float64(e.options.LoadTime) * float64(size) / float64(loadTimeBytes))
	switch {
	case inMemory:
		return pause.For(l.ctx, full/memoryCacheShare, nil)
	case onDisk:
		return pause.For(l.ctx, full/diskCacheShare, nil)
	}
	if err := e.download(l.ctx, p.model, size); err != nil {
		return false
	}
	return e.locked(l, func() { e.diskCache.add(p) })
}

func (e *modelEngine) download(ctx context.Context, model string, size int64) error {
	target := e.storeURL + "/checkpoints/" + url.PathEscape(model) + "?bytes=" + strconv.FormatInt(size, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return errors.WithStack(err)
	}
	response, err := e.client.Do(request)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("weight store: %s", response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return errors.WithStack(err)
}

func (e *modelEngine) unloadModel(l *life, o wireOrder) string {
	status := statusDone
	alive := e.locked(l, func() {
		r, ok := l.replicas[o.Model]
		if !ok {
			return
		}
		if r.busy() {
			status = statusRefusedBusy
			return
		}
		delete(l.replicas, o.Model)
		l.memoryCache.add(checkpoint{r.model, r.version})
		l.prefixes.clear(r.model)
		e.noteCache(wireCacheEvent{Model: r.model, Cleared: true})
		e.drop(r)
		e.noteReport()
	})
	if !alive {
		return statusFailedLoad
	}
	return status
}

// busy tells whether the replica or an adapter is loading or has requests.
func (r *replica) busy() bool {
	for _, a := range r.adapters {
		if a.loading {
			return true
		}
	}
	return r.loading || r.batch.running > 0 || len(r.batch.waiting) > 0
}
