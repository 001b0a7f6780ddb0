package standin

import (
	"context"
	"sync"
)

// gate holds goroutines back while it is shut. The zero gate is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.opened == nil:
		g.opened = make(chan struct{})
	case !shut && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait returns once the gate is open; false means that ctx ended before.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
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
