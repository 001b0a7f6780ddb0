// Command caselate: callers go on using their connections while the node stops. Late in the grace
// period they send a booking that takes longer than those before, and the node passes it on and
// breaks it off.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleylug-review/kit"
)

const (
	callers = 6
	// A caller has a stream of streamEvents events when the node gets the signal.
	streamEvents = 60
	eventGap     = 100 * time.Millisecond
	// Ordinary bookings take ordinaryWork, those of large extracts largeWork.
	ordinaryWork = 30 * time.Millisecond
	largeWork    = 2500 * time.Millisecond
	// timeLimit is that of the callers and of the route.
	timeLimit = 10 * time.Second
	// lateAfter is the time after SIGTERM from which on the rule excuses no request that is cut.
	lateAfter = 3 * time.Second
)

// server is a replica that runs streams and bookings.
type server struct {
	id     string
	record *kit.Record

	mu sync.Mutex
	// brokenOff holds the bookings whose connection ended while the replica was at work.
	brokenOff map[string]bool
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("X-Parsleylug-Request-Id")
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if r.Header.Get("X-Parsleylug-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+id)
	if strings.HasPrefix(r.URL.Path, "/notes/") {
		s.stream(w)
		return
	}
	work := ordinaryWork
	if r.URL.Query().Get("extract") == "large" {
		work = largeWork
		s.record.Line("replica begins booking %s, which takes %v", id, work)
	}
	select {
	case <-time.After(work):
		_, _ = io.WriteString(w, "booked\n")
	case <-r.Context().Done():
		s.record.Line("replica: the connection of booking %s ends while it is at work", id)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.brokenOff[id] = true
	}
}

func (s *server) stream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		time.Sleep(eventGap)
	}
}

// caller sends requests one after the other on one connection.
type caller struct {
	c  net.Conn
	in *bufio.Reader
}

func dial(front string) (*caller, error) {
	c, err := net.Dial("tcp", front)
	if err != nil {
		return nil, err
	}
	return &caller{c, bufio.NewReader(c)}, nil
}

// request returns the status, whether the response announces the end of the connection, and an
// error if there is no complete response.
func (c *caller) request(path, id string) (status int, isClosed bool, err error) {
	_ = c.c.SetDeadline(time.Now().Add(timeLimit + time.Second))
	fmt.Fprintf(c.c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Parsleylug-Request-Id: %s\r\nX-Parsleylug-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", path, id, timeLimit.Milliseconds())
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return r.StatusCode, r.Close, err
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	l, err := net.Listen("tcp", kit.IP()+":0")
	if err != nil {
		return 0, err
	}
	s := &server{id: "i-one", record: record, brokenOff: map[string]bool{}}
	go func() { _ = http.Serve(l, s) }()
	stop := make(chan struct{})
	defer close(stop)
	go store.Beat(s.id, kit.Registration{Service: "desk", Address: l.Addr().String(), Zone: "z1", Version: "v1", Slots: 64, State: "ready", Born: time.Now().UnixMilli()}, stop)
	store.PutConfiguration(1, []kit.Route{
		{"name": "book", "host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": timeLimit.Milliseconds(), "goal_ms": 500, "priority": 1, "service": "desk", "max_attempts": 1},
		{"name": "notes", "host": "desk.example", "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": timeLimit.Milliseconds(), "goal_ms": 500, "gap_aim_ms": 250, "priority": 1, "service": "desk", "max_attempts": 1},
	}, []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}})
	node, err := kit.NewNode(dir, "front-z1-1", store.Address, nil)
	if err != nil {
		return 0, err
	}
	if err := node.Start(); err != nil {
		return 0, err
	}
	defer node.Kill()
	if !node.AwaitReady(15 * time.Second) {
		return 0, errors.New("the node is not ready")
	}
	c, err := dial(node.Front)
	if err != nil {
		return 0, err
	}
	defer c.c.Close()
	for i := range 100 {
		if status, _, err := c.request("/book/extract", fmt.Sprintf("a%d", i)); status != http.StatusOK {
			return 0, fmt.Errorf("an ordinary booking got %d, %v", status, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	record.Line("100 ordinary bookings were served")
	stopAt := time.Now().Add(300 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for k := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := dial(node.Front)
			if err != nil {
				return
			}
			defer c.c.Close()
			status, isClosed, err := c.request("/notes/x", fmt.Sprintf("s%d", k))
			record.Line("caller %d has its stream: %d, announces the end: %t, error %v", k, status, isClosed, err)
			if isClosed || err != nil {
				return
			}
			id, sentAt := fmt.Sprintf("b%d", k), time.Now()
			status, _, err = c.request("/book/extract?extract=large", id)
			took := time.Since(sentAt)
			record.Line("caller %d gets %d to booking %s after %d ms, error %v", k, status, id, took.Milliseconds(), err)
			time.Sleep(100 * time.Millisecond)
			s.mu.Lock()
			brokenOff := s.brokenOff[id]
			s.mu.Unlock()
			// The rule excuses requests that were sent up to lateAfter after a SIGTERM.
			late := sentAt.Sub(stopAt)
			isExcused := kit.Trouble() && late <= lateAfter
			if (brokenOff || err != nil) && !isExcused && took < timeLimit {
				record.Line("LOST: booking %s, sent %d ms after the time of the SIGTERM, was passed on, and its connections to the replica and to the caller ended without the replica's answer", id, late.Milliseconds())
				mu.Lock()
				defer mu.Unlock()
				lost++
			}
		}()
	}
	time.Sleep(time.Until(stopAt))
	if kit.Trouble() {
		record.Line("SIGTERM")
		node.Signal(syscall.SIGTERM)
	}
	wg.Wait()
	record.Line("%d of %d late bookings were lost", lost, callers)
	if lost > 0 {
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
