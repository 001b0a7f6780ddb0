package standin

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// observer counts what the stand-ins see. Only stand-ins report to it; it has no access to
// nodes.
type observer struct {
	mu               sync.Mutex
	models           map[string]*observedModel
	engines          map[string]*observedEngine
	commands         map[string]int
	requests         map[string]int
	crossRegionBytes int64

	// loadedReplicas and idleReplicas are the current numbers of replicas. loadedSeconds and
	// idleSeconds are the sums of replica time up to countedUntil.
	loadedReplicas, idleReplicas int
	loadedSeconds, idleSeconds   float64
	countedUntil                 time.Time
}

type observedModel struct {
	peakLoaded, loaded, copies int
}

type observedEngine struct {
	memory, usedMemory, peakUsedMemory int64
	staleOrdersRefused, crashes        int
	replicas                           map[string]*observedReplica
}

// observedReplica is a replica from the start of its load until its unload.
type observedReplica struct {
	observer *observer
	engine   *observedEngine
	model    string
	ready    bool
	unloaded bool
	requests int
}

func newObserver() *observer {
	return &observer{
		models:       make(map[string]*observedModel),
		engines:      make(map[string]*observedEngine),
		commands:     make(map[string]int),
		requests:     make(map[string]int),
		countedUntil: time.Now(),
	}
}

func (ob *observer) addEngine(url string, size int64) *observedEngine {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e := &observedEngine{memory: size, replicas: make(map[string]*observedReplica)}
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

// accumulateSeconds adds the time since countedUntil to the accelerator seconds.
func (ob *observer) accumulateSeconds() {
	now := time.Now()
	seconds := now.Sub(ob.countedUntil).Seconds()
	ob.loadedSeconds += seconds * float64(ob.loadedReplicas)
	ob.idleSeconds += seconds * float64(ob.idleReplicas)
	ob.countedUntil = now
}

// recordLoadStart adds a replica. It counts as loaded from the start of its load.
func (ob *observer) recordLoadStart(e *observedEngine, model string) *observedReplica {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.accumulateSeconds()
	r := &observedReplica{observer: ob, engine: e, model: model}
	e.replicas[model] = r
	ob.loadedReplicas++
	observed := ob.model(model)
	observed.loaded++
	observed.peakLoaded = max(observed.peakLoaded, observed.loaded)
	return r
}

// recordReady records the end of the load, after which the replica accepts requests.
func (r *observedReplica) recordReady() { r.update(func() { r.ready = true }) }

func (r *observedReplica) recordRequestStart() { r.update(func() { r.requests++ }) }
func (r *observedReplica) recordRequestEnd()   { r.update(func() { r.requests-- }) }

// recordUnload is idempotent.
func (r *observedReplica) recordUnload() {
	r.update(func() {
		if r.unloaded {
			return
		}
		r.unloaded = true
		delete(r.engine.replicas, r.model)
		r.observer.loadedReplicas--
		r.observer.model(r.model).loaded--
	})
}

func (r *observedReplica) isIdle() bool { return r.ready && !r.unloaded && r.requests == 0 }

// update applies a change and adjusts the number of idle replicas.
func (r *observedReplica) update(apply func()) {
	ob := r.observer
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.accumulateSeconds()
	before := r.isIdle()
	apply()
	switch after := r.isIdle(); {
	case after && !before:
		ob.idleReplicas++
	case before && !after:
		ob.idleReplicas--
	}
}

func (ob *observer) addMemory(e *observedEngine, delta int64) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.usedMemory += delta
	e.peakUsedMemory = max(e.peakUsedMemory, e.usedMemory)
}

func (ob *observer) recordStaleRefusal(e *observedEngine) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.staleOrdersRefused++
}

func (ob *observer) recordCrash(e *observedEngine) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	e.crashes++
}

// recordRequestRun counts the runs of a request by its X-Request-Id.
func (ob *observer) recordRequestRun(request string) {
	if request == "" {
		return
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.requests[request]++
}

// recordCommandRun counts the runs of a command by its idempotency key.
func (ob *observer) recordCommandRun(key string) {
	if key == "" {
		return
	}
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.commands[key]++
}

func (ob *observer) addCrossRegionBytes(bytes int64) {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.crossRegionBytes += bytes
}

// Observed is what the stand-ins saw; it is the response of GET /Observed. Commands and
// Requests count runs by idempotency key and request ID.
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

// ObservedModel counts the replicas of one model. A replica counts as loaded from the
// start of its load.
type ObservedModel struct {
	MostLoaded int
	Loaded     int
	// Copies is the copy limit last set in the configuration stream.
	Copies int
}

// ObservedEngine describes one engine. Memory figures are in bytes.
type ObservedEngine struct {
	MostMemory         int64
	Memory             int64
	UsedMemory         int64
	StaleOrdersRefused int
	Crashes            int
	Replicas           []string
}

// AcceleratorSeconds are the total seconds of loaded replicas, and of ready replicas
// without a request.
type AcceleratorSeconds struct {
	Loaded float64
	Idle   float64
}

// ObservedWeightStore counts checkpoint transfers.
type ObservedWeightStore struct {
	MostAtOnce int
	Loads      int
}

func (ob *observer) snapshot() Observed {
	ob.mu.Lock()
	defer ob.mu.Unlock()
	ob.accumulateSeconds()
	o := Observed{
		Models:             make(map[string]ObservedModel),
		Engines:            make(map[string]ObservedEngine),
		Commands:           maps.Clone(ob.commands),
		Requests:           maps.Clone(ob.requests),
		AcceleratorSeconds: AcceleratorSeconds{Loaded: ob.loadedSeconds, Idle: ob.idleSeconds},
		CrossRegionBytes:   ob.crossRegionBytes,
	}
	for name, m := range ob.models {
		o.Models[name] = ObservedModel{MostLoaded: m.peakLoaded, Loaded: m.loaded, Copies: m.copies}
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
		MostMemory:         e.peakUsedMemory,
		Memory:             e.memory,
		UsedMemory:         e.usedMemory,
		StaleOrdersRefused: e.staleOrdersRefused,
		Crashes:            e.crashes,
		Replicas:           replicas,
	}
}
