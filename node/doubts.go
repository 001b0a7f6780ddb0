package node

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
)

// doubtClock records when this node first saw each doubt (fold.Doubt) in the leases. The
// state machine cannot, because it has no clock. The zero doubtClock is ready for use.
type doubtClock struct {
	mu          sync.Mutex
	firstSeenAt map[doubtKey]time.Time
}

// doubtKey identifies a doubt: a server and the fencing token of the earlier owner.
type doubtKey struct {
	server domain.ServerID
	fence  domain.Fence
}

// observe adds the doubts that are new in leases and deletes the doubts that leases no
// longer have.
func (c *doubtClock) observe(leases map[domain.ServerID]fold.Lease, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times := make(map[doubtKey]time.Time)
	for _, l := range leases {
		for _, d := range l.Doubts {
			k := doubtKey{l.Server, d.Fence}
			times[k] = now
			if at, ok := c.firstSeenAt[k]; ok {
				times[k] = at
			}
		}
	}
	c.firstSeenAt = times
}

// age returns how long ago this node first saw a doubt, or 0 if there is no such doubt.
func (c *doubtClock) age(s domain.ServerID, f domain.Fence, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.firstSeenAt[doubtKey{s, f}]
	if !ok {
		return 0
	}
	return now.Sub(at)
}
