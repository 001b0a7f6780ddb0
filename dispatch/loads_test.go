package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/serverload"
)

// pacedServers returns engines in zone z.
func pacedServers(n int) []*fleet.Server {
	var list []*fleet.Server
	for i := range n {
		list = append(list, &fleet.Server{ID: domain.ServerID(fmt.Sprint("i", i)), Service: "engines", Slots: 24, Zone: "z"})
	}
	return list
}

// testRegions are the regions of zones z and x, which are together, and y.
var testRegions = map[domain.Zone]domain.Region{"z": "r", "x": "r", "y": "q"}

// choices returns how many of 400 requests each server gets, each of which ends before the next.
func choices(c *chooser, now time.Time, list []*fleet.Server, r *Request, avoided map[domain.ServerID]bool) map[domain.ServerID]int {
	n := map[domain.ServerID]int{}
	for range 400 {
		s, _ := c.choose(now, location{zone: "z", regions: testRegions}, list, r, avoided)
		c.release(s, r)
		n[s.ID]++
	}
	return n
}

// Pattern: one of three servers is full, one nearly and one has just rejected a request, and all
// but the first report a pace. Guards against requests that are sent to be rejected.
func TestServersWithoutRoomGetNoRequests(t *testing.T) {
	now, list, c := time.Now(), pacedServers(3), &chooser{}
	c.recordResponse(now, list[0], &Request{}, time.Millisecond, Load{Known: true, Running: 24, Waiting: 1, Slots: 24, Pace: 0.6})
	c.recordResponse(now, list[1], &Request{}, time.Millisecond, Load{Known: true, Running: 22, Slots: 24, Pace: 1.6})
	c.recordResponse(now, list[2], &Request{}, time.Millisecond, Load{Known: true, Running: 2, Slots: 24, Pace: 1})
	c.recordOverload(now.Add(time.Millisecond), list[2], Load{})
	got := choices(c, now.Add(2*time.Millisecond), list, &Request{}, nil)
	if got["i1"] != 400 {
		t.Errorf("got %v, want all 400 at i1, the only one with room", got)
	}
	if l := c.estimateLoad(now.Add(2*time.Millisecond), list[2]); !l.known || l.inUse < 24 {
		t.Errorf("load of the server that rejected a request: got %+v, want all slots in use", l)
	}
}

// Pattern: memory nearly full at one server, with slots free. Guards against a request that makes
// the server preempt another, and against a load without the memory.
func TestServersWithoutMemoryGetNoRequests(t *testing.T) {
	now, list := time.Now(), pacedServers(2)
	c := &chooser{cacheTokens: func(domain.ServiceName) domain.Tokens { return 20_000 }}
	r := &Request{Size: RequestSize{Known: true, Prompt: 900, MaximumOutput: 100}}
	c.recordResponse(now, list[0], r, time.Millisecond, Load{Known: true, Running: 0, Slots: 24, Pace: 1})
	c.recordResponse(now, list[1], r, time.Millisecond, Load{Known: true, Running: 0, Slots: 24, Pace: 1})
	for range 20 {
		c.choose(now, location{zone: "z"}, list[:1], r, nil)
	}
	if got := choices(c, now, list, r, nil); got["i1"] != 400 {
		t.Errorf("got %v, want all 400 at the server with memory", got)
	}
	if l := c.estimateLoad(now, list[0]); l.inUse != 24 {
		t.Errorf("slots in use at a server whose memory is used up by 20 requests: got %v, want 24", l.inUse)
	}
}

// Pattern: servers with equal loads in this zone, another zone and another region. Guards against
// billed traffic between regions while there is room nearby, and against waiting for nearby servers
// that are full.
func TestDistanceWeighsInTheChoice(t *testing.T) {
	now, list, c := time.Now(), pacedServers(3), &chooser{}
	list[1].Zone, list[2].Zone = "x", "y"
	for _, s := range list {
		c.recordResponse(now, s, &Request{}, time.Millisecond, Load{Known: true, Running: 6, Slots: 24, Pace: 1})
	}
	got := choices(c, now, list, &Request{}, nil)
	if got["i2"] > 40 || got["i1"] < 100 {
		t.Errorf("got %v, want at most 40 of 400 in another region and 100 or more in the other zone", got)
	}
	now = now.Add(time.Millisecond)
	for _, s := range list[:2] {
		c.recordResponse(now, s, &Request{}, time.Millisecond, Load{Known: true, Running: 24, Waiting: 2, Slots: 24, Pace: 1})
	}
	if got := choices(c, now, list, &Request{}, nil); got["i2"] != 400 {
		t.Errorf("with the nearby ones full: got %v, want all 400 in the other region", got)
	}
}

// Guards against a choice by load that overrides the avoided servers, outlier ejection or the
// warm-up, which stay as they are for servers without a pace.
func TestFailuresWeighMoreThanLoads(t *testing.T) {
	now, list, c := time.Now(), pacedServers(4), &chooser{}
	for i, s := range list {
		c.recordResponse(now, s, &Request{}, time.Millisecond, Load{Known: true, Running: 7 * i, Slots: 24, Pace: 1})
	}
	list[2].WarmUpRemaining = time.Second
	for range 20 {
		c.recordFailure(now, list[1].ID, true)
	}
	c.recordNoResponse(now, list[2].ID)
	got := choices(c, now, list, &Request{}, map[domain.ServerID]bool{"i0": true})
	if got["i0"] > 0 || got["i1"] > 0 || got["i3"] < 380 {
		t.Errorf("got %v, want nearly all at i3: i0 is avoided, i1 ejected, i2 warms up and is silent", got)
	}
}

// Guards against a changed choice where no server reports its pace: the shared loads and the draw
// must have no part in it.
func TestServersWithoutPaceAreChosenAsBefore(t *testing.T) {
	now, list, c := time.Now(), pacedServers(2), &chooser{}
	c.recordResponse(now, list[0], &Request{}, time.Millisecond, Load{Known: true, Running: 2, Slots: 24})
	c.recordResponse(now, list[1], &Request{}, time.Millisecond, Load{Known: true, Running: 4, Slots: 24})
	if got := choices(c, now, list, &Request{}, nil); got["i0"] != 400 {
		t.Errorf("got %v, want all 400 at the server with the lower cost", got)
	}
	if l := c.estimateLoad(now, list[0]); l.known {
		t.Errorf("load without a pace: got %+v, want it unknown", l)
	}
	d := newTestDispatcher(&fakeBackend{})
	d.chooser.recordResponse(now, list[0], &Request{}, time.Millisecond, Load{Known: true, Running: 2, Slots: 24})
	for _, s := range d.TakeLoads(now) {
		if s.Slots > 0 {
			t.Errorf("got %+v for the owner, want no load", s)
		}
	}
}

// Guards against a view without the reports of other nodes, and against a node that loses its own.
func TestLoadsOfOtherNodesCount(t *testing.T) {
	now, list := time.Now(), pacedServers(1)
	node, owner, other := newTestDispatcher(&fakeBackend{}), newTestDispatcher(&fakeBackend{}), newTestDispatcher(&fakeBackend{})
	node.chooser.recordResponse(now, list[0], &Request{}, time.Millisecond, Load{Known: true, Running: 30, Slots: 24, Pace: 1.2})
	owner.MergeLoads(now, node.TakeLoads(now))
	other.ApplyLoads(now, owner.TakeLoadChanges(now, 10))
	l := other.chooser.estimateLoad(now, list[0])
	if !l.known || l.inUse != 30 || l.slots != 24 || l.wait < 200*time.Millisecond {
		t.Errorf("got %+v, want 30 requests in 24 slots and a wait", l)
	}
	if got := other.UsualPace(now, list[0]); got <= 0 {
		t.Errorf("usual pace: got %v, want more than 0", got)
	}
}

// TestChoosingAllocatesNothing guards against allocations for each candidate.
func TestChoosingAllocatesNothing(t *testing.T) {
	for _, n := range []int{10, 90, 10_000} {
		c, list, now := &chooser{}, pacedServers(n), time.Now()
		for _, s := range list {
			c.recordResponse(now, s, &Request{}, time.Millisecond, Load{Known: true, Running: 2, Slots: 24, Pace: 1})
		}
		choose := func() {
			s, _ := c.choose(now, location{zone: "z"}, list, &Request{}, nil)
			c.release(s, &Request{})
		}
		for range 20_000 {
			// Each server keeps its history from its first request on.
			choose()
		}
		if got := testing.AllocsPerRun(100, choose); got > 2 {
			t.Errorf("allocations of a choice among %d servers: got %v, want 2 at most", n, got)
		}
	}
}

func BenchmarkChoosePaced(b *testing.B) {
	for _, n := range []int{10, 90, 10_000} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			c, list, now := &chooser{}, pacedServers(n), time.Now()
			for i, s := range list {
				c.recordResponse(now, s, &Request{}, time.Millisecond, Load{Known: true, Running: i % 12, Slots: 24, Pace: 1})
				c.recordResponse(now, s, promptRequest(uint64(i%3)), time.Millisecond, Load{})
			}
			r := promptRequest(1)
			b.ReportAllocs()
			for b.Loop() {
				s, _ := c.choose(now, location{zone: "z"}, list, r, nil)
				c.release(s, r)
			}
		})
	}
}

func BenchmarkTakeLoadChanges(b *testing.B) {
	d, now := newTestDispatcher(&fakeBackend{}), time.Now()
	var loads []serverload.Shared
	for i := range 10_000 {
		loads = append(loads, serverload.Shared{Server: serverload.Key(i), Report: serverload.Report{Running: i % 12, Slots: 24, Pace: 1}})
	}
	d.MergeLoads(now, loads)
	for b.Loop() {
		d.TakeLoadChanges(now, 60)
	}
}

// Guards against a server that counts as fuller or emptier than it is, after a request that was chosen
// for it was not sent.
func TestReleasedAttemptLeavesNoTokens(t *testing.T) {
	now := time.Now()
	c, server := &chooser{}, &fleet.Server{ID: "a", Service: "engines", Slots: 24}
	small, large := &Request{Size: RequestSize{Known: true, Prompt: 100}}, &Request{Size: RequestSize{Known: true, Prompt: 5000}}
	tokens := func() float64 {
		return c.table.State(now, serverload.KeyOf(server), server.Service, server.Slots).Tokens
	}
	c.choose(now, location{}, []*fleet.Server{server}, small, nil)
	want := tokens()
	c.choose(now, location{}, []*fleet.Server{server}, large, nil)
	c.release(server, large)
	if got := tokens(); got != want {
		t.Errorf("got %v tokens after the release, want %v", got, want)
	}
}
