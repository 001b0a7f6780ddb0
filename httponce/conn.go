package httponce

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpStateClose is TCP_CLOSE of the kernel: the connection was reset or has timed out, or both
// sides have closed it.
const tcpStateClose = 7

// DialContext is the type of the dial function of an http.Transport.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a dial function for the transport of a Client. A response without a length ends
// with its connection; on the connections of this function, it ends with an error if the
// connection was reset.
func Dial(d *net.Dialer) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a TCP connection to a server. The kernel reports the error of a broken connection to
// one call only, and every later read returns io.EOF. Read of a conn returns the error also if
// a concurrent Write has received it.
type conn struct {
	// Conn hides the other methods of the connection, so that all bytes pass through Write.
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the first failed write. It is guarded by writing.
	writeErr error
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) || !isDead(c.Conn) {
		return n, err
	}
	// A write that still runs on a dead connection fails at once.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, syscall.EPIPE) {
		// The server had ended its side in the regular way before the connection broke.
		return n, err
	}
	return n, c.writeErr
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// isDead reports whether a connection is closed in both directions. If only its peer has ended
// its side, it is not.
func isDead(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	dead := true
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		dead = err != nil || info.State == tcpStateClose
	})
	return dead
}
