package node

import (
	"net"
	"net/http"
	"sync"
)

// connections holds the callers' connections on which a request arrives or runs, and new ones,
// whose first request is on its way. The zero connections is ready for use.
type connections struct {
	mu   sync.Mutex
	busy map[net.Conn]struct{}
}

// track is the ConnState hook of the HTTP server.
func (c *connections) track(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != http.StateNew && s != http.StateActive {
		delete(c.busy, conn)
		return
	}
	if c.busy == nil {
		c.busy = make(map[net.Conn]struct{})
	}
	c.busy[conn] = struct{}{}
}

// busyCount returns the number of connections that are new or have a request.
func (c *connections) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}
