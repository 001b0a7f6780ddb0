package hub

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/standin"
	"github.com/parsleylug/parsleylug/suspects"
)

const (
	// fastLink and slowLink are rates of links in bytes a second.
	fastLink = 25_000_000
	slowLink = 20_000
)

// testNetwork is a hub with the nodes that are linked to it, in memory.
type testNetwork struct {
	standin.Network
	hub   *Hub
	owner *standin.Host
	links []*Link
}

// newTestNetwork starts a hub whose complete state is initial.
func newTestNetwork(h *Hub, initial Update) *testNetwork {
	n := &testNetwork{hub: h}
	n.Delay = 12 * time.Millisecond
	h.AcceptsLinks = func() bool { return true }
	h.InitialUpdate = func(start func(Update)) { start(initial) }
	if h.OnReport == nil {
		h.OnReport = func(Report) {}
	}
	n.owner = n.Host("10.0.0.1:1", fastLink)
	go func() { _ = (&http.Server{Handler: h}).Serve(n.owner) }()
	return n
}

// link links a node to the hub and tells the hub its name.
func (n *testNetwork) link(t *testing.T, id domain.NodeID, bytesPerSecond int) *Link {
	t.Helper()
	l, err := Dial(t.Context(), n.Host(string(id), bytesPerSecond), "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := l.Send(t.Context(), Report{Node: id}); err != nil {
		t.Fatal(err)
	}
	n.links = append(n.links, l)
	return l
}

// close ends all links, so that the goroutines of the test end.
func (n *testNetwork) close() {
	for _, l := range n.links {
		l.Close()
	}
	n.hub.Close()
	n.owner.Kill()
	time.Sleep(time.Minute)
}

// stateOf returns the state of a server after a number of orders.
func stateOf(server, sequence int) ServerState {
	return ServerState{ID: domain.ServerID(fmt.Sprintf("i-%04d", server)), EngineState: fleet.EngineState{StartedAtMs: 5, Sequence: uint64(sequence), Models: []fleet.LoadedModel{{Model: "model-of-some-length"}}}}
}

// Pattern: the states of many servers change faster than a node's link carries the changes. Guards
// against a link that is dropped for it, after which the node gets the complete state.
func TestSlowNodeGetsTheNewestStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork(&Hub{}, Update{})
		fast, slow := n.link(t, "fast", fastLink), n.link(t, "slow", slowLink)
		const servers, rounds = 20, 300
		go func() {
			for r := 1; r <= rounds; r++ {
				for s := range servers {
					if err := n.hub.Broadcast(Update{NodeCount: 3, Servers: []ServerState{stateOf(s, r)}}); err != nil {
						t.Error(err)
					}
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
		var readers sync.WaitGroup
		readers.Go(func() { awaitStates(t, "fast", fast, 3100*time.Millisecond, servers, rounds) })
		// The connection holds its window of bytes that are older than the newest states.
		const window = 64 << 10
		readers.Go(func() { awaitStates(t, "slow", slow, 4*time.Second+window*time.Second/slowLink, servers, rounds) })
		readers.Wait()
		n.close()
	})
}

// awaitStates reads updates until the newest state of each server is that after a number of orders,
// for limit at most.
func awaitStates(t *testing.T, name string, l *Link, limit time.Duration, servers, orders int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	newest := map[domain.ServerID]uint64{}
	missing := servers
	for missing > 0 {
		u, err := l.Receive(ctx)
		if err != nil {
			t.Errorf("%s: %v; states %v", name, err, newest)
			return
		}
		for _, s := range u.Servers {
			got := s.EngineState.Sequence
			if got < newest[s.ID] {
				t.Errorf("%s: %s went back from %d to %d", name, s.ID, newest[s.ID], got)
			}
			newest[s.ID] = got
			if got == uint64(orders) {
				missing--
			}
		}
	}
}

// Pattern: one cold model, a node that waits for it and many that do not.
func TestSendReachesOnlyTheNamedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newTestNetwork(&Hub{}, Update{NodeCount: 1})
		waiting, other := n.link(t, "waiting", fastLink), n.link(t, "other", fastLink)
		time.Sleep(time.Second)
		for _, l := range []*Link{waiting, other} {
			if u, err := l.Receive(t.Context()); err != nil || u.NodeCount != 1 {
				t.Fatalf("first update: got %+v and %v", u, err)
			}
		}
		sentAt := time.Now()
		if err := n.hub.Send([]domain.NodeID{"waiting", "unknown"}, Update{Servers: []ServerState{stateOf(1, 7)}}); err != nil {
			t.Fatal(err)
		}
		u, err := waiting.Receive(t.Context())
		if err != nil || len(u.Servers) != 1 || u.Servers[0].EngineState.Sequence != 7 {
			t.Errorf("got %+v and %v, want the state of one server", u, err)
		}
		if got, want := time.Since(sentAt), n.Delay+20*time.Millisecond; got > want {
			t.Errorf("arrived after %v, want %v at most", got, want)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if u, err := other.Receive(ctx); err == nil {
			t.Errorf("another node got %+v", u)
		}
		n.close()
	})
}

// Pattern: all nodes link at once to an owner with a slow link. Guards against the loss of the
// owner's lease, whose renewals waited behind the complete state for all nodes.
func TestUpdatesLeavePartOfTheLinkFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var initial Update
		for s := range 256 {
			initial.Servers = append(initial.Servers, stateOf(s, 1))
		}
		const limit = 1_000_000
		n := newTestNetwork(&Hub{BytesPerSecond: limit}, initial)
		start := time.Now()
		for i := range 100 {
			n.link(t, domain.NodeID(fmt.Sprintf("node-%d", i)), fastLink)
		}
		before, _ := n.owner.Bytes()
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			sent, _ := n.owner.Bytes()
			if got, want := float64(sent), 1.1*(limit*time.Since(start).Seconds()+rateBurstBytes)+float64(before); got > want {
				t.Errorf("after %v: sent %v bytes, want %v at most", time.Since(start), got, want)
			}
		}
		for _, l := range n.links {
			if u, err := l.Receive(t.Context()); err != nil || len(u.Servers) != 256 {
				t.Fatalf("got %d servers and %v", len(u.Servers), err)
			}
		}
		n.close()
	})
}

func TestMergedUpdateHasTheEffectOfAll(t *testing.T) {
	change := func(id string, offset domain.Offset) fleet.Change {
		return fleet.Change{ID: domain.ServerID(id), Offset: offset}
	}
	first := Update{
		NodeCount: 3, Servers: []ServerState{stateOf(1, 1), stateOf(2, 1)}, Store: StoreUpdate{RegistrationsOffset: 5, RegistrationsRead: true},
		CrashReports: []suspects.Report{{Crashes: 1}}, StoreFailure: StoreFailure{Known: true, Age: time.Second}, Registrations: RegistrationChanges{Previous: 1, Offset: 5, Changes: []fleet.Change{change("a", 4)}},
	}
	second := Update{Servers: []ServerState{stateOf(2, 2)}, Registrations: RegistrationChanges{Previous: 5, Offset: 9, Changes: []fleet.Change{change("b", 8)}}}
	third := Update{NodeCount: 4, Store: StoreUpdate{ConfigurationOffset: 2, RegistrationsOffset: 9}, CrashReports: []suspects.Report{{Crashes: 2}}}
	got := mergedUpdate([]*message{{update: first}, {update: second}, {update: third}})
	want := Update{
		NodeCount: 4, Servers: []ServerState{stateOf(1, 1), stateOf(2, 2)},
		Store:         StoreUpdate{ConfigurationOffset: 2, RegistrationsOffset: 9, RegistrationsRead: true},
		CrashReports:  []suspects.Report{{Crashes: 1}, {Crashes: 2}},
		StoreFailure:  StoreFailure{Known: true, Age: time.Second},
		Registrations: RegistrationChanges{Previous: 1, Offset: 9, Changes: []fleet.Change{change("a", 4), change("b", 8)}},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// A node that knows all changes before the first ones must not take the merged ones for complete.
func TestMergedRegistrationsKeepAGap(t *testing.T) {
	first := RegistrationChanges{Previous: 1, Offset: 5, Changes: []fleet.Change{{ID: "a", Offset: 4}}}
	second := RegistrationChanges{Previous: 7, Offset: 9, Changes: []fleet.Change{{ID: "b", Offset: 8}}}
	if got, want := first.followedBy(second).Previous, domain.Offset(7); got != want {
		t.Errorf("got the changes after %d, want %d", got, want)
	}
}
