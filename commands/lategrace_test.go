package commands

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/entry"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/platform"
	"github.com/parsleylug/parsleylug/retries"
)

const (
	graceOfTests = 8 * time.Second
	// callerTimeout is the deadline of the requests of these tests.
	callerTimeout = 20 * time.Second
	// refusalBound is the time in which a request that cannot be served is refused.
	refusalBound = 500 * time.Millisecond
)

// workServer is a backend server whose requests take as long as their query string says.
type workServer struct {
	mu sync.Mutex
	// runs holds the IDs of the requests that have run.
	runs map[string]bool
}

// ServeHTTP responds after the duration in the query string, on /stream/ with 50 events that
// are spread over it.
func (s *workServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestIDHeader)
	s.mu.Lock()
	s.runs[id] = true
	s.mu.Unlock()
	work, err := time.ParseDuration(r.URL.RawQuery)
	if err != nil {
		panic(err)
	}
	w.Header().Set(platform.RequestIDHeader, id)
	w.Header().Set(platform.ResponseStampHeader, "s")
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
		return
	}
	const events = 50
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= events && r.Context().Err() == nil; n++ {
		time.Sleep(work / events)
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		_ = http.NewResponseController(w).Flush()
	}
}

func (s *workServer) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// stoppingNode is a node with one backend server, without the platform's store.
type stoppingNode struct {
	front        *frontNode
	callerServer *platform.BoundedServer
	server       *workServer
	address      string
	// stoppedAt is when the shutdown began; exited is closed when it has ended.
	stoppedAt time.Time
	exited    chan struct{}
}

func startStoppingNode(t *testing.T) *stoppingNode {
	t.Helper()
	n := &stoppingNode{server: &workServer{runs: map[string]bool{}}, exited: make(chan struct{})}
	listen := func() net.Listener {
		l, err := platform.ListenForCallers(t.Context(), "127.0.0.1:0", platform.SocketBuffers{})
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	backend, callers := listen(), listen()
	backendServer := &http.Server{Handler: n.server, ReadHeaderTimeout: time.Minute}
	go func() { _ = backendServer.Serve(backend) }()
	t.Cleanup(func() { _ = backendServer.Close() })

	ctx, cancel := context.WithCancelCause(t.Context())
	n.front = newUnlinkedFrontNode(backend.Addr().String(), cancel)
	n.callerServer = n.front.frontend.HTTPServer(ctx, platform.ServerLimits{ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	n.address = callers.Addr().String()
	go func() { _ = n.callerServer.Serve(callers) }()
	t.Cleanup(func() { _ = n.callerServer.Close() })
	return n
}

// newUnlinkedFrontNode returns a node that does not use the platform's store.
func newUnlinkedFrontNode(serverAddress string, cancelRequests context.CancelCauseFunc) *frontNode {
	f := &frontNode{settings: platform.Settings{GracePeriod: graceOfTests}, logger: zerolog.Nop(), node: entry.New(entry.Options{Uptime: platform.Uptime{}}), cancelRequests: cancelRequests}
	f.node.Views.Publish(stoppingNodeView(serverAddress))
	dispatcher := dispatch.New(dispatch.Options{
		Views: &f.node.Views, Demand: &f.node.Demand, Backend: platform.NewBackend("n"), Logger: f.logger, Counters: noCounters{},
		SetBudget: func(b *retries.WindowBudget) { b.Length, b.Reserve = time.Minute, 100 },
	})
	f.frontend = &platform.Frontend{Dispatcher: dispatcher, Views: &f.node.Views, Logger: f.logger}
	return f
}

// noCounters implements dispatch.Counters.
type noCounters struct{}

func (noCounters) CountRequest(fleet.Kind, dispatch.Outcome, time.Duration) {}
func (noCounters) CountAttempt(string)                                      {}
func (noCounters) CountKeptAway(fleet.Restriction)                          {}
func (noCounters) CountCrash()                                              {}
func (noCounters) CountEnd(bool)                                            {}
func (noCounters) CountEndedEarly(string, bool)                             {}
func (noCounters) CountTraitDecision(bool)                                  {}

// stoppingNodeView returns a view with the routes /once/ (non-idempotent), /again/ (idempotent)
// and /stream/ (resumable) to one backend server.
func stoppingNodeView(address string) *dispatch.View {
	c := &fleet.Configuration{Version: 1, Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s"}}, Limits: fleet.ClientLimits{BodyBytes: 1 << 20}}
	for path, r := range map[string]fleet.Route{
		"/once/":   {Kind: fleet.NonIdempotent},
		"/again/":  {Kind: fleet.Idempotent},
		"/stream/": {Kind: fleet.Streaming, Resumable: true},
	} {
		r.Name, r.Host, r.PathPrefix, r.Timeout, r.LatencyGoal, r.MaxAttempts = fleet.RouteName(path), "h", path, callerTimeout, 4*time.Second, 2
		r.Targets = []fleet.Target{{Service: "s", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	c.Index()
	server := &fleet.Server{ID: "i-0", Service: "s", Address: address, Slots: 100}
	return &dispatch.View{Config: c, Servers: map[domain.ServiceName][]*fleet.Server{"s": {server}}}
}

// stop begins the shutdown as SIGTERM does, and returns once the node acts on it.
func (n *stoppingNode) stop() {
	n.stoppedAt = time.Now()
	go func() {
		n.front.shutDown(n.callerServer)
		// The end of the process closes the connections.
		_ = n.callerServer.Close()
		close(n.exited)
	}()
	for !n.front.frontend.Draining.Load() {
		time.Sleep(time.Millisecond)
	}
}

// sleepUntil waits until the given time after the start of the shutdown.
func (n *stoppingNode) sleepUntil(d time.Duration) { time.Sleep(time.Until(n.stoppedAt.Add(d))) }

// keptConnection is a caller's connection that it uses until its end.
type keptConnection struct {
	net.Conn
	lines *bufio.Reader
}

func (n *stoppingNode) connect(t *testing.T) *keptConnection {
	t.Helper()
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &keptConnection{Conn: c, lines: bufio.NewReader(c)}
}

// requestText returns a request that takes the server the given time.
func requestText(id, path string, work, timeout time.Duration, body string) string {
	return fmt.Sprintf("POST %s?%v HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, work, platform.RequestIDHeader, id, platform.DeadlineHeader, timeout.Milliseconds(), len(body), body)
}

// lateAnswer is what a caller got for a request.
type lateAnswer struct {
	status int
	// closes reports whether the response announces the end of the connection.
	closes bool
	took   time.Duration
	// err is set if the response did not arrive whole.
	err error
}

func (a lateAnswer) String() string {
	return fmt.Sprintf("status %d after %v, announced end %v, error %v", a.status, a.took.Round(time.Millisecond), a.closes, a.err)
}

func (c *keptConnection) send(text string) lateAnswer {
	sentAt := time.Now()
	if _, err := io.WriteString(c, text); err != nil {
		return lateAnswer{took: time.Since(sentAt), err: err}
	}
	response, err := http.ReadResponse(c.lines, nil)
	if err != nil {
		return lateAnswer{took: time.Since(sentAt), err: err}
	}
	_, err = io.Copy(io.Discard, response.Body)
	return lateAnswer{status: response.StatusCode, closes: response.Close, took: time.Since(sentAt), err: err}
}

// checkRefused checks that a request was refused at once, with a promise that holds.
func (n *stoppingNode) checkRefused(t *testing.T, id string, a lateAnswer) {
	t.Helper()
	if a.err != nil || a.status != http.StatusServiceUnavailable || !a.closes || a.took > refusalBound {
		t.Errorf("LOST: request %s: got %v, want status 503 within %v and an announced end", id, a, refusalBound)
	}
	if n.server.hasRun(id) {
		t.Errorf("request %s was passed on to the server, which has no time for it", id)
	}
}

// Guards against LOST: a node that shut down took requests on kept connections late in its
// grace period, passed them on and cut them off at its end.
func TestShutdownRefusesLateRequestsThatItCannotFinish(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			n := startStoppingNode(t)
			var callers sync.WaitGroup
			for i := range 4 {
				c := n.connect(t)
				callers.Go(func() {
					// The head of this response cannot announce the end of the connection.
					first := c.send(requestText(fmt.Sprintf("first-%d", i), "/stream/", 5*time.Second, callerTimeout, ""))
					if first.err != nil || first.status != http.StatusOK {
						t.Errorf("request from before the shutdown: got %v, want status 200", first)
					}
					id := fmt.Sprintf("late-%d", i)
					n.checkRefused(t, id, c.send(requestText(id, path, 5*time.Second, callerTimeout, "")))
				})
			}
			time.Sleep(200 * time.Millisecond)
			n.stop()
			callers.Wait()
			<-n.exited
		})
	}
}

// Guards against LOST: a response whose request had arrived before the shutdown kept its
// connection, and the caller sent the next request until the end of the process.
func TestShutdownAnnouncesTheEndInResponsesThatItFinishes(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/again/", "/none/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			n := startStoppingNode(t)
			before := n.connect(t).send(requestText("before", path, 100*time.Millisecond, callerTimeout, ""))
			c := n.connect(t)
			// The deadline is before the end of the node, so that the node starts the request.
			text := requestText("first", path, time.Second, graceOfTests/2, "body")
			if _, err := io.WriteString(c, text[:len(text)-1]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			n.stop()
			if a := c.send(text[len(text)-1:]); a.err != nil || a.status != before.status || !a.closes {
				t.Errorf("got %v, want a whole response with status %d that announces the end", a, before.status)
			}
			<-n.exited
		})
	}
}

// Guards against LOST: the head of a request arrived before the shutdown and its body late in
// the grace period; the request was passed on and cut off.
func TestShutdownRefusesLateBodiesThatItCannotFinish(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/again/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			n := startStoppingNode(t)
			c := n.connect(t)
			text := requestText("late", path, 2*time.Second, callerTimeout, "body")
			if _, err := io.WriteString(c, text[:len(text)-2]); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			n.stop()
			n.sleepUntil(7 * time.Second)
			n.checkRefused(t, "late", c.send(text[len(text)-2:]))
			<-n.exited
		})
	}
}

// Guards against LOST: a node took streams on connections that it accepted after the start of
// the shutdown, though their service needed more time than was left.
func TestShutdownRefusesStreamsOnNewConnectionsThatItCannotFinish(t *testing.T) {
	t.Parallel()
	n := startStoppingNode(t)
	if a := n.connect(t).send(requestText("before", "/stream/", 6*time.Second, callerTimeout, "")); a.err != nil {
		t.Fatalf("got %v before the shutdown, want a whole stream", a)
	}
	n.stop()
	n.sleepUntil(2400 * time.Millisecond)
	n.checkRefused(t, "late", n.connect(t).send(requestText("late", "/stream/", 6*time.Second, callerTimeout, "")))
	<-n.exited
}

// A node that shuts down must still serve the late requests that it can finish: those whose
// deadline is before its end, and idempotent ones of routes whose recent responses were fast. A
// non-idempotent one must not be cut by its end, however fast the recent ones were.
func TestShutdownServesLateRequestsThatItCanFinish(t *testing.T) {
	t.Parallel()
	for _, late := range []struct {
		path      string
		timeout   time.Duration
		isRefused bool
	}{
		{"/once/", 2 * time.Second, false},
		{"/once/", callerTimeout, true},
		{"/again/", 2 * time.Second, false},
		{"/again/", callerTimeout, false},
		{"/stream/", 2 * time.Second, false},
	} {
		t.Run(fmt.Sprintf("%s within %v", late.path, late.timeout), func(t *testing.T) {
			t.Parallel()
			n := startStoppingNode(t)
			for i := range 5 {
				n.connect(t).send(requestText(fmt.Sprintf("before-%d", i), late.path, 300*time.Millisecond, callerTimeout, ""))
			}
			c := n.connect(t)
			var first lateAnswer
			done := make(chan struct{})
			go func() {
				defer close(done)
				first = c.send(requestText("first", "/stream/", 4*time.Second, callerTimeout, ""))
			}()
			time.Sleep(200 * time.Millisecond)
			n.stop()
			<-done
			if first.err != nil || first.closes {
				t.Fatalf("stream from before the shutdown: got %v, want a whole stream that keeps the connection", first)
			}
			a := c.send(requestText("late", late.path, 300*time.Millisecond, late.timeout, ""))
			if late.isRefused {
				n.checkRefused(t, "late", a)
			} else if a.err != nil || a.status != http.StatusOK || !a.closes {
				t.Errorf("got %v, want status 200 and an announced end", a)
			}
			<-n.exited
		})
	}
}
