// Package wakereplay simulates cold starts: it replays a trace from package arrivals in virtual
// time and measures the cold-start waits and idle replica time that the decisions of package
// waking lead to, beside baselines with a fixed keep-alive and oracles that know the future. It
// also simulates schemes that pace loads from the weight store. The command "report waking" and
// the tests call it. Backend servers and the weight store are simple models: a replay starts no
// node, uses no network and never waits in real time. Each model has at most one replica.
package wakereplay

import (
	"container/heap"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/waking"
)

// prewarmInterval is the interval at which the strategy is asked for models to pre-warm.
const prewarmInterval = 15 * time.Second

// forever is a keep-alive without end.
const forever = time.Duration(-1)

type phase int

const (
	unloaded phase = iota
	// unplaced models have waiting requests but no memory.
	unplaced
	// queued loads have reserved memory and wait for the weight store.
	queued
	loading
	ready
)

// model is the state of a model's only replica.
type model struct {
	phase  phase
	server int
	// running counts the requests in progress; waiting holds the indices of the queued ones.
	running int
	waiting []int
	// idleSince is the time from which the replica, loaded or loading, has had no request. It
	// is valid while idle is set.
	idleSince time.Duration
	idle      bool
	// generation increases when a keep-alive starts and when the replica is unloaded. Events
	// that were scheduled for an older generation are ignored.
	generation int
	// loadRequestedAt is the time at which the latest load was requested. meanColdStart is the
	// smoothed mean of the durations from the request for a load to its end.
	loadRequestedAt time.Duration
	meanColdStart   time.Duration
}

// replay is the state of one simulation.
type replay struct {
	trace    *arrivals.Trace
	strategy strategy
	now      time.Duration
	events   eventQueue
	sequence int
	models   []model
	servers  []server
	store    store
	// unplaced lists the models in phase unplaced, the longest waiting first.
	unplaced []int
	// arrivalTimes lists the arrivals of each model, for the oracles.
	arrivalTimes [][]time.Duration
	result       Result
}

// Run replays a trace and returns the figures of its measured part.
func Run(t *arrivals.Trace, s Strategy) Result {
	return RunWith(t, s, StoreOptions{})
}

// RunWith is Run with another throughput of the weight store.
func RunWith(t *arrivals.Trace, s Strategy, o StoreOptions) Result {
	r := &replay{
		trace:        t,
		models:       make([]model, len(t.Models)),
		servers:      newServers(t),
		store:        store{options: o.withDefaults()},
		arrivalTimes: make([][]time.Duration, len(t.Models)),
		result: Result{
			Trace: t.Name, Strategy: s.Name,
			Weights: waking.Weights{ColdStart: t.ColdStartWeight, Idle: t.IdleWeight},
		},
	}
	for _, q := range t.Requests {
		r.arrivalTimes[q.Model] = append(r.arrivalTimes[q.Model], q.At)
	}
	r.strategy = s.build(r)
	r.run()
	r.result.sortWaits()
	return r.result
}

func (r *replay) run() {
	r.schedule(prewarmInterval, event{kind: prewarmTick})
	for m := range r.models {
		r.checkPrewarm(m)
	}
	next := 0
	for {
		arrives := next < len(r.trace.Requests)
		if len(r.events) > 0 && (!arrives || r.events[0].at <= r.trace.Requests[next].At) {
			e := heap.Pop(&r.events).(event)
			if e.at > r.trace.Length {
				break
			}
			r.now = e.at
			r.handleEvent(e)
			continue
		}
		if !arrives {
			break
		}
		r.now = r.trace.Requests[next].At
		r.handleRequest(next)
		next++
	}
	r.now = r.trace.Length
	for m := range r.models {
		r.endIdleTime(m)
	}
}

func (r *replay) handleEvent(e event) {
	switch e.kind {
	case prewarmTick:
		for _, m := range r.strategy.modelsToPrewarm() {
			r.prewarm(m)
		}
		r.schedule(prewarmInterval, event{kind: prewarmTick})
	case storeReady:
		r.startQueuedTransfers()
	case loadFinished:
		r.finishLoad(e.model)
	case responseFinished:
		r.finishResponse(e.model)
	case keepAliveExpired:
		if r.models[e.model].generation == e.number && r.models[e.model].idle {
			r.unload(e.model)
		}
	case prewarmCheckDue:
		if r.models[e.model].generation == e.number {
			r.checkPrewarm(e.model)
		}
	case requestTimedOut:
		r.timeOutRequest(e.model, e.number)
	}
}

func (r *replay) handleRequest(i int) {
	q := r.trace.Requests[i]
	m := &r.models[q.Model]
	r.strategy.recordArrival(q.Model)
	if m.phase == ready {
		r.startResponse(i)
		return
	}
	if m.idle {
		r.endIdleTime(q.Model)
	}
	m.waiting = append(m.waiting, i)
	r.schedule(q.Timeout, event{kind: requestTimedOut, model: q.Model, number: i})
	if m.phase == unloaded {
		m.loadRequestedAt = r.now
		if !r.startLoad(q.Model) {
			m.phase = unplaced
			r.unplaced = append(r.unplaced, q.Model)
		}
	}
}

// prewarm loads a model that has no waiting request, if there is memory for it.
func (r *replay) prewarm(m int) {
	if r.models[m].phase != unloaded {
		return
	}
	r.models[m].loadRequestedAt = r.now
	if r.startLoad(m) {
		r.startIdleTime(m)
		r.ifMeasured(func() { r.result.Prewarms++ })
	}
}

// checkPrewarm pre-warms a model that is not loaded, or schedules the next check, as the
// strategy decides.
func (r *replay) checkPrewarm(m int) {
	if r.models[m].phase != unloaded {
		return
	}
	at, load := r.strategy.prewarmTime(m)
	switch {
	case load:
		r.prewarm(m)
	case at != forever:
		r.schedule(max(time.Millisecond, at-r.now), event{kind: prewarmCheckDue, model: m, number: r.models[m].generation})
	}
}

// startLoad reserves memory for a model, evicts the victims that the strategy selects and
// starts the load. It returns false if no server has room.
func (r *replay) startLoad(m int) bool {
	target, victims, ok := r.strategy.place(m)
	if !ok {
		return false
	}
	for _, v := range victims {
		r.unload(v)
	}
	s := &r.servers[target]
	s.freeMemory -= r.trace.Models[m].Size
	if s.freeMemory < 0 {
		panic("the strategy exceeded the memory of server " + string(r.trace.Servers[target].ID))
	}
	s.loadedModels++
	r.models[m].server = target
	r.ifMeasured(func() { r.result.Loads++ })
	if s.tier(m) == inStore {
		r.models[m].phase = queued
		r.store.queue = append(r.store.queue, m)
		r.startQueuedTransfers()
		return true
	}
	r.startTransfer(m)
	return true
}

// startTransfer starts the transfer of a checkpoint to the server's memory.
func (r *replay) startTransfer(m int) {
	r.models[m].phase = loading
	r.schedule(r.transferTime(m, r.servers[r.models[m].server].tier(m)), event{kind: loadFinished, model: m})
}

// startQueuedTransfers starts queued loads while the weight store has free slots, at least
// Spacing apart.
func (r *replay) startQueuedTransfers() {
	for len(r.store.queue) > 0 && r.store.active < r.store.options.Slots {
		if wait := r.store.lastStart + r.store.options.Spacing - r.now; r.store.started && wait > 0 {
			r.schedule(wait, event{kind: storeReady})
			return
		}
		i := r.strategy.nextLoad(r.store.queue)
		m := r.store.queue[i]
		r.store.queue = slices.Delete(r.store.queue, i, i+1)
		r.store.start(r.now)
		r.ifMeasured(func() {
			r.result.StoreLoads++
			r.result.StoreTransferTime += r.transferTime(m, inStore)
		})
		r.startTransfer(m)
	}
}

func (r *replay) finishLoad(m int) {
	x := &r.models[m]
	s := &r.servers[x.server]
	if s.tier(m) == inStore {
		r.store.active--
		r.startQueuedTransfers()
	}
	s.cacheOnDisk(m)
	x.phase = ready
	x.meanColdStart = smoothedMean(x.meanColdStart, r.now-x.loadRequestedAt)
	waiting := x.waiting
	x.waiting = nil
	for _, i := range waiting {
		r.startResponse(i)
	}
	if x.running == 0 {
		r.startKeepAlive(m)
	}
}

// smoothedMean returns an exponential moving average, in which the new value has a weight of a
// quarter.
func smoothedMean(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return (3*old + d) / 4
}

func (r *replay) startResponse(i int) {
	q := r.trace.Requests[i]
	r.endIdleTime(q.Model)
	r.models[q.Model].running++
	r.ifRequestMeasured(i, func() { r.result.addWait(r.now - q.At) })
	r.schedule(q.ResponseTime, event{kind: responseFinished, model: q.Model})
}

func (r *replay) finishResponse(m int) {
	if r.models[m].running--; r.models[m].running == 0 {
		r.startKeepAlive(m)
	}
}

// startKeepAlive handles a loaded replica without requests. It unloads the replica or starts its
// keep-alive, and tries to place the unplaced models again, since the replica can be evicted now.
func (r *replay) startKeepAlive(m int) {
	r.startIdleTime(m)
	r.models[m].generation++
	keepAlive := r.strategy.keepAlive(m)
	if keepAlive == 0 {
		r.unload(m)
	} else if keepAlive != forever {
		r.schedule(keepAlive, event{kind: keepAliveExpired, model: m, number: r.models[m].generation})
	}
	r.retryUnplaced()
}

// retryUnplaced tries to place the models without memory again. Models whose requests have all
// timed out are dropped.
func (r *replay) retryUnplaced() {
	waiting := r.unplaced
	r.unplaced = nil
	for _, m := range waiting {
		switch {
		case len(r.models[m].waiting) == 0:
			r.models[m].phase = unloaded
		case !r.startLoad(m):
			r.unplaced = append(r.unplaced, m)
		}
	}
}

func (r *replay) unload(m int) {
	r.endIdleTime(m)
	x := &r.models[m]
	x.phase = unloaded
	x.generation++
	s := &r.servers[x.server]
	s.freeMemory += r.trace.Models[m].Size
	s.loadedModels--
	s.cacheInMemory(m)
	r.checkPrewarm(m)
}

// timeOutRequest removes a request that still waits for its model. A load without remaining
// requests continues and counts as idle.
func (r *replay) timeOutRequest(m, request int) {
	x := &r.models[m]
	i := slices.Index(x.waiting, request)
	if i < 0 {
		return
	}
	x.waiting = slices.Delete(x.waiting, i, i+1)
	if len(x.waiting) == 0 && (x.phase == queued || x.phase == loading) {
		r.startIdleTime(m)
	}
	r.ifRequestMeasured(request, func() {
		r.result.TimedOut++
		r.result.addWait(r.trace.Requests[request].Timeout)
	})
}

// startIdleTime marks the start of idle time, in which a replica is loaded or loading without a
// request. endIdleTime adds it to the result.
func (r *replay) startIdleTime(m int) {
	if x := &r.models[m]; !x.idle {
		x.idle, x.idleSince = true, r.now
	}
}

func (r *replay) endIdleTime(m int) {
	x := &r.models[m]
	if !x.idle {
		return
	}
	x.idle = false
	r.result.Idle += max(0, r.now-max(x.idleSince, r.trace.MeasuredFrom))
}

// ifMeasured calls f if the replay has reached the measured part of the trace.
func (r *replay) ifMeasured(f func()) {
	if r.now >= r.trace.MeasuredFrom {
		f()
	}
}

// ifRequestMeasured calls f if request i arrived in the measured part of the trace.
func (r *replay) ifRequestMeasured(i int, f func()) {
	if r.trace.Requests[i].At >= r.trace.MeasuredFrom {
		f()
	}
}

// wallTime returns the current time in the calendar of the trace.
func (r *replay) wallTime() time.Time { return r.trace.Start.Add(r.now) }

func (r *replay) size(m int) domain.Bytes { return r.trace.Models[m].Size }
