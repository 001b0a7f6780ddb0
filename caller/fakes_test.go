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

// fakeCatalogue holds one model, one adapter, one service and one team.
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

// fakePlacer answers with the replicas that are not excluded.
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
	var left []routing.Replica
	for _, r := range f.replicas {
		if !slices.Contains(n.Exclude, r.Server) {
			left = append(left, r)
		}
	}
	return left, nil
}

func (f *fakePlacer) MarkUnloaded(s domain.ServerID, _ domain.ModelName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unloaded = append(f.unloaded, s)
	f.replicas = slices.DeleteFunc(f.replicas, func(r routing.Replica) bool { return r.Server == s })
}

func (f *fakePlacer) Service(domain.ServiceName) []routing.Replica { return f.replicas }

// behaviour is what a fake engine does with one attempt.
type behaviour func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error)

// fakeEngines are engines by address.
type fakeEngines map[string]*fakeEngine

func (f fakeEngines) Chat(ctx context.Context, address string, r engine.ChatRequest) (engine.Stream, error) {
	e, ok := f[address]
	if !ok {
		return nil, verdict.Refuse(verdict.BackendFailed, "no such address")
	}
	e.mu.Lock()
	e.requests = append(e.requests, r)
	act := e.act
	if len(e.script) > 0 {
		act, e.script = e.script[0], e.script[1:]
	}
	e.mu.Unlock()
	if act == nil {
		act = answer
	}
	return act(ctx, e, r)
}

// fakeEngine runs its script, one behaviour an attempt, and then act.
type fakeEngine struct {
	mu       sync.Mutex
	script   []behaviour
	act      behaviour
	requests []engine.ChatRequest
	canceled int
}

// words is what every fake engine answers to a request.
func words(r engine.ChatRequest) []string {
	var body struct {
		Messages []struct{ Content string }
	}
	_ = json.Unmarshal(r.Body, &body)
	return strings.SplitAfter("answer to "+body.Messages[len(body.Messages)-1].Content, " ")
}

// fakeStream gives parts and then its error; with no error it blocks.
type fakeStream struct {
	ctx   context.Context
	e     *fakeEngine
	parts []engine.Token
	pace  time.Duration
	err   error
}

func (f *fakeStream) Next() (engine.Token, error) {
	if len(f.parts) == 0 && f.err != nil {
		return engine.Token{}, f.err
	}
	pace := f.pace
	if len(f.parts) == 0 {
		pace = 24 * time.Hour
	}
	t := time.NewTimer(pace)
	defer t.Stop()
	select {
	case <-f.ctx.Done():
		return engine.Token{}, f.ctx.Err()
	case <-t.C:
	}
	p := f.parts[0]
	f.parts = f.parts[1:]
	return p, nil
}

func (f *fakeStream) Close() error {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	if f.ctx.Err() != nil && len(f.parts) > 0 {
		f.e.canceled++
	}
	return nil
}

// parts is the whole answer from the token at which r resumes.
func parts(r engine.ChatRequest) []engine.Token {
	all := words(r)
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

func answer(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
	return &fakeStream{ctx: ctx, e: e, parts: parts(r), pace: tokenPace, err: io.EOF}, nil
}

var errReset = errors.New("connection reset")

// breakAfter gives n tokens and then breaks the connection.
func breakAfter(n int) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &fakeStream{ctx: ctx, e: e, parts: parts(r)[:n], pace: tokenPace, err: errReset}, nil
	}
}

// silentAfter gives n tokens and then nothing.
func silentAfter(n int) behaviour {
	return func(ctx context.Context, e *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &fakeStream{ctx: ctx, e: e, parts: parts(r)[:n], pace: tokenPace}, nil
	}
}

func refuse(err error) behaviour {
	return func(context.Context, *fakeEngine, engine.ChatRequest) (engine.Stream, error) { return nil, err }
}

// bench is an API over fakes.
type bench struct {
	api       *API
	catalogue *fakeCatalogue
	placer    *fakePlacer
	engines   fakeEngines
	handler   http.Handler
}

// newBench has engines e1, e2, … with the given behaviours.
func newBench(acts ...behaviour) *bench {
	b := &bench{catalogue: &fakeCatalogue{}, placer: &fakePlacer{}, engines: fakeEngines{}}
	for i, act := range acts {
		name := "e" + string(rune('1'+i))
		b.placer.replicas = append(b.placer.replicas, routing.Replica{
			Server: domain.ServerID(name), Address: name, Region: "brisbane", Zone: "brisbane-a", Concurrency: 16,
		})
		b.engines[name] = &fakeEngine{act: act}
	}
	b.api = New(Deps{
		Catalogue: b.catalogue, Placer: b.placer, Backends: b.placer, ChatClient: b.engines,
		Region: "brisbane", Zone: "brisbane-a", Node: "node-1",
	})
	b.handler = b.api.Handler()
	return b
}

// post sends a chat request and returns the whole answer.
func (b *bench) post(ctx context.Context, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	return b.do(r, headers...)
}

func (b *bench) do(r *http.Request, headers ...string) *httptest.ResponseRecorder {
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	b.handler.ServeHTTP(w, r)
	return w
}

const hello = `{"model":"frames","stream":true,"messages":[{"role":"user","content":"one two three four"}],"unknown":{"kept":1}}`

const helloAnswer = "answer to one two three four"

// streamed returns the text of a streamed answer and its last event.
func streamed(t *testing.T, w *httptest.ResponseRecorder) (text, last string) {
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

func refusal(t *testing.T, w *httptest.ResponseRecorder) refusalWire {
	t.Helper()
	var r refusalWire
	if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
		t.Fatalf("refusal %q: %v", w.Body.String(), err)
	}
	return r
}

func keyHash(key string) [32]byte { return sha256.Sum256([]byte(key)) }
