package engine

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/verdict"
)

// newFixedServer serves every request with the same response and returns its address.
func newFixedServer(t *testing.T, status int, contentType, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestOnlyExplicitRefusalsAreNotRun(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   verdict.Verdict
		cause  error
	}{
		{404, `{"Error":"ModelNotLoaded"}`, verdict.NotRun, ErrModelNotLoaded},
		{404, `{"Error":"AdapterNotLoaded"}`, verdict.NotRun, ErrAdapterNotLoaded},
		{503, `{"Error":"Overloaded"}`, verdict.NotRun, ErrOverloaded},
		{400, `{"Error":"BadRequest"}`, verdict.NotRun, ErrBadRequest},
		{400, `bad`, verdict.MayHaveRun, nil},
		{503, `{"Error":"Other"}`, verdict.MayHaveRun, nil},
		{404, `not found`, verdict.MayHaveRun, nil},
		{500, `{"Error":"Overloaded"}`, verdict.MayHaveRun, nil},
		{200, `{}`, verdict.MayHaveRun, nil},
	} {
		var client Client
		address := newFixedServer(t, c.status, "application/json", c.body)
		_, err := client.Chat(t.Context(), address, ChatRequest{AttemptID: "a1", Body: []byte("{}")})
		if got := verdict.Of(err).Verdict; err == nil || got != c.want {
			t.Errorf("%d %s: got %v, want %v", c.status, c.body, err, c.want)
		}
		if c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("%d %s: got %v, want %v in its chain", c.status, c.body, err, c.cause)
		}
	}
}

func TestStreamReturnsEachTokenOnceInOrder(t *testing.T) {
	const last = `data: {"Attempt":"a1","Index":2,"Finish":"stop"}` + "\n\n"
	for _, c := range []struct {
		name, body, want string
		err              error
		verdict          verdict.Verdict
	}{
		{"complete", tokenEvents("a1", "x", 0, "y", 1) + last, "xy", io.EOF, 0},
		{"comments and fields", ": waiting\n\nevent: x\nid: 4\n" + tokenEvents("a1", "x", 0, "y", 1) + last, "xy", io.EOF, 0},
		{"repeated", tokenEvents("a1", "x", 0, "x", 0, "y", 1) + last, "xy", io.EOF, 0},
		{"other attempt", tokenEvents("a1", "x", 0) + tokenEvents("a0", "z", 1) + tokenEvents("a1", "y", 1) + last, "xy", io.EOF, 0},
		{"gap", tokenEvents("a1", "x", 0, "z", 5), "x", nil, verdict.Ran},
		{"truncated", tokenEvents("a1", "x", 0), "x", nil, verdict.Ran},
		{"empty", "", "", nil, verdict.MayHaveRun},
		{"done without finish", "data: [DONE]\n\n", "", nil, verdict.MayHaveRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			var client Client
			address := newFixedServer(t, 200, "text/event-stream", c.body)
			s, err := client.Chat(t.Context(), address, ChatRequest{AttemptID: "a1", Body: []byte("{}")})
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			got, err := readText(s)
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if c.err != nil && !errors.Is(err, c.err) {
				t.Errorf("got %v, want %v", err, c.err)
			}
			if c.err == nil && (verdict.Of(err).Reason != verdict.StreamBroken || verdict.Of(err).Verdict != c.verdict) {
				t.Errorf("got %v, want StreamBroken with %v", err, c.verdict)
			}
		})
	}
}

func TestIdleConnectionTimesOut(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	t.Cleanup(s.Close)
	t.Cleanup(func() { close(release) })
	client := Client{IdleTimeout: 20 * time.Millisecond}
	_, err := client.Chat(t.Context(), strings.TrimPrefix(s.URL, "http://"), ChatRequest{AttemptID: "a1", Body: []byte("{}")})
	if !errors.Is(err, ErrIdleTimeout) || verdict.Of(err).Verdict != verdict.MayHaveRun {
		t.Errorf("got %v, want ErrIdleTimeout with MayHaveRun", err)
	}
}

// tokenEvents encodes the events of one attempt from pairs of text and index.
func tokenEvents(attempt string, pairs ...any) string {
	var b strings.Builder
	for i := 0; i < len(pairs); i += 2 {
		index := string(rune('0' + pairs[i+1].(int)))
		b.WriteString(`data: {"Attempt":"` + attempt + `","Index":` + index + `,"Text":"` + pairs[i].(string) + "\"}\n\n")
	}
	return b.String()
}

func readText(s Stream) (string, error) {
	var b strings.Builder
	for {
		token, err := s.Next()
		if err != nil {
			return b.String(), err
		}
		b.WriteString(token.Text)
	}
}
