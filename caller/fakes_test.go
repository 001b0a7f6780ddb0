package caller

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/verdict"
)

// fakeCatalogue holds two models, one adapter, one service and one team.
type fakeCatalogue struct {
	deployment configuration.Deployment
	team       configuration.Team
	blocked    [32]byte
}

func (f *fakeCatalogue) Model(n domain.ModelName) (configuration.Model, bool) {
	return configuration.Model{Name: n, Copies: 2}, n == "frames" || n == "hymns"
}

func (f *fakeCatalogue) Adapter(m domain.ModelName, n domain.AdapterName) (configuration.Adapter, bool) {
	return configuration.Adapter{Name: n, Model: m}, m == "frames" && n == "formal"
}

func (f *fakeCatalogue) Service(n domain.ServiceName) (configuration.Service, bool) {
	return configuration.Service{Name: n}, n == "booking"
}

func (f *fakeCatalogue) Models() []configuration.Model {
	return []configuration.Model{{Name: "frames"}, {Name: "hymns"}}
}

func (f *fakeCatalogue) Adapters() []configuration.Adapter {
	return []configuration.Adapter{{Name: "formal", Model: "frames"}}
}

func (f *fakeCatalogue) Deployment() configuration.Deployment { return f.deployment }

func (f *fakeCatalogue) TeamByKey(h [32]byte) (configuration.Team, configuration.Key, bool) {
	for _, k := range f.team.Keys {
		if k.Hash == h {
			return f.team, k, true
		}
	}
	return configuration.Team{}, configuration.Key{}, false
}

func (f *fakeCatalogue) IsQuarantined(content [32]byte) bool {
	return f.blocked != [32]byte{} && content == f.blocked
}

// fakePlacer returns the replicas that are not excluded.
type fakePlacer struct {
	mu       sync.Mutex
	replicas []routing.Replica
	unloaded []domain.ServerID
	err      error
}

func (f *fakePlacer) Place(_ context.Context, n PlacementRequest) ([]routing.Replica, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return nil, f.err
	}
	var remaining []routing.Replica
	for _, r := range f.replicas {
		if !slices.Contains(n.Exclude, r.Server) {
			remaining = append(remaining, r)
		}
	}
	return remaining, nil
}

func (f *fakePlacer) MarkUnloaded(s domain.ServerID, _ domain.ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unloaded = append(f.unloaded, s)
	f.replicas = slices.DeleteFunc(f.replicas, func(r routing.Replica) bool { return r.Server == s })
}

func (f *fakePlacer) Service(domain.ServiceName) []routing.Replica { return f.replicas }

// behaviour handles one attempt at a fake engine.
type behaviour func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error)

// fakeEngines are engines by their address.
type fakeEngines map[string]*fakeEngine

func (f fakeEngines) Chat(ctx context.Context, address string, r engine.ChatRequest) (engine.Stream, error) {
	e, ok := f[address]
	if !ok {
		return nil, verdict.Refuse(verdict.BackendFailed, "no such address")
	}
	e.mu.Lock()
	e.requests = append(e.requests, r)
	act := e.behaviour
	if len(e.script) > 0 {
		act, e.script = e.script[0], e.script[1:]
	}
	e.mu.Unlock()
	if act == nil {
		act = respond
	}
	return act(ctx, e, r)
}

// fakeEngine handles each attempt with the next behaviour of its script, and with
// behaviour after the script has ended.
type fakeEngine struct {
	mu        sync.Mutex
	script    []behaviour
	behaviour behaviour
	requests  []engine.ChatRequest
	canceled  int
}

// responseWords returns the words with which every fake engine responds to a request.
func responseWords(r engine.ChatRequest) []string {
	var body struct {
		Messages []struct{ Content string }
	}
	_ = json.Unmarshal(r.Body, &body)
	return strings.SplitAfter("answer to "+body.Messages[len(body.Messages)-1].Content, " ")
}

// fakeStream returns its tokens and then its error. Without an error it blocks.
type fakeStream struct {
	ctx    context.Context
	e      *fakeEngine
	tokens []engine.Token
	pace   time.Duration
	err    error
}

func (f *fakeStream) Next() (engine.Token, error) {
	if len(f.tokens) == 0 && f.err != nil {
		return engine.Token{}, f.err
	}
	pace := f.pace
	if len(f.tokens) == 0 {
		pace = 24 * time.Hour
	}
	t := time.NewTimer(pace)
	defer t.Stop()
	select {
	case <-f.ctx.Done():
		return engine.Token{}, f.ctx.Err()
	case <-t.C:
	}
	p := f.tokens[0]
	f.tokens = f.tokens[1:]
	return p, nil
}

func (f *fakeStream) Close() error {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	if f.ctx.Err() != nil && len(f.tokens) > 0 {
		f.e.canceled++
	}
	return nil
}

// responseTokens returns the tokens of the response from the index at which r resumes.
func responseTokens(r engine.ChatRequest) []engine.Token {
	all := responseWords(r)
	tokens := make([]engine.Token, 0, len(all))
	for i, w := range all {
		t := engine.Token{AttemptID: r.AttemptID, Index: domain.Tokens(i), Text: w}
		if i == len(all)-1 {
			t.FinishReason, t.PromptTokens, t.CompletionTokens = "stop", 3, domain.Tokens(len(all))
		}
		tokens = append(tokens, t)
	}
	return tokens[r.ResumeIndex:]
}

const tokenPace = 10 * time.Millisecond

func respond(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
	return &fakeStream{ctx: ctx, e: e, tokens: responseTokens(r), pace: tokenPace, err: io.EOF}, nil
}

var errReset = errors.New("connection reset")

// breakAfter returns n tokens and then breaks the connection.
func breakAfter(n int) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &fakeStream{ctx: ctx, e: e, tokens: responseTokens(r)[:n], pace: tokenPace, err: errReset}, nil
	}
}

// stallAfter returns n tokens and then makes no progress.
func stallAfter(n int) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &fakeStream{ctx: ctx, e: e, tokens: responseTokens(r)[:n], pace: tokenPace}, nil
	}
}

func failWith(err error) behaviour {
	return func(context.Context, *fakeEngine, engine.ChatRequest) (engine.Stream, error) { return nil, err }
}

// fixture is an API with fake dependencies.
type fixture struct {
	api       *API
	catalogue *fakeCatalogue
	placer    *fakePlacer
	engines   fakeEngines
	handler   http.Handler
}

// newFixture returns an API with engines e1, e2, … that have the given behaviours.
func newFixture(behaviours ...behaviour) *fixture {
	f := &fixture{catalogue: &fakeCatalogue{}, placer: &fakePlacer{}, engines: fakeEngines{}}
	for i, behaviour := range behaviours {
		name := "e" + string(rune('1'+i))
		f.placer.replicas = append(f.placer.replicas, routing.Replica{
			Server: domain.ServerID(name), Address: name, Region: "brisbane", Zone: "brisbane-a", Concurrency: 16,
		})
		f.engines[name] = &fakeEngine{behaviour: behaviour}
	}
	f.api = New(Deps{
		Catalogue: f.catalogue, Placer: f.placer, Backends: f.placer, ChatClient: f.engines,
		Region: "brisbane", Zone: "brisbane-a", Node: "node-1",
	})
	f.handler = f.api.Handler()
	return f
}

// post sends a chat request and returns the complete response.
func (f *fixture) post(ctx context.Context, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	return f.do(r, headers...)
}

func (f *fixture) do(r *http.Request, headers ...string) *httptest.ResponseRecorder {
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w
}

const helloBody = `{"model":"frames","stream":true,"messages":[{"role":"user","content":"one two three four"}],"unknown":{"kept":1}}`

const helloResponse = "answer to one two three four"

// parseStream returns the text of a streamed response and its last event.
func parseStream(t *testing.T, w *httptest.ResponseRecorder) (text, last string) {
	t.Helper()
	for _, line := range strings.Split(w.Body.String(), "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		last = data
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if data != "[DONE]" {
			if err := json.Unmarshal([]byte(data), &chunk); err != nil {
				t.Fatalf("event %q: %v", data, err)
			}
		}
		if len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
		}
	}
	return text, last
}

func parseRefusal(t *testing.T, w *httptest.ResponseRecorder) refusalWire {
	t.Helper()
	var r refusalWire
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
		t.Fatalf("refusal %q: %v", w.Body.String(), err)
	}
	return r
}

func keyHash(key string) [32]byte { return sha256.Sum256([]byte(key)) }
