package routing

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

func replicas(n int) []Replica {
	all := make([]Replica, n)
	for i := range all {
		region := []domain.Region{"brisbane", "townsville", "toowoomba"}[i%3]
		all[i] = Replica{
			Server: domain.ServerID(fmt.Sprintf("engine-%d", i)), Region: region, Zone: domain.Zone(string(region) + "-a"),
			Concurrency: 16, Running: i % 7,
		}
	}
	return all
}

func TestNearestReplicaWithFreeSlotIsChosen(t *testing.T) {
	var c Chooser
	s := GroupByLocality("townsville", "townsville-a", replicas(9))
	for i := range 200 {
		got, ok := c.Choose(start, s, Request{Seed: uint64(i + 1)})
		if !ok {
			t.Fatal("got no choice")
		}
		want := domain.Region("townsville")
		full := c.InFlight("engine-1") >= 16-1 && c.InFlight("engine-4") >= 16-4 && c.InFlight("engine-7") >= 16
		if r := s.Replicas[got].Region; r != want && !full {
			t.Fatalf("got region %s with a free slot in %s", r, want)
		}
	}
	if got := c.InFlight("engine-0") + c.InFlight("engine-2"); got == 0 {
		t.Error("got no request in other regions with the near one full")
	}
}

func TestExcludedServersAreNeverChosen(t *testing.T) {
	var c Chooser
	s := GroupByLocality("brisbane", "", replicas(3))
	for range 100 {
		i, ok := c.Choose(start, s, Request{Exclude: []domain.ServerID{"engine-0", "engine-1"}})
		if !ok || s.Replicas[i].Server != "engine-2" {
			t.Fatalf("got %v %v, want engine-2", s.Replicas[i].Server, ok)
		}
	}
	if _, ok := c.Choose(start, s, Request{Exclude: []domain.ServerID{"engine-0", "engine-1", "engine-2"}}); ok {
		t.Error("got a choice with every server excluded")
	}
}

func TestLoadedAdapterIsPreferred(t *testing.T) {
	var c Chooser
	all := []Replica{{Server: "a", Concurrency: 16, Running: 2, Adapters: []domain.AdapterName{"formal"}}, {Server: "b", Concurrency: 16}}
	s := GroupByLocality("", "", all)
	if i, _ := c.Choose(start, s, Request{Adapter: "formal"}); s.Replicas[i].Server != "a" {
		t.Errorf("got %s, want the replica with the adapter", s.Replicas[i].Server)
	}
}

func TestNewlyLoadedReplicaStartsSlowly(t *testing.T) {
	var c Chooser
	s := GroupByLocality("", "", []Replica{{Server: "old", Concurrency: 16}, {Server: "fresh", Concurrency: 16, LoadedAt: start}})
	for range 12 {
		c.Choose(start.Add(time.Second), s, Request{})
	}
	if got, want := c.InFlight("fresh"), 3; got > want {
		t.Errorf("got %d of 12 at a replica that is 1 s old, want at most %d", got, want)
	}
}

func TestEveryNodeChoosesTheSameServerForASuspectedRequest(t *testing.T) {
	want := domain.ServerID("")
	for _, region := range []domain.Region{"brisbane", "townsville", "toowoomba"} {
		var c Chooser
		s := GroupByLocality(region, "", replicas(20))
		i, _ := c.ChooseByRendezvousHash(s, Request{Seed: 42})
		if want == "" {
			want = s.Replicas[i].Server
		}
		if got := s.Replicas[i].Server; got != want {
			t.Errorf("got %s from %s, want %s", got, region, want)
		}
	}
}

// simulation is 7 nodes that send requests of 1 s to 20 replicas of 16 slots, at 70%
// of their capacity, for a minute. Each replica reports once a second, and the report
// arrives half a second later.
type simulation struct {
	nodes [7]Chooser
	// reportedReplicas are the replicas as last reported to the nodes.
	reportedReplicas []Replica
	// loads are the numbers of requests at the replicas now.
	loads []int
	// finishingJobs are the jobs that end in each millisecond of a second.
	finishingJobs [][]job
	// delayedReports holds, for each millisecond of the report delay, the index of a
	// replica and its number of requests.
	delayedReports [][]int
	requests       uint64
}

// job is a request of a node that runs at a replica.
type job struct{ node, replica int }

// policy chooses the replica for a request that the node with index node sends. It returns
// the replica's index.
type policy func(h *simulation, now time.Time, node int) int

func powerOfTwo(h *simulation, now time.Time, node int) int {
	s := Set{Replicas: h.reportedReplicas, ZoneEnd: len(h.reportedReplicas), RegionEnd: len(h.reportedReplicas)}
	i, _ := h.nodes[node].Choose(now, s, Request{Seed: h.requests})
	return i
}

func leastLoaded(h *simulation, _ time.Time, _ int) int {
	best := 0
	for i := range h.reportedReplicas {
		if h.reportedReplicas[i].Running < h.reportedReplicas[best].Running {
			best = i
		}
	}
	return best
}

// consistentHash maps each of 200 contents of uneven popularity to a fixed server.
func consistentHash(h *simulation, _ time.Time, _ int) int {
	x := rand.New(rand.NewPCG(h.requests, 7)).Float64()
	content := int(200 * x * x)
	f := fnv.New64a()
	fmt.Fprint(f, content)
	return int(f.Sum64() % uint64(len(h.reportedReplicas)))
}

// run returns the highest load of a replica and the number of requests sent to a
// replica without a free slot.
func (h *simulation) run(choose policy) (highestLoad, queuedRequests int) {
	const (
		millisecondsPerSecond = 1000
		reportLagMilliseconds = 500
		requestsPerSecond     = 20 * 16 * 70 / 100
	)
	h.reportedReplicas = replicas(20)
	for i := range h.reportedReplicas {
		h.reportedReplicas[i].Running = 0
	}
	h.loads = make([]int, len(h.reportedReplicas))
	h.finishingJobs, h.delayedReports = make([][]job, millisecondsPerSecond), make([][]int, reportLagMilliseconds)
	dueMilliRequests := 0 // Thousandths of a request that are still to be sent.
	for tick := range 60 * millisecondsPerSecond {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		for _, j := range h.finishingJobs[tick%millisecondsPerSecond] {
			h.loads[j.replica]--
			h.nodes[j.node].Done(h.reportedReplicas[j.replica].Server)
		}
		h.finishingJobs[tick%millisecondsPerSecond] = nil
		h.exchangeReports(now, tick)
		for dueMilliRequests += requestsPerSecond; dueMilliRequests >= millisecondsPerSecond; dueMilliRequests -= millisecondsPerSecond {
			h.requests++
			node := int(h.requests) % len(h.nodes)
			i := choose(h, now, node)
			h.loads[i]++
			if h.loads[i] > 16 {
				queuedRequests++
			}
			highestLoad = max(highestLoad, h.loads[i])
			h.finishingJobs[tick%millisecondsPerSecond] = append(h.finishingJobs[tick%millisecondsPerSecond], job{node: node, replica: i})
		}
	}
	return highestLoad, queuedRequests
}

// exchangeReports delivers the report that was taken half a second before, and every
// 50 ms takes a report of the next replica.
func (h *simulation) exchangeReports(now time.Time, tick int) {
	slot := tick % len(h.delayedReports)
	if r := h.delayedReports[slot]; r != nil {
		h.reportedReplicas[r[0]].Running, h.reportedReplicas[r[0]].ReportedAt = r[1], now
	}
	h.delayedReports[slot] = nil
	if tick%50 == 0 {
		i := tick / 50 % len(h.reportedReplicas)
		h.delayedReports[slot] = []int{i, h.loads[i]}
	}
}

func TestDelayedReportsCauseNoHerding(t *testing.T) {
	const requests = 60 * 224
	results := map[string][2]int{}
	for name, p := range map[string]policy{"power of two": powerOfTwo, "least loaded": leastLoaded, "consistent hash": consistentHash} {
		highestLoad, queuedRequests := new(simulation).run(p)
		results[name] = [2]int{highestLoad, queuedRequests}
	}
	names := []string{"power of two", "least loaded", "consistent hash"}
	for _, n := range names {
		t.Logf("%s: most at one replica %d of 16, %d of %d requests found it full", n, results[n][0], results[n][1], requests)
	}
	if got, baseline := results["power of two"][1], results["least loaded"][1]; got*10 > baseline {
		t.Errorf("got %d requests at a full replica, want at most a tenth of least loaded's %d", got, baseline)
	}
	if got, baseline := results["power of two"][1], results["consistent hash"][1]; got >= baseline {
		t.Errorf("got %d requests at a full replica, want fewer than consistent hash's %d", got, baseline)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var c Chooser
			s := GroupByLocality("brisbane", "brisbane-a", replicas(n))
			b.ReportAllocs()
			for b.Loop() {
				i, _ := c.Choose(start, s, Request{})
				c.Done(s.Replicas[i].Server)
			}
		})
	}
}

func TestChoiceAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 1000, 10_000} {
		var c Chooser
		s := GroupByLocality("brisbane", "brisbane-a", replicas(n))
		for i := range s.Replicas { // one request in flight at each
			c.addInFlight(&s.Replicas[i])
		}
		exclude := slices.Repeat([]domain.ServerID{"other"}, 3)
		got := testing.AllocsPerRun(1000, func() {
			i, _ := c.Choose(start, s, Request{Exclude: exclude})
			c.Done(s.Replicas[i].Server)
		})
		if got != 0 {
			t.Errorf("got %v allocations at %d replicas, want 0", got, n)
		}
	}
}
