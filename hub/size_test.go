package hub

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// linkAll links a number of nodes at the same moment and waits until each has the complete state.
// It returns the links and how long that took.
func (n *testNetwork) linkAll(t *testing.T, nodes, bytesPerSecond int) ([]*Link, time.Duration) {
	t.Helper()
	start := time.Now()
	links := make([]*Link, nodes)
	var group sync.WaitGroup
	for i := range links {
		host := n.Host(fmt.Sprintf("node-%d", i), bytesPerSecond)
		group.Go(func() {
			l, err := Dial(t.Context(), host, "10.0.0.1:1")
			if err != nil {
				t.Error(err)
				return
			}
			links[i] = l
			if _, err := l.Receive(t.Context()); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	n.links = links
	return links, time.Since(start)
}

// Pattern: hundreds of small nodes follow one owner with a link of 200 Mbit/s. A change of ten
// servers' states reaches all of them within 200 ms in calm, and a new owner's complete state within
// the time in which nodes link again.
func TestUpdatesReachHundredsOfNodes(t *testing.T) {
	for _, c := range []struct {
		nodes, servers int
		complete       time.Duration
	}{{7, 256, time.Second}, {295, 256, 2 * time.Second}, {940, 256, 4 * time.Second}, {60, 10_000, 8 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			var initial Update
			for s := range c.servers {
				initial.Servers = append(initial.Servers, stateOf(s, 1))
			}
			n := newTestNetwork(&Hub{BytesPerSecond: fastLink * 2 / 5}, initial)
			links, took := n.linkAll(t, c.nodes, fastLink/10)
			if t.Failed() {
				return
			}
			if took > c.complete {
				t.Errorf("%d nodes, %d servers: all have the complete state after %v, want %v at most", c.nodes, c.servers, took, c.complete)
			}
			stateBytes, _ := n.owner.Bytes()
			time.Sleep(time.Second)
			var change Update
			for s := range 10 {
				change.Servers = append(change.Servers, stateOf(s, 2))
			}
			start := time.Now()
			if err := n.hub.Broadcast(change); err != nil {
				t.Fatal(err)
			}
			var group sync.WaitGroup
			for _, l := range links {
				group.Go(func() {
					if u, err := l.Receive(t.Context()); err != nil || len(u.Servers) != 10 {
						t.Errorf("got %d servers and %v, want 10", len(u.Servers), err)
					}
				})
			}
			group.Wait()
			if got, want := time.Since(start), 200*time.Millisecond; got > want {
				t.Errorf("%d nodes: a change reached all after %v, want %v at most", c.nodes, got, want)
			}
			sent, _ := n.owner.Bytes()
			t.Logf("%d nodes, %d servers: complete state at all after %v, %d bytes at the owner; a change of 10 servers after %v, %d bytes",
				c.nodes, c.servers, took, stateBytes, time.Since(start), sent-stateBytes)
			n.close()
		})
	}
}

// waiterCount is the number of nodes that wait for one cold model in a burst.
const waiterCount = 16

// Pattern: a burst of requests for one cold model while updates to all nodes wait for their turn.
func TestWaitingNodesGetAStateFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork(&Hub{BytesPerSecond: fastLink * 2 / 5}, Update{})
		links, _ := n.linkAll(t, 295, fastLink/10)
		if t.Failed() {
			return
		}
		var waiting []domain.NodeID
		for i, l := range links[:waiterCount] {
			id := domain.NodeID(fmt.Sprintf("node-%d", i))
			waiting = append(waiting, id)
			if err := l.Send(t.Context(), Report{Node: id}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		start := time.Now()
		if err := n.hub.Send(waiting, Update{Servers: []ServerState{stateOf(1, 2)}}); err != nil {
			t.Fatal(err)
		}
		for _, l := range links[:waiterCount] {
			if _, err := l.Receive(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if got, want := time.Since(start), n.Delay+20*time.Millisecond; got > want {
			t.Errorf("the last of %d waiting nodes has the state after %v, want %v at most", waiterCount, got, want)
		}
		n.close()
	})
}
