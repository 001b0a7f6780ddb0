package node

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// repairTimeout bounds the wait until every node has a report.
const repairTimeout = 10 * time.Second

// gossipNetwork connects the ReportGossip of nodes in memory.
type gossipNetwork struct {
	mu sync.Mutex
	// members are all nodes, started or not. nodes holds only the started nodes.
	members []peer.Member
	nodes   map[domain.NodeID]*Deps
	state   fold.State
	// lossRate is the share of messages that are lost, from 0 to 1.
	lossRate float64
	// unreachableNode receives no message.
	unreachableNode domain.NodeID
	// sent is the number of messages sent, lost ones included, by Go type.
	sent map[string]int
}

// gossipNode is one node's side of a gossipNetwork; it implements Mesh and ReplicatedState.
type gossipNode struct {
	*gossipNetwork
	self domain.NodeID
}

func (s gossipNode) Call(context.Context, domain.NodeID, peer.Message) (peer.Message, error) {
	return nil, noCapacity("no calls here")
}

func (s gossipNode) Send(to domain.NodeID, m peer.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := fmt.Sprintf("%T", m)
	s.sent[kind]++
	target, ok := s.nodes[to]
	// Derive loss and delay from the nodes, the type and the time, so that they do not depend
	// on the order of goroutines.
	hash := xxhash.Sum64String(fmt.Sprint(s.self, to, kind, time.Now().UnixNano()))
	if !ok || to == s.unreachableNode || float64(hash%1000) < 1000*s.lossRate {
		return
	}
	delay := time.Duration(1+hash/1000%20) * time.Millisecond
	time.AfterFunc(delay, func() { target.Gossip.handle(s.self, m) })
}

func (s gossipNode) Broadcast(peer.Message)     {}
func (s gossipNode) Members() []peer.Member     { return s.members }
func (s gossipNode) IsAlive(domain.NodeID) bool { return true }
func (s gossipNode) View(f func(*fold.State))   { s.mu.Lock(); defer s.mu.Unlock(); f(&s.state) }
func (s gossipNode) Changed() <-chan struct{}   { return nil }

func (s gossipNode) Propose(context.Context, ...fold.Record) ([]fold.RecordResult, error) {
	return nil, noCapacity("no log here")
}

// newGossipNetwork returns a network with nodesPerZone nodes in each zone, none of them started.
func newGossipNetwork(zones, nodesPerZone int) *gossipNetwork {
	n := &gossipNetwork{nodes: map[domain.NodeID]*Deps{}, sent: map[string]int{}}
	for i := range zones * nodesPerZone {
		z := i % zones
		n.members = append(n.members, peer.Member{
			Node:   domain.NodeID(fmt.Sprintf("n%03d", i)),
			Region: domain.Region(fmt.Sprintf("r%d", z%2)), Zone: domain.Zone(fmt.Sprintf("z%d", z)),
		})
	}
	return n
}

func (n *gossipNetwork) start(ctx context.Context, i int) *Deps {
	m := n.members[i]
	s := gossipNode{n, m.Node}
	d := &Deps{Self: m, State: s, Mesh: s, Directory: &Directory{}, Reports: &Reports{}}
	d.Gossip = NewReportGossip(d)
	n.mu.Lock()
	n.nodes[m.Node] = d
	n.mu.Unlock()
	go d.Gossip.Run(ctx)
	return d
}

func (n *gossipNetwork) setLossRate(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = share
}

func (n *gossipNetwork) setUnreachable(to domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachableNode = to
}

func (n *gossipNetwork) sentCount(message string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[message]
}

// countMissing returns the number of started nodes that do not have this version of a
// server's report.
func (n *gossipNetwork) countMissing(r peer.ServerReport) (count int) {
	for _, d := range n.nodes {
		if d.Reports.Version(r.Server) != r.Version() {
			count++
		}
	}
	return count
}

// awaitReport waits until every started node has a report and returns the duration of the
// wait.
func (n *gossipNetwork) awaitReport(t *testing.T, r peer.ServerReport) time.Duration {
	t.Helper()
	start := time.Now()
	for n.countMissing(r) > 0 {
		if time.Since(start) > repairTimeout {
			t.Fatalf("got %d nodes without the report after %v", n.countMissing(r), repairTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

func loadedReport(f domain.Fence, sequence uint64) peer.ServerReport {
	return peer.ServerReport{Server: "s", Fence: f, Sequence: sequence, Alive: true, Models: []peer.ModelReport{{Model: "m"}}}
}

// TestLostReportsAreRepaired guards against nodes that keep an outdated report. Every node
// must get the newest report after lost messages, after its late start, after a change of
// the owner and after it was unreachable. While nothing changes, no node may send reports.
func TestLostReportsAreRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // Lets the goroutines end within the bubble.
		defer cancel()
		n := newGossipNetwork(4, 15)
		for i := range n.members[1:] {
			n.start(ctx, i)
		}
		owner := n.nodes[n.members[7].Node].Gossip
		first := loadedReport(5, 1)
		owner.PublishReport(first)
		if got, want := n.awaitReport(t, first), 200*time.Millisecond; got > want {
			t.Errorf("got the report at every node after %v, want it within %v", got, want)
		}
		n.setLossRate(1)
		second := loadedReport(5, 2)
		owner.PublishReport(second)
		time.Sleep(time.Second)
		if got, want := n.countMissing(second), len(n.nodes)-1; got != want {
			t.Fatalf("got %d nodes without the lost report, want %d", got, want)
		}
		n.setLossRate(0.2)
		t.Logf("a report that all missed is at every node after %v with 20%% loss", n.awaitReport(t, second))
		n.setLossRate(0)
		lateNode := n.start(ctx, len(n.members)-1)
		t.Logf("a node that starts late has it after %v", n.awaitReport(t, second))
		third := loadedReport(6, 1)
		lateNode.Gossip.PublishReport(third)
		owner.PublishReport(loadedReport(5, 3))
		t.Logf("a new owner's report is at every node after %v", n.awaitReport(t, third))
		n.setUnreachable(n.members[11].Node)
		fourth := loadedReport(6, 2)
		lateNode.Gossip.PublishReport(fourth)
		time.Sleep(100 * time.Millisecond)
		n.setUnreachable("")
		if got, want := n.awaitReport(t, fourth), 2*compareInterval; got > want {
			t.Errorf("got the report at the node that missed it after %v, want it within %v", got, want)
		}
		before := n.sentCount("peer.ReportVersions") + n.sentCount("peer.Reports")
		time.Sleep(10 * time.Second)
		if got := n.sentCount("peer.ReportVersions") + n.sentCount("peer.Reports") - before; got != 0 {
			t.Errorf("got %d messages besides digests while nothing changes, want none", got)
		}
	})
}

// TestLoadsGoToSubscribersOnly checks that load counts reach a node, at a bounded rate, while
// it routes to the server, and that they reach no other node.
func TestLoadsGoToSubscribersOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		n := newGossipNetwork(2, 5)
		for i := range n.members {
			n.start(ctx, i)
		}
		owner, router := n.nodes["n000"], n.nodes["n003"]
		n.mu.Lock()
		n.state.Apply(1, fold.Batch{Node: "n000", First: 1, Records: []fold.Record{fold.LeaseTaken{Server: "s", Owner: "n000"}}})
		n.mu.Unlock()
		r := loadedReport(1, 1)
		owner.Gossip.PublishReport(r)
		n.awaitReport(t, r)
		running := 0
		publish := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
				running++
				owner.Gossip.PublishLoads(reports.Loads{Server: "s", Fence: 1, Models: []reports.Load{{Model: "m", Running: running}}})
			}
		}
		publish(time.Second)
		if got := n.sentCount("peer.Loads"); got != 0 {
			t.Errorf("got %d load messages without a subscriber, want none", got)
		}
		router.Gossip.FollowForRouting(router.Reports.ReadyReplicas("m", time.Now()), time.Now())
		publish(4 * time.Second)
		got := router.Reports.ReadyReplicas("m", time.Now())[0].Replica.Running
		if want := reports.QuantiseRunning(running, 8); got == 0 || got > running || want == 0 {
			t.Errorf("got %d running at the router, want about %d", got, running)
		}
		if got, most := n.sentCount("peer.Loads"), 4*4+1; got > most {
			t.Errorf("got %d load messages in 4 s, want at most %d", got, most)
		}
		if l := n.nodes["n005"].Reports.ReadyReplicas("m", time.Now())[0]; l.Replica.Running != 0 {
			t.Errorf("got %d running at a node that does not route, want none", l.Replica.Running)
		}
		publish(10*time.Second + reports.SubscriptionLifetime)
		before := n.sentCount("peer.Loads")
		publish(5 * time.Second)
		if got := n.sentCount("peer.Loads") - before; got != 0 {
			t.Errorf("got %d load messages after the subscription lapsed, want none", got)
		}
	})
}

// TestReportSpreadAtPlannedSize bounds the delay until one changed report is at every node,
// and the messages for it, with 43 nodes in each of 22 availability zones.
func TestReportSpreadAtPlannedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		n := newGossipNetwork(22, 43)
		for i := range n.members {
			n.start(ctx, i)
		}
		owner := n.nodes[n.members[7].Node].Gossip
		initial := loadedReport(5, 1)
		owner.PublishReport(initial)
		n.awaitReport(t, initial)
		time.Sleep(5 * time.Second)
		before := n.sentCount("peer.Reports")
		first := loadedReport(5, 2)
		owner.PublishReport(first)
		elapsed, sent := n.awaitReport(t, first), n.sentCount("peer.Reports")-before
		if most := len(n.members) * 11 / 10; sent > most || elapsed > 200*time.Millisecond {
			t.Errorf("got the report at every node after %v in %d messages, want 200 ms and %d", elapsed, sent, most)
		}
		t.Logf("a changed report is at %d nodes after %v in %d messages", len(n.members), elapsed, sent)
		n.setLossRate(1)
		second := loadedReport(5, 3)
		owner.PublishReport(second)
		time.Sleep(time.Second)
		n.setLossRate(0)
		t.Logf("a report that all missed is at every node after %v", n.awaitReport(t, second))
	})
}
