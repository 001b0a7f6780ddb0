package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case budget: a request that crashes the replicas that run it, whose caller leaves shortly before.
const (
	poisonEvery = 1500 * time.Millisecond
	// crashAfter is when a replica that runs the request crashes, and leaveAfter when the caller
	// leaves: within half of the objective of 600 ms.
	crashAfter, leaveAfter = 350 * time.Millisecond, 280 * time.Millisecond
	downTime               = 3 * time.Second
	budgetTime             = 40 * time.Second
)

type poisoning struct {
	mu       sync.Mutex
	arrivals []time.Time
	crashes  []time.Time
	lost     int
	served   int
}

func budget(dir string) bool {
	st := newStore(loopback(100) + ":0")
	config(st, 7, []any{route("sum", "streaming", "svc", 15000, 600, 2, true), route("book", "non_idempotent", "svc", 800, 150, 1, false)},
		[]any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 360}})
	p := &poisoning{}
	for i := range 8 {
		newServer(st, 101+i, fmt.Sprintf("%d", i), "svc", p.serve)
	}
	var nodes []*node
	for i := range 3 {
		nodes = append(nodes, newNode(dir, i+1, st.address, ""))
	}
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(stableWindow + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 6 {
		wg.Add(1)
		go func() { defer wg.Done(); p.book(nodes[i%3], i, stop) }()
	}
	leave := time.Duration(0)
	if isTrouble {
		leave = leaveAfter
	}
	end := time.Now().Add(budgetTime)
	for k := 0; time.Now().Before(end); k++ {
		at := time.Now()
		id := fmt.Sprintf("poison-%d", k)
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient()
			defer c.http.CloseIdleConnections()
			a := c.send(nodes[k%3].front, "POST", "/sum/poison", id, 15*time.Second, leave, []byte("a prompt that crashes replicas"), nil)
			note("caller of %s at node %d: status %d %s after %d ms", id, k%3+1, a.status, strings.TrimSpace(string(a.body)), time.Since(at).Milliseconds())
		}()
		time.Sleep(time.Until(at.Add(poisonEvery)))
	}
	close(stop)
	wg.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(p.crashes) >= 3 {
		for _, at := range p.arrivals {
			if at.Sub(p.crashes[2]) > stableWindow {
				late++
			}
		}
	}
	tell("the request reached replicas %d times and crashed %d; %d times later than %v after the third crash (3 are allowed)", len(p.arrivals), len(p.crashes), late, stableWindow)
	tell("bookings of others: %d answered by a replica, %d without its answer", p.served, p.lost)
	return late > 3
}

func (p *poisoning) serve(s *server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Parsleylug-Request-Id")
	if strings.HasPrefix(r.URL.Path, "/book/") {
		time.Sleep(40 * time.Millisecond)
		answerHead(w, r)
		_, _ = io.WriteString(w, "booked")
		return
	}
	_, _ = io.ReadAll(r.Body)
	p.mu.Lock()
	p.arrivals = append(p.arrivals, time.Now())
	p.mu.Unlock()
	note("%s begins at replica %s", id, s.name)
	select {
	case <-time.After(crashAfter):
	case <-r.Context().Done():
		// A sound replica drops a request when its connection closes.
		note("%s is dropped at replica %s: its connection has closed", id, s.name)
		return
	}
	if s.crash() {
		note("replica %s crashes of %s", s.name, id)
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		p.mu.Unlock()
		time.AfterFunc(downTime, func() { s.restart(); note("replica %s is back", s.name) })
	}
}

// book sends bookings, one after the other.
func (p *poisoning) book(n *node, worker int, stop chan struct{}) {
	c := newClient()
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		id := fmt.Sprintf("book-%d-%d", worker, k)
		a := c.send(n.front, "POST", "/book/x", id, 1500*time.Millisecond, 0, []byte(id), nil)
		p.mu.Lock()
		if a.status == 200 && a.complete {
			p.served++
		} else if a.status != 503 {
			p.lost++
			p.mu.Unlock()
			note("booking %s: status %d, %v", id, a.status, a.err)
			continue
		}
		p.mu.Unlock()
	}
}
