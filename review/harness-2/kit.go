package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// The bounds of the site cmf-hub that the cases use.
const (
	stableWindow = 4000 * time.Millisecond
	drainBound   = 2500 * time.Millisecond
	beat         = 1200 * time.Millisecond
)

var (
	began     = time.Now()
	recordMu  sync.Mutex
	record    *os.File
	isTrouble = os.Getenv("TROUBLE") != "0"
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	if record != nil {
		fmt.Fprintf(record, "%8.3f  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// tell writes a line to record.txt and to the output.
func tell(format string, args ...any) {
	note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// server is a stand-in for a replica across its lifetimes at one address.
type server struct {
	store                  *store
	service, zone, address string
	slots                  int
	// keepsID is set if a restart keeps the id.
	keepsID bool
	name    string
	handle  func(s *server, w http.ResponseWriter, r *http.Request)
	// extra adds fields to the registration. The caller holds mu.
	extra func(s *server, m map[string]any)

	mu       sync.Mutex
	life     int
	id       string
	born     int64
	up       bool
	silent   bool
	sequence int
	listener net.Listener
	conns    map[net.Conn]bool
}

func newServer(st *store, host int, name, service string, handle func(*server, http.ResponseWriter, *http.Request)) *server {
	s := &server{store: st, name: name, service: service, zone: "z1", slots: 64, handle: handle}
	l, err := net.Listen("tcp", loopback(host)+":0")
	check(err)
	s.address = l.Addr().String()
	s.begin(l)
	return s
}

// begin starts a lifetime on a listener.
func (s *server) begin(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	if s.id == "" || !s.keepsID {
		s.id = fmt.Sprintf("i-%s-%d", s.name, s.life)
	}
	s.born, s.up, s.sequence, s.listener, s.conns = time.Now().UnixMilli(), true, 0, l, map[net.Conn]bool{}
	life, id := s.life, s.id
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if want := r.Header.Get("X-Parsleylug-Expect-Instance"); want != "" && want != id {
			w.Header().Set("X-Parsleylug-Request-Id", r.Header.Get("X-Parsleylug-Request-Id"))
			w.Header().Set("X-Parsleylug-Instance", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		s.handle(s, w, r)
	}), ConnState: func(c net.Conn, st http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.life != life || !s.up {
			return
		}
		if st == http.StateClosed {
			delete(s.conns, c)
		} else {
			s.conns[c] = true
		}
	}}
	go func() { _ = h.Serve(l) }()
	go s.beat(life, id)
}

// beat writes the registration of one lifetime, and removes it after three intervals of silence.
func (s *server) beat(life int, id string) {
	for {
		s.mu.Lock()
		if s.life != life || !s.up || s.silent {
			isSame := s.life != life && s.id == id
			s.mu.Unlock()
			if !isSame {
				time.Sleep(2 * beat)
				s.mu.Lock()
				isBack := s.id == id && s.up && !s.silent
				s.mu.Unlock()
				if !isBack {
					s.store.put("keyed.servers", id, nil)
				}
			}
			return
		}
		s.sequence++
		s.store.put("keyed.servers", id, s.registration("ready"))
		s.mu.Unlock()
		time.Sleep(beat)
	}
}

// registration returns the entry of the server. The caller holds mu.
func (s *server) registration(state string) []byte {
	m := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots, "state": state, "cold_left_ms": 0, "sequence": s.sequence, "born": s.born}
	if s.extra != nil {
		s.extra(s, m)
	}
	data, _ := json.Marshal(m)
	return data
}

// crash ends the lifetime: all connections are reset.
func (s *server) crash() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return false
	}
	s.up = false
	_ = s.listener.Close()
	for c := range s.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	return true
}

// restart begins a new lifetime at the same address.
func (s *server) restart() {
	for range 50 {
		l, err := net.Listen("tcp", s.address)
		if err == nil {
			s.begin(l)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	tell("cannot run: the address of a replica is taken")
	exit(2)
}

// answerHead sets the headers of a response of a replica that has run a request.
func answerHead(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Parsleylug-Request-Id", r.Header.Get("X-Parsleylug-Request-Id"))
	w.Header().Set("X-Parsleylug-Response-Stamp", "st."+r.Header.Get("X-Parsleylug-Request-Id"))
}

// answer is what a client got.
type answer struct {
	status   int
	body     []byte
	stamp    string
	complete bool
	err      error
}

// client sends requests over kept connections, of its own for each worker.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// send sends a request and reads the whole response. It leaves after leave, if that is set.
func (c *client) send(node, method, path, id string, deadline, leave time.Duration, body []byte, headers map[string]string) answer {
	r, err := http.NewRequest(method, "http://"+node+path, bytes.NewReader(body))
	check(err)
	r.Host = "h.example"
	r.Header.Set("X-Parsleylug-Request-Id", id)
	r.Header.Set("X-Parsleylug-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for k, v := range headers {
		r.Header.Set(k, v)
	}
	limit := deadline
	if leave > 0 {
		limit = leave
	}
	ctx, cancel := contextFor(limit)
	defer cancel()
	response, err := c.http.Do(r.WithContext(ctx))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: data, stamp: response.Header.Get("X-Parsleylug-Response-Stamp"), complete: err == nil, err: err}
}

// config writes a configuration into the store.
func config(s *store, version int, routes, services []any) {
	data, _ := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	s.put("keyed.op", "config", data)
}

func route(name, kind, service string, timeout, goal, attempts int, resumable bool) map[string]any {
	m := map[string]any{"name": "r-" + name, "host": "h.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout, "goal_ms": goal, "priority": 1, "service": service, "max_attempts": attempts}
	if kind == "streaming" {
		m["resumable"], m["gap_aim_ms"], m["sticky"] = resumable, 250, true
	}
	return m
}

func listen(host int) net.Listener {
	l, err := net.Listen("tcp", loopback(host)+":0")
	check(err)
	return l
}
