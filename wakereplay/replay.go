// Package wakereplay replays a trace of arrivals in virtual time through the decisions of
// package waking, and through the ways of deciding that they are measured against. Engines and
// the weight store are small fakes; there are no nodes and no network. One model has one copy.
package wakereplay

import (
	"container/heap"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/waking"
)

// tick is how often a strategy is asked what is due.
const tick = 15 * time.Second

// forever is a keep-alive that never ends.
const forever = time.Duration(-1)

type phase int

const (
	absent phase = iota
	// homeless models have callers and found no memory.
	homeless
	// queued loads have memory and wait for the weight store.
	queued
	loading
	ready
)

// model is the state of a model's one copy.
type model struct {
	phase  phase
	server int
	// busy counts requests that are answered now, waiting those that wait.
	busy    int
	waiting []int
	// since is when it became idle: loaded, or being loaded, for nobody.
	since time.Duration
	idle  bool
	// expiry tells which of the planned ends of an idle time is the valid one.
	expiry int
	// asked is when the wake began, took the smoothed time of past wakes.
	asked time.Duration
	took  time.Duration
}

type replay struct {
	trace    *arrivals.Trace
	strategy strategy
	now      time.Duration
	events   events
	sequence int
	models   []model
	servers  []server
	store    store
	// homeless are the models without memory, in order of their wakes.
	homeless []int
	// future are the arrival times of each model, for the oracles.
	future [][]time.Duration
	result Result
}

// Run replays a trace and returns the figures of its measured part.
func Run(t *arrivals.Trace, s Strategy) Result {
	return RunWith(t, s, Store{})
}

// RunWith replays a trace with a weight store of another pace.
func RunWith(t *arrivals.Trace, s Strategy, o Store) Result {
	r := &replay{
		trace:   t,
		models:  make([]model, len(t.Models)),
		servers: newServers(t),
		store:   store{options: o.orDefaults()},
		future:  make([][]time.Duration, len(t.Models)),
		result: Result{
			Trace: t.Name, Strategy: s.Name,
			Weights: waking.Weights{ColdStart: t.ColdStartWeight, Idle: t.IdleWeight},
		},
	}
	for _, q := range t.Requests {
		r.future[q.Model] = append(r.future[q.Model], q.At)
	}
	r.strategy = s.build(r)
	r.run()
	r.result.finish()
	return r.result
}

func (r *replay) run() {
	r.after(tick, event{kind: ticked})
	for m := range r.models {
		r.review(m)
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
			r.handle(e)
			continue
		}
		if !arrives {
			break
		}
		r.now = r.trace.Requests[next].At
		r.arrive(next)
		next++
	}
	r.now = r.trace.Length
	for m := range r.models {
		r.endIdle(m)
	}
}

func (r *replay) handle(e event) {
	switch e.kind {
	case ticked:
		for _, m := range r.strategy.due() {
			r.ahead(m)
		}
		r.after(tick, event{kind: ticked})
	case storeFree:
		r.startLoads()
	case loaded:
		r.loaded(e.model)
	case answered:
		r.answered(e.model)
	case expired:
		if r.models[e.model].expiry == e.number && r.models[e.model].idle {
			r.unload(e.model)
		}
	case reviewed:
		if r.models[e.model].expiry == e.number {
			r.review(e.model)
		}
	case timedOut:
		r.timeOut(e.model, e.number)
	}
}

func (r *replay) arrive(i int) {
	q := r.trace.Requests[i]
	m := &r.models[q.Model]
	r.strategy.arrived(q.Model)
	if m.phase == ready {
		r.serve(i)
		return
	}
	if m.idle {
		r.endIdle(q.Model)
	}
	m.waiting = append(m.waiting, i)
	r.after(q.Timeout, event{kind: timedOut, model: q.Model, number: i})
	if m.phase == absent {
		m.asked = r.now
		if !r.wake(q.Model) {
			m.phase = homeless
			r.homeless = append(r.homeless, q.Model)
		}
	}
}

// ahead loads a model that nobody waits for yet.
func (r *replay) ahead(m int) {
	if r.models[m].phase != absent {
		return
	}
	r.models[m].asked = r.now
	if r.wake(m) {
		r.startIdle(m)
		r.measured(func() { r.result.Ahead++ })
	}
}

// review asks the strategy about a model that is not loaded.
func (r *replay) review(m int) {
	if r.models[m].phase != absent {
		return
	}
	at, load := r.strategy.review(m)
	switch {
	case load:
		r.ahead(m)
	case at != forever:
		r.after(max(time.Millisecond, at-r.now), event{kind: reviewed, model: m, number: r.models[m].expiry})
	}
}

// wake finds memory for a model and begins its load.
func (r *replay) wake(m int) bool {
	at, victims, ok := r.strategy.place(m)
	if !ok {
		return false
	}
	for _, v := range victims {
		r.unload(v)
	}
	s := &r.servers[at]
	s.free -= r.trace.Models[m].Size
	if s.free < 0 {
		panic("a strategy passed the memory of " + string(r.trace.Servers[at].ID))
	}
	s.loaded++
	r.models[m].server = at
	r.measured(func() { r.result.Loads++ })
	if s.tier(m) == remote {
		r.models[m].phase = queued
		r.store.queue = append(r.store.queue, m)
		r.startLoads()
		return true
	}
	r.begin(m)
	return true
}

// begin starts the transfer itself.
func (r *replay) begin(m int) {
	r.models[m].phase = loading
	r.after(r.transfer(m, r.servers[r.models[m].server].tier(m)), event{kind: loaded, model: m})
}

// startLoads begins queued loads while the weight store has room.
func (r *replay) startLoads() {
	for len(r.store.queue) > 0 && r.store.active < r.store.options.Slots {
		if wait := r.store.last + r.store.options.Spacing - r.now; r.store.started && wait > 0 {
			r.after(wait, event{kind: storeFree})
			return
		}
		i := r.strategy.next(r.store.queue)
		m := r.store.queue[i]
		r.store.queue = slices.Delete(r.store.queue, i, i+1)
		r.store.start(r.now)
		r.measured(func() {
			r.result.StoreLoads++
			r.result.StoreBusy += r.transfer(m, remote)
		})
		r.begin(m)
	}
}

func (r *replay) loaded(m int) {
	x := &r.models[m]
	s := &r.servers[x.server]
	if s.tier(m) == remote {
		r.store.active--
		r.startLoads()
	}
	s.keepOnDisk(m)
	x.phase = ready
	x.took = smooth(x.took, r.now-x.asked)
	waiting := x.waiting
	x.waiting = nil
	for _, i := range waiting {
		r.serve(i)
	}
	if x.busy == 0 {
		r.becomeIdle(m)
	}
}

// smooth weighs a new time a quarter.
func smooth(old, d time.Duration) time.Duration {
	if old == 0 {
		return d
	}
	return (3*old + d) / 4
}

func (r *replay) serve(i int) {
	q := r.trace.Requests[i]
	r.endIdle(q.Model)
	r.models[q.Model].busy++
	r.measuredRequest(i, func() { r.result.wait(r.now - q.At) })
	r.after(q.Takes, event{kind: answered, model: q.Model})
}

func (r *replay) answered(m int) {
	if r.models[m].busy--; r.models[m].busy == 0 {
		r.becomeIdle(m)
	}
}

func (r *replay) becomeIdle(m int) {
	r.startIdle(m)
	r.models[m].expiry++
	keep := r.strategy.keep(m)
	if keep == 0 {
		r.unload(m)
	} else if keep != forever {
		r.after(keep, event{kind: expired, model: m, number: r.models[m].expiry})
	}
	r.retry()
}

// retry looks for memory again for the models that found none.
func (r *replay) retry() {
	waiting := r.homeless
	r.homeless = nil
	for _, m := range waiting {
		switch {
		case len(r.models[m].waiting) == 0:
			r.models[m].phase = absent
		case !r.wake(m):
			r.homeless = append(r.homeless, m)
		}
	}
}

func (r *replay) unload(m int) {
	r.endIdle(m)
	x := &r.models[m]
	x.phase = absent
	x.expiry++
	s := &r.servers[x.server]
	s.free += r.trace.Models[m].Size
	s.loaded--
	s.keepInMemory(m)
	r.review(m)
}

func (r *replay) timeOut(m, request int) {
	x := &r.models[m]
	i := slices.Index(x.waiting, request)
	if i < 0 {
		return
	}
	x.waiting = slices.Delete(x.waiting, i, i+1)
	if len(x.waiting) == 0 && (x.phase == queued || x.phase == loading) {
		r.startIdle(m)
	}
	r.measuredRequest(request, func() {
		r.result.Refused++
		r.result.wait(r.trace.Requests[request].Timeout)
	})
}

func (r *replay) startIdle(m int) {
	if x := &r.models[m]; !x.idle {
		x.idle, x.since = true, r.now
	}
}

func (r *replay) endIdle(m int) {
	x := &r.models[m]
	if !x.idle {
		return
	}
	x.idle = false
	r.result.Idle += max(0, r.now-max(x.since, r.trace.Measured))
}

func (r *replay) measured(f func()) {
	if r.now >= r.trace.Measured {
		f()
	}
}

func (r *replay) measuredRequest(i int, f func()) {
	if r.trace.Requests[i].At >= r.trace.Measured {
		f()
	}
}

// time is the present in the trace's calendar.
func (r *replay) time() time.Time { return r.trace.Start.Add(r.now) }

func (r *replay) size(m int) domain.Bytes { return r.trace.Models[m].Size }
