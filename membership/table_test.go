package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// detectionTarget is within how long a dead node takes no new work.
const detectionTarget = 3 * time.Second

var sizes = []struct{ regions, zones, each int }{{1, 2, 4}, {3, 3, 6}, {6, 4, 8}}

func started(t *testing.T, regions, zones, each int) *network {
	t.Helper()
	n := newNetwork(t, regions, zones, each)
	if took := n.until(30*time.Second, n.whole); !n.whole() {
		t.Fatalf("got a start after %v that is not whole", took)
	}
	n.run(5 * time.Second)
	return n
}

func TestDetection(t *testing.T) {
	for _, s := range sizes {
		n := started(t, s.regions, s.zones, s.each)
		n.nodes["r0z0n1"].dead = true
		killed := n.until(time.Minute, n.whole)
		n.nodes["r0z1n2"].down = true
		silent := n.until(time.Minute, n.whole)
		t.Logf("%d nodes: killed %v, silent %v", len(n.order), killed, silent)
		if killed > detectionTarget || silent > detectionTarget {
			t.Errorf("%d nodes: got %v killed and %v silent, want at most %v", len(n.order), killed, silent, detectionTarget)
		}
	}
}

func TestPausedNodeComesBackByItself(t *testing.T) {
	n := started(t, 3, 2, 3)
	h := n.nodes["r1z0n0"]
	h.paused = true
	n.run(30 * time.Second)
	if !n.whole() {
		t.Fatal("got the paused node still alive elsewhere, want it gone")
	}
	h.paused = false
	clear(h.links)
	took := n.until(time.Minute, n.whole)
	t.Logf("whole %v after the pause", took)
	if !n.whole() {
		t.Error("got a view that is not whole a minute after the pause")
	}
	if got := h.falseGone; got != 0 {
		t.Errorf("got %d live nodes called gone by the paused one, want 0", got)
	}
}

func TestLossAndShortPauses(t *testing.T) {
	for seed := range uint64(5) {
		lossAndPauses(t, seed)
	}
}

func lossAndPauses(t *testing.T, seed uint64) {
	n := started(t, 3, 2, 4)
	n.random = rand.New(rand.NewPCG(seed, 0))
	n.loss = 0.2
	for i := range 60 {
		h := n.nodes[n.order[i%len(n.order)]]
		h.paused = true
		n.run(400 * time.Millisecond)
		h.paused = false
		n.run(10*time.Second - 400*time.Millisecond)
	}
	falseGone, suspicions := 0, uint64(0)
	for _, h := range n.nodes {
		falseGone += h.falseGone
		suspicions += h.Self().Incarnation - 1
	}
	t.Logf("10 minutes of 20%% loss with 60 pauses, 24 nodes: %d refuted suspicions, %d false losses seen", suspicions, falseGone)
	n.loss = 0
	if n.until(time.Minute, n.whole); !n.whole() {
		t.Error("got a view that is not whole a minute after the loss")
	}
	if falseGone != 0 {
		t.Errorf("got %d live nodes called gone, want 0", falseGone)
	}
}

func TestRegionsApartForAnHour(t *testing.T) {
	n := started(t, 3, 2, 4)
	n.cut = func(a, b *host) bool { return (a.member.Region == "r0") != (b.member.Region == "r0") }
	apart := func() bool {
		for _, h := range n.nodes {
			want := 16
			if h.member.Region == "r0" {
				want = 8
			}
			if len(h.Members()) != want {
				return false
			}
		}
		return true
	}
	noticed := n.until(time.Minute, apart)
	t.Logf("cut noticed everywhere after %v", noticed)
	n.run(time.Hour)
	if !apart() {
		t.Error("got a view after an hour that is not each side's own")
	}
	n.cut = func(_, _ *host) bool { return false }
	took := n.until(time.Minute, n.whole)
	t.Logf("whole %v after the cut healed", took)
	if !n.whole() {
		t.Error("got a view that is not whole a minute after the cut")
	}
}

func TestOneWayCutDoesNotFlap(t *testing.T) {
	n := started(t, 2, 2, 4)
	a, b := n.nodes["r0z0n0"], n.nodes["r0z0n1"]
	n.cut = func(x, y *host) bool { return x == a && y == b || x == b && y == a }
	n.run(time.Minute)
	if !n.whole() {
		t.Error("got two nodes that only miss each other dropped, want them alive by others' word")
	}
	if got, want := b.Self().Incarnation+a.Self().Incarnation, uint64(2+2*2); got > want {
		t.Errorf("got incarnations of %d together, want at most %d in a minute", got, want)
	}
}

func TestZoneGoesAtOnceAndReturns(t *testing.T) {
	n := started(t, 3, 3, 6)
	for _, h := range n.nodes {
		h.down = h.member.Zone == "r0z0"
	}
	took := n.until(time.Minute, n.whole)
	if took > detectionTarget {
		t.Errorf("got %v until the zone is gone, want at most %v", took, detectionTarget)
	}
	for id, h := range n.nodes {
		if h.down {
			h.dead, h.down = true, false
			m := n.add(string(h.member.Region), string(h.member.Zone), string(id)+"-new")
			m.ApplyListing(n.now, n.list())
		}
	}
	for _, h := range n.nodes {
		h.ApplyListing(n.now, n.list())
	}
	back := n.until(time.Minute, n.whole)
	t.Logf("a zone of 6 in 54: gone after %v, back after %v", took, back)
	if !n.whole() {
		t.Error("got a view that is not whole a minute after the zone's return")
	}
}

func TestOlderNewsLoses(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	news := func(s Status, incarnation uint64) {
		table.Merge(now, []Update{{Member: Member{Node: "b"}, Status: s, Incarnation: incarnation}})
	}
	news(Alive, 3)
	news(Gone, 3)
	news(Alive, 3)
	news(Alive, 2)
	if u, _ := table.Lookup("b"); u.Status != Gone {
		t.Errorf("got %v, want Gone to win at the same incarnation", u.Status)
	}
	news(Alive, 4)
	news(Suspect, 3)
	if u, _ := table.Lookup("b"); u.Status != Alive {
		t.Errorf("got %v, want the refutation to win", u.Status)
	}
}

func TestListHasTheLastWordOnLeaving(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	b := Member{Node: "b"}
	table.ApplyListing(now, []Member{b})
	if got := len(table.Members()); got != 1 {
		t.Errorf("got %d members, want a node that is only listed to be tried first", got)
	}
	table.RecordContact(now, Update{Member: b, Status: Alive, Incarnation: 1})
	table.MarkGone(now, "b")
	table.ApplyListing(now, nil)
	late := []Update{{Member: b, Status: Alive, Incarnation: 1}}
	table.Merge(now, late)
	if got := len(table.Members()); got != 1 {
		t.Errorf("got %d members, want late news ignored", got)
	}
	table.ApplyListing(now.Add(TombstoneTime), nil)
	if _, ok := table.Lookup("b"); ok {
		t.Error("got b remembered, want it forgotten")
	}
}

func TestNeighboursAreFew(t *testing.T) {
	for _, s := range sizes {
		n := started(t, s.regions, s.zones, s.each)
		most := 0
		for _, h := range n.nodes {
			degree := len(h.links)
			most = max(most, degree)
		}
		t.Logf("%d nodes: at most %d links", len(n.order), most)
		if want := ZoneLinks + RegionLinks + WorldLinks; len(n.nodes["r0z0n0"].Neighbours()) > want {
			t.Errorf("got %d neighbours, want at most %d", len(n.nodes["r0z0n0"].Neighbours()), want)
		}
	}
	small := started(t, 1, 3, 3)
	for id, h := range small.nodes {
		if got, want := len(h.Neighbours()), 8; got != want {
			t.Errorf("%s: got %d neighbours of 8, want a full mesh", id, got)
		}
	}
}

func BenchmarkCapacityTick(b *testing.B) {
	table := NewTable(Member{Node: "self", Region: "r", Zone: "z"})
	now := time.Unix(1, 0)
	for i := range 939 {
		n := domain.NodeID(string(rune('a'+i%26)) + time.Duration(i).String())
		table.RecordContact(now, Update{Member: Member{Node: n, Region: "r", Zone: "z"}, Status: Alive, Incarnation: 1})
	}
	for b.Loop() {
		table.Tick(now)
		table.Neighbours()
	}
}

func TestMistakesLengthenTimeouts(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	b := Member{Node: "b"}
	table.RecordContact(now, Update{Member: b, Status: Alive, Incarnation: 1})
	for i := range uint64(2 * maximumSlowness) {
		now = now.Add(2 * DistrustTime)
		table.Tick(now)
		table.RecordTimeout(now, "b")
		table.Merge(now, []Update{{Member: b, Status: Alive, Incarnation: i + 2}})
	}
	if got, want := table.HealthMultiplier(), 1; got < want || got > maximumSlowness {
		t.Errorf("got slowness %d after mistakes, want %d to %d", got, want, maximumSlowness)
	}
	for range 2 * maximumSlowness {
		now = now.Add(recoveryTime)
		table.Tick(now)
	}
	if got := table.HealthMultiplier(); got != 0 {
		t.Errorf("got slowness %d after a time without mistakes, want 0", got)
	}
}
