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

func TestNearReplicaWithRoomGoesFirst(t *testing.T) {
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
			t.Fatalf("got region %s with room in %s", r, want)
		}
	}
	if got := c.InFlight("engine-0") + c.InFlight("engine-2"); got == 0 {
		t.Error("got nothing sent to other regions with the near one full")
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

func TestFreshReplicaStartsSlowly(t *testing.T) {
	var c Chooser
	s := GroupByLocality("", "", []Replica{{Server: "old", Concurrency: 16}, {Server: "fresh", Concurrency: 16, LoadedAt: start}})
	for range 12 {
		c.Choose(start.Add(time.Second), s, Request{})
	}
	if got, want := c.InFlight("fresh"), 3; got > want {
		t.Errorf("got %d of 12 at a replica that is 1 s old, want at most %d", got, want)
	}
}

func TestSuspectGoesToTheSameServerAtEachNode(t *testing.T) {
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

// herd is 7 nodes that send 1 s requests to 20 replicas of 16 slots at 70% of
// their capacity for a minute. Each replica's report is a second apart and half
// a second late.
type herd struct {
	nodes    [7]Chooser
	seen     []Replica
	load     []int
	finish   [][]job
	reports  [][]int
	requests uint64
}

type job struct{ node, replica int }

// policy returns the replica for a request of a node.
type policy func(h *herd, now time.Time, node int) int

func powerOfTwo(h *herd, now time.Time, node int) int {
	s := Set{Replicas: h.seen, ZoneEnd: len(h.seen), RegionEnd: len(h.seen)}
	i, _ := h.nodes[node].Choose(now, s, Request{Seed: h.requests})
	return i
}

func leastLoaded(h *herd, _ time.Time, _ int) int {
	best := 0
	for i := range h.seen {
		if h.seen[i].Running < h.seen[best].Running {
			best = i
		}
	}
	return best
}

// consistentHash sends each of 200 contents, asked for unevenly, to its server.
func consistentHash(h *herd, _ time.Time, _ int) int {
	x := rand.New(rand.NewPCG(h.requests, 7)).Float64()
	content := int(200 * x * x)
	f := fnv.New64a()
	fmt.Fprint(f, content)
	return int(f.Sum64() % uint64(len(h.seen)))
}

// run returns the most requests at one replica and how many found theirs full.
func (h *herd) run(choose policy) (most, queued int) {
	const (
		millisecond = 1000
		lag         = 500
		pace        = 20 * 16 * 70 / 100 // requests a second
	)
	h.seen = replicas(20)
	for i := range h.seen {
		h.seen[i].Running = 0
	}
	h.load = make([]int, len(h.seen))
	h.finish, h.reports = make([][]job, millisecond), make([][]int, lag)
	due := 0
	for tick := range 60 * millisecond {
		now := start.Add(time.Duration(tick) * time.Millisecond)
		for _, j := range h.finish[tick%millisecond] {
			h.load[j.replica]--
			h.nodes[j.node].Done(h.seen[j.replica].Server)
		}
		h.finish[tick%millisecond] = nil
		h.report(now, tick)
		for due += pace; due >= millisecond; due -= millisecond {
			h.requests++
			node := int(h.requests) % len(h.nodes)
			i := choose(h, now, node)
			h.load[i]++
			if h.load[i] > 16 {
				queued++
			}
			most = max(most, h.load[i])
			h.finish[tick%millisecond] = append(h.finish[tick%millisecond], job{node: node, replica: i})
		}
	}
	return most, queued
}

// report sends the load of the replica whose turn it is, and delivers the late one.
func (h *herd) report(now time.Time, tick int) {
	slot := tick % len(h.reports)
	if r := h.reports[slot]; r != nil {
		h.seen[r[0]].Running, h.seen[r[0]].ReportedAt = r[1], now
	}
	h.reports[slot] = nil
	if tick%50 == 0 {
		i := tick / 50 % len(h.seen)
		h.reports[slot] = []int{i, h.load[i]}
	}
}

func TestLaggedReportsDoNotHerd(t *testing.T) {
	const requests = 60 * 224
	figures := map[string][2]int{}
	for name, p := range map[string]policy{"power of two": powerOfTwo, "least loaded": leastLoaded, "consistent hash": consistentHash} {
		most, queued := new(herd).run(p)
		figures[name] = [2]int{most, queued}
	}
	names := []string{"power of two", "least loaded", "consistent hash"}
	for _, n := range names {
		t.Logf("%s: most at one replica %d of 16, %d of %d requests found it full", n, figures[n][0], figures[n][1], requests)
	}
	if got, than := figures["power of two"][1], figures["least loaded"][1]; got*10 > than {
		t.Errorf("got %d requests at a full replica, want a tenth of least loaded's %d", got, than)
	}
	if got, than := figures["power of two"][1], figures["consistent hash"][1]; got >= than {
		t.Errorf("got %d requests at a full replica, want fewer than consistent hash's %d", got, than)
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
			c.sent(&s.Replicas[i])
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
