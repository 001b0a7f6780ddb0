package standin

import (
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// conn is one accepted connection. Once silent it swallows what is written and
// what arrives, and never tells that the other end has closed it.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool
	// deadline wakes a silent read after the read deadline was set.
	deadline chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func newConn(c net.Conn, s *server) *conn {
	return &conn{Conn: c, server: s, deadline: make(chan struct{}, 1), closed: make(chan struct{})}
}

func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err == nil {
			continue
		}
		select {
		case <-c.deadline:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	defer c.wake()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetDeadline(t time.Time) error {
	defer c.wake()
	return c.Conn.SetDeadline(t)
}

func (c *conn) wake() {
	select {
	case c.deadline <- struct{}{}:
	default:
	}
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.server.forget(c)
	return c.Conn.Close()
}

// reset closes the connection so that the other end sees it at once.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
