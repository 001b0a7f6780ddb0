package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
)

// The size of a large fleet.
const (
	fleetRoutes  = 6000
	fleetModels  = 502
	fleetServers = 140
)

func fleetModel(i int) domain.ModelName { return domain.ModelName(fmt.Sprintf("m%d", i%fleetModels)) }

// fleetConfiguration returns a configuration of a large fleet.
func fleetConfiguration(v fleet.Version) *fleet.Configuration {
	e := &fleet.Engine{Slots: 12, Memory: 200e9, AdapterSlots: 8, LoadsPerSecond: 48, Models: map[domain.ModelName]fleet.Model{}}
	for i := range fleetModels {
		e.Models[fleetModel(i)] = fleet.Model{Name: fleetModel(i), Memory: 60e9, StoreLoadTime: 10 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second}
	}
	c := &fleet.Configuration{Version: v, Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
	for i := range fleetRoutes {
		c.Routes = append(c.Routes, fleet.Route{Name: fleet.RouteName(fmt.Sprintf("r%d", i)), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Targets: []fleet.Target{{Service: "s", Weight: 1}}})
	}
	c.Index()
	return c
}

// newFleetNode returns a node that knows the registrations of a large fleet.
func newFleetNode() *Node {
	n := New(Options{Name: "n", Logger: zerolog.Nop(), DrainBound: 4 * time.Second, Uptime: &clock{start: time.Now()}})
	n.applyConfigurationRead(configurationResult{read: &configurationRead{}, config: fleetConfiguration(1), next: 1})
	var changes []fleet.Change
	for i := range fleetServers {
		s := &fleet.Server{ID: domain.ServerID(fmt.Sprintf("i-%d", i)), Service: "s", Slots: 12, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1}}
		for j := range 3 {
			s.EngineState.Models = append(s.EngineState.Models, fleet.LoadedModel{Model: fleetModel(3*i + j)})
		}
		changes = append(changes, fleet.Change{ID: s.ID, Offset: 1, Server: s})
	}
	n.applyRegistrations(changes, true, 2, nil)
	return n
}

// BenchmarkApplyConfiguration measures for how long a node holds its lock, which requests need,
// when a configuration comes into force.
func BenchmarkApplyConfiguration(b *testing.B) {
	n := newFleetNode()
	newest := *fleetConfiguration(2)
	for b.Loop() {
		next := newest
		next.Version++
		newest = next
		n.applyConfigurationRead(configurationResult{read: &configurationRead{}, config: &next, next: 2})
		if n.Views.Get().Config != &next {
			b.Fatal("the configuration is not in force")
		}
	}
}

// BenchmarkPlanOrders measures for how long an owner holds the same lock when it plans.
func BenchmarkPlanOrders(b *testing.B) {
	n := newFleetNode()
	now := time.Now()
	var demands []placement.Demand
	for i := range fleetModels {
		demands = append(demands, placement.Demand{ModelKey: placement.ModelKey{Service: "s", Model: fleetModel(i)}, Waiting: i % 3, Running: i % 5, Arrivals: i % 7})
	}
	for _, id := range n.planner.DuePolls(now) {
		n.planner.RecordReport(now, now, id.ID, id.EngineState, nil)
	}
	for b.Loop() {
		n.planner.RecordDemand(now, "other", demands)
		n.planner.PlanOrders(now)
	}
}
