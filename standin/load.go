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

// loadModel loads a model, or waits for a load in progress.
func (e *modelEngine) loadModel(inc *incarnation, o wireOrder) string {
	var r *replica
	var refusalStatus string
	var isNew bool
	if !e.applyIfCurrent(inc, func() { r, isNew, refusalStatus = e.findOrAddReplica(o) }) {
		return statusFailedLoad
	}
	if refusalStatus != "" {
		return refusalStatus
	}
	if isNew {
		return e.finishLoad(inc, r, o)
	}
	if !waitForLoad(inc.ctx, r.loadFinished) || r.failed {
		return statusFailedLoad
	}
	return statusDone
}

// findOrAddReplica returns the replica of the ordered model, or adds a loading one. The
// caller holds e.mu.
func (e *modelEngine) findOrAddReplica(o wireOrder) (r *replica, isNew bool, refusalStatus string) {
	if r, ok := e.incarnation.replicas[o.Model]; ok {
		if r.version != o.Version {
			return nil, false, statusRefusedBusy
		}
		return r, false, ""
	}
	if e.options.EnforceMemory && e.usedMemory()+o.MemoryBytes > int64(e.options.EngineMemory) {
		return nil, false, statusRefusedMemory
	}
	r = &replica{
		model:        o.Model,
		version:      o.Version,
		memory:       o.MemoryBytes,
		loading:      true,
		loadFinished: make(chan struct{}),
		adapters:     make(map[string]*adapter),
		batch:        batch{slots: e.options.Concurrency},
		observed:     e.observer.recordLoadStart(e.observed, o.Model),
	}
	e.incarnation.replicas[o.Model] = r
	e.observer.addMemory(e.observed, r.memory)
	e.recordCounts()
	return r, true, ""
}

func (e *modelEngine) finishLoad(inc *incarnation, r *replica, o wireOrder) string {
	loaded := e.fetchCheckpoint(inc, checkpoint{o.Model, o.Version}, o.MemoryBytes)
	current := e.applyIfCurrent(inc, func() {
		r.loading = false
		r.failed = !loaded
		if loaded {
			r.observed.recordReady()
		} else {
			delete(inc.replicas, r.model)
			e.recordUnload(r)
		}
		close(r.loadFinished)
		e.recordCounts()
	})
	if !current || !loaded {
		return statusFailedLoad
	}
	return statusDone
}

// fetchCheckpoint simulates reading a checkpoint from the fastest source that has it:
// memory cache, disk cache or weight store.
func (e *modelEngine) fetchCheckpoint(inc *incarnation, p checkpoint, size int64) bool {
	var inMemory, onDisk bool
	e.applyIfCurrent(inc, func() {
		inMemory = inc.memoryCache.has(p)
		onDisk = e.diskCache.has(p)
	})
	fullLoadTime := time.Duration(float64(e.options.LoadTime) * float64(size) / float64(loadTimeCheckpointSize))
	switch {
	case inMemory:
		return pause.For(inc.ctx, fullLoadTime/memoryCacheSpeedup, nil)
	case onDisk:
		return pause.For(inc.ctx, fullLoadTime/diskCacheSpeedup, nil)
	}
	if err := e.download(inc.ctx, p.model, size); err != nil {
		return false
	}
	return e.applyIfCurrent(inc, func() { e.diskCache.add(p) })
}

// download requests a checkpoint from the weight store, which simulates the duration of
// the transfer.
func (e *modelEngine) download(ctx context.Context, model string, size int64) error {
	checkpointURL := e.storeURL + "/checkpoints/" + url.PathEscape(model) + "?bytes=" + strconv.FormatInt(size, 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, checkpointURL, nil)
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

func (e *modelEngine) unloadModel(inc *incarnation, o wireOrder) string {
	status := statusDone
	current := e.applyIfCurrent(inc, func() {
		r, ok := inc.replicas[o.Model]
		if !ok {
			return
		}
		if r.isBusy() {
			status = statusRefusedBusy
			return
		}
		delete(inc.replicas, o.Model)
		inc.memoryCache.add(checkpoint{r.model, r.version})
		inc.prefixCache.evictModel(r.model)
		e.recordCacheEvent(wireCacheEvent{Model: r.model, Cleared: true})
		e.recordUnload(r)
		e.recordCounts()
	})
	if !current {
		return statusFailedLoad
	}
	return status
}

// isBusy reports whether the replica or one of its adapters is loading, or requests are
// running or queued.
func (r *replica) isBusy() bool {
	for _, a := range r.adapters {
		if a.loading {
			return true
		}
	}
	return r.loading || r.batch.running > 0 || len(r.batch.waiting) > 0
}
