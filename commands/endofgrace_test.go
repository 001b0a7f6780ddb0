package commands

import (
	"context"
	"net/http"
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

// Guards against a process that still runs at the end of its grace period: it waited for a fixed
// time after the last response, and had less time to exit.
func TestNodeEndsAfterItsLastResponse(t *testing.T) {
	t.Parallel()
	n := startStoppingNode(t)
	c := n.connect(t)
	responses := make(chan lateAnswer, 1)
	go func() { responses <- c.send(requestText("long", "/once/", callerTimeout/2, callerTimeout, "")) }()
	time.Sleep(100 * time.Millisecond)
	n.stop()
	<-n.exited
	if took, limit := time.Since(n.stoppedAt), graceOfTests-exitMargin+finalResponseTime*4/5; took > limit {
		t.Errorf("stopped after %v, want at most %v", took, limit)
	}
	if a := <-responses; a.err != nil || a.status != http.StatusBadGateway {
		t.Errorf("got %v, want a whole response with status 502", a)
	}
}
