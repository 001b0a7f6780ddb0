package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

var start = time.Unix(1_000_000, 0)

const gigabyte domain.Bytes = 1e9

// testCluster runs a planner with simulated engines that execute its orders.
type testCluster struct {
	t       *testing.T
	planner Planner
	now     time.Time
	servers []*fleet.Server
	// engines holds the true state of each engine.
	engines map[domain.ServerID]*fleet.EngineState
	// busyUntil is when each busy engine finishes its order; onFinish then applies the
	// order.
	busyUntil map[domain.ServerID]time.Time
	onFinish  map[domain.ServerID]func()
	// modelLoads is the number of model loads that the engines accepted.
	modelLoads     int
	acceptedOrders []Order
	// respond returns the outcome of an order.
	respond func(Order) Outcome
}

// newTestCluster returns a cluster of n engines with 200 GB each for the models m0 to m99
// with 60 GB each. The engines have the checkpoints of all models except the last ten on
// disk.
func newTestCluster(t *testing.T, n int) *testCluster {
	t.Helper()
	return newPlacedCluster(t, n, func(int) []fleet.LoadedModel { return nil })
}

// newPlacedCluster is newTestCluster with engines that have models loaded at the start.
func newPlacedCluster(t *testing.T, n int, loaded func(engine int) []fleet.LoadedModel) *testCluster {
	t.Helper()
	e := &fleet.Engine{Slots: 64, Memory: 200 * gigabyte, AdapterSlots: 2, LoadsPerSecond: 4.5, Models: map[domain.ModelName]fleet.Model{}}
	var modelsOnDisk []domain.ModelName
	for i := range 100 {
		name := domain.ModelName(fmt.Sprintf("m%d", i))
		e.Models[name] = fleet.Model{
			Name: name, Memory: 60 * gigabyte, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 500 * time.Millisecond,
			AdapterMemory: gigabyte / 10,
		}
		if i < 90 {
			modelsOnDisk = append(modelsOnDisk, name)
		}
	}
	cl := &testCluster{
		t: t, now: start, engines: map[domain.ServerID]*fleet.EngineState{}, busyUntil: map[domain.ServerID]time.Time{}, onFinish: map[domain.ServerID]func(){},
		respond: func(Order) Outcome { return Accepted },
	}
	c := &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
	c.Index()
	cl.planner.Configure(c)
	for i := range n {
		id := domain.ServerID(fmt.Sprintf("i%02d", i))
		cl.servers = append(cl.servers, &fleet.Server{ID: id, Service: "s", Slots: 64, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1, OnDisk: modelsOnDisk, Models: loaded(i)}})
		cl.engines[id] = &fleet.EngineState{StartedAtMs: 1, OnDisk: modelsOnDisk, Models: loaded(i)}
	}
	cl.planner.SetServers(cl.now, cl.servers)
	cl.planner.BeginTerm(cl.now)
	cl.advance(0)
	return cl
}

// advance advances the clock by d in ticks and executes the orders that the planner
// issues at each tick.
func (cl *testCluster) advance(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := cl.now.Add(d); ; cl.now = cl.now.Add(tick) {
		cl.finishOrders()
		for _, s := range cl.planner.DuePolls(cl.now) {
			report := *cl.engines[s.ID]
			report.Models = slices.Clone(report.Models)
			cl.planner.RecordReport(cl.now, cl.now, s.ID, report, nil)
		}
		for _, o := range cl.planner.PlanOrders(cl.now) {
			cl.executeOrder(o)
		}
		if !cl.now.Before(end) {
			return
		}
	}
}

// finishOrders applies the orders whose execution time has passed.
func (cl *testCluster) finishOrders() {
	for id, at := range cl.busyUntil {
		if cl.now.Before(at) {
			continue
		}
		cl.onFinish[id]()
		cl.engines[id].Busy = false
		delete(cl.busyUntil, id)
	}
}

// executeOrder passes an order to its engine and records the outcome.
func (cl *testCluster) executeOrder(o Order) {
	cl.t.Helper()
	engine := cl.engines[o.Server.ID]
	outcome := cl.respond(o)
	if outcome == Accepted {
		cl.checkOrder(o, engine)
		engine.Sequence++
		cl.acceptedOrders = append(cl.acceptedOrders, o)
		cl.applyOrder(o, engine)
	}
	cl.planner.RecordOutcome(cl.now, cl.now, o, outcome)
}

// checkOrder fails the test if a real engine would not accept the order.
func (cl *testCluster) checkOrder(o Order, engine *fleet.EngineState) {
	cl.t.Helper()
	if o.ExpectedSequence != engine.Sequence || engine.Busy {
		cl.t.Errorf("%v %s at %s: expected sequence %d, is %d, busy %v", o.Operation, o.Model, o.Server.ID, o.ExpectedSequence, engine.Sequence, engine.Busy)
	}
	adapters := 0
	for _, m := range engine.Models {
		adapters += len(m.Adapters)
	}
	if o.Operation == Load && o.Adapter == "" && len(engine.Models) >= 3 || o.Operation == Load && o.Adapter != "" && adapters >= 2 {
		cl.t.Errorf("load of %s/%s at %s, which has loaded %+v: over its capacity", o.Model, o.Adapter, o.Server.ID, engine.Models)
	}
}

// applyOrder applies an order for an adapter at once and starts the execution of any
// other order.
func (cl *testCluster) applyOrder(o Order, engine *fleet.EngineState) {
	if o.Adapter != "" {
		for i := range engine.Models {
			if engine.Models[i].Model != o.Model {
				continue
			}
			if o.Operation == Load {
				engine.Models[i].Adapters = append(engine.Models[i].Adapters, o.Adapter)
			} else {
				engine.Models[i].Adapters = nil
			}
		}
		return
	}
	engine.Busy = true
	id := o.Server.ID
	if o.Operation == Unload {
		cl.busyUntil[id] = cl.now.Add(40 * time.Millisecond)
		cl.onFinish[id] = func() {
			remainingModels := []fleet.LoadedModel{}
			for _, m := range engine.Models {
				if m.Model != o.Model {
					remainingModels = append(remainingModels, m)
				}
			}
			engine.Models = remainingModels
		}
		return
	}
	cl.modelLoads++
	duration := time.Second
	if o.tier == fleet.InStore {
		duration = 6 * time.Second
	}
	cl.busyUntil[id] = cl.now.Add(duration)
	cl.onFinish[id] = func() {
		engine.Models = append(engine.Models, fleet.LoadedModel{Model: o.Model})
		engine.OnDisk = append(append([]domain.ModelName{}, engine.OnDisk...), o.Model)
	}
}

// replicas returns the number of engines that have a model loaded.
func (cl *testCluster) replicas(m domain.ModelName) int {
	n := 0
	for _, engine := range cl.engines {
		if _, ok := engine.Find(m); ok {
			n++
		}
	}
	return n
}

// key returns the key of a base model.
func key(m domain.ModelName) ModelKey { return ModelKey{Service: "s", Model: m} }

func TestWaitingRequestLoadsModelFromDisk(t *testing.T) {
	cl := newTestCluster(t, 2)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m5"), Waiting: 1, Arrivals: 1}})
	cl.advance(1300 * time.Millisecond)
	if got, want := cl.replicas("m5"), 1; got != want {
		t.Errorf("replicas: got %d, want %d after the time of a load from disk", got, want)
	}
}

// A burst of requests, each for a different model, needs more memory than the engines
// have. No model may be evicted before its request is served.
func TestBurstOfColdModelsIsServed(t *testing.T) {
	cl := newTestCluster(t, 6)
	served := 0
	for i := range 30 {
		m := domain.ModelName(fmt.Sprintf("m%d", i))
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m), Waiting: 1, Arrivals: 1}})
		cl.advance(100 * time.Millisecond)
	}
	for range 100 {
		cl.advance(100 * time.Millisecond)
		for i := range 30 {
			m := domain.ModelName(fmt.Sprintf("m%d", i))
			if cl.planner.demands.total(key(m)).waiting > 0 && cl.replicas(m) > 0 {
				cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m)}})
				served++
			}
		}
	}
	if got, want := served, 30; got != want {
		t.Errorf("served: got %d, want %d models within ten seconds", got, want)
	}
	if got, limit := cl.modelLoads, 45; got > limit {
		t.Errorf("loads: got %d, want %d at most: models were evicted before they served", got, limit)
	}
}

// A model without a replica gets many concurrent requests.
func TestConcurrentRequestsAddReplicas(t *testing.T) {
	cl := newTestCluster(t, 6)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 4, Running: 40, Arrivals: 44}})
	cl.advance(4 * time.Second)
	if got, want := cl.replicas("m1"), 3; got < want {
		t.Errorf("replicas: got %d, want %d at least for 44 concurrent requests", got, want)
	}
}

func TestLateResponsesAddReplicas(t *testing.T) {
	cl := newTestCluster(t, 4)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	for range 20 {
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Running: 6, Arrivals: 2, LateResponses: 1}})
		cl.advance(200 * time.Millisecond)
	}
	if got, want := cl.replicas("m1"), 2; got < want {
		t.Errorf("replicas: got %d, want %d at least", got, want)
	}
}

func TestStoreLoadsStayWithinInitialConcurrency(t *testing.T) {
	cl := newTestCluster(t, 10)
	for i := 90; i < 100; i++ {
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrivals: 1}})
	}
	cl.advance(time.Second)
	if got, limit := cl.modelLoads, initialConcurrency; got > limit {
		t.Errorf("concurrent loads: got %d, want %d at most", got, limit)
	}
}

// The weight store permits one load per second. Each load finishes at once, so that only
// the rate limits the loads.
func TestStoreLoadsStayWithinRate(t *testing.T) {
	var s storeLimiter
	const window = 5 * time.Second
	starts := []time.Time{}
	s.reset(start)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		if s.canStart(now, 1, window) {
			o := Order{Operation: Load, tier: fleet.InStore}
			s.recordStart(now, o.Server.ID, o.Model)
			s.removeLoad(o)
			starts = append(starts, now)
		}
	}
	for i := range starts {
		n := 0
		for _, b := range starts[i:] {
			if b.Sub(starts[i]) <= window {
				n++
			}
		}
		if limit := 5; n > limit {
			t.Fatalf("%d loads started within %v, want %d at most", n, window, limit)
		}
	}
	if got, want := len(starts), 45; got < want {
		t.Errorf("loads in a minute: got %d, want %d at least", got, want)
	}
}

func TestUnknownOutcomeBlocksOtherOrders(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.respond = func(Order) Outcome { return Unknown }
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(500 * time.Millisecond)
	v := cl.planner.engines["i00"]
	freeMemory := cl.planner.freeMemory(v, cl.planner.engineConfig("s"))
	if got, limit := freeMemory, 140*gigabyte; got > limit {
		t.Errorf("free memory: got %d, want %d at most while the outcome of a load is unknown", got, limit)
	}
	// Another request waits for a second model, but only the order with the unknown
	// outcome may be issued.
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m2"), Waiting: 1, Arrivals: 1}})
	cl.respond = func(o Order) Outcome {
		if o.Model != "m1" {
			t.Errorf("order %v %s issued while the outcome of another one is unknown", o.Operation, o.Model)
		}
		cl.respond = func(Order) Outcome { return Accepted }
		return Accepted
	}
	cl.advance(4 * time.Second)
	if got, want := [2]int{cl.replicas("m1"), cl.replicas("m2")}, [2]int{1, 1}; got != want {
		t.Errorf("replicas: got %v, want %v", got, want)
	}
}

func TestRestartedServerLosesItsModels(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1")}})
	*cl.engines["i00"] = fleet.EngineState{StartedAtMs: 2, OnDisk: cl.engines["i00"].OnDisk}
	restarted := *cl.servers[0]
	restarted.EngineState.StartedAtMs = 2
	cl.planner.SetServers(cl.now, []*fleet.Server{&restarted})
	if got, want := len(cl.planner.Snapshot()["i00"].Models), 0; got != want {
		t.Errorf("models: got %d, want %d", got, want)
	}
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	if got, want := cl.replicas("m1"), 1; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}

func TestAdapterReplacesIdleAdapter(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	for _, a := range []domain.AdapterName{"a1", "a2", "a3"} {
		k := key("m1")
		k.Adapter = a
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: k, Waiting: 1, Arrivals: 1}})
		cl.advance(200 * time.Millisecond)
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: k}})
		cl.advance(time.Second)
	}
	loaded, _ := cl.engines["i00"].Find("m1")
	if !loaded.HasAdapter("a3") {
		t.Errorf("adapters: got %v, want a3 among them", loaded.Adapters)
	}
}

func TestServerWithoutReportGetsNoOrder(t *testing.T) {
	var p Planner
	p.Configure(&fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Engine: &fleet.Engine{
		Slots: 4, Memory: gigabyte, Models: map[domain.ModelName]fleet.Model{"m": {Name: "m"}},
	}}}})
	p.SetServers(start, []*fleet.Server{{ID: "i", Service: "s"}})
	for _, s := range p.DuePolls(start) {
		p.RecordReport(start, start, s.ID, fleet.EngineState{}, errors.New("no report"))
	}
	p.RecordDemand(start, "n", []Demand{{ModelKey: key("m"), Waiting: 1}})
	if got, want := len(p.PlanOrders(start)), 0; got != want {
		t.Errorf("orders: got %d, want %d", got, want)
	}
}

func TestDemandOfUnresponsiveNodeExpires(t *testing.T) {
	var d demandTable
	d.record(start, "n", []Demand{{ModelKey: key("m"), Waiting: 2, Running: 1}})
	d.expire(start.Add(nodeReportTimeout + time.Second))
	total := d.total(key("m"))
	if got, want := [2]int{total.waiting, total.running}, [2]int{0, 0}; got != want {
		t.Errorf("waiting and running: got %v, want %v", got, want)
	}
}

// BenchmarkPlanOrders measures one plan for 140 engines while requests wait for 60
// models.
func BenchmarkPlanOrders(b *testing.B) {
	cl := newTestCluster(&testing.T{}, 140)
	for i := range 60 {
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrivals: 1}})
	}
	cl.advance(100 * time.Millisecond)
	for b.Loop() {
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
		cl.planner.PlanOrders(cl.now)
	}
}
