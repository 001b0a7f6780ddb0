// Package pause waits for a duration that a context or a channel can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d, until ctx ends or until it receives from wake, which may be
// nil. It reports whether ctx is still active. If d is not positive it returns at
// once.
func For(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
