package httponce

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/verdict"
)

// droppingServer starts a server that responds to the first request of each connection, and
// closes the connection without a response after reading the second. countedRequests counts the
// requests for /counted that arrive with their idempotency key.
func droppingServer(t *testing.T, countedRequests *atomic.Int64) string {
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
			go respondOnce(conn, countedRequests)
		}
	}()
	return listener.Addr().String()
}

func respondOnce(conn net.Conn, countedRequests *atomic.Int64) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/counted" && r.Header.Get("Idempotency-Key")+r.Header.Get("X-Idempotency-Key") == "k" && len(r.TransferEncoding) == 0 {
			countedRequests.Add(1)
		}
		if n == 0 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

func request(t *testing.T, method, url, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Idempotency-Key", "k")
	return r
}

func TestRequestIsNeverReplayed(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "DELETE", "GET"} {
		for _, body := range []string{"", "frame 12"} {
			t.Run(method+" "+body, func(t *testing.T) { checkNoReplay(t, method, body, "Idempotency-Key") })
		}
	}
}

// Guards against TWICE: net/http also sends a request without a body again if it has the header
// X-Idempotency-Key, or if its method is HEAD, OPTIONS or TRACE.
func TestRequestWithoutBodyIsNeverReplayed(t *testing.T) {
	for _, method := range []string{"POST", "PUT", "PATCH", "DELETE", "GET", "HEAD", "OPTIONS", "TRACE", "PROPFIND", "BOOK"} {
		for _, header := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
			t.Run(method+" "+header, func(t *testing.T) { checkNoReplay(t, method, "", header) })
		}
	}
}

// checkNoReplay checks that a request reaches a server once which closes a kept connection instead of
// responding to it.
func checkNoReplay(t *testing.T, method, body, header string) {
	t.Helper()
	var countedRequests atomic.Int64
	address := droppingServer(t, &countedRequests)
	pooled := &Client{HTTP: &http.Client{Transport: &http.Transport{}}}
	first, err := pooled.Do(request(t, method, "http://"+address+"/first", body))
	if err != nil {
		t.Fatal(err)
	}
	first.Body.Close()
	counted := request(t, method, "http://"+address+"/counted", body)
	counted.Header = http.Header{header: {"k"}}
	_, err = pooled.Do(counted)
	if err == nil {
		t.Fatal("got a response, want an error")
	}
	if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
		t.Errorf("got verdict %v, want %v", got, want)
	}
	if got, want := countedRequests.Load(), int64(1); got != want {
		t.Errorf("got %d requests at the server, want %d", got, want)
	}
}

func TestDefaultTransportReplays(t *testing.T) {
	var countedRequests atomic.Int64
	address := droppingServer(t, &countedRequests)
	plain := &http.Client{Transport: &http.Transport{}}
	first, err := plain.Do(request(t, "POST", "http://"+address+"/first", "x"))
	if err != nil {
		t.Fatal(err)
	}
	first.Body.Close()
	if second, err := plain.Do(request(t, "POST", "http://"+address+"/counted", "x")); err == nil {
		second.Body.Close()
	}
	if got := countedRequests.Load(); got < 2 {
		t.Errorf("got %d requests, want a replay; without one, TestRequestIsNeverReplayed cannot fail", got)
	}
}

func TestVerdictAfterRefusedDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	var client Client
	_, err = client.Do(request(t, "POST", "http://"+address+"/", "x"))
	if got, want := verdict.Of(err).Verdict, verdict.NotRun; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, io.ErrUnexpectedEOF
}

func TestVerdictOfCustomTransport(t *testing.T) {
	client := Client{HTTP: &http.Client{Transport: failingTransport{}}}
	_, err := client.Do(request(t, "POST", "http://127.0.0.1:1/", "x"))
	if got, want := verdict.Of(err).Verdict, verdict.MayHaveRun; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var requestCount atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requestCount.Add(1)
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	})}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	var client Client
	response, err := client.Do(request(t, "POST", "http://"+l.Addr().String()+"/", "x"))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if got, want := response.StatusCode, http.StatusTemporaryRedirect; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if got, want := requestCount.Load(), int64(1); got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

// Guards against a response that is still due and is taken for that of the next request.
func TestNoRequestIsSentOnAClosedConnection(t *testing.T) {
	var requests atomic.Int64
	address := droppingServer(t, &requests)
	client := &Client{HTTP: &http.Client{Transport: &http.Transport{}}}
	for range 3 {
		response, err := client.Do(request(t, "POST", "http://"+address+"/counted", "x"))
		for errors.Is(err, net.ErrClosed) {
			// The transport had not noticed that the connection was closed.
			response, err = client.Do(request(t, "POST", "http://"+address+"/counted", "x"))
		}
		if err != nil {
			t.Fatal(err)
		}
		CloseConnection(response)
		response.Body.Close()
	}
	if got, want := requests.Load(), int64(3); got != want {
		t.Errorf("got %d requests at the server, want %d", got, want)
	}
}

// earlyServer starts a server that responds without a length before it has read the body of the
// request, and resets the connection a little later.
func earlyServer(t *testing.T) string {
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
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
				time.Sleep(50 * time.Millisecond)
				conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against MIXED: a response without a length was reset while its request was still being
// sent, the error of the connection went to the write, and the part was taken for the whole.
func TestResponseThatIsResetWhileTheRequestIsSentIsNotWhole(t *testing.T) {
	address := earlyServer(t)
	// The request is longer than what sockets buffer.
	long := strings.Repeat("x", 16<<20)
	for range 5 {
		var client Client
		response, err := client.Do(request(t, "POST", "http://"+address+"/", long))
		if err != nil {
			// The reset was noticed before the head.
			continue
		}
		got, err := io.ReadAll(response.Body)
		if err == nil {
			t.Errorf("got %q as the whole body, want an error", got)
		}
		response.Body.Close()
	}
}

// Guards against a change of the request by what keeps the transport from sending it again.
func TestRequestWithoutBodyIsSentAsIs(t *testing.T) {
	for method, want := range map[string]string{
		"GET":   "GET /a HTTP/1.1\r\nHost: h\r\nUser-Agent: \r\nx-idempotency-key: k\r\n\r\n",
		"TRACE": "TRACE /a HTTP/1.1\r\nHost: h\r\nUser-Agent: \r\nx-idempotency-key: k\r\n\r\n",
		"POST":  "POST /a HTTP/1.1\r\nHost: h\r\nUser-Agent: \r\nContent-Length: 0\r\nx-idempotency-key: k\r\n\r\n",
	} {
		r, err := http.NewRequestWithContext(t.Context(), method, "http://h/a", http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		r.Header = http.Header{"X-Idempotency-Key": {"k"}, "User-Agent": {" "}}
		var sent strings.Builder
		if err := singleUse(r).Write(&sent); err != nil {
			t.Fatal(err)
		}
		if got := sent.String(); got != want {
			t.Errorf("%s: got %q, want %q", method, got, want)
		}
	}
}
