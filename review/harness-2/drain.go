package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Case drain: two of three replicas are replaced one after the other. Neither reports that it drains.
const (
	// exitAfter is how long a replica goes on after the store has removed its entry: drain_ms and a little longer.
	exitAfter  = drainBound + 150*time.Millisecond
	releaseGap = time.Second
)

type drained struct {
	mu             sync.Mutex
	removed        map[*server]time.Time
	late, lost, ok int
}

func drain(dir string) bool {
	d := &drained{removed: map[*server]time.Time{}}
	st := newStore(loopback(100) + ":0")
	st.serverReads = make(chan time.Time, 64)
	config(st, 7, []any{route("book", "non_idempotent", "desk", 800, 150, 1, false)}, []any{map[string]any{"name": "desk", "health_path": "/health", "max_conns": 96}})
	var servers []*server
	for i := range 3 {
		servers = append(servers, newServer(st, 101+i, fmt.Sprintf("old%d", i+1), "desk", d.serve))
	}
	nodes := []*node{newNode(dir, 1, st.address, ""), newNode(dir, 2, st.address, "")}
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(stableWindow + 2*time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Add(1)
		go func() { defer wg.Done(); d.book(nodes[i%2], i, stop) }()
	}
	time.Sleep(2 * time.Second)
	for i := range 2 {
		if !isTrouble {
			break
		}
		n := newServer(st, 111+i, fmt.Sprintf("new%d", i+1), "desk", d.serve)
		note("replica %s starts", n.name)
		time.Sleep(releaseGap)
		st.awaitServerRead()
		d.leave(st, servers[i])
	}
	time.Sleep(6 * time.Second)
	close(stop)
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	tell("bookings answered: %d, lost: %d", d.ok, d.lost)
	tell("bookings that reached a replica later than %v after the store had acknowledged that it is gone: %d", drainBound, d.late)
	return d.late > 0
}

// leave removes the entry of a replica, which serves on for a while and exits.
func (d *drained) leave(st *store, s *server) {
	s.mu.Lock()
	s.silent = true
	id := s.id
	s.mu.Unlock()
	d.mu.Lock()
	st.put("keyed.servers", id, nil)
	d.removed[s] = time.Now()
	d.mu.Unlock()
	note("the entry of replica %s is removed", s.name)
	time.AfterFunc(exitAfter, func() { note("replica %s exits", s.name); s.crash() })
}

func (d *drained) serve(s *server, w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	if at, ok := d.removed[s]; ok {
		after := time.Since(at)
		note("%s reaches replica %s %d ms after the removal", r.Header.Get("X-Parsleylug-Request-Id"), s.name, after.Milliseconds())
		if after > drainBound {
			d.late++
		}
	}
	d.mu.Unlock()
	time.Sleep(40 * time.Millisecond)
	answerHead(w, r)
	_, _ = io.WriteString(w, "booked")
}

func (d *drained) book(n *node, worker int, stop chan struct{}) {
	c := newClient()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(120 * time.Millisecond):
		}
		id := fmt.Sprintf("book-%d-%d", worker, k)
		a := c.send(n.front, "POST", "/book/x", id, 1500*time.Millisecond, 0, []byte(id), nil)
		d.mu.Lock()
		if a.status == 200 && a.complete {
			d.ok++
		} else if a.status != 503 {
			d.lost++
			note("%s: status %d, %v", id, a.status, a.err)
		}
		d.mu.Unlock()
	}
}
