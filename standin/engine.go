package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// modelEngine is a stand-in model engine. Its life ends with a crash and another
// begins after the restart time.
type modelEngine struct {
	options      Options
	id           string
	region       domain.Region
	checksFences bool
	observer     *observer
	observed     *observedEngine
	adapters     *adapterStore
	chance       *chance
	storeURL     string
	client       *http.Client
	server       *server
	pause        gate

	mu sync.Mutex
	// newestFence survives a crash: an engine that checks fences keeps it.
	newestFence uint64
	faults      engineFaults
	life        *life
	lives       int
	reclaimed   bool
	diskCache   checkpointCache
	reports     loadHistory
	events      cacheEvents
}

type engineFaults struct {
	poison       string
	reportLag    time.Duration
	pace         float64
	ignoreOrders time.Duration
	eventLag     time.Duration
	loseEvents   float64
}

// life is one incarnation of an engine.
type life struct {
	incarnation string
	ctx         context.Context
	end         context.CancelFunc
	replicas    map[string]*replica
	memoryCache checkpointCache
	prefixes    prefixCache
}

// replica is one loaded or loading model.
type replica struct {
	model, version string
	memory         int64
	loading        bool
	failed         bool
	// settled is closed when the load is over.
	settled  chan struct{}
	adapters map[string]*adapter
	batch    batch
	observed *observedReplica
}

func (e *modelEngine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /state", e.serveState)
	mux.HandleFunc("GET /cache-events", e.serveCacheEvents)
	return countCrossing(e.region, e.observer, mux)
}

// begin starts a new life; the caller holds the lock.
func (e *modelEngine) begin() {
	e.lives++
	ctx, end := context.WithCancel(context.Background())
	e.life = &life{
		incarnation: fmt.Sprintf("%s-%d", e.id, e.lives),
		ctx:         ctx,
		end:         end,
		replicas:    make(map[string]*replica),
		memoryCache: checkpointCache{size: memoryCacheModels},
	}
	e.reports = loadHistory{}
}

// crash ends the life: every connection and replica is lost.
func (e *modelEngine) crash() {
	if e.stopLife() {
		e.observer.crashed(e.observed)
		go e.restart()
	}
}

func (e *modelEngine) stopLife() bool {
	e.mu.Lock()
	l := e.life
	if l == nil {
		e.mu.Unlock()
		return false
	}
	e.life = nil
	l.end()
	for _, r := range l.replicas {
		e.drop(r)
	}
	e.mu.Unlock()
	e.server.crash()
	return true
}

// drop takes a replica out of the account.
func (e *modelEngine) drop(r *replica) {
	e.observer.memory(e.observed, -r.used())
	r.observed.unloaded()
}

// restart listens before the new life begins, so that a crash meanwhile finds no
// life and leaves the listener alone.
func (e *modelEngine) restart() {
	time.Sleep(e.options.RestartTime)
	e.server.restart()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reclaimed {
		e.begin()
	}
}

// reclaim ends the engine for good.
func (e *modelEngine) reclaim() {
	e.mu.Lock()
	e.reclaimed = true
	e.mu.Unlock()
	e.stopLife()
	e.server.close()
}

// alive returns the present life, or nil between a crash and the restart.
func (e *modelEngine) alive() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// current returns a context that ends with the request or with the life, once
// the engine is not paused. It breaks the request off where there is no life.
func (e *modelEngine) current(r *http.Request) (*life, context.Context, context.CancelFunc) {
	l := e.alive()
	if l == nil {
		breakOff()
	}
	ctx, cancel := context.WithCancel(r.Context())
	stop := context.AfterFunc(l.ctx, cancel)
	done := func() { stop(); cancel() }
	if !e.pause.wait(ctx) {
		done()
		breakOff()
	}
	return l, ctx, done
}

func (e *modelEngine) used() int64 {
	var used int64
	for _, r := range e.life.replicas {
		used += r.used()
	}
	return used
}

// used is the memory of the replica with its adapters.
func (r *replica) used() int64 {
	used := r.memory
	for _, a := range r.adapters {
		used += a.memory
	}
	return used
}

func (e *modelEngine) setFaults(change func(*engineFaults)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.faults)
}

func (e *modelEngine) currentFaults() engineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
