package node

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// doubtClock records when this node first saw each doubt (fold.Doubt), since the state
// machine has no clock. The zero doubtClock is ready for use.
type doubtClock struct {
	mu        sync.Mutex
	firstSeen map[doubtKey]time.Time
}

// doubtKey identifies one earlier owner of a server whose orders may still take effect.
type doubtKey struct {
	server domain.ServerID
	fence  domain.Fence
}

// observe adds new doubts and deletes those that were cleared.
func (c *doubtClock) observe(leases map[domain.ServerID]fold.Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := make(map[doubtKey]time.Time)
	for _, l := range leases {
		for _, d := range l.Doubts {
			k := doubtKey{l.Server, d.Fence}
			seen[k] = now
			if at, ok := c.firstSeen[k]; ok {
				seen[k] = at
			}
		}
	}
	c.firstSeen = seen
}

// age returns how long this node has known a doubt.
func (c *doubtClock) age(s domain.ServerID, f domain.Fence, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.firstSeen[doubtKey{s, f}]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
