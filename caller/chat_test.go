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

func TestStreamedResponseIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond)
		w := b.post(t.Context(), helloBody, requestIDHeader, "r-1")
		text, last := parseStream(t, w)
		if text != helloResponse || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloResponse)
		}
		if got := w.Header().Get(requestIDHeader); got != "r-1" {
			t.Errorf("got request id %q, want r-1", got)
		}
		if !strings.Contains(w.Body.String(), `"usage":{"prompt_tokens":3,"completion_tokens":6,"total_tokens":9}`) {
			t.Errorf("got no usage in %s", w.Body)
		}
		if got := string(b.engines["e1"].requests[0].Body); got != helloBody {
			t.Errorf("got body %q at the engine, want it unchanged", got)
		}
		if got := b.api.InFlight(); got != 0 {
			t.Errorf("got %d in flight, want 0", got)
		}
	})
}

func TestCollectedResponseIsOneObject(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond)
		w := b.post(t.Context(), strings.Replace(helloBody, "true", "false", 1))
		var got completionWire
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if got.Object != "chat.completion" || got.Choices[0].Message.Content != helloResponse || got.Usage.TotalTokens != 9 {
			t.Errorf("got %+v", got)
		}
	})
}

func TestBrokenStreamResumesAtTheNextToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond, respond)
		b.engines["e1"].script = []behaviour{breakAfter(2)}
		b.engines["e2"].script = []behaviour{breakAfter(2)}
		text, last := parseStream(t, b.post(t.Context(), helloBody))
		if text != helloResponse || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloResponse)
		}
	})
}

func TestDuplicateAndForeignTokensAreDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mixed := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			tokens := responseTokens(r)
			foreign := engine.Token{AttemptID: "other", Index: tokens[0].Index, Text: "FOREIGN"}
			p := append([]engine.Token{foreign, tokens[0], tokens[0], tokens[1], tokens[0], foreign}, tokens[2:]...)
			return &fakeStream{ctx: ctx, e: e, tokens: p, pace: tokenPace}, nil
		}
		b := newFixture(mixed)
		text, last := parseStream(t, b.post(t.Context(), helloBody))
		if text != helloResponse || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloResponse)
		}
	})
}

func TestMissingTokenIsFetchedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		skipToken := func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			return &fakeStream{ctx: ctx, e: e, tokens: append(responseTokens(r)[:1], responseTokens(r)[2:]...), pace: tokenPace}, nil
		}
		b := newFixture(skipToken, respond)
		if text, _ := parseStream(t, b.post(t.Context(), helloBody)); text != helloResponse {
			t.Errorf("got %q, want %q", text, helloResponse)
		}
	})
}

func TestStalledConnectionIsReplacedOnTheSameServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond)
		b.engines["e1"].script = []behaviour{stallAfter(2)}
		start := time.Now()
		text, last := parseStream(t, b.post(t.Context(), helloBody))
		if text != helloResponse || last != "[DONE]" {
			t.Errorf("got %q ending %q, want %q ending [DONE]", text, last, helloResponse)
		}
		if got, want := time.Since(start), 3*time.Second; got > want {
			t.Errorf("got a response after %v, want at most %v", got, want)
		}
		if got := b.engines["e1"].requests[1].ResumeIndex; got != 2 {
			t.Errorf("got a second attempt at token %d, want 2", got)
		}
	})
}

func TestUnrecoverableStreamEndsInAnErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(stallAfter(1))
		b.engines["e1"].behaviour = func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
			if r.ResumeIndex > 0 {
				return nil, errReset
			}
			return stallAfter(1)(ctx, e, r)
		}
		start := time.Now()
		w := b.post(t.Context(), helloBody, requestTimeoutHeader, "5")
		_, last := parseStream(t, w)
		if !strings.Contains(w.Body.String(), "event: error\n") || !strings.Contains(last, `"Verdict":"Ran"`) {
			t.Errorf("got %s, want an error event with verdict Ran", w.Body)
		}
		if got, want := time.Since(start), 5250*time.Millisecond; got > want {
			t.Errorf("got the end of the stream after %v, want at most %v", got, want)
		}
	})
}

func TestNoRequestHangsPastItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(stallAfter(0))
		start := time.Now()
		w := b.post(t.Context(), helloBody, requestTimeoutHeader, "2.5")
		if got, want := time.Since(start), 2750*time.Millisecond; got > want {
			t.Errorf("got the refusal after %v, want at most %v", got, want)
		}
		if got := parseRefusal(t, w); w.Code != http.StatusGatewayTimeout || got.Verdict != "MayHaveRun" {
			t.Errorf("got %d %+v, want 504 MayHaveRun", w.Code, got)
		}
	})
}

func TestUnloadedReplicaIsReportedAndReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(failWith(engine.ErrModelNotLoaded), respond)
		for i := range 20 {
			// A different content has a different seed, so that both servers are tried.
			word := "word" + string(rune('a'+i))
			want := strings.Replace(helloResponse, "one", word, 1)
			if text, _ := parseStream(t, b.post(t.Context(), strings.Replace(helloBody, "one", word, 1))); text != want {
				t.Errorf("got %q, want %q", text, want)
			}
		}
		if got := len(b.placer.unloaded); got != 1 {
			t.Errorf("got %d reports of an unloaded model, want 1", got)
		}
	})
}

func TestCallerDisconnectCancelsItsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(respond)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(35*time.Millisecond, cancel)
		b.post(ctx, helloBody)
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
		{"no key", "", helloBody, "", 401, "Unauthenticated"},
		{"wrong key", "bad", helloBody, "", 401, "Unauthenticated"},
		{"expired key", "old", helloBody, "", 401, "Unauthenticated"},
		{"reader", "reader", helloBody, "", 403, "Forbidden"},
		{"other team's model", "good", helloBody, "", 403, "Forbidden"},
		{"unknown model", "good", strings.Replace(helloBody, "frames", "nothing", 1), "", 404, "UnknownModel"},
		{"unknown adapter", "good", strings.Replace(helloBody, "frames", "hymns:none", 1), "", 404, "UnknownModel"},
		{"malformed", "good", `{"model":`, "", 400, "BadRequest"},
		{"no messages", "good", `{"model":"hymns","messages":[ ]}`, "", 400, "BadRequest"},
		{"bad timeout", "good", helloBody, "-3", 400, "BadRequest"},
		{"large", "good", large, "", 413, "BodyTooLarge"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newFixture(respond)
			b.catalogue.deployment.RequireKeys, b.catalogue.team = true, team
			w := b.post(t.Context(), test.body, "Authorization", "Bearer "+test.key, requestTimeoutHeader, test.timeout)
			got := parseRefusal(t, w)
			if w.Code != test.status || got.Reason != test.reason || got.Verdict != "NotRun" || got.RequestID == "" {
				t.Errorf("got %d %+v, want %d %s NotRun", w.Code, got, test.status, test.reason)
			}
			if n := len(b.engines["e1"].requests); n != 0 {
				t.Errorf("got %d requests at the engine, want 0", n)
			}
		})
	}
}

func TestModelsListsTheModelsOfTheTeam(t *testing.T) {
	b := newFixture(respond)
	w := b.do(httptest.NewRequest(http.MethodGet, "/v1/models", nil))
	for _, want := range []string{`"frames"`, `"hymns"`, `"frames:formal"`} {
		if !strings.Contains(w.Body.String(), want) {
			t.Errorf("got %s, want %s in it", w.Body, want)
		}
	}
}

func TestDrainingNodeRefusesNewRequests(t *testing.T) {
	b := newFixture(respond)
	b.api.IsDraining = func() bool { return true }
	w := b.post(t.Context(), helloBody)
	got := parseRefusal(t, w)
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
				b := newFixture(respond)
				b.catalogue.team = test.team
				b.catalogue.team.Keys = []configuration.Key{{Hash: keyHash("k"), Role: configuration.Caller}}
				send := func() *httptest.ResponseRecorder { return b.post(t.Context(), helloBody, "Authorization", "Bearer k") }
				if w := send(); w.Code != http.StatusOK {
					t.Errorf("got %d %s for the first request, want 200", w.Code, w.Body)
				}
				w := send()
				if got := parseRefusal(t, w); w.Code != 429 || got.Reason != "LimitReached" || got.Verdict != "NotRun" {
					t.Errorf("got %d %+v for the second, want 429 LimitReached NotRun", w.Code, got)
				}
				wait, err := time.ParseDuration(w.Header().Get("Retry-After") + "s")
				if err != nil {
					t.Fatal(err)
				}
				time.Sleep(wait)
				if w := send(); w.Code != http.StatusOK {
					t.Errorf("got %d %s after Retry-After, want 200", w.Code, w.Body)
				}
			})
		})
	}
}

func TestConcurrencyIsLimitedOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newFixture(stallAfter(1))
		b.catalogue.team = configuration.Team{Name: "coral", Concurrency: 3, Keys: []configuration.Key{{Hash: keyHash("k"), Role: configuration.Caller}}}
		b.api.ApplyUsage("node-2", peer.Usage{Counters: []peer.UsageCounter{{Name: "team/coral/concurrency", Demand: 2}}})
		ctx, cancel := context.WithCancel(t.Context())
		go b.post(ctx, helloBody, "Authorization", "Bearer k")
		synctest.Wait()
		if w := b.post(t.Context(), helloBody, "Authorization", "Bearer k"); w.Code != 429 {
			t.Errorf("got %d while one request runs here and two at another node, want 429", w.Code)
		}
		cancel()
		synctest.Wait()
	})
}
