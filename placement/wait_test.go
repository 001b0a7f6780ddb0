package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

var errTest = errors.New("no report")

// holder is the server that alone has some checkpoints on its disk.
const holder domain.ServerID = "i03"

// onlyOnDiskOfHolder leaves the checkpoint of a model on the disk of holder alone.
func (cl *testCluster) onlyOnDiskOfHolder(m domain.ModelName) {
	for _, s := range cl.servers {
		var models []domain.ModelName
		for _, d := range cl.engines[s.ID].OnDisk {
			if d != m || s.ID == holder {
				models = append(models, d)
			}
		}
		s.EngineState.OnDisk = models
		cl.engines[s.ID].OnDisk = models
	}
	cl.planner.SetServers(cl.now, cl.servers)
}

// countOrders returns the number of orders for some models.
func countOrders(orders []Order, models ...domain.ModelName) int {
	count := 0
	for _, o := range orders {
		if slices.Contains(models, o.Model) {
			count++
		}
	}
	return count
}

// Pattern: two cold models at once whose checkpoints are on the same disk. Guards against the load
// of the second one from the weight store, for which its requests waited six times as long.
func TestRequestWaitsForTheServerThatHasTheCheckpoint(t *testing.T) {
	cl := newTestCluster(t, 6)
	cl.onlyOnDiskOfHolder("m1")
	cl.onlyOnDiskOfHolder("m2")
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}, {ModelKey: key("m2"), Waiting: 1, Arrivals: 1}})
	cl.advance(2500 * time.Millisecond)
	for _, m := range []domain.ModelName{"m1", "m2"} {
		if got, want := cl.replicas(m), 1; got != want {
			t.Errorf("replicas of %s after two loads from disk: got %d, want %d", m, got, want)
		}
	}
	if got, want := countOrders(cl.acceptedOrders, "m1", "m2"), 2; got != want {
		t.Errorf("orders for the two models: got %d, want %d", got, want)
	}
}

// Pattern: a new owner gets a request before all servers have reported. Guards against a load from
// the weight store on the first server that did.
func TestNewOwnerWaitsForTheReportOfTheServerThatHasTheCheckpoint(t *testing.T) {
	cl := newTestCluster(t, 6)
	cl.onlyOnDiskOfHolder("m1")
	cl.planner.BeginTerm(cl.now)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	for _, s := range cl.planner.DuePolls(cl.now) {
		if s.ID != holder {
			cl.planner.RecordReport(cl.now, cl.now, s.ID, *cl.engines[s.ID], nil)
		}
	}
	if got, want := countOrders(cl.planner.PlanOrders(cl.now), "m1"), 0; got != want {
		t.Errorf("orders before the report: got %d, want %d", got, want)
	}
	cl.now = cl.now.Add(40 * time.Millisecond)
	cl.planner.RecordReport(cl.now, cl.now, holder, *cl.engines[holder], nil)
	cl.advance(1500 * time.Millisecond)
	if got, want := cl.replicas("m1"), 1; got != want {
		t.Errorf("replicas: got %d, want %d", got, want)
	}
}

// A server that does not report must not hold the load up.
func TestModelIsLoadedElsewhereIfTheServerWithTheCheckpointIsSilent(t *testing.T) {
	cl := newTestCluster(t, 6)
	cl.onlyOnDiskOfHolder("m1")
	cl.planner.BeginTerm(cl.now)
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m1"), Waiting: 1, Arrivals: 1}})
	for _, s := range cl.planner.DuePolls(cl.now) {
		if s.ID == holder {
			cl.planner.RecordReport(cl.now, cl.now, s.ID, *cl.engines[s.ID], errTest)
			continue
		}
		cl.planner.RecordReport(cl.now, cl.now, s.ID, *cl.engines[s.ID], nil)
	}
	if got, want := countOrders(cl.planner.PlanOrders(cl.now), "m1"), 1; got != want {
		t.Errorf("orders after the poll failed: got %d, want %d", got, want)
	}
}
