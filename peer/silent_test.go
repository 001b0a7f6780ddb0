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

// silencer dials connections that can be made to swallow everything.
type silencer struct {
	mu    sync.Mutex
	conns []*silentConn
}

type silentConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (s *silencer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn}
	s.mu.Lock()
	s.conns = append(s.conns, c)
	s.mu.Unlock()
	return c, nil
}

// silence makes the connections open now swallow everything; new ones work.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (c *silentConn) swallows() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.swallows() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.swallows() {
			return n, err
		}
	}
}

func TestSilentLinkIsDroppedAndRedialled(t *testing.T) {
	t.Parallel()
	g := &group{t: t}
	var s silencer
	scope := tally.NewTestScope("", nil)
	// Without a list b does not dial, so that the test can silence every link.
	b := g.start("b", func(o *Options) { o.Seeds = nil })
	a := g.start("a", func(o *Options) { o.Dial, o.Scope = s.dial, scope })
	eventually(t, "two members", func() bool { return len(a.Members()) == 2 && len(b.Members()) == 2 })
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a.mu.Lock()
	dialled := a.remotes["b"].best().dialled
	a.mu.Unlock()
	if !dialled {
		t.Fatal("got a link that b dialled, want a's, which the test can silence")
	}
	s.silence()
	_, err := a.Call(ctx, "b", SnapshotRequest{})
	if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; err == nil || got != want {
		t.Errorf("got %v over a silent link, want %v", err, want)
	}
	if _, err := a.Call(ctx, "b", SnapshotRequest{}); err != nil {
		t.Errorf("got %v after the silent link was dropped, want an answer", err)
	}
	if got := scope.Snapshot().Counters()["peer.silent_links+"].Value(); got < 1 {
		t.Errorf("got %d silent links counted, want at least 1", got)
	}
	for _, n := range []*node{a, b} {
		if got, want := len(n.Members()), 2; got != want {
			t.Errorf("got %d members, want %d: a silent link condemns no node", got, want)
		}
	}
}
