package standin

import (
	"context"
	"sync"
)

// pauseGate blocks goroutines while it is paused. The zero value is not paused.
type pauseGate struct {
	mu sync.Mutex
	// resumed is closed on resume; it is nil while the gate is not paused.
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

// wait blocks while the gate is paused. It reports false if ctx ended first.
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
