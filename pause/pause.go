// Package pause waits for a duration that a context or a channel can cut short.
package pause

import (
	"context"
	"time"
)

// For waits for d, but only until ctx ends or until it receives from interrupt, which may
// be nil. It reports whether ctx is still active. If d is not positive, For returns at
// once.
func For(ctx context.Context, d time.Duration, interrupt <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-interrupt:
	case <-timer.C:
	}
	return ctx.Err() == nil
}
