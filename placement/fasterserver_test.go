package placement

import (
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// Pattern: machines that servers share with others, so that work takes 0.6 to 1.6 times as long.
// Guards against a new replica of a model in use on a slow server while a fast one can load it as
// quickly, and against one on a fast server that needs longer to load it.
func TestReplicaOfAUsedModelGoesToAFasterServer(t *testing.T) {
	paces := map[domain.ServerID]float64{"i00": 1, "i01": 1.6, "i02": 0.6, "i03": 1}
	for _, c := range []struct {
		name        string
		memoryCache domain.ServerID
		want        domain.ServerID
	}{{"equal load times", "", "i02"}, {"in the memory of the slowest", "i01", "i01"}} {
		cl := newTestCluster(t, 4)
		cl.planner.Pace = func(s *fleet.Server) float64 { return paces[s.ID] }
		if e := cl.engines[c.memoryCache]; e != nil {
			e.InMemory = []domain.ModelName{"m3"}
		}
		cl.planner.SetServers(cl.now, cl.servers)
		for id, e := range cl.engines {
			cl.planner.RecordReport(cl.now, cl.now, id, *e, nil)
		}
		cl.planner.RecordDemand(cl.now, "n", []Demand{{ModelKey: key("m3"), Waiting: 1, Arrivals: 1}})
		cl.advance(3 * time.Second)
		var got domain.ServerID
		for _, o := range cl.acceptedOrders {
			if o.Model == "m3" {
				got = o.Server.ID
			}
		}
		if got != c.want {
			t.Errorf("%s: got the model on server %q, want %q", c.name, got, c.want)
		}
	}
}
