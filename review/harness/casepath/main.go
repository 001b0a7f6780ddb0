// Command casepath: the operator has a route for a whole host, with the prefix "/", and a client's
// requests have a path that begins with two slashes and holds a percent-encoded character. Replicas get them with
// another path.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"parsleylug-review/kit"
)

// replica runs every request and records its target.
type replica struct {
	id     string
	record *kit.Record
	mu     sync.Mutex
	// targets holds the target of each request that ran, by request ID.
	targets map[string]string
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Parsleylug-Request-Id")
	_, _ = io.Copy(io.Discard, q.Body)
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if x := q.Header.Get("X-Parsleylug-Expect-Instance"); x != "" && x != r.id {
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	r.targets[id] = q.RequestURI
	r.mu.Unlock()
	r.record.Line("replica %s runs request %s: %s %s", r.id, id, q.Method, q.RequestURI)
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+r.id+"-"+id)
	_, _ = io.WriteString(w, "booked "+q.RequestURI)
}

// sendRaw sends a request with exactly the given target and returns the status line of the answer.
func sendRaw(front, id, target string) (string, error) {
	c, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Parsleylug-Request-Id: %s\r\nX-Parsleylug-Deadline-Ms: 1500\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}", target, id); err != nil {
		return "", err
	}
	answer, err := io.ReadAll(c)
	if len(answer) > 15 {
		answer = answer[:15]
	}
	return string(answer), err
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
	r := &replica{id: "i-1", record: record, targets: map[string]string{}}
	go func() { _ = http.Serve(l, r) }()
	stop := make(chan struct{})
	defer close(stop)
	go store.Beat(r.id, kit.Registration{Service: "desk", Address: l.Addr().String(), Zone: "z1", Version: "v1", Slots: 6, State: "ready", Born: time.Now().UnixMilli()}, stop)
	store.PutConfiguration(1, []kit.Route{{"name": "desk", "host": "desk.example", "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 1500,
		"goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1}}, []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}})
	n, err := kit.NewNode(dir, "front-z1-1", store.Address, nil)
	if err != nil {
		return 0, err
	}
	if err := n.Start(); err != nil {
		return 0, err
	}
	defer n.Kill()
	if !n.AwaitReady(15 * time.Second) {
		return 0, errors.New("the node is not ready")
	}
	time.Sleep(5 * time.Second)
	// A client whose base address ends with a slash, and whose paths begin with one.
	base := "/"
	if kit.Trouble() {
		base = "//"
	}
	changed := 0
	for i, path := range []string{"book/frame%2012", "book/12", "book/a%2Fb?note=%20x", "book/%C3%BC", "extracts/12%3A30"} {
		id, target := fmt.Sprintf("c%d", i), base+path
		answer, err := sendRaw(n.Front, id, target)
		record.Line("client sends request %s: POST %s; answer %q, error %v", id, target, answer, err)
		r.mu.Lock()
		ran, ok := r.targets[id]
		r.mu.Unlock()
		if ok && ran != target {
			record.Line("request %s ran as %s", id, ran)
			changed++
		}
	}
	if changed > 0 {
		record.Line("UNASKED: a replica ran %d requests with another path than the client's", changed)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
