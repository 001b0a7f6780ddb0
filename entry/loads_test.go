package entry

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/serverload"
)

// tableLoads is the Loads of a test node.
type tableLoads struct {
	mu    sync.Mutex
	table serverload.Table
}

func (l *tableLoads) TakeLoads(now time.Time) []serverload.Shared {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.TakeOwn(now)
}

func (l *tableLoads) MergeLoads(now time.Time, list []serverload.Shared) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Merge(now, list)
}

func (l *tableLoads) ApplyLoads(now time.Time, list []serverload.Shared) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Apply(now, list)
}

func (l *tableLoads) TakeLoadChanges(now time.Time, maximum int) []serverload.Shared {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.TakeChanges(now, maximum)
}

func (l *tableLoads) TakePrefixes(now time.Time, maximum int) []serverload.SharedPrefix {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.TakePrefixes(now, maximum)
}

func (l *tableLoads) ApplyPrefixes(now time.Time, list []serverload.SharedPrefix, mustPassOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.ApplyPrefixes(now, list, mustPassOn)
}

func (l *tableLoads) UsualPace(now time.Time, s *fleet.Server) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.UsualPace(now, serverload.KeyOf(s))
}

// record records a report of a server.
func (l *tableLoads) record(k serverload.Key, r serverload.Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Record(time.Now(), k, r)
}

// testPrompt returns a request whose prompt begins with a part.
func testPrompt(part uint64) *serverload.Request {
	r := &serverload.Request{Service: "s", Prompt: 1000, Size: 1100, CacheTokens: 100_000, Prefixes: serverload.NewPrefixes("m", "")}
	r.Prefixes.Add(part, 700, false)
	r.Prefixes.Add(rand.Uint64(), 300, true)
	return r
}

// recordRead records that a server has read a prompt that begins with a part.
func (l *tableLoads) recordRead(k serverload.Key, part uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.RecordRead(time.Now(), k, 24, testPrompt(part))
}

// hasCached reports whether a server has probably cached a part.
func (l *tableLoads) hasCached(k serverload.Key, part uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Cached(time.Now(), k, l.table.State(time.Now(), k, "s", 24), testPrompt(part)) > 0
}

// state returns the state of a server with 24 slots.
func (l *tableLoads) state(k serverload.Key) serverload.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.State(time.Now(), k, "s", 24)
}

// reportServers lets random nodes hear of random servers 250 times a second.
func (f *testFleet) reportServers(servers int, d time.Duration) {
	const interval = 4 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		n := f.nodes[f.random.IntN(len(f.nodes))]
		k := serverload.Key(f.random.IntN(servers))
		n.loads.record(k, serverload.Report{Running: f.random.IntN(24), Slots: 24, Pace: 0.6 + f.random.Float64()})
		n.loads.recordRead(k, uint64(f.random.IntN(3)))
	}
}

// Pattern: 87 nodes hear of each of 60 servers four times a second in all, and the owner's link has
// 25 Mbit/s. Guards against views that stay stale, and against loads that take the links' bandwidth.
func TestNodesShareTheLoadsOfServers(t *testing.T) {
	const servers, measured = 60, 5 * time.Second
	runFleet(t, 3, 84, func(f *testFleet) {
		time.Sleep(6 * time.Second)
		if got, want := f.linked(), len(f.nodes)-1; got != want {
			t.Fatalf("linked nodes: got %d, want %d", got, want)
		}
		owner, follower := f.owner(), f.nodes[40]
		bytes := func() (owned, followed int) {
			sent, _ := owner.host.Bytes()
			_, received := follower.host.Bytes()
			return sent, received
		}
		ownerStart, followerStart := bytes()
		time.Sleep(measured)
		ownerQuiet, followerQuiet := bytes()
		f.reportServers(servers, measured)
		ownerEnd, followerEnd := bytes()
		perNode := float64(followerEnd-followerQuiet-(followerQuiet-followerStart)) / measured.Seconds()
		perOwner := float64(ownerEnd-ownerQuiet-(ownerQuiet-ownerStart)) / measured.Seconds()
		t.Logf("loads cost %.0f bytes/s received at a node and %.0f bytes/s sent at the owner", perNode, perOwner)
		if want := 6000.0; perNode > want {
			t.Errorf("bytes a second received for loads: got %.0f, want %.0f at most", perNode, want)
		}
		cached := 0
		for _, n := range f.nodes {
			for k := range serverload.Key(servers) {
				if n.loads.hasCached(k, 1) {
					cached++
				}
			}
		}
		t.Logf("one of three prompt parts known as cached: %.3f of all servers and nodes", float64(cached)/float64(servers*len(f.nodes)))
		if got, want := cached, servers*len(f.nodes)/4; got < want {
			t.Errorf("servers and nodes that know of a cached part: got %d, want %d at least", got, want)
		}
		known, ages := 0, time.Duration(0)
		// The ages rise and fall with the updates, so that several moments count.
		const moments = 10
		for range moments {
			f.reportServers(servers, 110*time.Millisecond)
			for _, n := range f.nodes {
				for k := range serverload.Key(servers) {
					if s := n.loads.state(k); s.IsKnown {
						known++
						ages += s.ReportAge
					}
				}
			}
		}
		share, age := float64(known)/float64(moments*servers*len(f.nodes)), ages/time.Duration(max(1, known))
		t.Logf("known loads: %.3f of all servers and nodes, with a mean age of %v", share, age)
		if share < 0.95 || age > 600*time.Millisecond {
			t.Errorf("known loads: got %.3f with a mean age of %v, want 0.95 and 600ms at most", share, age)
		}
	})
}

// Guards against loads that take more of the owner's link than its share, however many nodes there
// are.
func TestLoadsStayWithinTheOwnersLink(t *testing.T) {
	for _, c := range []struct{ links, bytesPerSecond int }{{6, 500_000}, {86, 500_000}, {294, 500_000}, {939, 500_000}, {939, 10_000_000}, {86, 0}} {
		n := New(Options{UpdateBytesPerSecond: c.bytesPerSecond})
		loads := n.maximumLoadBytes(c.links, loadUpdateGap) / hub.LoadBytes
		perNode := float64(loads*hub.LoadBytes) / loadUpdateGap.Seconds()
		if perNode > maximumLoadBytesPerSecond || c.bytesPerSecond > 0 && perNode*float64(c.links) > loadLinkShare*float64(c.bytesPerSecond) {
			t.Errorf("%d links, %d bytes/s: got %d loads, %.0f bytes/s for each node", c.links, c.bytesPerSecond, loads, perNode)
		}
		t.Logf("%d links, %d bytes/s for updates: %d loads an update", c.links, c.bytesPerSecond, loads)
	}
}

// Guards against a plan of the owner for each report that has loads only: they arrive four times a
// second from each node.
func TestLoadsAloneStartNoPlan(t *testing.T) {
	loads := []serverload.Shared{{Server: 1, Report: serverload.Report{Running: rand.IntN(3), Slots: 24, Pace: 1}}}
	if !hasOnlyLoads(hub.Report{Node: "n", Loads: loads}) {
		t.Error("a report with loads only: got a plan, want none")
	}
	if hasOnlyLoads(hub.Report{Node: "n", Loads: loads, StaleServers: nil, LeavingServers: []hub.LeavingServer{{}}}) || hasOnlyLoads(hub.Report{Node: "n"}) {
		t.Error("a report with something else, or an empty one: got no plan, want one")
	}
}
