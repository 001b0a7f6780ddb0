package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// newMemoryCluster returns a cluster of one engine that has models loaded which the platform placed
// at its start, and whose orders are checked against its memory by the given sizes.
func newMemoryCluster(t *testing.T, sizes map[domain.ModelName]domain.Bytes, loaded ...domain.ModelName) *testCluster {
	t.Helper()
	cl := newTestCluster(t, 1)
	cl.configure(sizes)
	engine := cl.engines["i00"]
	for _, m := range loaded {
		engine.Models = append(engine.Models, fleet.LoadedModel{Model: m})
	}
	cl.respond = func(o Order) Outcome {
		if used := usedMemory(engine, sizes) + orderedMemory(o, sizes); used > testMemory {
			t.Errorf("%v %s/%s: got %d bytes in use, want %d at most", o.Operation, o.Model, o.Adapter, used, testMemory)
		}
		return Accepted
	}
	cl.planner.BeginTerm(cl.now)
	cl.advance(0)
	return cl
}

const (
	testMemory        = 200 * gigabyte
	testAdapterMemory = gigabyte / 10
)

// configure lists models with their sizes, which have adapters of 0.1 GB.
func (cl *testCluster) configure(sizes map[domain.ModelName]domain.Bytes, without ...domain.ModelName) {
	e := &fleet.Engine{Slots: 64, Memory: testMemory, AdapterSlots: 8, LoadsPerSecond: 4.5, Models: map[domain.ModelName]fleet.Model{}}
	for name, size := range sizes {
		if !slices.Contains(without, name) {
			e.Models[name] = fleet.Model{Name: name, Memory: size, DiskLoadTime: time.Second, StoreLoadTime: time.Second, MemoryLoadTime: time.Second, AdapterMemory: testAdapterMemory}
		}
	}
	c := &fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
	c.Index()
	cl.planner.Configure(c)
}

func usedMemory(s *fleet.EngineState, sizes map[domain.ModelName]domain.Bytes) domain.Bytes {
	var used domain.Bytes
	for _, m := range s.Models {
		used += sizes[m.Model] + domain.Bytes(len(m.Adapters))*testAdapterMemory
	}
	return used
}

func orderedMemory(o Order, sizes map[domain.ModelName]domain.Bytes) domain.Bytes {
	switch {
	case o.Operation == Unload:
		return 0
	case o.Adapter != "":
		return testAdapterMemory
	}
	return sizes[o.Model]
}

// request makes a request wait for an adapter, and run once it is loaded.
func (cl *testCluster) requestAdapter(m domain.ModelName, a domain.AdapterName) (loaded bool) {
	k := ModelKey{Service: "s", Model: m, Adapter: a}
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: k, Waiting: 1, Arrivals: 1}})
	cl.advance(2 * time.Second)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: k}})
	state, _ := cl.engines["i00"].Find(m)
	return state.HasAdapter(a)
}

// Guards against LIMIT: where models that the platform placed leave little memory, adapters were
// ordered beyond it, and the engine crashed.
func TestAdaptersStayWithinMemory(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 100 * gigabyte, "m1": 100*gigabyte - 2*testAdapterMemory}
	cl := newMemoryCluster(t, sizes, "m0", "m1")
	for _, a := range []domain.AdapterName{"a0", "a1", "a2"} {
		if !cl.requestAdapter("m0", a) {
			t.Errorf("adapter %s is not loaded", a)
		}
		cl.advance(time.Second)
	}
}

// Guards against requests that wait in vain: without room for a single adapter, an idle model has to
// make room.
func TestIdleModelMakesRoomForAnAdapter(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 100 * gigabyte, "m1": 100 * gigabyte}
	cl := newMemoryCluster(t, sizes, "m0", "m1")
	if !cl.requestAdapter("m0", "a0") {
		t.Error("the adapter is not loaded")
	}
}

// request makes a request wait for a model for a time, and reports whether it is loaded then.
func (cl *testCluster) request(m domain.ModelName, d time.Duration) bool {
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m), Waiting: 1, Arrivals: 1}})
	cl.advance(d)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key(m)}})
	return cl.replicas(m) > 0
}

// Guards against LIMIT: a loaded model that the configuration no longer lists counted no memory. It
// is the first to make room, also before models that nobody asks for.
func TestUnlistedModelCountsItsMemory(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 70 * gigabyte, "m1": 60 * gigabyte, "m2": 60 * gigabyte, "m3": 60 * gigabyte}
	cl := newMemoryCluster(t, sizes, "m0", "m1", "m2")
	cl.configure(sizes, "m2")
	if !cl.request("m3", 3*time.Second) {
		t.Error("the requested model is not loaded")
	}
	if got, want := []int{cl.replicas("m0"), cl.replicas("m1"), cl.replicas("m2")}, []int{1, 1, 0}; !slices.Equal(got, want) {
		t.Errorf("replicas of the other models: got %v, want %v", got, want)
	}
}

// Guards against LIMIT: an owner that starts does not know the size of a model that was taken from the
// configuration before. It may need all memory that the other models leave.
func TestUnlistedModelOfUnknownSize(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 70 * gigabyte, "m1": 60 * gigabyte, "m2": 69 * gigabyte, "m3": 60 * gigabyte}
	for name, unlisted := range map[string][]domain.ModelName{"one": {"m2"}, "two": {"m1", "m2"}} {
		cl := newTestCluster(t, 1)
		cl.planner = Planner{}
		cl.configure(sizes, unlisted...)
		cl.planner.SetServers(cl.now, cl.servers)
		engine := cl.engines["i00"]
		engine.Models = []fleet.LoadedModel{{Model: "m0"}, {Model: "m1"}, {Model: "m2"}}
		cl.respond = func(o Order) Outcome {
			if used := usedMemory(engine, sizes) + orderedMemory(o, sizes); used > testMemory {
				t.Errorf("%s: %v %s/%s: got %d bytes in use, want %d at most", name, o.Operation, o.Model, o.Adapter, used, testMemory)
			}
			return Accepted
		}
		if !cl.request("m3", 3*time.Second) {
			t.Errorf("%s: the requested model is not loaded", name)
		}
		if got, want := cl.replicas("m0"), 1; got != want {
			t.Errorf("%s: replicas of the listed model: got %d, want %d", name, got, want)
		}
	}
}

// A model that requests still use is no better to unload than others.
func TestUnlistedModelInUseStays(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 70 * gigabyte, "m1": 60 * gigabyte, "m2": 60 * gigabyte, "m3": 60 * gigabyte}
	cl := newMemoryCluster(t, sizes, "m0", "m1", "m2")
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m2"), Running: 1, Arrivals: 1}})
	cl.configure(sizes, "m2")
	if !cl.request("m3", 2500*time.Millisecond) {
		t.Error("the requested model is not loaded")
	}
	if got, want := cl.replicas("m2"), 1; got != want {
		t.Errorf("replicas of the model in use: got %d, want %d", got, want)
	}
}
