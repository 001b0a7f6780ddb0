package entry

import (
	"context"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/standin"
)

// Guards against an owner that drops all links and forgets what the nodes wait for because its
// renewals got no response for a moment, and serves everything again after the next one.
func TestExpiredLeaseKeepsLinksAndDemand(t *testing.T) {
	run(t, false, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(3 * time.Second)
		link, end := linkTo(t, n)
		p.update(func() { p.failing = true })
		time.Sleep(n.TimeToLive)
		if n.lease.IsHeld(n.Uptime.Now()) {
			t.Fatal("the lease is still held")
		}
		demand := placement.Demand{ModelKey: placement.ModelKey{Service: "s", Model: "m"}, Waiting: 1, Arrivals: 1}
		if err := link.Send(context.Background(), hub.Report{Node: "other", Demands: []placement.Demand{demand}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(500 * time.Millisecond)
		if got, want := p.orderCount(), 0; got != want {
			t.Errorf("orders under an expired lease: got %d, want %d", got, want)
		}
		if got, want := n.Hub.LinkCount(), 1; got != want {
			t.Errorf("links after the lease expired: got %d, want %d", got, want)
		}
		p.update(func() { p.failing = false })
		time.Sleep(2 * time.Second)
		if got, want := p.orderCount(), 1; got != want {
			t.Errorf("orders after the lease was granted again: got %d, want %d", got, want)
		}
		link.Close()
		end()
		time.Sleep(time.Minute)
	})
}

// An owner that gets no grant within another time-to-live may have a successor, to which the other
// nodes must link.
func TestLinksEndATimeToLiveAfterTheLease(t *testing.T) {
	run(t, false, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(3 * time.Second)
		link, end := linkTo(t, n)
		p.update(func() { p.failing = true })
		time.Sleep(2*n.TimeToLive + idleInterval)
		if got, want := n.Hub.LinkCount(), 0; got != want || n.acceptsLinks() {
			t.Errorf("got %d links, accepting %v, want %d and false", got, n.acceptsLinks(), want)
		}
		link.Close()
		end()
		time.Sleep(time.Minute)
	})
}

// Guards against links of nobody that count as nodes: the shares of the retry budget of all nodes
// fall with the largest number of nodes that an owner has told.
func TestLinkWithoutReportIsNoNode(t *testing.T) {
	run(t, true, func(n *Node, _ *fakePlatform, _ *clock) {
		time.Sleep(linkGracePeriod + 2*time.Second)
		link, end := linkTo(t, n)
		time.Sleep(2 * time.Second)
		if got, want := n.NodeCount(), 1; got != want {
			t.Errorf("got %d nodes with a link of nobody, want %d", got, want)
		}
		if err := link.Send(context.Background(), hub.Report{Node: "n2"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got, want := n.NodeCount(), 2; got != want {
			t.Errorf("got %d nodes after the report of one, want %d", got, want)
		}
		link.Close()
		end()
		time.Sleep(time.Minute)
	})
}

// linkTo links to a node's hub in memory and receives the first update. The caller must call end.
func linkTo(t *testing.T, n *Node) (l *hub.Link, end func()) {
	t.Helper()
	var network standin.Network
	owner, other := network.Host("10.0.0.1:1", largeLink), network.Host("10.0.0.2:1", largeLink)
	serveHub(owner, n)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	link, err := hub.Dial(ctx, other, "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := link.Receive(ctx); err != nil {
		t.Fatal(err)
	}
	return link, owner.Kill
}
