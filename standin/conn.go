package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is an accepted connection. Once blackholed, it drops data in both directions and
// does not report that the peer has closed it.
type conn struct {
	net.Conn
	server     *server
	blackholed atomic.Bool
	// deadlineChanged makes a blocked read on a blackholed connection check the new read
	// deadline.
	deadlineChanged chan struct{}
	closed          chan struct{}
	closeOnce       sync.Once
}

func newConn(c net.Conn, s *server) *conn {
	return &conn{Conn: c, server: s, deadlineChanged: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.blackholed.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err == nil {
			continue
		}
		select {
		case <-c.deadlineChanged:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.blackholed.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	defer c.signalDeadlineChange()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetDeadline(t time.Time) error {
	defer c.signalDeadlineChange()
	return c.Conn.SetDeadline(t)
}

func (c *conn) signalDeadlineChange() {
	select {
	case c.deadlineChanged <- struct{}{}:
	default:
	}
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	c.server.untrack(c)
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, so that the peer notices immediately.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
