package caller

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/verdict"
)

// slow gives its first token after a wait.
func slow(wait time.Duration) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
			return answer(ctx, e, r)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func TestLateFirstTokenIsHedgedWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer, answer)
		for range 40 {
			b.post(t.Context(), hello)
		}
		b.engines["e1"].act = slow(900 * time.Millisecond)
		var worst time.Duration
		const saved = 5 // half of the reserve
		for range saved {
			start := time.Now()
			if text, _ := streamed(t, b.post(t.Context(), hello)); text != helloAnswer {
				t.Errorf("got %q, want %q", text, helloAnswer)
			}
			worst = max(worst, time.Since(start))
		}
		if want := 300 * time.Millisecond; worst > want {
			t.Errorf("got an answer after %v, want a hedge to end it within %v", worst, want)
		}
		time.Sleep(time.Second)
		for name := range b.engines {
			if got := b.api.chooser.InFlight(b.placer.replicas[int(name[1]-'1')].Server); got != 0 {
				t.Errorf("got %d in flight at %s after all answers, want 0", got, name)
			}
		}
	})
}

// TestRetryStormRecoversByItself: for 10 s of 30 every attempt breaks, at 20
// requests a second.
func TestRetryStormRecoversByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts, during atomic.Int64
		begin := time.Now()
		outage := func() bool { d := time.Since(begin); return d >= 10*time.Second && d < 20*time.Second }
		act := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			attempts.Add(1)
			if outage() {
				during.Add(1)
				return breakAfter(0)(ctx, e, r)
			}
			return answer(ctx, e, r)
		}
		b := newBench(act, act, act)
		var all sync.WaitGroup
		var lost atomic.Int64
		const pace = 50 * time.Millisecond
		for i := range int(30 * time.Second / pace) {
			all.Go(func() {
				late := time.Since(begin) > 21*time.Second
				body := strings.Replace(hello, "one", "request "+string(rune('a'+i%26))+string(rune('a'+i/26)), 1)
				if w := b.post(t.Context(), body); w.Code != http.StatusOK && late {
					lost.Add(1)
				}
			})
			time.Sleep(pace)
		}
		all.Wait()
		t.Logf("%d attempts in the outage for 200 requests, %d lost later than a second after it", during.Load(), lost.Load())
		if got, want := during.Load(), int64(200+20+11); got > want {
			t.Errorf("got %d attempts in the outage, want at most 200, a tenth of them, 10 saved and 1 refilled", got)
		}
		if got := lost.Load(); got != 0 {
			t.Errorf("got %d requests lost later than a second after the outage, want 0", got)
		}
	})
}

func TestBreakersNeverEjectTheLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer, answer)
		now := time.Now()
		for _, r := range b.placer.replicas {
			b.api.health.failed(now, r.Server, unreached)
		}
		if text, _ := streamed(t, b.post(t.Context(), hello)); text != helloAnswer {
			t.Errorf("got %q with every server ejected, want %q", text, helloAnswer)
		}
	})
}

func TestServerThatIsDownGetsNoMoreWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer, refuse(verdict.Refuse(verdict.BackendFailed, "connection refused")))
		for range 100 {
			if w := b.post(t.Context(), hello); w.Code != http.StatusOK {
				t.Errorf("got %d, want 200", w.Code)
			}
		}
		// The hundred requests take 6 s; the ejections last 1, 2 and 4 s.
		if got, want := len(b.engines["e2"].requests), 4; got > want {
			t.Errorf("got %d attempts at a server that is down, want at most %d", got, want)
		}
	})
}
