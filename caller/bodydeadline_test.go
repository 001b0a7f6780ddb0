package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against bodies without end: callers that sent a byte now and then held the space for the
// bodies of all requests for as long as they liked.
func TestBodyThatTricklesIsRefusedAtItsDeadline(t *testing.T) {
	const (
		deadline = 300 * time.Millisecond
		limit    = deadline + 500*time.Millisecond
		byteGap  = 30 * time.Millisecond
		// patience is how long the test waits for the end of a request that would not end by itself.
		patience = 3 * time.Second
	)
	b := newFixture()
	s := httptest.NewServer(b.api.Handler())
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	begunAt := time.Now()
	_, _ = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n%s: %g\r\nTransfer-Encoding: chunked\r\n\r\n", requestTimeoutHeader, deadline.Seconds())
	go func() {
		for {
			if _, err := c.Write([]byte("1\r\n{\r\n")); err != nil {
				return
			}
			time.Sleep(byteGap)
		}
	}()
	_ = c.SetReadDeadline(begunAt.Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("got %v after %v, want a refusal", err, time.Since(begunAt))
	}
	defer func() { _ = response.Body.Close() }()
	if took := time.Since(begunAt); took > limit {
		t.Errorf("refused after %v, want %v at most", took, limit)
	}
	var got refusalWire
	if err := json.NewDecoder(response.Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if want := "NotRun"; response.StatusCode != http.StatusGatewayTimeout || got.Verdict != want {
		t.Errorf("got status %d, verdict %s, want %d, %s", response.StatusCode, got.Verdict, http.StatusGatewayTimeout, want)
	}
}

// The limit of a body must not end a request whose body has arrived.
func TestBodyLimitEndsWithTheBody(t *testing.T) {
	b := newFixture(respond)
	s := httptest.NewServer(b.api.Handler())
	defer s.Close()
	for range 2 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/v1/chat/completions", strings.NewReader(helloBody))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set(requestTimeoutHeader, "0.3")
		response, err := http.DefaultClient.Do(r)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %+v and %v, want status 200", response, err)
		}
		_ = response.Body.Close()
		time.Sleep(400 * time.Millisecond)
	}
}
