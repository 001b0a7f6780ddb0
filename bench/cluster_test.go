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
	// packetOverhead is the size in bytes of the IPv4 and TCP headers, with timestamps, of a
	// segment or an acknowledgement.
	packetOverhead = 52
)

// cluster runs the meshes and log forwarders of several nodes in one process, linked over TCP.
type cluster struct {
	tb      testing.TB
	traffic traffic
	mu      sync.Mutex
	members map[domain.NodeID]peer.Member
	nodes   []*clusterNode
	// log is the shared decision log. The nodes that read it poll it.
	log     [][]byte
	started int
	// opened counts all connections opened so far.
	opened atomic.Int64
}

// traffic counts the bytes and packets at the dialling end of the connections.
type traffic struct{ bytes, packets, crossRegionBytes, crossRegionPackets atomic.Int64 }

// total returns the bytes at both ends of all connections, with packet headers and one
// acknowledgement for each packet.
func (t *traffic) total() float64 {
	return 2 * float64(t.bytes.Load()+2*packetOverhead*t.packets.Load())
}

// crossRegion returns the bytes between regions, with the same overhead, counted once.
func (t *traffic) crossRegion() float64 {
	return float64(t.crossRegionBytes.Load() + 2*packetOverhead*t.crossRegionPackets.Load())
}

type clusterNode struct {
	*peer.Mesh
	relay   *relay.Forwarder
	member  peer.Member
	cancel  context.CancelFunc
	done    chan struct{}
	mu      sync.Mutex
	next    domain.Offset
	readLog chan struct{}
	// lastRecordAt is the time at which the node received the record at next-1.
	lastRecordAt time.Time
}

func newCluster(tb testing.TB, size int) *cluster {
	c := &cluster{tb: tb, members: map[domain.NodeID]peer.Member{}}
	for range size {
		c.startNode()
	}
	return c
}

// startNode adds a node. The zones take turns.
func (c *cluster) startNode() {
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
		done: make(chan struct{}), next: 1, readLog: make(chan struct{}, 1),
	}
	c.members[n.member.Node] = n.member
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
	n.Mesh = peer.NewMesh(peer.Options{
		Self: n.member, Cluster: "bench", Listener: listener, Seeds: c.seeds,
		Handler: n.handle, Dial: c.dialFrom(region),
	})
	n.relay = relay.NewForwarder(relay.ForwarderOptions{Self: n.member.Node, Mesh: n.Mesh, Replica: n, NextOffset: n.nextOffset, IsLogReadable: func() bool { return true }})
	c.runNode(n)
}

func (c *cluster) runNode(n *clusterNode) {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	var wait sync.WaitGroup
	wait.Go(func() { _ = n.Run(ctx) })
	wait.Go(func() { _ = n.relay.Run(ctx) })
	wait.Go(func() { c.pollLog(ctx, n) })
	go func() { wait.Wait(); close(n.done) }()
}

func (c *cluster) stopNode(n *clusterNode) {
	n.cancel()
	<-n.done
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.members, n.member.Node)
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
	result := make([]peer.Member, 0, len(c.members))
	for _, m := range c.members {
		result = append(result, m)
	}
	return result, nil
}

func (c *cluster) dialFrom(from domain.Region) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c.opened.Add(1)
		return &meteredConn{Conn: conn, traffic: &c.traffic, crossRegion: c.regionOf(address) != from}, nil
	}
}

func (c *cluster) regionOf(address string) domain.Region {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.Address == address {
			return m.Region
		}
	}
	return ""
}

// meteredConn counts the traffic of a connection in both directions.
type meteredConn struct {
	net.Conn
	traffic     *traffic
	crossRegion bool
}

func (m *meteredConn) count(n int) {
	if n <= 0 {
		return
	}
	m.traffic.bytes.Add(int64(n))
	m.traffic.packets.Add(1)
	if m.crossRegion {
		m.traffic.crossRegionBytes.Add(int64(n))
		m.traffic.crossRegionPackets.Add(1)
	}
}

func (m *meteredConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	m.count(n)
	return n, err
}

func (m *meteredConn) Write(p []byte) (int, error) {
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

// Deliver replaces platformlog.Replica, without applying the records to a state.
func (n *clusterNode) Deliver(first domain.Offset, records [][]byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if first > n.next {
		select {
		case n.readLog <- struct{}{}:
		default:
		}
		return
	}
	if end := first + domain.Offset(len(records)); end > n.next {
		n.next, n.lastRecordAt = end, time.Now()
	}
}

func (n *clusterNode) nextOffset() domain.Offset {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.next
}

// pollLog reads the log while the node is the reader of its zone, or once after a gap in the
// forwarded records.
func (c *cluster) pollLog(ctx context.Context, n *clusterNode) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.readLog:
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

// waitForMembership waits until each node sees all nodes and returns the time that it took.
func (c *cluster) waitForMembership() time.Duration {
	return c.waitUntil(func(n *clusterNode) bool { return len(n.Members()) == len(c.nodes) })
}

// waitForRecord waits until each node has the record and returns the time that it took.
func (c *cluster) waitForRecord(o domain.Offset) time.Duration {
	return c.waitUntil(func(n *clusterNode) bool { return n.nextOffset() > o })
}

func (c *cluster) waitUntil(done func(*clusterNode) bool) time.Duration {
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

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the size of live objects and stacks after two garbage collections.
func liveMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
