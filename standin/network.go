package standin

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// networkWindowBytes bounds the bytes of one connection that were written and not yet read.
	networkWindowBytes = 64 << 10
	// networkPacketBytes is the size of the packets in which connections share links.
	networkPacketBytes = 1400
)

// Network connects hosts in memory, with a link of limited rate for each host and a delay between
// all. Its time is that of the runtime, which a test can pause and advance. The zero Network is
// ready for use.
type Network struct {
	// Delay is the time from the end of the sender's link to that of the receiver.
	Delay time.Duration

	mu    sync.Mutex
	hosts map[string]*Host
}

// Host is a VM in a Network. It listens on one address.
type Host struct {
	network *Network
	address string
	// bytesPerSecond is the rate of the host's link in each direction.
	bytesPerSecond int
	// accepted carries the connections to the host's listener; closed is closed when the host is lost.
	accepted chan net.Conn
	closed   chan struct{}

	// The network's mu guards what follows. sentUntil and receivedUntil are when the link has
	// carried all that was sent and received so far; sent and received are the bytes of that.
	sentUntil, receivedUntil time.Time
	sent, received           int
	isLost                   bool
	conns                    map[*networkConn]bool
}

// Host adds a host with an address of the form IP:PORT.
func (n *Network) Host(address string, bytesPerSecond int) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hosts == nil {
		n.hosts = map[string]*Host{}
	}
	h := &Host{network: n, address: address, bytesPerSecond: bytesPerSecond, accepted: make(chan net.Conn), closed: make(chan struct{}), conns: map[*networkConn]bool{}}
	n.hosts[address] = h
	return h
}

// Bytes returns the bytes that the host has sent and received.
func (h *Host) Bytes() (sent, received int) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.sent, h.received
}

// Kill resets all connections of the host, and makes its listener and dials to it fail.
func (h *Host) Kill() {
	h.network.mu.Lock()
	var conns []*networkConn
	if !h.isLost {
		h.isLost = true
		close(h.closed)
	}
	for c := range h.conns {
		conns = append(conns, c)
	}
	h.network.mu.Unlock()
	for _, c := range conns {
		c.reset()
		c.peer.reset()
	}
}

// Transfer takes the time that a number of bytes needs to reach another host, behind all that the
// links carry already. It fails if ctx ends before, or if one of the hosts is lost.
func (h *Host) Transfer(ctx context.Context, to *Host, size int) error {
	h.network.mu.Lock()
	at := h.arrival(to, size)
	h.network.mu.Unlock()
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-h.closed:
		return net.ErrClosed
	case <-to.closed:
		return net.ErrClosed
	case <-timer.C:
		return nil
	}
}

// DialContext connects to the listener of the host with an address.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * h.network.Delay):
	}
	h.network.mu.Lock()
	to := h.network.hosts[address]
	if to == nil || to.isLost || h.isLost {
		h.network.mu.Unlock()
		return nil, errors.Errorf("no host at %s", address)
	}
	near, far := newNetworkConns(h, to)
	h.network.mu.Unlock()
	select {
	case to.accepted <- far:
		return near, nil
	case <-to.closed:
		return nil, errors.Errorf("no host at %s", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (h *Host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *Host) Close() error {
	h.Kill()
	return nil
}

// Addr implements net.Listener.
func (h *Host) Addr() net.Addr { return &net.TCPAddr{} }

// arrival returns when a packet that is sent now has arrived. The caller holds the network's mu.
func (h *Host) arrival(to *Host, size int) time.Time {
	h.sentUntil = later(time.Now(), h.sentUntil).Add(transferTime(size, h.bytesPerSecond))
	to.receivedUntil = later(h.sentUntil.Add(h.network.Delay), to.receivedUntil).Add(transferTime(size, to.bytesPerSecond))
	h.sent += size
	to.received += size
	return to.receivedUntil
}

func transferTime(size, bytesPerSecond int) time.Duration {
	return time.Duration(float64(size) / float64(bytesPerSecond) * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// packet is a part of what was written, and when it arrives.
type packet struct {
	data []byte
	at   time.Time
}

// networkConn is one end of a connection.
type networkConn struct {
	host, to *Host
	peer     *networkConn

	mu sync.Mutex
	// incoming holds the packets that this end has not read; queued is the sum of their bytes.
	incoming []packet
	queued   int
	// closed and peerClosed say which ends were closed, wasReset that the connection was reset.
	closed, peerClosed, wasReset bool
	readDeadline, writeDeadline  time.Time
	// changed is closed and replaced at each change of the fields above.
	changed chan struct{}
}

// newNetworkConns returns the ends of a connection. The caller holds the network's mu.
func newNetworkConns(from, to *Host) (near, far *networkConn) {
	near = &networkConn{host: from, to: to, changed: make(chan struct{})}
	far = &networkConn{host: to, to: from, changed: make(chan struct{}), peer: near}
	near.peer = far
	from.conns[near], to.conns[far] = true, true
	return near, far
}

// update calls f under the lock and wakes those who wait for a change.
func (c *networkConn) update(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *networkConn) reset() { c.update(func() { c.wasReset = true }) }

// wait waits for a change at one of two ends, or for the earliest of some times that are not zero.
func wait(own, peer <-chan struct{}, times ...time.Time) {
	var timeout <-chan time.Time
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if !first.IsZero() {
		timer := time.NewTimer(time.Until(first))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-own:
	case <-peer:
	case <-timeout:
	}
}

func isPast(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// Read implements net.Conn.
func (c *networkConn) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		changed, deadline := c.changed, c.readDeadline
		var next time.Time
		switch {
		case c.closed || c.wasReset:
			c.mu.Unlock()
			return 0, net.ErrClosed
		case isPast(deadline):
			c.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case len(c.incoming) > 0 && !time.Now().Before(c.incoming[0].at):
			n := copy(b, c.incoming[0].data)
			c.incoming[0].data = c.incoming[0].data[n:]
			if len(c.incoming[0].data) == 0 {
				c.incoming = c.incoming[1:]
			}
			c.queued -= n
			close(c.changed)
			c.changed = make(chan struct{})
			c.mu.Unlock()
			return n, nil
		case len(c.incoming) > 0:
			next = c.incoming[0].at
		case c.peerClosed:
			c.mu.Unlock()
			return 0, io.EOF
		}
		c.mu.Unlock()
		wait(changed, nil, next, deadline)
	}
}

// Write implements net.Conn.
func (c *networkConn) Write(b []byte) (int, error) {
	written := 0
	for len(b) > 0 {
		size := min(len(b), networkPacketBytes)
		if err := c.awaitWindow(size); err != nil {
			return written, err
		}
		c.host.network.mu.Lock()
		at := c.host.arrival(c.to, size)
		c.host.network.mu.Unlock()
		data := append([]byte(nil), b[:size]...)
		c.peer.update(func() {
			c.peer.incoming = append(c.peer.incoming, packet{data, at})
			c.peer.queued += size
		})
		b = b[size:]
		written += size
	}
	return written, nil
}

// awaitWindow waits until the peer has room for size more bytes.
func (c *networkConn) awaitWindow(size int) error {
	for {
		c.mu.Lock()
		closed, deadline, own := c.closed || c.wasReset, c.writeDeadline, c.changed
		c.mu.Unlock()
		if closed {
			return net.ErrClosed
		}
		if isPast(deadline) {
			return os.ErrDeadlineExceeded
		}
		c.peer.mu.Lock()
		hasRoom, peerGone, changed := c.peer.queued+size <= networkWindowBytes, c.peer.closed || c.peer.wasReset, c.peer.changed
		c.peer.mu.Unlock()
		if peerGone {
			return net.ErrClosed
		}
		if hasRoom {
			return nil
		}
		wait(own, changed, deadline)
	}
}

// Close implements net.Conn.
func (c *networkConn) Close() error {
	c.host.network.mu.Lock()
	delete(c.host.conns, c)
	c.host.network.mu.Unlock()
	c.update(func() { c.closed = true })
	c.peer.update(func() { c.peer.peerClosed = true })
	return nil
}

// LocalAddr implements net.Conn.
func (c *networkConn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *networkConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn.
func (c *networkConn) SetDeadline(t time.Time) error {
	c.update(func() { c.readDeadline, c.writeDeadline = t, t })
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *networkConn) SetReadDeadline(t time.Time) error {
	c.update(func() { c.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *networkConn) SetWriteDeadline(t time.Time) error {
	c.update(func() { c.writeDeadline = t })
	return nil
}
