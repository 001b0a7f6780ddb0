package placement

import (
	"testing"

	"github.com/parsleylug/parsleylug/domain"
)

// Guards against a data race: views of requests hold the models that Snapshot returned, and read them
// without the lock of the owner.
func TestSnapshotDoesNotChange(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 70 * gigabyte, "m1": 60 * gigabyte}
	cl := newMemoryCluster(t, sizes, "m0", "m1")
	snapshot := cl.planner.Snapshot()["i00"]
	k := key("m0")
	k.Adapter = "a0"
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: k, Waiting: 1, Arrivals: 1}})
	cl.advance(0)
	if state := cl.planner.Snapshot()["i00"]; !state.Models[0].HasAdapter("a0") {
		t.Fatal("the adapter is not ordered")
	}
	if got := snapshot.Models[0].Adapters; len(got) > 0 {
		t.Errorf("adapters in the earlier snapshot: got %v, want none", got)
	}
}
