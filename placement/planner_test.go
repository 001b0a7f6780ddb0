package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

var start = time.Unix(1_000_000, 0)

const gigabyte domain.Bytes = 1e9

// world is a planner with engines that do what they are ordered.
type world struct {
	t        *testing.T
	p        Planner
	now      time.Time
	servers  []*fleet.Server
	held     map[domain.ServerID]*fleet.EngineState
	busy     map[domain.ServerID]time.Time
	after    map[domain.ServerID]func()
	loads    int
	orders   []Order
	answered func(Order) Outcome
}

// newWorld has n engines of 200 GB. Models m0 to m99 take 60 GB each; every
// engine has the checkpoints of all but the last ten on its disk.
func newWorld(t *testing.T, n int) *world {
	t.Helper()
	e := &fleet.Engine{Slots: 64, Memory: 200 * gigabyte, AdapterSlots: 2, LoadsPerSecond: 4.5, Models: map[domain.ModelName]fleet.Model{}}
	var disk []domain.ModelName
	for i := range 100 {
		name := domain.ModelName(fmt.Sprintf("m%d", i))
		e.Models[name] = fleet.Model{
			Name: name, Memory: 60 * gigabyte, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond,
			AdapterMemory: gigabyte / 10,
		}
		if i < 90 {
			disk = append(disk, name)
		}
	}
	w := &world{
		t: t, now: start, held: map[domain.ServerID]*fleet.EngineState{}, busy: map[domain.ServerID]time.Time{}, after: map[domain.ServerID]func(){},
		answered: func(Order) Outcome { return Accepted },
	}
	c := &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
	c.Index()
	w.p.Configure(c)
	for i := range n {
		id := domain.ServerID(fmt.Sprintf("i%02d", i))
		w.servers = append(w.servers, &fleet.Server{ID: id, Service: "s", Slots: 64, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1, OnDisk: disk}})
		w.held[id] = &fleet.EngineState{StartedAtMs: 1, OnDisk: disk}
	}
	w.p.SetServers(w.now, w.servers)
	w.p.BeginTerm(w.now)
	w.step(0)
	return w
}

// step lets time pass and carries orders out.
func (w *world) step(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now.Add(d); ; w.now = w.now.Add(tick) {
		w.finishWork()
		for _, s := range w.p.DuePolls(w.now) {
			w.p.RecordReport(w.now, w.now, s.ID, *w.held[s.ID], nil)
		}
		for _, o := range w.p.PlanOrders(w.now) {
			w.carryOut(o)
		}
		if !w.now.Before(end) {
			return
		}
	}
}

func (w *world) finishWork() {
	for id, at := range w.busy {
		if w.now.Before(at) {
			continue
		}
		w.after[id]()
		w.held[id].Busy = false
		delete(w.busy, id)
	}
}

func (w *world) carryOut(o Order) {
	w.t.Helper()
	h := w.held[o.Server.ID]
	out := w.answered(o)
	if out == Accepted {
		w.check(o, h)
		h.Sequence++
		w.orders = append(w.orders, o)
		w.apply(o, h)
	}
	w.p.RecordOutcome(w.now, w.now, o, out)
}

// check fails the test where an order is not allowed.
func (w *world) check(o Order, h *fleet.EngineState) {
	w.t.Helper()
	if o.ExpectedSequence != h.Sequence || h.Busy {
		w.t.Errorf("%v %s at %s: expected sequence %d, is %d, busy %v", o.Operation, o.Model, o.Server.ID, o.ExpectedSequence, h.Sequence, h.Busy)
	}
	adapters := 0
	for _, m := range h.Models {
		adapters += len(m.Adapters)
	}
	if o.Operation == Load && o.Adapter == "" && len(h.Models) >= 3 || o.Operation == Load && o.Adapter != "" && adapters >= 2 {
		w.t.Errorf("load of %s/%s at %s, which holds %+v: more than it can", o.Model, o.Adapter, o.Server.ID, h.Models)
	}
}

func (w *world) apply(o Order, h *fleet.EngineState) {
	if o.Adapter != "" {
		for i := range h.Models {
			if h.Models[i].Model != o.Model {
				continue
			}
			if o.Operation == Load {
				h.Models[i].Adapters = append(h.Models[i].Adapters, o.Adapter)
			} else {
				h.Models[i].Adapters = nil
			}
		}
		return
	}
	h.Busy = true
	id := o.Server.ID
	if o.Operation == Unload {
		w.busy[id] = w.now.Add(40 * time.Millisecond)
		w.after[id] = func() {
			kept := []fleet.LoadedModel{}
			for _, m := range h.Models {
				if m.Model != o.Model {
					kept = append(kept, m)
				}
			}
			h.Models = kept
		}
		return
	}
	w.loads++
	took := time.Second
	if o.tier == fleet.InStore {
		took = 6 * time.Second
	}
	w.busy[id] = w.now.Add(took)
	w.after[id] = func() {
		h.Models = append(h.Models, fleet.LoadedModel{Model: o.Model})
		h.OnDisk = append(append([]domain.ModelName{}, h.OnDisk...), o.Model)
	}
}

func (w *world) copies(m domain.ModelName) int {
	n := 0
	for _, h := range w.held {
		if _, ok := h.Find(m); ok {
			n++
		}
	}
	return n
}

func key(m domain.ModelName) ModelKey { return ModelKey{Service: "s", Model: m} }

func TestWaitingCallerGetsItsModelFromDisk(t *testing.T) {
	w := newWorld(t, 2)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m5"), Waiting: 1, Arrived: 1}})
	w.step(1300 * time.Millisecond)
	if got, want := w.copies("m5"), 1; got != want {
		t.Errorf("copies: got %d, want %d after the time of a load from disk", got, want)
	}
}

// Many rare models are asked for at once, each by one caller: more than fit.
func TestBurstOfRareModels(t *testing.T) {
	w := newWorld(t, 6)
	served := 0
	for i := range 30 {
		m := domain.ModelName(fmt.Sprintf("m%d", i))
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key(m), Waiting: 1, Arrived: 1}})
		w.step(100 * time.Millisecond)
	}
	for range 100 {
		w.step(100 * time.Millisecond)
		for i := range 30 {
			m := domain.ModelName(fmt.Sprintf("m%d", i))
			if w.p.demands.of(key(m)).waiting > 0 && w.copies(m) > 0 {
				w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key(m)}})
				served++
			}
		}
	}
	if got, want := served, 30; got != want {
		t.Errorf("served: got %d of %d models within ten seconds", got, want)
	}
	if got, limit := w.loads, 45; got > limit {
		t.Errorf("loads: got %d, want %d at most: models were dropped before they served", got, limit)
	}
}

// The demand moves to a model that is loaded nowhere.
func TestDemandThatMovesGetsReplicas(t *testing.T) {
	w := newWorld(t, 6)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 4, Running: 40, Arrived: 44}})
	w.step(4 * time.Second)
	if got, want := w.copies("m1"), 3; got < want {
		t.Errorf("replicas: got %d, want %d at least for 44 requests at once", got, want)
	}
}

func TestLateAnswersAddReplicas(t *testing.T) {
	w := newWorld(t, 4)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
	w.step(2 * time.Second)
	for range 20 {
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Running: 6, Arrived: 2, Late: 1}})
		w.step(200 * time.Millisecond)
	}
	if got, want := w.copies("m1"), 2; got < want {
		t.Errorf("replicas: got %d, want %d at least", got, want)
	}
}

func TestLoadsFromTheStoreAreFewAtOnce(t *testing.T) {
	w := newWorld(t, 10)
	for i := 90; i < 100; i++ {
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrived: 1}})
	}
	w.step(time.Second)
	if got, limit := w.loads, firstConcurrency; got > limit {
		t.Errorf("loads at once: got %d, want %d at most", got, limit)
	}
}

// A weight store that loads in no time but allows one load a second.
func TestLoadsFromTheStoreKeepThePace(t *testing.T) {
	var s storePace
	const window = 5 * time.Second
	began := []time.Time{}
	s.reset(start)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		if s.room(now, 1, window) {
			o := Order{Operation: Load, tier: fleet.InStore}
			s.started(now, o.Server.ID, o.Model)
			s.cancelled(o)
			began = append(began, now)
		}
	}
	for i := range began {
		n := 0
		for _, b := range began[i:] {
			if b.Sub(began[i]) <= window {
				n++
			}
		}
		if limit := 5; n > limit {
			t.Fatalf("%d loads within %v, want %d at most", n, window, limit)
		}
	}
	if got, want := len(began), 45; got < want {
		t.Errorf("loads in a minute: got %d, want %d at least", got, want)
	}
}

func TestOrderWithoutAnswerStaysInDoubt(t *testing.T) {
	w := newWorld(t, 1)
	w.answered = func(Order) Outcome { return Unknown }
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
	w.step(500 * time.Millisecond)
	a := w.p.accounts["i00"]
	free := a.free(w.p.engine("s"))
	if got, limit := free, 140*gigabyte; got > limit {
		t.Errorf("free memory: got %d, want %d at most while a load is in doubt", got, limit)
	}
	// Another model is wanted too; only the doubtful order may be given again.
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m2"), Waiting: 1, Arrived: 1}})
	w.answered = func(o Order) Outcome {
		if o.Model != "m1" {
			t.Errorf("ordered %v %s while another order was in doubt", o.Operation, o.Model)
		}
		w.answered = func(Order) Outcome { return Accepted }
		return Accepted
	}
	w.step(4 * time.Second)
	if got, want := [2]int{w.copies("m1"), w.copies("m2")}, [2]int{1, 1}; got != want {
		t.Errorf("copies: got %v, want %v", got, want)
	}
}

func TestRestartedServerHoldsNothing(t *testing.T) {
	w := newWorld(t, 1)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
	w.step(2 * time.Second)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1")}})
	*w.held["i00"] = fleet.EngineState{StartedAtMs: 2, OnDisk: w.held["i00"].OnDisk}
	again := *w.servers[0]
	again.EngineState.StartedAtMs = 2
	w.p.SetServers(w.now, []*fleet.Server{&again})
	if got, want := len(w.p.Snapshot()["i00"].Models), 0; got != want {
		t.Errorf("models: got %d, want %d", got, want)
	}
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
	w.step(2 * time.Second)
	if got, want := w.copies("m1"), 1; got != want {
		t.Errorf("copies: got %d, want %d", got, want)
	}
}

func TestAdapterTakesThePlaceOfAnIdleOne(t *testing.T) {
	w := newWorld(t, 1)
	w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
	w.step(2 * time.Second)
	for _, a := range []domain.AdapterName{"a1", "a2", "a3"} {
		k := key("m1")
		k.Adapter = a
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: k, Waiting: 1, Arrived: 1}})
		w.step(200 * time.Millisecond)
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: k}})
		w.step(time.Second)
	}
	held, _ := w.held["i00"].Find("m1")
	if !held.HasAdapter("a3") {
		t.Errorf("adapters: got %v, want a3 among them", held.Adapters)
	}
}

func TestServerThatDoesNotReportGetsNoOrder(t *testing.T) {
	var p Planner
	p.Configure(&fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Engine: &fleet.Engine{
		Slots: 4, Memory: gigabyte, Models: map[domain.ModelName]fleet.Model{"m": {Name: "m"}},
	}}}})
	p.SetServers(start, []*fleet.Server{{ID: "i", Service: "s"}})
	for _, s := range p.DuePolls(start) {
		p.RecordReport(start, start, s.ID, fleet.EngineState{}, errors.New("silent"))
	}
	p.RecordDemand(start, "n", []Demand{{ModelKey: key("m"), Waiting: 1}})
	if got, want := len(p.PlanOrders(start)), 0; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
}

func TestSilentNodesDemandIsDropped(t *testing.T) {
	var d demands
	d.report(start, "n", []Demand{{ModelKey: key("m"), Waiting: 2, Running: 1}})
	d.expire(start.Add(silentNode + time.Second))
	i := d.of(key("m"))
	if got, want := [2]int{i.waiting, i.running}, [2]int{0, 0}; got != want {
		t.Errorf("waiting and running: got %v, want %v", got, want)
	}
}

// BenchmarkOrders plans for 140 engines while 60 rare models are waited for.
func BenchmarkOrders(b *testing.B) {
	w := newWorld(&testing.T{}, 140)
	for i := range 60 {
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrived: 1}})
	}
	w.step(100 * time.Millisecond)
	for b.Loop() {
		w.p.RecordDemand(w.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrived: 1}})
		w.p.PlanOrders(w.now)
	}
}
