package standin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout    = 10 * time.Second
	relistenInterval = 10 * time.Millisecond
)

// server is an HTTP server that can crash, restart at the same address, and blackhole its
// open connections.
type server struct {
	handler http.Handler
	// address is HOST:PORT and does not change after newServer.
	address string

	mu         sync.Mutex
	closed     bool
	httpServer *http.Server
	listener   net.Listener
	conns      map[*conn]struct{}
}

func newServer(ip string, handler http.Handler) (*server, error) {
	s := &server{handler: handler, address: net.JoinHostPort(ip, "0")}
	if err := s.start(); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	return s, nil
}

// url is the base URL of the server.
func (s *server) url() string { return "http://" + s.address }

func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return net.ErrClosed
	}
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return errors.WithStack(err)
	}
	s.listener = l
	s.conns = make(map[*conn]struct{})
	s.httpServer = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func(h *http.Server) { _ = h.Serve(&trackingListener{Listener: l, server: s}) }(s.httpServer)
	return nil
}

// restart listens at the same address again. It retries until the port is free or the
// server is closed.
func (s *server) restart() {
	for {
		err := s.start()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return
		}
		time.Sleep(relistenInterval)
	}
}

// crash resets every connection and closes the listener.
func (s *server) crash() {
	s.mu.Lock()
	conns := s.conns
	s.conns = nil
	h := s.httpServer
	_ = s.listener.Close()
	s.mu.Unlock()
	for c := range conns {
		c.reset()
	}
	_ = h.Close()
}

// close stops the server permanently.
func (s *server) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.crash()
}

// blackholeConnections makes the currently open connections drop all data in both
// directions. New connections work.
func (s *server) blackholeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.blackholed.Store(true)
	}
}

// track registers an open connection; it reports false if the server has crashed.
func (s *server) track(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *server) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type trackingListener struct {
	net.Listener
	server *server
}

func (l *trackingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(accepted, l.server)
	if !l.server.track(c) {
		c.reset()
	}
	return c, nil
}
