package standin

import (
	"context"
	"sync"
)

// pauseGate holds goroutines back while it is shut. The zero gate is open.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func (g *pauseGate) setPaused(paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case paused && g.resumed == nil:
		g.resumed = make(chan struct{})
	case !paused && g.resumed != nil:
		close(g.resumed)
		g.resumed = nil
	}
}

// wait returns once the gate is open; false means that ctx ended before.
func (g *pauseGate) wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.resumed
	g.mu.Unlock()
	if opened == nil {
		return ctx.Err() == nil
	}
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}
