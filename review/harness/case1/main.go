// Command case1: a non-idempotent request without a body and with an X-Idempotency-Key header
// runs, its answer is lost, and it must not run again.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleylug-review/kit"
)

// service has two replicas. Each runs every request that arrives. The first one loses the answer to the
// first run of the requests in lost: it closes the connection instead.
type service struct {
	record *kit.Record

	mu   sync.Mutex
	runs map[string]int
	lost map[string]bool
}

// replica is one of them.
type replica struct {
	*service
	id          string
	losesAnswer bool
}

func (s *replica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(c)
	}
}

func (s *replica) serveConnection(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Parsleylug-Request-Id")
		if id == "" || r.Header.Get("X-Parsleylug-Expect-Instance") != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Parsleylug-Request-Id: %s\r\nX-Parsleylug-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		time.Sleep(15 * time.Millisecond)
		s.mu.Lock()
		s.runs[id]++
		n, lose := s.runs[id], s.losesAnswer && s.lost[id] && s.runs[id] == 1
		s.mu.Unlock()
		s.record.Line("replica %s runs %s %s, request %s, run %d, connection from %s", s.id, r.Method, r.URL.Path, id, n, c.RemoteAddr())
		if lose {
			s.record.Line("replica %s loses the answer to run %d of request %s: it closes the connection", s.id, n, id)
			return
		}
		body := "booked " + id + "\n"
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Parsleylug-Request-Id: %s\r\nX-Parsleylug-Response-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	}
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	s := &service{record: record, runs: map[string]int{}, lost: map[string]bool{}}
	stop := make(chan struct{})
	defer close(stop)
	for i, id := range []string{"i-one", "i-two"} {
		l, err := net.Listen("tcp", kit.IP()+":0")
		if err != nil {
			return 0, err
		}
		r := &replica{service: s, id: id, losesAnswer: i == 0}
		go r.serve(l)
		go store.Beat(id, kit.Registration{Service: "desk", Address: l.Addr().String(), Zone: "z1", Version: "v1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()}, stop)
	}
	store.PutConfiguration(1, []kit.Route{{"name": "book", "host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 5000,
		"goal_ms": 500, "priority": 1, "service": "desk", "max_attempts": 1}}, []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}})
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
	client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableCompression: true}}
	send := func(id string) string {
		r, _ := http.NewRequest(http.MethodPost, "http://"+node.Front+"/book/extract", http.NoBody)
		r.Host = "desk.example"
		r.Header.Set("X-Parsleylug-Request-Id", id)
		r.Header.Set("X-Parsleylug-Deadline-Ms", "5000")
		r.Header.Set("X-Idempotency-Key", "key-"+id)
		record.Line("client sends POST /book/extract, request %s, X-Idempotency-Key key-%s, no body", id, id)
		response, err := client.Do(r)
		if err != nil {
			record.Line("client gets no answer to request %s: %v", id, err)
			return "none"
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		record.Line("client gets %d to request %s, stamp %q, body %q, error %v", response.StatusCode, id, response.Header.Get("X-Parsleylug-Response-Stamp"), body, err)
		return response.Status
	}
	const callers, groups, requests = 2, 20, 6
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range groups {
				// Requests one after the other use the connections of those before them.
				for k := range requests {
					id := fmt.Sprintf("r%d-%d-%d", c, i, k)
					s.mu.Lock()
					s.lost[id] = kit.Trouble() && i%2 == 0 && k == requests-1
					s.mu.Unlock()
					send(id)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	code := kit.Held
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.runs {
		if n > 1 {
			record.Line("TWICE: request %s of a non_idempotent route ran %d times", id, n)
			code = kit.Broken
		}
	}
	return code, nil
}

func main() { kit.Run(play) }
