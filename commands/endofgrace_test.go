package commands

import (
	"context"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/platform"
)

// Guards against a process that still runs at the end of its grace period: after the last
// response, it waited for its calls to a silent store, for up to 2 s beyond.
func TestNodeEndsInItsGracePeriodBesideASilentStore(t *testing.T) {
	t.Parallel()
	const grace = 3 * time.Second
	f := newUnlinkedFrontNode("127.0.0.1:1", func(error) {})
	f.settings.GracePeriod = grace
	callerServer := f.frontend.HTTPServer(t.Context(), platform.ServerLimits{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	// The last call of the loops ends a second after they were cancelled.
	loops, cancelLoops := context.WithCancel(t.Context())
	done := make(chan error, 1)
	context.AfterFunc(loops, func() {
		time.Sleep(time.Second)
		done <- nil
	})
	stoppedAt := time.Now()
	if err := f.stop(callerServer, cancelLoops, done); err != nil {
		t.Errorf("got %v, want no error", err)
	}
	if took := time.Since(stoppedAt); took > grace {
		t.Errorf("stopped after %v, want at most %v", took, grace)
	}
	if loops.Err() == nil {
		t.Error("the loops were not cancelled")
	}
}
