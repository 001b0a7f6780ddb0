package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/streams"
)

// FuzzToken: whatever text an engine gives, the caller gets it as valid JSON on one
// line.
func FuzzToken(f *testing.F) {
	for _, s := range []string{"plain", "a\"b\\c\n\t\x00\u2028é\xff", "data: [DONE]\n\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		e := newEvents("r", "frames", time.Unix(1, 0))
		b := e.token(engine.Token{Text: text})
		line, ok := bytes.CutPrefix(bytes.TrimSuffix(b, []byte("\n\n")), []byte("data: "))
		if !ok || bytes.ContainsAny(line, "\n\r") {
			t.Fatalf("got %q, want one event of one line", b)
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal(line, &chunk); err != nil {
			t.Fatal(err)
		}
		if got, want := chunk.Choices[0].Delta.Content, string([]rune(text)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	})
}

// FuzzParseChat: a body is refused or gives a model and messages; nothing panics
// and white space does not change the content.
func FuzzParseChat(f *testing.F) {
	for _, s := range []string{hello, `{"model":"m","messages":[{}]}`, `{"model":1}`, `[]`, ``, `{"model":"m","messages":[ ]}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		w, err := parseChat(body)
		if err != nil {
			return
		}
		if w.Model == "" || len(w.Messages) == 0 {
			t.Fatalf("got %+v accepted", w)
		}
		var spaced bytes.Buffer
		if err := json.Indent(&spaced, body, " ", "\t"); err != nil {
			t.Fatal(err)
		}
		again, err := parseChat(spaced.Bytes())
		if err != nil || contentHash(again) != contentHash(w) {
			t.Errorf("got another content of %q with more white space", body)
		}
	})
}

// FuzzHeaders: ids and paths from callers never break a header or leave their
// service.
func FuzzHeaders(f *testing.F) {
	f.Add("r-1", "30")
	f.Add("a b\r\nX: y", "NaN")
	f.Add("", "1e400")
	f.Fuzz(func(t *testing.T, id, timeout string) {
		if got := string(requestID(id)); !validRequestID(got) {
			t.Errorf("got id %q", got)
		}
		now := time.Unix(1_000_000, 0)
		d, err := deadline(now, timeout, (&fakeCatalogue{}).Deployment())
		if err == nil && (d.HasPassed(now.Add(-1)) || d.Remaining(now) > 10*time.Minute) {
			t.Errorf("got deadline %v for %q", d.At.Sub(now), timeout)
		}
	})
}

func TestTokenCostsAtMostOneAllocation(t *testing.T) {
	e := newEvents("r", "frames", time.Unix(1, 0))
	var r streams.Sequencer
	r.StartAttempt("a")
	token := engine.Token{AttemptID: "a", Text: "word "}
	got := testing.AllocsPerRun(1000, func() {
		if r.Accept(token.AttemptID, token.Index) == streams.Deliver {
			e.token(token)
		}
		token.Index++
	})
	if want := 1.0; got > want {
		t.Errorf("got %v allocations a token, want at most %v", got, want)
	}
}

func BenchmarkToken(b *testing.B) {
	e := newEvents("r", "frames", time.Unix(1, 0))
	var r streams.Sequencer
	r.StartAttempt("a")
	token := engine.Token{AttemptID: "a", Text: "word "}
	b.ReportAllocs()
	for b.Loop() {
		r.Accept(token.AttemptID, token.Index)
		e.token(token)
		token.Index++
	}
}

// instantStream gives its parts at once.
type instantStream struct{ parts []engine.Token }

func (s *instantStream) Next() (engine.Token, error) {
	t := s.parts[0]
	s.parts = s.parts[1:]
	return t, nil
}

func (s *instantStream) Close() error { return nil }

// BenchmarkRequest is what a node adds to a streamed answer of 6 tokens, without
// the network.
func BenchmarkRequest(b *testing.B) {
	instant := func(_ context.Context, _ *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &instantStream{parts: parts(r)}, nil
	}
	n := newBench(instant, instant)
	b.ReportAllocs()
	took := make([]time.Duration, 0, 1<<16)
	for b.Loop() {
		start := time.Now()
		n.post(b.Context(), hello)
		took = append(took, time.Since(start))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*95/100]), "ns-p95")
}
