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

// repaired is within how long a node learns what it missed.
const repaired = 10 * time.Second

// network joins the News of nodes without links.
type network struct {
	mu      sync.Mutex
	members []peer.Member
	nodes   map[domain.NodeID]*Deps
	state   fold.State
	// lose is the share of messages that are lost.
	lose float64
	// deaf gets no message.
	deaf domain.NodeID
	sent map[string]int
}

// station is one node's side of a network; it implements Mesh and Agreement.
type station struct {
	*network
	self domain.NodeID
}

func (s station) Call(context.Context, domain.NodeID, peer.Message) (peer.Message, error) {
	return nil, noRoom("no calls here")
}

func (s station) Send(to domain.NodeID, m peer.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := fmt.Sprintf("%T", m)
	s.sent[kind]++
	target, ok := s.nodes[to]
	// What is lost, and how late the others are, hangs on the message alone and not on
	// the order of goroutines.
	chance := xxhash.Sum64String(fmt.Sprint(s.self, to, kind, time.Now().UnixNano()))
	if !ok || to == s.deaf || float64(chance%1000) < 1000*s.lose {
		return
	}
	delay := time.Duration(1+chance/1000%20) * time.Millisecond
	time.AfterFunc(delay, func() { target.News.handle(s.self, m) })
}

func (s station) Broadcast(peer.Message)   {}
func (s station) Members() []peer.Member   { return s.members }
func (s station) Alive(domain.NodeID) bool { return true }
func (s station) View(f func(*fold.State)) { s.mu.Lock(); defer s.mu.Unlock(); f(&s.state) }
func (s station) Changed() <-chan struct{} { return nil }

func (s station) Propose(context.Context, ...fold.Record) ([]fold.RecordResult, error) {
	return nil, noRoom("no log here")
}

func newNetwork(zones, size int) *network {
	n := &network{nodes: map[domain.NodeID]*Deps{}, sent: map[string]int{}}
	for i := range zones * size {
		z := i % zones
		n.members = append(n.members, peer.Member{
			Node:   domain.NodeID(fmt.Sprintf("n%03d", i)),
			Region: domain.Region(fmt.Sprintf("r%d", z%2)), Zone: domain.Zone(fmt.Sprintf("z%d", z)),
		})
	}
	return n
}

func (n *network) start(ctx context.Context, i int) *Deps {
	m := n.members[i]
	s := station{n, m.Node}
	d := &Deps{Self: m, Agreement: s, Mesh: s, Directory: &Directory{}, Reports: &Reports{}}
	d.News = NewNews(d)
	n.mu.Lock()
	n.nodes[m.Node] = d
	n.mu.Unlock()
	go d.News.Run(ctx)
	return d
}

func (n *network) setLoss(share float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = share
}

func (n *network) setDeaf(to domain.NodeID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deaf = to
}

func (n *network) count(message string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[message]
}

// missing counts the started nodes whose report of a server has another version.
func (n *network) missing(r peer.ServerReport) (missing int) {
	for _, d := range n.nodes {
		if d.Reports.Version(r.Server) != r.Version() {
			missing++
		}
	}
	return missing
}

// settle waits until every node has a report and returns how long that took.
func (n *network) settle(t *testing.T, r peer.ServerReport) time.Duration {
	t.Helper()
	began := time.Now()
	for n.missing(r) > 0 {
		if time.Since(began) > repaired {
			t.Fatalf("got %d nodes without the report after %v", n.missing(r), repaired)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func loadedReport(f domain.Fence, sequence uint64) peer.ServerReport {
	return peer.ServerReport{Server: "s", Fence: f, Sequence: sequence, Alive: true, Models: []peer.ModelReport{{Model: "m"}}}
}

func TestLostNewsIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // The goroutines end within the bubble.
		defer cancel()
		n := newNetwork(4, 15)
		for i := range n.members[1:] {
			n.start(ctx, i)
		}
		owner := n.nodes[n.members[7].Node].News
		first := loadedReport(5, 1)
		owner.Publish(first)
		if got, want := n.settle(t, first), 200*time.Millisecond; got > want {
			t.Errorf("got news everywhere after %v, want it within %v", got, want)
		}
		n.setLoss(1)
		second := loadedReport(5, 2)
		owner.Publish(second)
		time.Sleep(time.Second)
		if got, want := n.missing(second), len(n.nodes)-1; got != want {
			t.Fatalf("got %d nodes without the lost news, want %d", got, want)
		}
		n.setLoss(0.2)
		t.Logf("news that all missed is everywhere after %v with 20%% loss", n.settle(t, second))
		n.setLoss(0)
		late := n.start(ctx, len(n.members)-1)
		t.Logf("a late node knows it after %v", n.settle(t, second))
		third := loadedReport(6, 1)
		late.News.Publish(third)
		owner.Publish(loadedReport(5, 3))
		t.Logf("a new owner's news is everywhere after %v", n.settle(t, third))
		n.setDeaf(n.members[11].Node)
		fourth := loadedReport(6, 2)
		late.News.Publish(fourth)
		time.Sleep(100 * time.Millisecond)
		n.setDeaf("")
		if got, want := n.settle(t, fourth), 2*compareInterval; got > want {
			t.Errorf("got news at the node that missed it after %v, want it within %v", got, want)
		}
		before := n.count("peer.ReportVersions") + n.count("peer.Reports")
		time.Sleep(10 * time.Second)
		if got := n.count("peer.ReportVersions") + n.count("peer.Reports") - before; got != 0 {
			t.Errorf("got %d messages besides digests while nothing changes, want none", got)
		}
	})
}

func TestLoadsGoToWhoRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		n := newNetwork(2, 5)
		for i := range n.members {
			n.start(ctx, i)
		}
		owner, router := n.nodes["n000"], n.nodes["n003"]
		n.mu.Lock()
		n.state.Apply(1, fold.Batch{Node: "n000", First: 1, Records: []fold.Record{fold.LeaseTaken{Server: "s", Owner: "n000"}}})
		n.mu.Unlock()
		r := loadedReport(1, 1)
		owner.News.Publish(r)
		n.settle(t, r)
		running := 0
		offer := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
				running++
				owner.News.Offer(reports.Loads{Server: "s", Fence: 1, Models: []reports.Load{{Model: "m", Running: running}}})
			}
		}
		offer(time.Second)
		if got := n.count("peer.Loads"); got != 0 {
			t.Errorf("got %d loads to nodes that route nowhere, want none", got)
		}
		router.News.Use(router.Reports.Ready("m", time.Now()), time.Now())
		offer(4 * time.Second)
		got := router.Reports.Ready("m", time.Now())[0].Replica.Running
		if want := reports.QuantiseRunning(running, 8); got == 0 || got > running || want == 0 {
			t.Errorf("got %d running at the router, want about %d", got, running)
		}
		if got, most := n.count("peer.Loads"), 4*4+1; got > most {
			t.Errorf("got %d loads in 4 s, want at most %d", got, most)
		}
		if l := n.nodes["n005"].Reports.Ready("m", time.Now())[0]; l.Replica.Running != 0 {
			t.Errorf("got %d running at a node that does not route, want none", l.Replica.Running)
		}
		offer(10*time.Second + reports.SubscriptionLifetime)
		before := n.count("peer.Loads")
		offer(5 * time.Second)
		if got := n.count("peer.Loads") - before; got != 0 {
			t.Errorf("got %d loads after the last use, want none", got)
		}
	})
}

// TestNewsAtThePlannedSize spreads one change over 22 availability zones.
func TestNewsAtThePlannedSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second)
		defer cancel()
		n := newNetwork(22, 43)
		for i := range n.members {
			n.start(ctx, i)
		}
		owner := n.nodes[n.members[7].Node].News
		begin := loadedReport(5, 1)
		owner.Publish(begin)
		n.settle(t, begin)
		time.Sleep(5 * time.Second)
		before := n.count("peer.Reports")
		first := loadedReport(5, 2)
		owner.Publish(first)
		took, sent := n.settle(t, first), n.count("peer.Reports")-before
		if most := len(n.members) * 11 / 10; sent > most || took > 200*time.Millisecond {
			t.Errorf("got news everywhere after %v in %d messages, want 200 ms and %d", took, sent, most)
		}
		t.Logf("one change is at %d nodes after %v in %d messages", len(n.members), took, sent)
		n.setLoss(1)
		second := loadedReport(5, 3)
		owner.Publish(second)
		time.Sleep(time.Second)
		n.setLoss(0)
		t.Logf("news that all missed is everywhere after %v", n.settle(t, second))
	})
}
