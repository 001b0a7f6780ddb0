package platformlog

import (
	"math/rand/v2"
	"time"
)

// Bounds of the delay between attempts.
const (
	minimumBackoff = 50 * time.Millisecond
	maximumBackoff = 5 * time.Second
)

// backoff computes exponential delays with jitter. lastDelay is the last delay before
// jitter. The zero backoff is ready to use.
type backoff struct{ lastDelay time.Duration }

// nextDelay returns how long to wait before the next attempt.
func (b *backoff) nextDelay() time.Duration {
	b.lastDelay = min(max(2*b.lastDelay, minimumBackoff), maximumBackoff)
	return b.lastDelay/2 + rand.N(b.lastDelay/2)
}

// reset makes the next delay the minimum again. Callers use it after a success.
func (b *backoff) reset() { b.lastDelay = 0 }
