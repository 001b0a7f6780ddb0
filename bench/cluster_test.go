package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/relay"
	"github.com/parsleylug/parsleylug/reports"
)

const (
	zonesPerRegion = 4
	regions        = 6
	// packetOverhead is what IPv4 and TCP with timestamps add to a segment or
	// an acknowledgement, in bytes.
	packetOverhead = 52
)

// cluster is a number of real nodes with real links in one process.
type cluster struct {
	tb      testing.TB
	traffic traffic
	mu      sync.Mutex
	list    map[domain.NodeID]peer.Member
	nodes   []*clusterNode
	// log is the decision stream; readers poll it.
	log     [][]byte
	started int
	// opened counts the connections ever made.
	opened atomic.Int64
}

type traffic struct{ bytes, packets, farBytes, farPackets atomic.Int64 }

// total counts both ends of each connection, with packet overhead and one
// acknowledgement a packet.
func (t *traffic) total() float64 {
	return 2 * float64(t.bytes.Load()+2*packetOverhead*t.packets.Load())
}

func (t *traffic) far() float64 {
	return float64(t.farBytes.Load() + 2*packetOverhead*t.farPackets.Load())
}

type clusterNode struct {
	*peer.Mesh
	relay  *relay.Forwarder
	member peer.Member
	cancel context.CancelFunc
	done   chan struct{}
	mu     sync.Mutex
	next   domain.Offset
	kick   chan struct{}
	// reached is when the node got the record at next-1.
	reached time.Time
}

func newCluster(tb testing.TB, size int) *cluster {
	c := &cluster{tb: tb, list: map[domain.NodeID]peer.Member{}}
	for range size {
		c.start()
	}
	return c
}

// start adds a node in the next zone in turn.
func (c *cluster) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.tb.Fatal(err)
	}
	c.mu.Lock()
	i := c.started
	c.started++
	region := domain.Region(fmt.Sprintf("region-%d", i%regions))
	n := &clusterNode{
		member: peer.Member{
			Node: domain.NodeID(fmt.Sprintf("entry-%04d-%08x", i, i*7919)), Address: listener.Addr().String(),
			AdminAddress: listener.Addr().String(), Region: region,
			Zone: domain.Zone(fmt.Sprintf("%s-%d", region, i/regions%zonesPerRegion)),
		},
		done: make(chan struct{}), next: 1, kick: make(chan struct{}, 1),
	}
	c.list[n.member.Node] = n.member
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.Mesh = peer.NewMesh(peer.Options{
		Self: n.member, Cluster: "bench", Listener: listener, Seeds: c.seeds,
		Handler: n.handle, Dial: c.dialler(region),
	})
	n.relay = relay.NewForwarder(relay.ForwarderOptions{Self: n.member.Node, Mesh: n.Mesh, Replica: n, NextOffset: n.nextOffset, IsLogReadable: func() bool { return true }})
	c.run(n)
}

func (c *cluster) run(n *clusterNode) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var wait sync.WaitGroup
	wait.Go(func() { _ = n.Run(ctx) })
	wait.Go(func() { _ = n.relay.Run(ctx) })
	wait.Go(func() { c.follow(ctx, n) })
	go func() { wait.Wait(); close(n.done) }()
}

func (c *cluster) stop(n *clusterNode) {
	n.cancel()
	<-n.done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.list, n.member.Node)
	for i, other := range c.nodes {
		if other == n {
			c.nodes = append(c.nodes[:i:i], c.nodes[i+1:]...)
			return
		}
	}
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.cancel()
	}
	for _, n := range c.nodes {
		<-n.done
	}
}

func (c *cluster) seeds(context.Context) ([]peer.Member, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := make([]peer.Member, 0, len(c.list))
	for _, m := range c.list {
		result = append(result, m)
	}
	return result, nil
}

func (c *cluster) dialler(from domain.Region) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.opened.Add(1)
		return &metered{Conn: conn, traffic: &c.traffic, far: c.regionOf(address) != from}, nil
	}
}

func (c *cluster) regionOf(address string) domain.Region {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.list {
		if m.Address == address {
			return m.Region
		}
	}
	return ""
}

// metered counts what goes over a connection in both directions.
type metered struct {
	net.Conn
	traffic *traffic
	far     bool
}

func (m *metered) count(n int) {
	if n <= 0 {
		return
	}
	m.traffic.bytes.Add(int64(n))
	m.traffic.packets.Add(1)
	if m.far {
		m.traffic.farBytes.Add(int64(n))
		m.traffic.farPackets.Add(1)
	}
}

func (m *metered) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.count(n)
	return n, err
}

func (m *metered) Write(p []byte) (int, error) {
	n, err := m.Conn.Write(p)
	m.count(n)
	return n, err
}

func (n *clusterNode) handle(_ context.Context, from domain.NodeID, m peer.Message) (peer.Message, error) {
	switch m := m.(type) {
	case peer.LogRecords:
		n.relay.Handle(from, m)
		return nil, nil
	case peer.Wake:
		return peer.Replicas{Model: m.Model, Servers: []domain.ServerID{"engine-1", "engine-2"}, ValidFor: time.Second}, nil
	case peer.StatusRequest:
		return peer.Applied{Decision: 1 << 30, Configuration: 1 << 24, Loads: []reports.Loads{serverReport().Loads().Total()}}, nil
	default:
		return nil, nil
	}
}

// Deliver does what a platformlog.Replica does, without a fold.
func (n *clusterNode) Deliver(first domain.Offset, records [][]byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if first > n.next {
		select {
		case n.kick <- struct{}{}:
		default:
		}
		return
	}
	if end := first + domain.Offset(len(records)); end > n.next {
		n.next, n.reached = end, time.Now()
	}
}

func (n *clusterNode) nextOffset() domain.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// follow reads the log while the node is a relay.
func (c *cluster) follow(ctx context.Context, n *clusterNode) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.kick:
		case <-ticker.C:
			if !n.relay.IsReader() {
				continue
			}
		}
		first := n.nextOffset()
		c.mu.Lock()
		records := c.log[min(int(first)-1, len(c.log)):]
		c.mu.Unlock()
		if len(records) > 0 {
			n.Deliver(first, records)
			n.relay.OnRecords(first, records)
		}
	}
}

func (c *cluster) append(size int) domain.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, make([]byte, size))
	return domain.Offset(len(c.log))
}

// whole waits until every node counts all and returns how long it took.
func (c *cluster) whole() time.Duration {
	return c.until(func(n *clusterNode) bool { return len(n.Members()) == len(c.nodes) })
}

// reached waits until every node has the record.
func (c *cluster) reached(o domain.Offset) time.Duration {
	return c.until(func(n *clusterNode) bool { return n.nextOffset() > o })
}

func (c *cluster) until(done func(*clusterNode) bool) time.Duration {
	start := time.Now()
	for time.Since(start) < settleTime {
		missing := 0
		for _, n := range c.nodes {
			if !done(n) {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return settleTime
}

// processorTime is what this process used so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is what live objects and stacks take, after two collections.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
