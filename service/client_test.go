package service

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/parsleylug/parsleylug/verdict"
)

// newRawServer starts a server that reads one request from each connection, adds it to
// requestCount and sends response unchanged.
func newRawServer(t *testing.T, requestCount *atomic.Int64, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.Copy(io.Discard, r.Body)
				requestCount.Add(1)
				io.WriteString(conn, response)
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

func TestCommandIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		name, response string
		want           verdict.Verdict
	}{
		{"none", "", verdict.MayHaveRun},
		{"malformed", "HTTP/1.1 what\r\n\r\n", verdict.MayHaveRun},
		{"truncated body", "HTTP/1.1 201 Created\r\nContent-Length: 9\r\n\r\n{", verdict.Ran},
	} {
		for _, method := range []string{"POST", "DELETE", "GET"} {
			t.Run(c.name+" "+method, func(t *testing.T) {
				var requestCount atomic.Int64
				var client Client
				_, err := client.Do(t.Context(), newRawServer(t, &requestCount, c.response), Request{Method: method, Path: "/bookings", IdempotencyKey: "k"})
				if got := verdict.Of(err).Verdict; err == nil || got != c.want {
					t.Errorf("got %v, want %v", err, c.want)
				}
				if got, want := requestCount.Load(), int64(1); got != want {
					t.Errorf("got %d requests at the service, want %d", got, want)
				}
			})
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusSeeOther)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	var client Client
	r, err := client.Do(t.Context(), l.Addr().String(), Request{
		Method: "PUT", Path: "/boards/st%2Fmary/next", RawQuery: "a=b%20c&a=d", Body: []byte("x"),
		ContentType: "text/plain", RequestID: "r1", IdempotencyKey: "k1",
	})
	if err != nil || r.Status != http.StatusSeeOther {
		t.Fatalf("got %+v, %v, want the redirect itself", r, err)
	}
	if got.RequestURI != "/boards/st%2Fmary/next?a=b%20c&a=d" {
		t.Errorf("got %q", got.RequestURI)
	}
	for name, want := range map[string]string{"Idempotency-Key": "k1", "X-Request-Id": "r1", "Content-Type": "text/plain"} {
		if got := got.Header.Get(name); got != want {
			t.Errorf("%s: got %q, want %q", name, got, want)
		}
	}
}

func TestInvalidRequestIsNotRun(t *testing.T) {
	var client Client
	for _, r := range []Request{{Method: "POST", Path: "/%zz"}, {Method: "BAD METHOD", Path: "/"}} {
		_, err := client.Do(t.Context(), "127.0.0.1:1", r)
		if got, want := verdict.Of(err).Verdict, verdict.NotRun; got != want {
			t.Errorf("%+v: got %v, want %v", r, got, want)
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 201 Created\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + strings.Repeat("x", 4)))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(data)), nil)
		if err != nil {
			return
		}
		defer r.Body.Close()
		_, err = readResponse(r)
		if err != nil && verdict.Of(err).Verdict != verdict.Ran {
			t.Errorf("got %v, want the verdict Ran after a response header", err)
		}
	})
}

// Guards against MIXED: an answer with a status that HTTP does not define reached the caller as a
// response, or made net/http close the caller's connection without one.
func TestOddStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "150", "199", "600", "999", "20", "abc", ""} {
		var requestCount atomic.Int64
		var client Client
		address := newRawServer(t, &requestCount, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nno")
		response, err := client.Do(t.Context(), address, Request{Method: "POST", Path: "/bookings"})
		if want := verdict.MayHaveRun; err == nil || verdict.Of(err).Verdict != want {
			t.Errorf("%q: got response %+v and %v, want %v", status, response, err, want)
		}
	}
}
