package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// modelEngine is a simulated model engine. A crash ends its incarnation; the next one
// starts after the restart time.
type modelEngine struct {
	options       Options
	id            string
	region        domain.Region
	checksFences  bool
	observer      *observer
	observed      *observedEngine
	adapterLoader *adapterLoader
	random        *randomSource
	storeURL      string
	client        *http.Client
	server        *server
	pause         pauseGate

	mu sync.Mutex
	// newestFence is the highest fencing token received. It survives a crash, so that the
	// engine refuses stale orders after the restart too.
	newestFence uint64
	faults      engineFaults
	// incarnation is nil between a crash and the restart.
	incarnation      *incarnation
	incarnationCount int
	reclaimed        bool
	diskCache        checkpointCache
	countHistory     countHistory
	cacheEvents      cacheEventLog
}

type engineFaults struct {
	poisonPrompt        string
	reportLag           time.Duration
	tokenRateFactor     float64
	orderDelay          time.Duration
	cacheEventLag       time.Duration
	cacheEventLossShare float64
}

// incarnation is the state of an engine between a start and a crash.
type incarnation struct {
	id          string
	ctx         context.Context
	cancel      context.CancelFunc
	replicas    map[string]*replica
	memoryCache checkpointCache
	prefixCache prefixCache
}

// replica is a loaded or loading model.
type replica struct {
	model, version string
	memory         int64
	loading        bool
	failed         bool
	// loadFinished is closed when the load has succeeded or failed.
	loadFinished chan struct{}
	adapters     map[string]*adapter
	batch        batch
	observed     *observedReplica
}

func (e *modelEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	return countCrossRegionBytes(e.region, e.observer, mux)
}

// startIncarnation starts a new incarnation without replicas. The caller holds e.mu, unless no
// other goroutine uses the engine yet.
func (e *modelEngine) startIncarnation() {
	e.incarnationCount++
	ctx, end := context.WithCancel(context.Background())
	e.incarnation = &incarnation{
		id:          fmt.Sprintf("%s-%d", e.id, e.incarnationCount),
		ctx:         ctx,
		cancel:      end,
		replicas:    make(map[string]*replica),
		memoryCache: checkpointCache{capacity: memoryCacheModels},
	}
	e.countHistory = countHistory{}
}

// crash resets every connection, discards every replica and schedules the restart.
func (e *modelEngine) crash() {
	if e.endIncarnation() {
		e.observer.recordCrash(e.observed)
		go e.restart()
	}
}

// endIncarnation ends the current incarnation, records the unload of its replicas and crashes
// the server. It reports false if no incarnation was running.
func (e *modelEngine) endIncarnation() bool {
	e.mu.Lock()
	inc := e.incarnation
	if inc == nil {
		e.mu.Unlock()
		return false
	}
	e.incarnation = nil
	inc.cancel()
	for _, r := range inc.replicas {
		e.recordUnload(r)
	}
	e.mu.Unlock()
	e.server.crash()
	return true
}

// recordUnload subtracts a replica from the observed replicas and memory.
func (e *modelEngine) recordUnload(r *replica) {
	e.observer.addMemory(e.observed, -r.usedMemory())
	r.observed.recordUnload()
}

// restart listens before it starts the next incarnation: a crash in between finds no
// incarnation and does not close the listener.
func (e *modelEngine) restart() {
	time.Sleep(e.options.RestartTime)
	e.server.restart()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reclaimed {
		e.startIncarnation()
	}
}

// reclaim stops the engine permanently.
func (e *modelEngine) reclaim() {
	e.mu.Lock()
	e.reclaimed = true
	e.mu.Unlock()
	e.endIncarnation()
	e.server.close()
}

// currentIncarnation returns nil between a crash and the restart.
func (e *modelEngine) currentIncarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// admitRequest waits while the engine is paused. It returns a context that ends with the
// request or the incarnation, and aborts the connection if either has ended.
func (e *modelEngine) admitRequest(r *http.Request) (*incarnation, context.Context, context.CancelFunc) {
	inc := e.currentIncarnation()
	if inc == nil {
		abortConnection()
	}
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(inc.ctx, cancel)
	done := func() { stop(); cancel() }
	if !e.pause.wait(ctx) {
		done()
		abortConnection()
	}
	return inc, ctx, done
}

func (e *modelEngine) usedMemory() int64 {
	var used int64
	for _, r := range e.incarnation.replicas {
		used += r.usedMemory()
	}
	return used
}

// usedMemory includes the adapters of the replica.
func (r *replica) usedMemory() int64 {
	used := r.memory
	for _, a := range r.adapters {
		used += a.memory
	}
	return used
}

func (e *modelEngine) setFaults(update func(*engineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	update(&e.faults)
}

func (e *modelEngine) currentFaults() engineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
