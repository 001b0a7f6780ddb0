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

// testCluster runs a planner against simulated engines that execute its orders.
type testCluster struct {
	t         *testing.T
	p         Planner
	now       time.Time
	servers   []*fleet.Server
	engines   map[domain.ServerID]*fleet.EngineState
	busyUntil map[domain.ServerID]time.Time
	onFinish  map[domain.ServerID]func()
	loads     int
	orders    []Order
	respond   func(Order) Outcome
}

// newTestCluster returns n engines of 200 GB for the models m0 to m99 of 60 GB
// each. The engines have the checkpoints of all but the last ten models on disk.
func newTestCluster(t *testing.T, n int) *testCluster {
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
	cl := &testCluster{
		t: t, now: start, engines: map[domain.ServerID]*fleet.EngineState{}, busyUntil: map[domain.ServerID]time.Time{}, onFinish: map[domain.ServerID]func(){},
		respond: func(Order) Outcome { return Accepted },
	}
	c := &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
	c.Index()
	cl.p.Configure(c)
	for i := range n {
		id := domain.ServerID(fmt.Sprintf("i%02d", i))
		cl.servers = append(cl.servers, &fleet.Server{ID: id, Service: "s", Slots: 64, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1, OnDisk: disk}})
		cl.engines[id] = &fleet.EngineState{StartedAtMs: 1, OnDisk: disk}
	}
	cl.p.SetServers(cl.now, cl.servers)
	cl.p.BeginTerm(cl.now)
	cl.advance(0)
	return cl
}

// advance moves the clock in ticks and executes the orders of the planner.
func (cl *testCluster) advance(d time.Duration) {
	const tick = 20 * time.Millisecond
	for end := cl.now.Add(d); ; cl.now = cl.now.Add(tick) {
		cl.finishOrders()
		for _, s := range cl.p.DuePolls(cl.now) {
			cl.p.RecordReport(cl.now, cl.now, s.ID, *cl.engines[s.ID], nil)
		}
		for _, o := range cl.p.PlanOrders(cl.now) {
			cl.executeOrder(o)
		}
		if !cl.now.Before(end) {
			return
		}
	}
}

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

func (cl *testCluster) executeOrder(o Order) {
	cl.t.Helper()
	h := cl.engines[o.Server.ID]
	out := cl.respond(o)
	if out == Accepted {
		cl.checkOrder(o, h)
		h.Sequence++
		cl.orders = append(cl.orders, o)
		cl.applyOrder(o, h)
	}
	cl.p.RecordOutcome(cl.now, cl.now, o, out)
}

// checkOrder fails the test if the engine could not accept the order.
func (cl *testCluster) checkOrder(o Order, h *fleet.EngineState) {
	cl.t.Helper()
	if o.ExpectedSequence != h.Sequence || h.Busy {
		cl.t.Errorf("%v %s at %s: expected sequence %d, is %d, busy %v", o.Operation, o.Model, o.Server.ID, o.ExpectedSequence, h.Sequence, h.Busy)
	}
	adapters := 0
	for _, m := range h.Models {
		adapters += len(m.Adapters)
	}
	if o.Operation == Load && o.Adapter == "" && len(h.Models) >= 3 || o.Operation == Load && o.Adapter != "" && adapters >= 2 {
		cl.t.Errorf("load of %s/%s at %s, which has loaded %+v: over its capacity", o.Model, o.Adapter, o.Server.ID, h.Models)
	}
}

func (cl *testCluster) applyOrder(o Order, h *fleet.EngineState) {
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
		cl.busyUntil[id] = cl.now.Add(40 * time.Millisecond)
		cl.onFinish[id] = func() {
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
	cl.loads++
	duration := time.Second
	if o.tier == fleet.InStore {
		duration = 6 * time.Second
	}
	cl.busyUntil[id] = cl.now.Add(duration)
	cl.onFinish[id] = func() {
		h.Models = append(h.Models, fleet.LoadedModel{Model: o.Model})
		h.OnDisk = append(append([]domain.ModelName{}, h.OnDisk...), o.Model)
	}
}

func (cl *testCluster) replicas(m domain.ModelName) int {
	n := 0
	for _, h := range cl.engines {
		if _, ok := h.Find(m); ok {
			n++
		}
	}
	return n
}

func key(m domain.ModelName) ModelKey { return ModelKey{Service: "s", Model: m} }

func TestWaitingRequestLoadsModelFromDisk(t *testing.T) {
	cl := newTestCluster(t, 2)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m5"), Waiting: 1, Arrivals: 1}})
	cl.advance(1300 * time.Millisecond)
	if got, want := cl.replicas("m5"), 1; got != want {
		t.Errorf("replicas: got %d, want %d after the duration of a load from disk", got, want)
	}
}

// A burst of requests, each for another model, needs more memory than the engines
// have. Models must not be evicted before they have served their request.
func TestBurstOfColdModelsIsServed(t *testing.T) {
	cl := newTestCluster(t, 6)
	served := 0
	for i := range 30 {
		m := domain.ModelName(fmt.Sprintf("m%d", i))
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m), Waiting: 1, Arrivals: 1}})
		cl.advance(100 * time.Millisecond)
	}
	for range 100 {
		cl.advance(100 * time.Millisecond)
		for i := range 30 {
			m := domain.ModelName(fmt.Sprintf("m%d", i))
			if cl.p.demands.total(key(m)).waiting > 0 && cl.replicas(m) > 0 {
				cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m)}})
				served++
			}
		}
	}
	if got, want := served, 30; got != want {
		t.Errorf("served: got %d, want %d models within ten seconds", got, want)
	}
	if got, limit := cl.loads, 45; got > limit {
		t.Errorf("loads: got %d, want %d at most: models were evicted before they served", got, limit)
	}
}

// Many concurrent requests arrive for a model without a replica.
func TestConcurrentRequestsAddReplicas(t *testing.T) {
	cl := newTestCluster(t, 6)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 4, Running: 40, Arrivals: 44}})
	cl.advance(4 * time.Second)
	if got, want := cl.replicas("m1"), 3; got < want {
		t.Errorf("replicas: got %d, want %d at least for 44 concurrent requests", got, want)
	}
}

func TestLateResponsesAddReplicas(t *testing.T) {
	cl := newTestCluster(t, 4)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	for range 20 {
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Running: 6, Arrivals: 2, LateResponses: 1}})
		cl.advance(200 * time.Millisecond)
	}
	if got, want := cl.replicas("m1"), 2; got < want {
		t.Errorf("replicas: got %d, want %d at least", got, want)
	}
}

func TestStoreLoadsStayWithinInitialConcurrency(t *testing.T) {
	cl := newTestCluster(t, 10)
	for i := 90; i < 100; i++ {
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrivals: 1}})
	}
	cl.advance(time.Second)
	if got, limit := cl.loads, initialConcurrency; got > limit {
		t.Errorf("concurrent loads: got %d, want %d at most", got, limit)
	}
}

// The weight store permits one load per second. Loads that finish at once are
// limited by this rate alone.
func TestStoreLoadsStayWithinRate(t *testing.T) {
	var s storeLimiter
	const window = 5 * time.Second
	starts := []time.Time{}
	s.reset(start)
	for now := start; now.Sub(start) < time.Minute; now = now.Add(50 * time.Millisecond) {
		if s.canStart(now, 1, window) {
			o := Order{Operation: Load, tier: fleet.InStore}
			s.recordStart(now, o.Server.ID, o.Model)
			s.remove(o)
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
			t.Fatalf("%d loads within %v, want %d at most", n, window, limit)
		}
	}
	if got, want := len(starts), 45; got < want {
		t.Errorf("loads in a minute: got %d, want %d at least", got, want)
	}
}

func TestUnknownOutcomeBlocksOtherOrders(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.respond = func(Order) Outcome { return Unknown }
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(500 * time.Millisecond)
	v := cl.p.engines["i00"]
	free := v.freeMemory(cl.p.engineConfig("s"))
	if got, limit := free, 140*gigabyte; got > limit {
		t.Errorf("free memory: got %d, want %d at most while the outcome of a load is unknown", got, limit)
	}
	// A second model is required too, but only the order with the unknown outcome
	// may be issued again.
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m2"), Waiting: 1, Arrivals: 1}})
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

func TestRestartedServerHasNoModels(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1")}})
	*cl.engines["i00"] = fleet.EngineState{StartedAtMs: 2, OnDisk: cl.engines["i00"].OnDisk}
	restarted := *cl.servers[0]
	restarted.EngineState.StartedAtMs = 2
	cl.p.SetServers(cl.now, []*fleet.Server{&restarted})
	if got, want := len(cl.p.Snapshot()["i00"].Models), 0; got != want {
		t.Errorf("models: got %d, want %d", got, want)
	}
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	if got, want := cl.replicas("m1"), 1; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}

func TestAdapterReplacesIdleAdapter(t *testing.T) {
	cl := newTestCluster(t, 1)
	cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	for _, a := range []domain.AdapterName{"a1", "a2", "a3"} {
		k := key("m1")
		k.Adapter = a
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: k, Waiting: 1, Arrivals: 1}})
		cl.advance(200 * time.Millisecond)
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: k}})
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

// BenchmarkPlanOrders plans for 140 engines while requests wait for 60 models.
func BenchmarkPlanOrders(b *testing.B) {
	cl := newTestCluster(&testing.T{}, 140)
	for i := range 60 {
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(domain.ModelName(fmt.Sprintf("m%d", i))), Waiting: 1, Arrivals: 1}})
	}
	cl.advance(100 * time.Millisecond)
	for b.Loop() {
		cl.p.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
		cl.p.PlanOrders(cl.now)
	}
}
