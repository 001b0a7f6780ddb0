package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/verdict"
)

// group is a few nodes on loopback with a list of VMs that never drops one.
type group struct {
	t    *testing.T
	mu   sync.Mutex
	list []Member
}

type node struct {
	*Mesh
	got  chan Message
	stop func()
}

func (g *group) seeds(context.Context) ([]Member, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Member(nil), g.list...), nil
}

func (g *group) start(name string, change func(*Options)) *node {
	g.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		g.t.Fatal(err)
	}
	n := &node{got: make(chan Message, 100)}
	o := Options{
		Self:     Member{Node: domain.NodeID(name), Address: listener.Addr().String(), Region: "r", Zone: "z"},
		Listener: listener,
		Seeds:    g.seeds,
		Handler:  n.handleTest,
	}
	if change != nil {
		change(&o)
	}
	n.Mesh = NewMesh(o)
	g.mu.Lock()
	g.list = append(g.list, o.Self)
	g.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	var once sync.Once
	n.stop = func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				g.t.Errorf("got %v from Run, want nil", err)
			}
		})
	}
	g.t.Cleanup(n.stop)
	return n
}

func (n *node) handleTest(ctx context.Context, _ domain.NodeID, m Message) (Message, error) {
	switch m := m.(type) {
	case SnapshotRequest:
		return Snapshot{Through: m.AtLeast}, nil
	case Wake:
		<-ctx.Done()
		return nil, verdict.Refuse(verdict.DeadlineTooShort, "test").WithRetryAfter(time.Minute)
	case Load:
		return nil, verdict.Refuse(verdict.NoCapacity, "test").WithRetryAfter(time.Minute)
	default:
		n.got <- m
		return nil, nil
	}
}

// eventually waits for a condition; the bound only keeps a failed test short.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("got no %s after 10 s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (g *group) three() (a, b, c *node) {
	a, b, c = g.start("a", nil), g.start("b", nil), g.start("c", nil)
	for _, n := range []*node{a, b, c} {
		eventually(g.t, "three members", func() bool { return len(n.Members()) == 3 })
	}
	return a, b, c
}

func TestCallsAnswerAndFail(t *testing.T) {
	a, b, _ := (&group{t: t}).three()
	ctx := context.Background()
	for _, to := range []domain.NodeID{"a", "b"} {
		var wait sync.WaitGroup
		for i := range 50 {
			wait.Go(func() {
				got, err := a.Call(ctx, to, SnapshotRequest{AtLeast: domain.Offset(i)})
				if want := domain.Offset(i); err != nil || got.(Snapshot).Through != want {
					t.Errorf("got %v %v, want %v", got, err, want)
				}
			})
		}
		wait.Wait()
		_, err := a.Call(ctx, to, Load{})
		e := verdict.Of(err)
		if e.Verdict != verdict.NotRun || e.Reason != verdict.NoCapacity || e.RetryAfter != time.Minute {
			t.Errorf("got %+v, want what the handler said", e)
		}
	}
	_, err := b.Call(ctx, "nobody", Load{})
	if e := verdict.Of(err); e.Verdict != verdict.NotRun || e.Reason != verdict.Unknown || !errors.Is(err, ErrUnreachable) {
		t.Errorf("got %v, want NotRun from no peer", err)
	}
}

func TestDeadlineGoesAlong(t *testing.T) {
	a, _, _ := (&group{t: t}).three()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := a.Call(ctx, "b", Wake{})
	got := verdict.Of(err).Reason
	if got != verdict.DeadlinePassed && got != verdict.DeadlineTooShort {
		t.Errorf("got %v, want the deadline", err)
	}
}

func TestOneWayMessagesKeepTheirOrder(t *testing.T) {
	a, b, c := (&group{t: t}).three()
	for i := range 20 {
		a.Send("b", ReleasePace{Slot: uint64(i)})
	}
	a.Broadcast(Suspects{})
	for i := range 20 {
		if got, want := <-b.got, (ReleasePace{Slot: uint64(i)}); got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	}
	<-b.got
	<-c.got
}

func TestDeadNodeIsNoticed(t *testing.T) {
	a, b, c := (&group{t: t}).three()
	start := time.Now()
	changed := a.Changed()
	c.stop()
	<-changed
	for _, n := range []*node{a, b} {
		eventually(t, "loss of c", func() bool { return !n.IsAlive("c") && len(n.Members()) == 2 })
	}
	t.Logf("noticed after %v", time.Since(start))
}

func TestLeavingNodeIsMarkedAtOnce(t *testing.T) {
	a, b, c := (&group{t: t}).three()
	if err := c.AnnounceLeaving(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, n := range []*node{a, b} {
		eventually(t, "leaving c", func() bool {
			for _, m := range n.Members() {
				if m.Node == "c" {
					return m.Leaving
				}
			}
			return false
		})
	}
	if _, err := a.Call(context.Background(), "c", SnapshotRequest{}); err != nil {
		t.Errorf("got %v from a leaving node, want an answer", err)
	}
	if !c.Left() {
		t.Error("got Left false, want true")
	}
}

func TestStrangersAreRefused(t *testing.T) {
	g := &group{t: t}
	a := g.start("a", nil)
	b := g.start("b", func(o *Options) { o.Cluster = "other" })
	time.Sleep(500 * time.Millisecond)
	if len(a.Members()) != 1 || len(b.Members()) != 1 {
		t.Errorf("got %v and %v, want nodes of two clusters apart", a.Members(), b.Members())
	}
}

func TestPartialViewsBeyondSixteen(t *testing.T) {
	g := &group{t: t}
	const count = 24
	var nodes []*node
	for i := range count {
		nodes = append(nodes, g.start(fmt.Sprintf("n%02d", i), nil))
	}
	for _, n := range nodes {
		eventually(t, "all members", func() bool { return len(n.Members()) == count })
	}
}
