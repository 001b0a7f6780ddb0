package placement

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Guards against LOST: the owner's process ended by a panic when a service with engines left the
// configuration while a server was reserved.
func TestServiceLeavesDuringAReservation(t *testing.T) {
	sizes := map[domain.ModelName]domain.Bytes{"m0": 70 * gigabyte, "m1": 60 * gigabyte, "m2": 60 * gigabyte, "m3": 60 * gigabyte}
	cl := newMemoryCluster(t, sizes, "m0", "m1", "m2")
	cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m3"), Waiting: 1, Arrivals: 1}})
	cl.advance(0)
	if got, want := cl.planner.engines["i00"].reservedModel, domain.ModelName("m3"); got != want {
		t.Fatalf("reserved model: got %q, want %q", got, want)
	}
	cl.planner.Configure(&fleet.Configuration{Services: map[domain.ServiceName]fleet.Service{}})
	cl.advance(time.Second)
	if got := cl.planner.engines["i00"].reservedModel; got != "" {
		t.Errorf("reserved model: got %q, want none", got)
	}
}
