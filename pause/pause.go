// Package pause waits for time to pass.
package pause

import (
	"context"
	"time"
)

// For waits for d, until ctx ends or until wake has something; wake may be nil. It
// tells whether ctx goes on.
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
