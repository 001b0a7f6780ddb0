package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Case lost: a replica crashes beneath resumable streams whose events have IDs that increase by more than one.
const (
	lostReplicas  = 6
	lostEvents    = 12
	lostPause     = 200 * time.Millisecond
	lostWorkers   = 240
	lostCrashes   = 4
	lostDownTime  = 4500 * time.Millisecond
	maximumLosses = 3
)

type lossRun struct {
	replica       string
	from, through int
	whole, dead   bool
}

type losses struct {
	stride int
	mu     sync.Mutex
	runs   map[string][]*lossRun
	oneOf  map[string]int
	closed map[int]int
	resume map[int]int
	whole  int
	other  map[int]int
}

func lost(dir string) bool {
	l := &losses{stride: 3, runs: map[string][]*lossRun{}, closed: map[int]int{}, resume: map[int]int{}, other: map[int]int{}}
	if n, err := strconv.Atoi(os.Getenv("STRIDE")); err == nil {
		l.stride = n
	}
	st := newStore(loopback(100) + ":0")
	config(st, 7, []any{route("note", "streaming", "svc", 8000, 500, 2, true)}, []any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 360}})
	var servers []*server
	for i := range lostReplicas {
		servers = append(servers, newServer(st, 101+i, fmt.Sprintf("%d", i), "svc", l.serve))
	}
	nodes := []*node{newNode(dir, 1, st.address, ""), newNode(dir, 2, st.address, "")}
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range lostWorkers {
		wg.Add(1)
		go func() { defer wg.Done(); l.callers(nodes, i, stop) }()
	}
	time.Sleep(6 * time.Second)
	for k := range lostCrashes {
		if isTrouble {
			s := servers[k]
			note("replica %s crashes", s.name)
			s.crash()
			time.AfterFunc(lostDownTime, func() { s.restart(); note("replica %s is back", s.name) })
		}
		time.Sleep(9 * time.Second)
	}
	close(stop)
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	tell("streams that came whole: %d; other answers: %v", l.whole, l.other)
	most := 0
	for n, c := range l.closed {
		tell("node %d: %d connections closed within a stream that it had passed on to a sound replica, which went on with it", n+1, c)
		most = max(most, c)
	}
	tell("callers that resumed such a stream by themselves with Last-Event-Id, by status: %v", l.resume)
	// The rule counts for a machine.
	return most > maximumLosses
}

// serve runs a stream. It goes on behind Last-Event-Id. The IDs of its events are the tokens so far.
func (l *losses) serve(s *server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Parsleylug-Request-Id")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := &lossRun{replica: s.name, from: last}
	l.mu.Lock()
	l.runs[id] = append(l.runs[id], run)
	l.mu.Unlock()
	if last > 0 {
		note("%s goes on at replica %s behind event %d", id, s.name, last)
	}
	answerHead(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last/l.stride + 1; n <= lostEvents; n++ {
		if n > 1 && n > last/l.stride+1 {
			select {
			case <-time.After(lostPause):
			case <-r.Context().Done():
				return
			}
		}
		var b bytes.Buffer
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", n*l.stride, n, strings.SplitN(id, "+", 2)[0])
		if _, err := w.Write(b.Bytes()); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		l.mu.Lock()
		run.through = n * l.stride
		l.mu.Unlock()
	}
	l.mu.Lock()
	run.whole = true
	l.mu.Unlock()
}

// stream sends a request and returns the status, the last event's ID, and whether the stream came whole.
func (l *losses) stream(c *client, n *node, id string, last int) (int, int, bool) {
	r, err := http.NewRequest("POST", "http://"+n.front+"/note/x", strings.NewReader("prompt of "+id))
	check(err)
	r.Host = "h.example"
	r.Header.Set("X-Parsleylug-Request-Id", id)
	r.Header.Set("X-Parsleylug-Deadline-Ms", "8000")
	if last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	response, err := c.http.Do(r)
	if err != nil {
		return 0, last, false
	}
	defer response.Body.Close()
	in := bufio.NewReader(response.Body)
	for {
		line, err := in.ReadString('\n')
		if n, ok := strings.CutPrefix(line, "id: "); ok && response.StatusCode == 200 {
			last, _ = strconv.Atoi(strings.TrimSpace(n))
		}
		if err != nil {
			return response.StatusCode, last, response.StatusCode == 200 && err.Error() == "EOF"
		}
	}
}

// callers sends streams over a kept connection, and resumes at the other node one whose connection is closed.
func (l *losses) callers(nodes []*node, worker int, stop chan struct{}) {
	c := newClient()
	time.Sleep(time.Duration(worker) * 10 * time.Millisecond)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		default:
		}
		id, home := fmt.Sprintf("s%d-%d", worker, k), worker%2
		status, last, whole := l.stream(c, nodes[home], id, 0)
		l.mu.Lock()
		runs := l.runs[id]
		switch {
		case whole && last == lostEvents*l.stride:
			l.whole++
			l.mu.Unlock()
			continue
		case status != 200 || len(runs) < 2:
			l.other[status]++
			l.mu.Unlock()
			note("%s at node %d: status %d, last event %d, runs %d", id, home+1, status, last, len(runs))
			continue
		}
		l.closed[home]++
		l.mu.Unlock()
		for _, r := range runs {
			note("%s ran at replica %s behind event %d, sent events through %d", id, r.replica, r.from, r.through)
		}
		note("%s: node %d closed the connection behind event %d", id, home+1, last)
		status, last, whole = l.stream(c, nodes[1-home], id+"+", last)
		note("%s: its caller resumed it at node %d: status %d, last event %d, whole %t", id, 2-home, status, last, whole)
		l.mu.Lock()
		l.resume[status]++
		l.mu.Unlock()
	}
}
