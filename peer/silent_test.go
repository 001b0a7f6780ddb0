package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/verdict"
)

// blackholeDialer dials connections that can be made to drop all bytes in both
// directions.
type blackholeDialer struct {
	mu    sync.Mutex
	conns []*blackholeConn
}

type blackholeConn struct {
	net.Conn
	mu       sync.Mutex
	dropping bool
}

func (s *blackholeDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &blackholeConn{Conn: conn}
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	return c, nil
}

// dropTraffic makes all open connections drop their bytes. New connections work.
func (s *blackholeDialer) dropTraffic() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.mu.Lock()
		c.dropping = true
		c.mu.Unlock()
	}
}

func (c *blackholeConn) isDropping() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.isDropping() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *blackholeConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isDropping() {
			return n, err
		}
	}
}

func TestUnresponsiveLinkIsDroppedAndRedialled(t *testing.T) {
	t.Parallel()
	g := &testCluster{t: t}
	var s blackholeDialer
	scope := tally.NewTestScope("", nil)
	// Without a list of VMs b does not dial, so that a dials every link and the test
	// can block it.
	b := g.start("b", func(o *Options) { o.Seeds = nil })
	a := g.start("a", func(o *Options) { o.Dial, o.Scope = s.dial, scope })
	eventually(t, "two members", func() bool { return len(a.Members()) == 2 && len(b.Members()) == 2 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a.mu.Lock()
	dialled := a.remotes["b"].newestLink().dialled
	a.mu.Unlock()
	if !dialled {
		t.Fatal("got a link that b dialled, want a link that a dialled, which the test can block")
	}
	s.dropTraffic()
	_, err := a.Call(ctx, "b", SnapshotRequest{})
	if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; err == nil || got != want {
		t.Errorf("got %v over an unresponsive link, want %v", err, want)
	}
	if _, err := a.Call(ctx, "b", SnapshotRequest{}); err != nil {
		t.Errorf("got %v after the unresponsive link was closed, want a response", err)
	}
	if got := scope.Snapshot().Counters()["peer.silent_links+"].Value(); got < 1 {
		t.Errorf("got %d unresponsive links counted, want at least 1", got)
	}
	for _, n := range []*node{a, b} {
		if got, want := len(n.Members()), 2; got != want {
			t.Errorf("got %d members, want %d: an unresponsive link does not show that the node is dead", got, want)
		}
	}
}
