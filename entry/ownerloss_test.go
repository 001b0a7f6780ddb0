package entry

import (
	"context"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// kill ends nodes without a word to the others.
func (f *testFleet) kill(nodes ...*testNode) {
	for _, n := range nodes {
		n.host.Kill()
		n.stop()
		f.mu.Lock()
		for i := range f.nodes {
			if f.nodes[i] == n {
				f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
				break
			}
		}
		f.mu.Unlock()
	}
}

// awaitLinks waits until all nodes but the owner are linked to it, and returns the time; limit if
// they are not by then.
func (f *testFleet) awaitLinks(limit time.Duration) time.Duration {
	start := time.Now()
	for time.Since(start) < limit {
		time.Sleep(10 * time.Millisecond)
		if o := f.owner(); o != nil && f.linked() == len(f.nodes)-1 && o.Hub.LinkCount() == len(f.nodes)-1 {
			return time.Since(start)
		}
	}
	return limit
}

// Pattern: the owner is lost among hundreds of small nodes. The members that are left take over;
// a standby does not.
func TestCandidateTakesOverFromTheOwner(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		lost := f.owner()
		f.kill(lost)
		joins := f.countRenewals()
		// The store gives up the lost member, and the nodes look for the owner each 1.5 s at most.
		if got, want := f.awaitLinks(10*time.Second), testTimeToLive+maximumRelinkInterval+500*time.Millisecond; got > want {
			t.Errorf("all nodes are linked to a new owner after %v, want %v at most", got, want)
		}
		if o := f.owner(); o == nil || o.Standby {
			t.Error("a standby took over beside nodes that can carry the links")
		}
		time.Sleep(5 * time.Second)
		// 5 members renew four times in their time-to-live.
		if got, want := f.countRenewals()-joins, 5*4*(10+5)/2; got > want {
			t.Errorf("renewals: got %d, want %d at most", got, want)
		}
		if got := f.requestModel(f.nodes[10], modelName(1), 10*time.Second); got > 2*time.Second {
			t.Errorf("a cold model was there after %v, want 2 s at most", got)
		}
	})
}

// Pattern: the store deals the shards anew without a request. Guards against seconds without an
// owner: the old one acknowledged the loss, and the new one learned of its shard, each at its next
// renewal.
func TestReassignedShardHasANewOwnerSoon(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		f.reassign()
		// The loss is seen at the next renewal. Then come two calls, and the nodes link.
		time.Sleep(testTimeToLive / renewalsPerTimeToLive)
		if got, want := f.awaitLinks(10*time.Second), relinkInterval+200*time.Millisecond; got > want {
			t.Errorf("all nodes are linked to a new owner after %v more, want %v at most", got, want)
		}
	})
}

// Pattern: the owner reaches the nodes and the servers but not the store, beside hundreds of small
// nodes. Guards against nodes that stay with it while it has a successor, and against standbys that
// join the group meanwhile: each join may move the shard once more.
func TestNodesLeaveAnOwnerThatIsCutFromTheStore(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		cut := f.owner()
		cut.isCut.Store(true)
		time.Sleep(6 * time.Second)
		linkedToCut := 0
		for _, n := range f.nodes {
			n.mu.Lock()
			if !n.linkedAt.IsZero() && n.linkedOwner == cut.Name {
				linkedToCut++
			}
			if n.Standby && n.wasCandidate {
				t.Errorf("%s joined the group", n.Name)
			}
			n.mu.Unlock()
		}
		if linkedToCut > 0 {
			t.Errorf("%d nodes are still linked to the owner that is cut, 6 s later", linkedToCut)
		}
		// The successor waits for the time-to-live; the nodes then have its news.
		if got, want := f.linked(), len(f.nodes)-2; got < want {
			t.Errorf("linked nodes: got %d, want %d", got, want)
		}
	})
}

// Pattern: all nodes that can carry the links are lost at once. The time to a new owner is that of
// the loss of one member, as where all nodes are members; and those that come back own again.
func TestStandbyTakesOverFromAllOthersAndHandsBack(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		f.kill(f.nodes[:6]...)
		if got, want := f.awaitLinks(20*time.Second), testTimeToLive+2*maximumRelinkInterval; got > want {
			t.Errorf("all nodes are linked to a new owner after %v, want %v at most", got, want)
		}
		expired := f.count("LeaseExpired")
		if got := f.requestModel(f.nodes[10], modelName(1), 10*time.Second); got > 3*time.Second {
			t.Errorf("a cold model was there after %v, want 3 s at most", got)
		}
		time.Sleep(10 * time.Second)
		if got := f.count("LeaseExpired") - expired; got != 0 {
			t.Errorf("expired leases of the standby: got %d, want 0", got)
		}
		for i := range 6 {
			f.startNode(200+i, largeLink, "")
		}
		time.Sleep(20 * time.Second)
		if o := f.owner(); o == nil || o.Standby {
			t.Error("a standby owns the engines 20 s after others are back")
		}
		for _, n := range f.nodes[:60] {
			n.mu.Lock()
			if n.wasCandidate {
				t.Errorf("%s is still a member of the group", n.Name)
			}
			n.mu.Unlock()
		}
	})
}

func TestDeploymentOfStandbysHasAnOwner(t *testing.T) {
	runFleet(t, 0, 12, func(f *testFleet) {
		if got, want := f.linked(), 11; got != want {
			t.Errorf("linked nodes: got %d, want %d", got, want)
		}
	})
}

// Pattern: all links are lost at once, and their owner stays. Guards against hundreds of reads of
// the store in one moment.
func TestLostLinksAreMadeAgainWithoutReads(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		calls := f.countOtherCalls()
		f.owner().Hub.Close()
		time.Sleep(20 * time.Millisecond)
		if got, want := f.awaitLinks(10*time.Second), 2*relinkInterval; got > want {
			t.Errorf("all nodes are linked again after %v, want %v at most", got, want)
		}
		time.Sleep(3 * time.Second)
		// Each node asks for the owner once, and may read what its update did not say.
		if got, want := f.countOtherCalls()-calls, 2*len(f.nodes); got > want {
			t.Errorf("calls to the store: got %d, want %d at most", got, want)
		}
	})
}

// Pattern: a server leaves while nodes follow the owner. Guards against DRAIN, and against a call of
// each node for each change.
func TestChangesOfRegistrationsArePassedOn(t *testing.T) {
	runFleet(t, 6, 60, func(f *testFleet) {
		calls := f.countOtherCalls()
		f.mu.Lock()
		s := *f.engines["i-00000007"]
		s.State = fleet.Draining
		f.changes = append(f.changes, fleet.Change{ID: s.ID, Offset: f.registrationOffset, Server: &s})
		f.registrationOffset++
		f.mu.Unlock()
		o := f.owner()
		time.Sleep(o.RegistrationsInterval + 200*time.Millisecond)
		for _, n := range f.nodes {
			for _, s := range n.Views.Get().Servers["s"] {
				if s.ID == "i-00000007" {
					t.Fatalf("%s still uses a server that leaves, one interval and 200 ms after it said so", n.Name)
				}
			}
		}
		// The owner reads each interval.
		if got, want := f.countOtherCalls()-calls, 4; got > want {
			t.Errorf("calls to the store: got %d, want %d at most", got, want)
		}
	})
}

// A node that has missed a change reads it, although the next one is passed on to it.
func TestMissedChangeOfRegistrationsIsRead(t *testing.T) {
	runFleet(t, 2, 2, func(f *testFleet) {
		o, other := f.owner(), f.nodes[3]
		leave := func(id domain.ServerID) {
			f.mu.Lock()
			defer f.mu.Unlock()
			s := *f.engines[id]
			s.State = fleet.Draining
			f.changes = append(f.changes, fleet.Change{ID: id, Offset: f.registrationOffset, Server: &s})
			f.registrationOffset++
		}
		leave("i-00000001")
		// The owner takes the change as known to all nodes, though it told none.
		changes, _, next, _ := o.Servers(context.Background(), o.registrationsKnown)
		o.mu.Lock()
		o.directory.Apply(time.Now(), changes)
		o.registrationsOffset, o.registrationsKnown = next, next
		o.mu.Unlock()
		leave("i-00000002")
		time.Sleep(2 * o.RegistrationsInterval)
		for _, s := range other.Views.Get().Servers["s"] {
			if s.ID == "i-00000001" || s.ID == "i-00000002" {
				t.Errorf("a node still uses %s, which leaves", s.ID)
			}
		}
	})
}
