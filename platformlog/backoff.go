package platformlog

import (
	"context"
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

// sleep waits for d, until ctx ends or until wake has something; it tells whether
// ctx goes on.
func sleep(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
