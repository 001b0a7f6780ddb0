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

// respondAfter delays the first token.
func respondAfter(wait time.Duration) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case <-t.C:
			return respond(ctx, e, r)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func TestLateFirstTokenIsHedgedWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond, respond)
		for range 40 {
			b.post(t.Context(), helloBody)
		}
		b.engines["e1"].behaviour = respondAfter(900 * time.Millisecond)
		var worst time.Duration
		const saved = 5 // half of the reserve
		for range saved {
			start := time.Now()
			if text, _ := parseStream(t, b.post(t.Context(), helloBody)); text != helloResponse {
				t.Errorf("got %q, want %q", text, helloResponse)
			}
			worst = max(worst, time.Since(start))
		}
		if want := 300 * time.Millisecond; worst > want {
			t.Errorf("got a response after %v, want one by a hedge within %v", worst, want)
		}
		time.Sleep(time.Second)
		for name := range b.engines {
			if got := b.api.chooser.InFlight(b.placer.replicas[int(name[1]-'1')].Server); got != 0 {
				t.Errorf("got %d in flight at %s after all responses, want 0", got, name)
			}
		}
	})
}

// TestServiceRecoversAfterARetryStorm sends 20 requests a second for 30 s. Every attempt
// between the 10th and the 20th second fails. It guards against retries that multiply the
// load during an outage and keep requests failing after it.
func TestServiceRecoversAfterARetryStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var attempts, outageAttempts atomic.Int64
		begin := time.Now()
		outage := func() bool { d := time.Since(begin); return d >= 10*time.Second && d < 20*time.Second }
		act := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			attempts.Add(1)
			if outage() {
				outageAttempts.Add(1)
				return breakAfter(0)(ctx, e, r)
			}
			return respond(ctx, e, r)
		}
		b := newFixture(act, act, act)
		var requests sync.WaitGroup
		var failedAfterOutage atomic.Int64
		const requestInterval = 50 * time.Millisecond
		for i := range int(30 * time.Second / requestInterval) {
			requests.Go(func() {
				afterOutage := time.Since(begin) > 21*time.Second
				body := strings.Replace(helloBody, "one", "request "+string(rune('a'+i%26))+string(rune('a'+i/26)), 1)
				if w := b.post(t.Context(), body); w.Code != http.StatusOK && afterOutage {
					failedAfterOutage.Add(1)
				}
			})
			time.Sleep(requestInterval)
		}
		requests.Wait()
		t.Logf("%d attempts during the outage for 200 requests; %d requests failed later than a second after it", outageAttempts.Load(), failedAfterOutage.Load())
		if got, want := outageAttempts.Load(), int64(200+20+11); got > want {
			t.Errorf("got %d attempts during the outage, want at most 200, retries for a tenth of them, 10 of the full budget and 1 refilled", got)
		}
		if got := failedAfterOutage.Load(); got != 0 {
			t.Errorf("got %d failed requests later than a second after the outage, want 0", got)
		}
	})
}

func TestBreakersNeverEjectTheLastServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond, respond)
		now := time.Now()
		for _, r := range b.placer.replicas {
			b.api.health.recordFailure(now, r.Server, unreached)
		}
		if text, _ := parseStream(t, b.post(t.Context(), helloBody)); text != helloResponse {
			t.Errorf("got %q with every server ejected, want %q", text, helloResponse)
		}
	})
}

func TestUnreachableServerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond, failWith(verdict.Refuse(verdict.BackendFailed, "connection refused")))
		for range 100 {
			if w := b.post(t.Context(), helloBody); w.Code != http.StatusOK {
				t.Errorf("got %d, want 200", w.Code)
			}
		}
		// The hundred requests take 6 s; the ejections last 1, 2 and 4 s.
		if got, want := len(b.engines["e2"].requests), 4; got > want {
			t.Errorf("got %d attempts at an unreachable server, want at most %d", got, want)
		}
	})
}
