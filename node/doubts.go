package node

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// doubtClock remembers since when this node has known of each doubt, which the
// fold, without a clock, cannot tell. The zero doubtClock is ready for use.
type doubtClock struct {
	mu    sync.Mutex
	since map[doubtKey]time.Time
}

// doubtKey is one earlier owner of a server whose orders may still take effect.
type doubtKey struct {
	server domain.ServerID
	fence  domain.Fence
}

// observe notes new doubts and forgets those that were cleared.
func (c *doubtClock) observe(leases map[domain.ServerID]fold.Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[doubtKey]time.Time)
	for _, l := range leases {
		for _, d := range l.Doubts {
			k := doubtKey{l.Server, d.Fence}
			seen[k] = now
			if since, ok := c.since[k]; ok {
				seen[k] = since
			}
		}
	}
	c.since = seen
}

// age returns how long a doubt has been known.
func (c *doubtClock) age(s domain.ServerID, f domain.Fence, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	since, ok := c.since[doubtKey{s, f}]
	if !ok {
		return 0
	}
	return now.Sub(since)
}
