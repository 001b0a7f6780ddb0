package standin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// observer counts what the outside world saw. It is told by the stand-ins alone
// and knows nothing of the nodes.
type observer struct {
	mu       sync.Mutex
	models   map[string]*observedModel
	engines  map[string]*observedEngine
	commands map[string]int
	requests map[string]int
	crossed  int64

	// loaded and idle count replicas now; the seconds were added up to at.
	loaded, idle               int
	loadedSeconds, idleSeconds float64
	at                         time.Time
}

type observedModel struct {
	most, loaded, copies int
}

type observedEngine struct {
	size, used, most int64
	stale, crashes   int
	replicas         map[string]*observedReplica
}

// observedReplica is one replica from the start of its load until it is gone.
type observedReplica struct {
	observer *observer
	engine   *observedEngine
	model    string
	ready    bool
	gone     bool
	busy     int
}

func newObserver() *observer {
	return &observer{
		models:   make(map[string]*observedModel),
		engines:  make(map[string]*observedEngine),
		commands: make(map[string]int),
		requests: make(map[string]int),
		at:       time.Now(),
	}
}

func (ob *observer) addEngine(url string, size int64) *observedEngine {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e := &observedEngine{size: size, replicas: make(map[string]*observedReplica)}
	ob.engines[url] = e
	return e
}

func (ob *observer) model(name string) *observedModel {
	m, ok := ob.models[name]
	if !ok {
		m = &observedModel{}
		ob.models[name] = m
	}
	return m
}

func (ob *observer) setCopies(model string, copies int) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.model(model).copies = copies
}

// advance adds the time since the last change to the accelerator seconds.
func (ob *observer) advance() {
	now := time.Now()
	seconds := now.Sub(ob.at).Seconds()
	ob.loadedSeconds += seconds * float64(ob.loaded)
	ob.idleSeconds += seconds * float64(ob.idle)
	ob.at = now
}

// loading notes the start of a load, from which the replica counts as loaded.
func (ob *observer) loading(e *observedEngine, model string) *observedReplica {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.advance()
	r := &observedReplica{observer: ob, engine: e, model: model}
	e.replicas[model] = r
	ob.loaded++
	m := ob.model(model)
	m.loaded++
	m.most = max(m.most, m.loaded)
	return r
}

// loadDone notes that the replica takes requests from now on.
func (r *observedReplica) loadDone() { r.change(func() { r.ready = true }) }

// enter and leave note a request on the replica.
func (r *observedReplica) enter() { r.change(func() { r.busy++ }) }
func (r *observedReplica) leave() { r.change(func() { r.busy-- }) }

// unloaded notes that the replica is gone. A second call changes nothing.
func (r *observedReplica) unloaded() {
	r.change(func() {
		if r.gone {
			return
		}
		r.gone = true
		delete(r.engine.replicas, r.model)
		r.observer.loaded--
		r.observer.model(r.model).loaded--
	})
}

func (r *observedReplica) idle() bool { return r.ready && !r.gone && r.busy == 0 }

func (r *observedReplica) change(apply func()) {
	ob := r.observer
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.advance()
	before := r.idle()
	apply()
	switch after := r.idle(); {
	case after && !before:
		ob.idle++
	case before && !after:
		ob.idle--
	}
}

func (ob *observer) memory(e *observedEngine, delta int64) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.used += delta
	e.most = max(e.most, e.used)
}

func (ob *observer) staleRefused(e *observedEngine) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.stale++
}

func (ob *observer) crashed(e *observedEngine) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.crashes++
}

// ran notes that a backend server began to run a request.
func (ob *observer) ran(request string) {
	if request == "" {
		return
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.requests[request]++
}

// commandRan notes that a service ran a command.
func (ob *observer) commandRan(key string) {
	if key == "" {
		return
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.commands[key]++
}

func (ob *observer) crossedRegions(bytes int64) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.crossed += bytes
}

// Observed is what the outside world saw; it is the answer of GET /Observed.
type Observed struct {
	Models             map[string]ObservedModel
	Engines            map[string]ObservedEngine
	Commands           map[string]int
	Requests           map[string]int
	AcceleratorSeconds AcceleratorSeconds
	CrossRegionBytes   int64
	LogAppends         int64
	LogReads           int64
	WeightStore        ObservedWeightStore
}

// ObservedModel counts the replicas of one model; a replica counts as loaded from
// the start of its load.
type ObservedModel struct {
	MostLoaded int
	Loaded     int
	// Copies is what the configuration stream last said.
	Copies int
}

// ObservedEngine tells of one engine. Memory figures are in bytes.
type ObservedEngine struct {
	MostMemory         int64
	Memory             int64
	UsedMemory         int64
	StaleOrdersRefused int
	Crashes            int
	Replicas           []string
}

// AcceleratorSeconds are seconds of loaded replicas, and of those that were ready
// and had no request.
type AcceleratorSeconds struct {
	Loaded float64
	Idle   float64
}

// ObservedWeightStore counts transfers.
type ObservedWeightStore struct {
	MostAtOnce int
	Loads      int
}

func (ob *observer) snapshot() Observed {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.advance()
	o := Observed{
		Models:             make(map[string]ObservedModel),
		Engines:            make(map[string]ObservedEngine),
		Commands:           maps.Clone(ob.commands),
		Requests:           maps.Clone(ob.requests),
		AcceleratorSeconds: AcceleratorSeconds{Loaded: ob.loadedSeconds, Idle: ob.idleSeconds},
		CrossRegionBytes:   ob.crossed,
	}
	for name, m := range ob.models {
		o.Models[name] = ObservedModel{MostLoaded: m.most, Loaded: m.loaded, Copies: m.copies}
	}
	for url, e := range ob.engines {
		o.Engines[url] = e.snapshot()
	}
	return o
}

func (e *observedEngine) snapshot() ObservedEngine {
	replicas := slices.Sorted(maps.Keys(e.replicas))
	if replicas == nil {
		replicas = []string{}
	}
	return ObservedEngine{
		MostMemory:         e.most,
		Memory:             e.size,
		UsedMemory:         e.used,
		StaleOrdersRefused: e.stale,
		Crashes:            e.crashes,
		Replicas:           replicas,
	}
}
