package fold

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// The numbers of objects that the system is planned for.
const (
	plannedModels   = 1500
	plannedAdapters = 4900
	plannedNodes    = 940
	plannedServers  = 2500
	plannedReplicas = 10000
)

// newPlannedState returns a State of the planned sizes and the next sequence of node-0.
func newPlannedState(tb testing.TB) (*State, domain.Sequence) {
	tb.Helper()
	s := &State{}
	next := domain.Sequence(1)
	apply := func(n int, r Record) {
		b := Batch{Node: domain.NodeID(fmt.Sprint("node-", n)), First: 1, Records: []Record{r}}
		if n == 0 {
			b.First = next
			next++
		}
		if got := s.Apply(s.Offset()+1, b); got[0].Rejection != Accepted {
			tb.Fatalf("%T: got %v, want Accepted", r, got[0].Rejection)
		}
	}
	apply(0, plannedConfiguration())
	for n := 1; n < plannedNodes; n++ {
		apply(n, SnapshotChunk{})
	}
	facts := ServerFacts{Memory: 320 * domain.Gibibyte, ChecksFences: true, Region: "brisbane", Zone: "brisbane-a"}
	for i := range plannedServers {
		server := domain.ServerID(fmt.Sprint("engine-", i))
		apply(0, LeaseTaken{Server: server, Owner: "node-0", Facts: facts})
		fence := domain.Fence(s.Offset())
		for j := range plannedReplicas / plannedServers {
			apply(0, PermitAttached{Model: modelName(i + j*(plannedModels/4)), Server: server, Fence: fence})
		}
	}
	return s, next
}

func modelName(i int) domain.ModelName {
	return domain.ModelName(fmt.Sprint("model-", i%plannedModels))
}

func plannedConfiguration() ConfigurationImported {
	r := ConfigurationImported{}
	add := func(c configuration.Record) {
		r.Through++
		r.Changes = append(r.Changes, Change{Offset: r.Through, Record: c})
	}
	for i := range plannedModels {
		add(configuration.Record{Model: &configuration.Model{Name: modelName(i), Version: "v1", Memory: 14 * domain.Gibibyte, Copies: 7}})
	}
	for i := range plannedAdapters {
		add(configuration.Record{Adapter: &configuration.Adapter{Name: domain.AdapterName(fmt.Sprint("adapter-", i)), Model: modelName(i),
			Version: "v1", Memory: 200 * domain.Mebibyte}})
	}
	return r
}

// BenchmarkClaim applies a claim and its outcome.
func BenchmarkClaim(b *testing.B) {
	s, next := newPlannedState(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		key := CommandKey{byte(i), byte(i >> 8), byte(i >> 16), byte(i >> 24)}
		s.Apply(s.Offset()+1, Batch{Node: "node-0", First: next, Records: []Record{CommandClaimed{Key: key}, CommandFinished{Key: key}}})
		next += 2
	}
}

// BenchmarkPermit applies the release and the attachment of a permit.
func BenchmarkPermit(b *testing.B) {
	s, next := newPlannedState(b)
	permits := s.ServerPermits("engine-7")
	lease, _ := s.Lease("engine-7")
	b.ReportAllocs()
	for b.Loop() {
		m := permits[0].Model
		s.Apply(s.Offset()+1, Batch{Node: "node-0", First: next, Records: []Record{
			PermitReleased{Model: m, Server: "engine-7", Fence: lease.Fence}, PermitAttached{Model: m, Server: "engine-7", Fence: lease.Fence}}})
		next += 2
	}
}

// BenchmarkPlannedState builds a State of the planned sizes.
func BenchmarkPlannedState(b *testing.B) {
	var records domain.Offset
	for b.Loop() {
		s, _ := newPlannedState(b)
		records += s.Offset()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(records), "ns/record")
}

// BenchmarkSnapshot takes and restores a Snapshot of the planned sizes and reports the
// memory that the State uses.
func BenchmarkSnapshot(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s, _ := newPlannedState(b)
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		if _, err := Restore(s.Snapshot()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB/state")
	runtime.KeepAlive(s)
}
