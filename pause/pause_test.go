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
		wake := make(chan struct{}, 1)
		for _, c := range []struct {
			name   string
			before func()
			d      time.Duration
			took   time.Duration
			goesOn bool
		}{
			{"the time passes", func() {}, time.Second, time.Second, true},
			{"no time at all", func() {}, -time.Second, 0, true},
			{"woken before", func() { wake <- struct{}{} }, time.Second, 0, true},
			{"the context ends", func() { time.AfterFunc(100*time.Millisecond, cancel) }, time.Second, 100 * time.Millisecond, false},
			{"the context has ended", func() {}, 0, 0, false},
		} {
			c.before()
			began := time.Now()
			if got, want := For(ctx, c.d, wake), c.goesOn; got != want {
				t.Errorf("%s: got %v, want %v", c.name, got, want)
			}
			if got, want := time.Since(began), c.took; got != want {
				t.Errorf("%s: took %v, want %v", c.name, got, want)
			}
		}
	})
}
