package placement

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// withPopularModel returns the models of one of up to 40 full engines that the platform has placed
// models on: all of them hold m0, and each two models of its own.
func withPopularModel(engine int) []fleet.LoadedModel {
	first, second := fmt.Sprintf("m%d", 1+2*engine), fmt.Sprintf("m%d", 2+2*engine)
	return []fleet.LoadedModel{{Model: "m0"}, {Model: domain.ModelName(first)}, {Model: domain.ModelName(second)}}
}

// Pattern: loads for pre-warming before the first request. Guards against the eviction of a model
// that the platform has placed on many servers because it is popular, in favor of one that no
// request has asked for.
func TestPreWarmingKeepsReplicasThatThePlatformPlaced(t *testing.T) {
	const servers = 12
	cl := newPlacedCluster(t, servers, withPopularModel)
	cl.advance(5 * time.Second)
	if cl.modelLoads == 0 {
		t.Fatal("got no load for pre-warming, want some: ten checkpoints are on no disk")
	}
	if got := cl.replicas("m0"); got != servers {
		t.Errorf("got %d replicas of the popular model, want %d", got, servers)
	}
}

// Pattern: ten checkpoints are on no disk, and the weight store permits few loads at once. Guards
// against servers that are emptied and reserved for loads that cannot start for a long time.
func TestServersAreNotReservedForLoadsThatCannotStart(t *testing.T) {
	cl := newPlacedCluster(t, 40, withPopularModel)
	cl.advance(time.Second)
	unloads := 0
	for _, o := range cl.acceptedOrders {
		if o.Operation == Unload {
			unloads++
		}
	}
	if limit := cl.planner.storeLoads.concurrencyLimit(); unloads > limit {
		t.Errorf("got %d servers emptied, want %d at most", unloads, limit)
	}
}

// Pattern: a change of the owner while a model gets 20 requests a second. Guards against a new owner
// that takes the model for idle, because it knows only the requests since its first report.
func TestRateOfANewOwnerIsScaledUp(t *testing.T) {
	var d demandTable
	now := start
	for range 10 {
		d.record(now, "n", []Demand{{ModelKey: key("m0"), Running: 5, Arrivals: 4}})
		now = now.Add(200 * time.Millisecond)
	}
	if got := d.total(key("m0")).rateAt(now); math.Abs(got-20) > 4 {
		t.Errorf("got a rate of %.1f a second after 2 s, want about 20", got)
	}
	for range 200 {
		d.record(now, "n", []Demand{{ModelKey: key("m0"), Running: 5, Arrivals: 4}})
		now = now.Add(200 * time.Millisecond)
	}
	if got := d.total(key("m0")).rateAt(now); math.Abs(got-20) > 2 {
		t.Errorf("got a rate of %.1f a second after 42 s, want about 20", got)
	}
}

// Pattern: a weight store that runs one load at full speed, and one that runs many. Guards against
// loads at once that all take several times as long, and against a limit that never rises again.
func TestConcurrencyOfLoadsIsFoundFromBelow(t *testing.T) {
	for longest, want := range map[time.Duration]int{15 * time.Second: 1, 10 * time.Second: 2, 6 * time.Second: 3, time.Second: initialConcurrency, 0: initialConcurrency} {
		s := storeLimiter{longestLoad: longest}
		if got := s.concurrencyLimit(); got != want {
			t.Errorf("loads of %v: got %d at once, want %d", longest, got, want)
		}
	}
	s := storeLimiter{longestLoad: 10 * time.Second}
	m := fleet.Model{Name: "m0", StoreLoadTime: 10 * time.Second}
	finish := func(concurrent int, duration time.Duration) {
		s.running = nil
		for i := range concurrent {
			s.recordStart(start, domain.ServerID(rune('a'+i)), "m0")
		}
		s.recordFinish(Order{Operation: Load, Server: fleet.Server{ID: "a"}, Model: "m0", tier: fleet.InStore}, duration, m)
	}
	finish(1, 10*time.Second)
	if got, want := s.concurrencyLimit(), 2; got != want {
		t.Errorf("got a limit of %d after one load alone, want %d", got, want)
	}
	finish(2, 10*time.Second)
	if got, want := s.concurrencyLimit(), 3; got != want {
		t.Errorf("got a limit of %d after two loads at full speed, want %d", got, want)
	}
	finish(3, 30*time.Second)
	if got, want := s.concurrencyLimit(), 1; got != want {
		t.Errorf("got a limit of %d after three loads that took three times as long, want %d", got, want)
	}
}

// Pattern: a busy model whose responses are late, while all servers are full of models that run
// requests now and then. Guards against an overloaded replica that gets no help for that reason.
func TestLateResponsesJustifyACostlierEviction(t *testing.T) {
	for rate, want := range map[float64]float64{0: maxCostWithoutWaiters, 1: maxCostWithoutWaiters, 3: 6, 100: maxCostForLateResponses} {
		if got := (need{lateRate: rate}).maximumEvictionCost(start); got != want {
			t.Errorf("%v late responses a second: got a cost of %v, want %v", rate, got, want)
		}
	}
}

// Pattern: an unload that waits for the last requests of its model. Guards against nodes that keep
// sending requests for the model there, which the server rejects: its reports still list it.
func TestModelThatIsBeingUnloadedIsNotListed(t *testing.T) {
	now := start
	v := engineView{state: fleet.EngineState{Models: []fleet.LoadedModel{{Model: "m0"}, {Model: "m1"}}}, confirmed: true}
	v.applyOutcome(now, now, Order{Operation: Unload, Model: "m0"}, Accepted, unloadTime)
	report := fleet.EngineState{Sequence: 1, Busy: true, Models: []fleet.LoadedModel{{Model: "m0"}, {Model: "m1"}}}
	now = now.Add(time.Second)
	v.applyState(now, now, report, true)
	if _, ok := v.state.Find("m0"); ok {
		t.Error("got the model listed while it is being unloaded, want it removed")
	}
	if _, ok := v.state.Find("m1"); !ok {
		t.Error("got the other model removed, want it listed")
	}
	report.Busy, report.Models = false, report.Models[1:]
	now = now.Add(time.Second)
	v.applyState(now, now, report, true)
	if v.runningOrder != nil {
		t.Error("got an unload that runs after the server has reported its end")
	}
}

// Pattern: one request for a rare model whose checkpoint is on the disk of the only server of a
// busy model. Guards against the eviction of the busy model, and against a rare model that is never
// loaded.
func TestBusyModelDoesNotMakeWayForOneRequest(t *testing.T) {
	p := &Planner{}
	busy, rare := key("m0"), key("m1")
	now := start
	for range 50 {
		p.RecordDemand(now, "n", []Demand{{ModelKey: busy, Running: 10, Arrivals: 2}})
		now = now.Add(200 * time.Millisecond)
	}
	p.replicaCounts = map[ModelKey]int{busy: 1}
	v := &engineView{server: fleet.Server{Service: "s"}, state: fleet.EngineState{Models: []fleet.LoadedModel{{Model: "m0"}}}}
	e := &fleet.Engine{Slots: 64, Models: map[domain.ModelName]fleet.Model{"m0": {Name: "m0", Memory: gigabyte}}}
	n := need{key: rare, waitingRequests: 1, waitingSince: now}
	if victims, _, ok := p.selectVictims(now, v, e, gigabyte, n); ok {
		t.Errorf("got %v evicted for one request, want nothing", victims)
	}
	if _, _, ok := p.selectVictims(now.Add(20*time.Second), v, e, gigabyte, n); !ok {
		t.Error("got nothing evicted for a request that waits for 20 s, want the busy model")
	}
}
