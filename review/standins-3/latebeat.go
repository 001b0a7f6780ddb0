package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["late-beat"] = runLateBeat }

// beatLink is the link of one replica to the store. While it is cut, nothing passes. The first call that
// was sent during the cut is held up and arrives at resendAt. The others get no connection and are never
// sent.
type beatLink struct {
	log     *record
	address string
	target  string

	mu       sync.Mutex
	isCut    bool
	hasHeld  bool
	resendAt time.Time
}

func newBeatLink(log *record, target string) *beatLink {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	b := &beatLink{log: log, address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// cut cuts the link until heal.
func (b *beatLink) cut(resendAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isCut, b.resendAt = true, resendAt
	b.log.add("the link of the replica to the store is cut")
}

func (b *beatLink) heal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isCut = false
	b.log.add("the link of the replica to the store works again")
}

func (b *beatLink) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	isCut, isHeld := b.isCut, b.isCut && !b.hasHeld
	b.hasHeld = b.hasHeld || isHeld
	resendAt := b.resendAt
	b.mu.Unlock()
	if isHeld {
		time.Sleep(time.Until(resendAt))
	} else if isCut {
		_, _ = c.Read(make([]byte, 1))
		return
	}
	forward, err := http.NewRequest(r.Method, "http://"+b.target+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(forward)
	if err != nil {
		return
	}
	_ = resp.Write(c)
	_ = resp.Body.Close()
	if isHeld {
		b.log.add("the call that was held up has reached the store")
	}
}

const (
	drainBound   = 2500 * time.Millisecond
	beatInterval = 1200 * time.Millisecond
	// cutLength is within the 5 s of `srv_cut`.
	cutLength = 3 * time.Second
	// resendDelay is within the 6 s after which a late write is done at the latest (`platform_lost`).
	resendDelay = 5500 * time.Millisecond
	// exitDelay is how long the replica serves after the store has accepted that it drains.
	exitDelay = drainBound + time.Second
	workTime  = 100 * time.Millisecond
	// replicaCount is the number of replicas, and clientCount that of clients that book one after the other.
	replicaCount = 5
	clientCount  = 16
)

type booking struct {
	id         string
	sentAt     time.Time
	answeredAt time.Time
	status     int
}

// runLateBeat lets a replica drain whose link to the store was cut before, so that an earlier beat of it
// is executed late.
func runLateBeat(root, dir string, log *record, trouble bool) int {
	st := newStore()
	st.put("keyed.op", "config", deskConfig())
	go st.expireServers(beatInterval, log)
	var mu sync.Mutex
	arrivals := map[string]time.Time{}
	finished := map[string]bool{}
	var replicas []*replica
	link := newBeatLink(log, st.address)
	for i := range replicaCount {
		b := &replica{store: st, log: log, service: "desk", id: fmt.Sprintf("i-desk-%d", i), slots: 6, beatInterval: beatInterval, beatAddress: st.address}
		if i == 0 {
			b.beatAddress = link.address
		}
		b.run = func(p *process, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Parsleylug-Request-Id")
			if p.id == "i-desk-0" {
				mu.Lock()
				arrivals[id] = time.Now()
				mu.Unlock()
			}
			select {
			case <-time.After(workTime):
			case <-p.gone:
				panic(http.ErrAbortHandler)
			}
			text := "booked " + id
			w.Header().Set("Content-Length", fmt.Sprint(len(text)))
			_, _ = io.WriteString(w, text)
			mu.Lock()
			finished[id] = true
			mu.Unlock()
		}
		b.start()
		replicas = append(replicas, b)
	}
	leaving := replicas[0]
	var nodes []*node
	for range 2 {
		n := newNode(log, root, dir, st.address, nil)
		nodes = append(nodes, n)
		n.start()
		defer n.kill()
	}
	for _, n := range nodes {
		if !n.awaitReady(10 * time.Second) {
			log.add("%s is not ready", n.name)
			return 2
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	var bookings []booking
	var count atomic.Int64
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 20}}
	for range clientCount {
		clients.Go(func() {
			for ctx.Err() == nil {
				k := count.Add(1)
				b := book(client, nodes[k%2], fmt.Sprintf("book-%d", k))
				mu.Lock()
				bookings = append(bookings, b)
				mu.Unlock()
			}
		})
	}
	// All machines and the store are undisturbed for stable_window_ms first.
	time.Sleep(5 * time.Second)
	if trouble {
		link.cut(leaving.awaitBeat().Add(resendDelay))
		time.Sleep(cutLength)
		link.heal()
	} else {
		time.Sleep(cutLength)
	}
	acknowledgedAt := leaving.drain()
	log.add("the store has accepted that %s drains", leaving.id)
	time.Sleep(time.Until(acknowledgedAt.Add(exitDelay)))
	leaving.leave()
	time.Sleep(1500 * time.Millisecond)
	stop()
	clients.Wait()
	return judgeLateBeat(log, acknowledgedAt, arrivals, finished, bookings)
}

func judgeLateBeat(log *record, acknowledgedAt time.Time, arrivals map[string]time.Time, finished map[string]bool, bookings []booking) int {
	late, lost, served := 0, 0, 0
	for _, b := range bookings {
		log.add("booking %s: sent at %.3f, status %d after %d ms", b.id, b.sentAt.Sub(log.begun).Seconds(), b.status, b.answeredAt.Sub(b.sentAt).Milliseconds())
		if b.status == http.StatusOK {
			served++
		}
		at, ok := arrivals[b.id]
		if !ok || at.Sub(acknowledgedAt) <= drainBound {
			continue
		}
		late++
		log.add("BROKEN DRAIN: %s reached the draining replica %d ms after the acknowledgement", b.id, at.Sub(acknowledgedAt).Milliseconds())
		if !finished[b.id] && b.status != http.StatusOK {
			lost++
			log.add("LOST WORK: %s had begun there when the replica left; its client got %d", b.id, b.status)
		}
	}
	log.add("%d bookings, %d served; %d reached the draining replica later than %v; %d of these were lost", len(bookings), served, late, drainBound, lost)
	fmt.Printf("%d bookings, %d served; %d late at the draining replica, %d of them lost\n", len(bookings), served, late, lost)
	switch {
	case served < len(bookings)/2:
		return 2
	case late > 0:
		return 1
	}
	return 0
}

func book(client *http.Client, n *node, id string) booking {
	b := booking{id: id, sentAt: time.Now()}
	r, err := http.NewRequest(http.MethodPost, "http://"+n.front+"/book/", strings.NewReader("one frame"))
	must(err)
	r.Host = "a.example"
	r.Header.Set("X-Parsleylug-Request-Id", id)
	r.Header.Set("X-Parsleylug-Deadline-Ms", "1500")
	resp, err := client.Do(r)
	if err == nil {
		b.status = resp.StatusCode
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.status = 0
		}
		_ = resp.Body.Close()
	}
	b.answeredAt = time.Now()
	return b
}

func deskConfig() string {
	return asJSON(map[string]any{"version": 7, "routes": []map[string]any{
		{"name": "r-book", "host": "a.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500, "goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1},
	}, "services": []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 60000}})
}
