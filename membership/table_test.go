package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// detectionTarget is the longest permitted time from the death of a node until it is
// Gone in the views of all others.
const detectionTarget = 3 * time.Second

var sizes = []struct{ regions, zones, nodesPerZone int }{{1, 2, 4}, {3, 3, 6}, {6, 4, 8}}

func convergedNetwork(t *testing.T, regions, zones, nodesPerZone int) *network {
	t.Helper()
	n := newNetwork(t, regions, zones, nodesPerZone)
	if elapsed := n.advanceUntil(30*time.Second, n.isConverged); !n.isConverged() {
		t.Fatalf("got no converged views %v after the start", elapsed)
	}
	n.advance(5 * time.Second)
	return n
}

func TestDetection(t *testing.T) {
	for _, s := range sizes {
		n := convergedNetwork(t, s.regions, s.zones, s.nodesPerZone)
		n.nodes["r0z0n1"].killed = true
		killed := n.advanceUntil(time.Minute, n.isConverged)
		n.nodes["r0z1n2"].unresponsive = true
		unresponsive := n.advanceUntil(time.Minute, n.isConverged)
		t.Logf("%d nodes: killed %v, unresponsive %v", len(n.nodeIDs), killed, unresponsive)
		if killed > detectionTarget || unresponsive > detectionTarget {
			t.Errorf("%d nodes: got %v killed and %v unresponsive, want at most %v", len(n.nodeIDs), killed, unresponsive, detectionTarget)
		}
	}
}

func TestPausedNodeRejoins(t *testing.T) {
	n := convergedNetwork(t, 3, 2, 3)
	h := n.nodes["r1z0n0"]
	h.paused = true
	n.advance(30 * time.Second)
	if !n.isConverged() {
		t.Fatal("got the paused node still alive elsewhere, want it gone")
	}
	h.paused = false
	clear(h.links)
	elapsed := n.advanceUntil(time.Minute, n.isConverged)
	t.Logf("converged %v after the pause", elapsed)
	if !n.isConverged() {
		t.Error("got no converged views a minute after the pause")
	}
	if got := h.falseGoneUpdates; got != 0 {
		t.Errorf("got %d live nodes marked Gone by the paused one, want 0", got)
	}
}

func TestPacketLossAndPausesRemoveNoNode(t *testing.T) {
	for seed := range uint64(5) {
		checkLossAndPauses(t, seed)
	}
}

func checkLossAndPauses(t *testing.T, seed uint64) {
	n := convergedNetwork(t, 3, 2, 4)
	n.random = rand.New(rand.NewPCG(seed, 0))
	n.loss = 0.2
	for i := range 60 {
		h := n.nodes[n.nodeIDs[i%len(n.nodeIDs)]]
		h.paused = true
		n.advance(400 * time.Millisecond)
		h.paused = false
		n.advance(10*time.Second - 400*time.Millisecond)
	}
	falseGoneUpdates, refutedSuspicions := 0, uint64(0)
	for _, h := range n.nodes {
		falseGoneUpdates += h.falseGoneUpdates
		refutedSuspicions += h.Self().Incarnation - 1
	}
	t.Logf("10 minutes of 20%% loss with 60 pauses, 24 nodes: %d refuted suspicions, %d live nodes marked Gone", refutedSuspicions, falseGoneUpdates)
	n.loss = 0
	if n.advanceUntil(time.Minute, n.isConverged); !n.isConverged() {
		t.Error("got no converged views a minute after the packet loss ended")
	}
	if falseGoneUpdates != 0 {
		t.Errorf("got %d live nodes marked Gone, want 0", falseGoneUpdates)
	}
}

func TestRegionPartitionHeals(t *testing.T) {
	n := convergedNetwork(t, 3, 2, 4)
	n.isCut = func(a, b *host) bool { return (a.member.Region == "r0") != (b.member.Region == "r0") }
	isPartitioned := func() bool {
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
	detection := n.advanceUntil(time.Minute, isPartitioned)
	t.Logf("cut noticed everywhere after %v", detection)
	n.advance(time.Hour)
	if !isPartitioned() {
		t.Error("got views after an hour that are not those of each side")
	}
	n.isCut = func(_, _ *host) bool { return false }
	elapsed := n.advanceUntil(time.Minute, n.isConverged)
	t.Logf("converged %v after the cut healed", elapsed)
	if !n.isConverged() {
		t.Error("got no converged views a minute after the cut healed")
	}
}

func TestCutBetweenTwoNodesDoesNotFlap(t *testing.T) {
	n := convergedNetwork(t, 2, 2, 4)
	a, b := n.nodes["r0z0n0"], n.nodes["r0z0n1"]
	n.isCut = func(x, y *host) bool { return x == a && y == b || x == b && y == a }
	n.advance(time.Minute)
	if !n.isConverged() {
		t.Error("got a node removed that only one other cannot reach, want it alive as long as others reach it")
	}
	if got, want := b.Self().Incarnation+a.Self().Incarnation, uint64(2+2*2); got > want {
		t.Errorf("got incarnations of %d together, want at most %d in a minute", got, want)
	}
}

func TestZoneLossAndReplacement(t *testing.T) {
	n := convergedNetwork(t, 3, 3, 6)
	for _, h := range n.nodes {
		h.unresponsive = h.member.Zone == "r0z0"
	}
	elapsed := n.advanceUntil(time.Minute, n.isConverged)
	if elapsed > detectionTarget {
		t.Errorf("got %v until the zone is gone, want at most %v", elapsed, detectionTarget)
	}
	for id, h := range n.nodes {
		if h.unresponsive {
			h.killed, h.unresponsive = true, false
			m := n.add(string(h.member.Region), string(h.member.Zone), string(id)+"-new")
			m.ApplyListing(n.now, n.list())
		}
	}
	for _, h := range n.nodes {
		h.ApplyListing(n.now, n.list())
	}
	recovery := n.advanceUntil(time.Minute, n.isConverged)
	t.Logf("a zone of 6 in 54: gone after %v, replaced after %v", elapsed, recovery)
	if !n.isConverged() {
		t.Error("got no converged views a minute after the zone's replacement")
	}
}

func TestUpdatePrecedence(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	merge := func(s Status, incarnation uint64) {
		table.Merge(now, []Update{{Member: Member{Node: "b"}, Status: s, Incarnation: incarnation}})
	}
	merge(Alive, 3)
	merge(Gone, 3)
	merge(Alive, 3)
	merge(Alive, 2)
	if u, _ := table.Lookup("b"); u.Status != Gone {
		t.Errorf("got %v, want Gone to win at the same incarnation", u.Status)
	}
	merge(Alive, 4)
	merge(Suspect, 3)
	if u, _ := table.Lookup("b"); u.Status != Alive {
		t.Errorf("got %v, want the refutation to win", u.Status)
	}
}

func TestNodeOffTheListStaysGone(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	b := Member{Node: "b"}
	table.ApplyListing(now, []Member{b})
	if got := len(table.Members()); got != 1 {
		t.Errorf("got %d members, want a listed node to count only once it responds", got)
	}
	table.RecordContact(now, Update{Member: b, Status: Alive, Incarnation: 1})
	table.MarkGone(now, "b")
	table.ApplyListing(now, nil)
	lateUpdates := []Update{{Member: b, Status: Alive, Incarnation: 1}}
	table.Merge(now, lateUpdates)
	if got := len(table.Members()); got != 1 {
		t.Errorf("got %d members, want late updates ignored", got)
	}
	table.ApplyListing(now.Add(TombstoneTime), nil)
	if _, ok := table.Lookup("b"); ok {
		t.Error("got b kept, want it removed")
	}
}

func TestNeighbourCountIsBounded(t *testing.T) {
	for _, s := range sizes {
		n := convergedNetwork(t, s.regions, s.zones, s.nodesPerZone)
		maximumDegree := 0
		for _, h := range n.nodes {
			degree := len(h.links)
			maximumDegree = max(maximumDegree, degree)
		}
		t.Logf("%d nodes: at most %d links", len(n.nodeIDs), maximumDegree)
		if want := ZoneLinks + RegionLinks + WorldLinks; len(n.nodes["r0z0n0"].Neighbours()) > want {
			t.Errorf("got %d neighbours, want at most %d", len(n.nodes["r0z0n0"].Neighbours()), want)
		}
	}
	small := convergedNetwork(t, 1, 3, 3)
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

func TestFalseSuspicionsRaiseHealthMultiplier(t *testing.T) {
	now := time.Unix(1, 0)
	table := NewTable(Member{Node: "a"})
	b := Member{Node: "b"}
	table.RecordContact(now, Update{Member: b, Status: Alive, Incarnation: 1})
	for i := range uint64(2 * maximumHealthMultiplier) {
		now = now.Add(2 * SuspicionCooldown)
		table.Tick(now)
		table.RecordTimeout(now, "b")
		table.Merge(now, []Update{{Member: b, Status: Alive, Incarnation: i + 2}})
	}
	if got, want := table.HealthMultiplier(), 1; got < want || got > maximumHealthMultiplier {
		t.Errorf("got health multiplier %d after false suspicions, want %d to %d", got, want, maximumHealthMultiplier)
	}
	for range 2 * maximumHealthMultiplier {
		now = now.Add(healthRecoveryTime)
		table.Tick(now)
	}
	if got := table.HealthMultiplier(); got != 0 {
		t.Errorf("got health multiplier %d after a time without false suspicions, want 0", got)
	}
}
