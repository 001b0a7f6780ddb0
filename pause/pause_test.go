package pause

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		interrupt := make(chan struct{}, 1)
		for _, c := range []struct {
			name    string
			prepare func()
			d       time.Duration
			elapsed time.Duration
			active  bool
		}{
			{"duration passes", func() {}, time.Second, time.Second, true},
			{"negative duration", func() {}, -time.Second, 0, true},
			{"interrupt has a value", func() { interrupt <- struct{}{} }, time.Second, 0, true},
			{"context is cancelled during the wait", func() { time.AfterFunc(100*time.Millisecond, cancel) }, time.Second, 100 * time.Millisecond, false},
			{"context was cancelled before", func() {}, 0, 0, false},
		} {
			c.prepare()
			start := time.Now()
			if got, want := For(ctx, c.d, interrupt), c.active; got != want {
				t.Errorf("%s: got %v, want %v", c.name, got, want)
			}
			if got, want := time.Since(start), c.elapsed; got != want {
				t.Errorf("%s: took %v, want %v", c.name, got, want)
			}
		}
	})
}
