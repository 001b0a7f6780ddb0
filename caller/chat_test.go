package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/peer"
)

func TestStreamedAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer)
		w := b.post(t.Context(), hello, requestIDHeader, "r-1")
		text, last := streamed(t, w)
		if text != helloAnswer || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloAnswer)
		}
		if got := w.Header().Get(requestIDHeader); got != "r-1" {
			t.Errorf("got request id %q, want r-1", got)
		}
		if !strings.Contains(w.Body.String(), `"usage":{"prompt_tokens":3,"completion_tokens":6,"total_tokens":9}`) {
			t.Errorf("got no usage in %s", w.Body)
		}
		if got := string(b.engines["e1"].requests[0].Body); got != hello {
			t.Errorf("got body %q at the engine, want it unchanged", got)
		}
		if got := b.api.InFlight(); got != 0 {
			t.Errorf("got %d in flight, want 0", got)
		}
	})
}

func TestWholeAnswerIsOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer)
		w := b.post(t.Context(), strings.Replace(hello, "true", "false", 1))
		var got completionWire
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if got.Object != "chat.completion" || got.Choices[0].Message.Content != helloAnswer || got.Usage.TotalTokens != 9 {
			t.Errorf("got %+v", got)
		}
	})
}

func TestBrokenStreamResumesAtTheNextToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer, answer)
		b.engines["e1"].script = []behaviour{breakAfter(2)}
		b.engines["e2"].script = []behaviour{breakAfter(2)}
		text, last := streamed(t, b.post(t.Context(), hello))
		if text != helloAnswer || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloAnswer)
		}
	})
}

func TestLateDoubledAndCrossedPartsNeverReachTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mixed := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			own := parts(r)
			late := engine.Token{AttemptID: "other", Index: own[0].Index, Text: "CROSSED"}
			p := append([]engine.Token{late, own[0], own[0], own[1], own[0], late}, own[2:]...)
			return &fakeStream{ctx: ctx, e: e, parts: p, pace: tokenPace}, nil
		}
		b := newBench(mixed)
		text, last := streamed(t, b.post(t.Context(), hello))
		if text != helloAnswer || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloAnswer)
		}
	})
}

func TestMissingPartIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gappy := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			return &fakeStream{ctx: ctx, e: e, parts: append(parts(r)[:1], parts(r)[2:]...), pace: tokenPace}, nil
		}
		b := newBench(gappy, answer)
		if text, _ := streamed(t, b.post(t.Context(), hello)); text != helloAnswer {
			t.Errorf("got %q, want %q", text, helloAnswer)
		}
	})
}

func TestSilentConnectionIsReplacedOnTheSameServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer)
		b.engines["e1"].script = []behaviour{silentAfter(2)}
		start := time.Now()
		text, last := streamed(t, b.post(t.Context(), hello))
		if text != helloAnswer || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloAnswer)
		}
		if got, want := time.Since(start), 3*time.Second; got > want {
			t.Errorf("got an answer after %v, want at most %v", got, want)
		}
		if got := b.engines["e1"].requests[1].ResumeIndex; got != 2 {
			t.Errorf("got a second attempt at token %d, want 2", got)
		}
	})
}

func TestStreamThatCannotGoOnEndsInAnErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(silentAfter(1))
		b.engines["e1"].act = func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			if r.ResumeIndex > 0 {
				return nil, errReset
			}
			return silentAfter(1)(ctx, e, r)
		}
		start := time.Now()
		w := b.post(t.Context(), hello, requestTimeoutHeader, "5")
		_, last := streamed(t, w)
		if !strings.Contains(w.Body.String(), "event: error\n") || !strings.Contains(last, `"Verdict":"Ran"`) {
			t.Errorf("got %s, want an error event with verdict Ran", w.Body)
		}
		if got, want := time.Since(start), 5250*time.Millisecond; got > want {
			t.Errorf("got the end after %v, want at most %v", got, want)
		}
	})
}

func TestNoRequestHangsPastItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(silentAfter(0))
		start := time.Now()
		w := b.post(t.Context(), hello, requestTimeoutHeader, "2.5")
		if got, want := time.Since(start), 2750*time.Millisecond; got > want {
			t.Errorf("got the refusal after %v, want at most %v", got, want)
		}
		if got := refusal(t, w); w.Code != http.StatusGatewayTimeout || got.Verdict != "MayHaveRun" {
			t.Errorf("got %d %+v, want 504 MayHaveRun", w.Code, got)
		}
	})
}

func TestReplicaThatWasUnloadedIsPlacedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(refuse(engine.ErrModelNotLoaded), answer)
		for i := range 20 {
			// Other contents have other candidates.
			word := "word" + string(rune('a'+i))
			want := strings.Replace(helloAnswer, "one", word, 1)
			if text, _ := streamed(t, b.post(t.Context(), strings.Replace(hello, "one", word, 1))); text != want {
				t.Errorf("got %q, want %q", text, want)
			}
		}
		if got := len(b.placer.unloaded); got != 1 {
			t.Errorf("got %d reports of an unloaded model, want 1", got)
		}
	})
}

func TestCallerThatLeavesCancelsItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(answer)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(35*time.Millisecond, cancel)
		b.post(ctx, hello)
		if got := b.engines["e1"].canceled; got != 1 {
			t.Errorf("got %d canceled attempts, want 1", got)
		}
	})
}

func TestRefusalsCarryVerdictReasonAndStatus(t *testing.T) {
	team := configuration.Team{Name: "coral", Models: []domain.ModelName{"hymns"}, Keys: []configuration.Key{
		{Hash: keyHash("good"), Role: configuration.Caller},
		{Hash: keyHash("reader"), Role: configuration.ReadOnly},
		{Hash: keyHash("old"), Role: configuration.Caller, Expires: time.Unix(1, 0)},
	}}
	large := `{"model":"hymns","messages":["` + strings.Repeat("x", int(maximumBody)) + `"]}`
	tests := []struct {
		name, key, body, timeout string
		status                   int
		reason                   string
	}{
		{"no key", "", hello, "", 401, "Unauthenticated"},
		{"wrong key", "bad", hello, "", 401, "Unauthenticated"},
		{"expired key", "old", hello, "", 401, "Unauthenticated"},
		{"reader", "reader", hello, "", 403, "Forbidden"},
		{"other team's model", "good", hello, "", 403, "Forbidden"},
		{"unknown model", "good", strings.Replace(hello, "frames", "nothing", 1), "", 404, "UnknownModel"},
		{"unknown adapter", "good", strings.Replace(hello, "frames", "hymns:none", 1), "", 404, "UnknownModel"},
		{"malformed", "good", `{"model":`, "", 400, "BadRequest"},
		{"no messages", "good", `{"model":"hymns","messages":[ ]}`, "", 400, "BadRequest"},
		{"bad timeout", "good", hello, "-3", 400, "BadRequest"},
		{"large", "good", large, "", 413, "BodyTooLarge"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(answer)
			b.catalogue.deployment.RequireKeys, b.catalogue.team = true, team
			w := b.post(t.Context(), test.body, "Authorization", "Bearer "+test.key, requestTimeoutHeader, test.timeout)
			got := refusal(t, w)
			if w.Code != test.status || got.Reason != test.reason || got.Verdict != "NotRun" || got.RequestID == "" {
				t.Errorf("got %d %+v, want %d %s NotRun", w.Code, got, test.status, test.reason)
			}
			if n := len(b.engines["e1"].requests); n != 0 {
				t.Errorf("got %d requests at the engine, want 0", n)
			}
		})
	}
}

func TestModelsListsWhatTheTeamMayUse(t *testing.T) {
	b := newBench(answer)
	w := b.do(httptest.NewRequest(http.MethodGet, "/v1/models", nil))
	for _, want := range []string{`"frames"`, `"hymns"`, `"frames:formal"`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got %s, want %s in it", w.Body, want)
		}
	}
}

func TestDrainingNodeTurnsNewRequestsAway(t *testing.T) {
	b := newBench(answer)
	b.api.IsDraining = func() bool { return true }
	w := b.post(t.Context(), hello)
	got := refusal(t, w)
	if w.Code != 503 || got.Reason != "Draining" || got.Verdict != "NotRun" || w.Header().Get("Retry-After") != "1" {
		t.Errorf("got %d %+v", w.Code, got)
	}
}

func TestLimitsRefuseWithRetryAfter(t *testing.T) {
	tests := []struct {
		name string
		team configuration.Team
	}{
		{"requests", configuration.Team{RequestsPerSecond: 1}},
		{"tokens", configuration.Team{TokensPerMinute: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(answer)
				b.catalogue.team = test.team
				b.catalogue.team.Keys = []configuration.Key{{Hash: keyHash("k"), Role: configuration.Caller}}
				ask := func() *httptest.ResponseRecorder { return b.post(t.Context(), hello, "Authorization", "Bearer k") }
				if w := ask(); w.Code != http.StatusOK {
					t.Errorf("got %d %s for the first request, want 200", w.Code, w.Body)
				}
				w := ask()
				if got := refusal(t, w); w.Code != 429 || got.Reason != "LimitReached" || got.Verdict != "NotRun" {
					t.Errorf("got %d %+v for the second, want 429 LimitReached NotRun", w.Code, got)
				}
				wait, err := time.ParseDuration(w.Header().Get("Retry-After") + "s")
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(wait)
				if w := ask(); w.Code != http.StatusOK {
					t.Errorf("got %d %s after Retry-After, want 200", w.Code, w.Body)
				}
			})
		})
	}
}

func TestConcurrencyIsLimitedOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(silentAfter(1))
		b.catalogue.team = configuration.Team{Name: "coral", Concurrency: 3, Keys: []configuration.Key{{Hash: keyHash("k"), Role: configuration.Caller}}}
		b.api.ApplyUsage("node-2", peer.Usage{Counters: []peer.UsageCounter{{Name: "team/coral/concurrency", Demand: 2}}})
		ctx, cancel := context.WithCancel(t.Context())
		go b.post(ctx, hello, "Authorization", "Bearer k")
		synctest.Wait()
		if w := b.post(t.Context(), hello, "Authorization", "Bearer k"); w.Code != 429 {
			t.Errorf("got %d beside one here and two at another node, want 429", w.Code)
		}
		cancel()
		synctest.Wait()
	})
}
