package platformlog

import (
	"math/rand/v2"
	"time"
)

// Bounds of the wait between tries.
const (
	minimumBackoff = 50 * time.Millisecond
	maximumBackoff = 5 * time.Second
)

// backoff doubles the wait between tries, with jitter. The zero backoff works.
type backoff struct{ last time.Duration }

// next returns how long to wait before the next try.
func (b *backoff) next() time.Duration {
	b.last = min(max(2*b.last, minimumBackoff), maximumBackoff)
	return b.last/2 + rand.N(b.last/2)
}

// reset starts again after a success.
func (b *backoff) reset() { b.last = 0 }
