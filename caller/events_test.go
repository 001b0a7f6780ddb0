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

// FuzzToken checks that the caller gets any text of an engine as valid JSON on one line.
func FuzzToken(f *testing.F) {
	for _, s := range []string{"plain", "a\"b\\c\n\t\x00\u2028é\xff", "data: [DONE]\n\n"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		e := newEventEncoder("r", "frames", time.Unix(1, 0))
		b := e.encodeToken(engine.Token{Text: text})
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

// FuzzParseChat checks that a body is refused or has a model and messages, without a
// panic, and that white space does not change the content hash.
func FuzzParseChat(f *testing.F) {
	for _, s := range []string{helloBody, `{"model":"m","messages":[{}]}`, `{"model":1}`, `[]`, ``, `{"model":"m","messages":[ ]}`} {
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

// FuzzHeaders checks that request IDs are valid header values and that deadlines are in
// bounds, whatever a caller sends.
func FuzzHeaders(f *testing.F) {
	f.Add("r-1", "30")
	f.Add("a b\r\nX: y", "NaN")
	f.Add("", "1e400")
	f.Fuzz(func(t *testing.T, id, timeout string) {
		if got := string(requestID(id)); !isValidRequestID(got) {
			t.Errorf("got id %q", got)
		}
		now := time.Unix(1_000_000, 0)
		d, err := parseDeadline(now, timeout, (&fakeCatalogue{}).Deployment())
		if err == nil && (d.HasPassed(now.Add(-1)) || d.Remaining(now) > 10*time.Minute) {
			t.Errorf("got deadline %v for %q", d.At.Sub(now), timeout)
		}
	})
}

func TestTokenCostsAtMostOneAllocation(t *testing.T) {
	e := newEventEncoder("r", "frames", time.Unix(1, 0))
	var r streams.Sequencer
	r.StartAttempt("a")
	token := engine.Token{AttemptID: "a", Text: "word "}
	got := testing.AllocsPerRun(1000, func() {
		if r.Accept(token.AttemptID, token.Index) == streams.Deliver {
			e.encodeToken(token)
		}
		token.Index++
	})
	if want := 1.0; got > want {
		t.Errorf("got %v allocations a token, want at most %v", got, want)
	}
}

func BenchmarkToken(b *testing.B) {
	e := newEventEncoder("r", "frames", time.Unix(1, 0))
	var r streams.Sequencer
	r.StartAttempt("a")
	token := engine.Token{AttemptID: "a", Text: "word "}
	b.ReportAllocs()
	for b.Loop() {
		r.Accept(token.AttemptID, token.Index)
		e.encodeToken(token)
		token.Index++
	}
}

// instantStream returns its tokens without delay.
type instantStream struct{ tokens []engine.Token }

func (s *instantStream) Next() (engine.Token, error) {
	t := s.tokens[0]
	s.tokens = s.tokens[1:]
	return t, nil
}

func (s *instantStream) Close() error { return nil }

// BenchmarkRequest measures the node's part of a streamed response of 6 tokens, without
// the network.
func BenchmarkRequest(b *testing.B) {
	instant := func(_ context.Context, _ *fakeEngine, r engine.ChatRequest) (engine.Stream, error) {
		return &instantStream{tokens: responseTokens(r)}, nil
	}
	n := newFixture(instant, instant)
	b.ReportAllocs()
	elapsed := make([]time.Duration, 0, 1<<16)
	for b.Loop() {
		start := time.Now()
		n.post(b.Context(), helloBody)
		elapsed = append(elapsed, time.Since(start))
	}
	slices.Sort(elapsed)
	b.ReportMetric(float64(elapsed[len(elapsed)*95/100]), "ns-p95")
}
