package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

// deliveryTarget is the longest permitted time from the append of a record until it
// reached every node.
const deliveryTarget = 3 * time.Second

func zoneMembers(n int) []peer.Member {
	var members []peer.Member
	for i := range n {
		members = append(members, peer.Member{Node: domain.NodeID(fmt.Sprintf("n%02d", i)), Region: "r", Zone: "z"})
	}
	return members
}

func TestRankingHasOneRelayPerZone(t *testing.T) {
	members := append(zoneMembers(6), peer.Member{Node: "other", Region: "r", Zone: "y"})
	members[2].Leaving = true
	var relays []domain.NodeID
	parents := map[domain.NodeID]int{}
	for _, m := range members[:6] {
		p := NewZoneRanking(m.Node, members)
		if got, want := len(p.Children()), FanOut; got > want {
			t.Errorf("%s: got %d children, want at most %d", m.Node, got, want)
		}
		for _, n := range p.Children() {
			parents[n]++
		}
		if p.Rank == 0 {
			relays = append(relays, m.Node)
		}
		if m.Leaving && p.Rank != 5 {
			t.Errorf("got rank %d for the leaving node, want the last", p.Rank)
		}
	}
	if len(relays) != 1 {
		t.Fatalf("got relays %v, want one", relays)
	}
	for _, m := range members[:6] {
		want := 1
		if m.Node == relays[0] {
			want = 0
		}
		if got := parents[m.Node]; got != want {
			t.Errorf("%s: got %d parents, want %d", m.Node, got, want)
		}
	}
	if p := NewZoneRanking("other", members); p.Rank != 0 || len(p.Children()) != 0 {
		t.Errorf("got %+v, want a node alone in its zone to read the log itself", p)
	}
}

func TestFailoverInOrderOfRank(t *testing.T) {
	now := time.Unix(100, 0)
	members := zoneMembers(12)
	ranked := NewZoneRanking(members[0].Node, members).Ranked
	var previousTimeout time.Duration
	for rank, n := range ranked {
		var m Monitor
		m.SetRanking(now, NewZoneRanking(n, members))
		timeout := m.Ranking().FailoverTimeout()
		if timeout < previousTimeout || timeout >= deliveryTarget {
			t.Errorf("rank %d: got failover timeout %v after %v, want it to grow and stay under %v", rank, timeout, previousTimeout, deliveryTarget)
		}
		previousTimeout = timeout
		if got, want := m.ShouldRead(now), rank == 0; got != want {
			t.Errorf("rank %d: got reads %v at once, want %v", rank, got, want)
		}
		if !m.ShouldRead(now.Add(timeout)) {
			t.Errorf("rank %d: got no read after %v without a relay", rank, timeout)
		}
		if got, want := m.RecordMessage(now.Add(timeout), ranked[0]), rank > 0; got != want {
			t.Errorf("rank %d: got %v for forwarding, want %v", rank, got, want)
		}
		if got, want := m.ShouldRead(now.Add(timeout)), rank == 0; got != want {
			t.Errorf("rank %d: got reads %v after the relay is back, want %v", rank, got, want)
		}
		if m.RecordMessage(now.Add(9*timeout), ranked[len(ranked)-1]) || !m.ShouldRead(now.Add(9*timeout)) {
			t.Errorf("rank %d: got a message from a worse rank counted, want it ignored", rank)
		}
	}
}

// network connects Forwarders by function calls; its log is a slice.
type network struct {
	mu         sync.Mutex
	log        [][]byte
	members    []peer.Member
	forwarders map[domain.NodeID]*testNode
	changed    chan struct{}
	downNodes  map[domain.NodeID]bool
	logReads   int
}

// testNode is a Forwarder with its mesh and its replica of the log.
type testNode struct {
	*Forwarder
	network *network
	self    domain.NodeID
	// readNow makes read read the log once, although the node is not a reader.
	readNow    chan struct{}
	nextOffset domain.Offset
}

func (n *testNode) Members() []peer.Member   { return n.network.members }
func (n *testNode) Changed() <-chan struct{} { return n.network.changed }

func (n *testNode) Send(to domain.NodeID, m peer.Message) {
	go func() {
		n.network.mu.Lock()
		down := n.network.downNodes[to] || n.network.downNodes[n.self]
		n.network.mu.Unlock()
		if !down {
			n.network.forwarders[to].Handle(n.self, m.(peer.LogRecords))
		}
	}()
}

func (n *testNode) Deliver(first domain.Offset, records [][]byte) {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	if first > n.nextOffset {
		select {
		case n.readNow <- struct{}{}:
		default:
		}
		return
	}
	n.nextOffset = max(n.nextOffset, first+domain.Offset(len(records)))
}

// read reads the log as a platformlog.Replica does.
func (n *testNode) read(ctx context.Context) {
	for ctx.Err() == nil {
		if !n.IsReader() {
			select {
			case <-ctx.Done():
				return
			case <-n.readNow:
			}
		}
		n.network.mu.Lock()
		n.network.logReads++
		first, records := n.nextOffset, slices.Clone(n.network.log[n.nextOffset-1:])
		n.nextOffset += domain.Offset(len(records))
		down := n.network.downNodes[n.self]
		n.network.mu.Unlock()
		if len(records) > 0 && !down {
			n.OnRecords(first, records)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// isDelivered reports whether every node that is not down has the record at offset o.
func (n *network) isDelivered(o domain.Offset) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, node := range n.forwarders {
		if !n.downNodes[id] && node.nextOffset <= o {
			return false
		}
	}
	return true
}

// append adds a record to the log and returns its offset.
func (n *network) append() domain.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, []byte("x"))
	return domain.Offset(len(n.log))
}

func startNetwork(ctx context.Context, size int) (*network, []domain.NodeID) {
	n := &network{members: zoneMembers(size), forwarders: map[domain.NodeID]*testNode{}, changed: make(chan struct{}), downNodes: map[domain.NodeID]bool{}}
	for _, m := range n.members {
		t := &testNode{network: n, self: m.Node, readNow: make(chan struct{}, 1), nextOffset: 1}
		next := func() domain.Offset { n.mu.Lock(); defer n.mu.Unlock(); return t.nextOffset }
		t.Forwarder = NewForwarder(ForwarderOptions{Self: m.Node, Mesh: t, Replica: t, NextOffset: next, IsLogReadable: func() bool { return true }})
		n.forwarders[m.Node] = t
	}
	for _, t := range n.forwarders {
		go func() { _ = t.Run(ctx) }()
		go t.read(ctx)
	}
	return n, NewZoneRanking(n.members[0].Node, n.members).Ranked
}

func TestOneReaderServesTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // The goroutines end within the bubble.
		defer cancel()
		n, ranked := startNetwork(ctx, 42)
		time.Sleep(10 * time.Second)
		readers := 0
		for _, r := range n.forwarders {
			if r.IsReader() {
				readers++
			}
		}
		if readers != 1 {
			t.Errorf("got %d readers of the log, want 1", readers)
		}
		o := n.append()
		time.Sleep(200 * time.Millisecond)
		if !n.isDelivered(o) {
			t.Error("got a record not delivered everywhere after 200 ms")
		}
		n.mu.Lock()
		n.downNodes[ranked[0]] = true
		n.mu.Unlock()
		o = n.append()
		time.Sleep(deliveryTarget)
		if !n.isDelivered(o) {
			t.Errorf("got a record not delivered everywhere %v after the relay failed", deliveryTarget)
		}
		readers = 0
		for id, r := range n.forwarders {
			if r.IsReader() && id != ranked[0] {
				readers++
			}
		}
		if readers > FanOut {
			t.Errorf("got %d readers after the relay failed, want its %d children at most", readers, FanOut)
		}
	})
}

func TestMessageSizeIsBounded(t *testing.T) {
	records := [][]byte{make([]byte, 200_000), make([]byte, 200_000), make([]byte, 900_000)}
	for _, want := range []int{1, 1, 1} {
		got := recordsPerMessage(records)
		if got != want {
			t.Fatalf("got %d records in a message, want %d", got, want)
		}
		records = records[got:]
	}
}
