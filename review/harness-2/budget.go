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

// budget plays a request whose caller leaves shortly before it crashes its replica.
func budget(dir string) bool {
	leave := time.Duration(0)
	if isTrouble {
		leave = leaveAfter
	}
	return playBudget(dir, leave, func(int) string { return "" }, "")
}

// sessions plays a request whose last part of the prompt has another ID each time that it comes. Others
// have the same shared parts, and complete.
func sessions(dir string) bool {
	const shared = "5c1e07a2:210,91bd3f06:140,"
	return playBudget(dir, 0, func(k int) string {
		if !isTrouble {
			k = 0
		}
		return fmt.Sprintf("%s%08x:1110", shared, 0xe4402b7d+k)
	}, shared)
}

// playBudget lets the request come to the nodes in turn. The function prefix returns the parts of its prompt
// when it comes for the k-th time; empty for none. Other callers send bookings, and streams if shared is set.
func playBudget(dir string, leave time.Duration, prefix func(k int) string, shared string) bool {
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
	for i := range nodes {
		if shared != "" {
			wg.Add(1)
			go func() { defer wg.Done(); p.streams(nodes[i], i, shared, stop) }()
		}
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
			headers := map[string]string{}
			if parts := prefix(k); parts != "" {
				headers["X-Parsleylug-Prompt-Prefix"] = parts
				headers["X-Parsleylug-Tokens"] = "1460,80"
			}
			a := c.send(nodes[k%3].front, "POST", "/sum/poison", id, 15*time.Second, leave, []byte("a prompt that crashes replicas"), headers)
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
	if r.URL.Path != "/sum/poison" {
		answerHead(w, r)
		w.Header().Set("Content-Type", "text/event-stream")
		for n := 1; n <= 5; n++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			w.(http.Flusher).Flush()
			time.Sleep(60 * time.Millisecond)
		}
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

// streams sends streams with shared parts of their prompts, one after the other.
func (p *poisoning) streams(n *node, worker int, shared string, stop chan struct{}) {
	c := newClient()
	whole := 0
	for k := 0; ; k++ {
		select {
		case <-stop:
			note("streams of others at node %d: %d came whole", worker+1, whole)
			return
		case <-time.After(50 * time.Millisecond):
		}
		id := fmt.Sprintf("sum-%d-%d", worker, k)
		a := c.send(n.front, "POST", "/sum/other", id, 15*time.Second, 0, []byte(id), map[string]string{"X-Parsleylug-Prompt-Prefix": fmt.Sprintf("%s%04x%04x:1110", shared, worker+1, k), "X-Parsleylug-Tokens": "1460,80"})
		if a.status == 200 && a.complete {
			whole++
		} else {
			note("%s: status %d, %v", id, a.status, a.err)
		}
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
