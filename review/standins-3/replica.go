package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in of one replica, across its starts.
type replica struct {
	store       *store
	log         *record
	service, id string
	address     string
	slots       int
	// beatInterval is the time between two beats, beatAddress where they are sent.
	beatInterval time.Duration
	beatAddress  string
	// run runs a request.
	run func(p *process, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	state   string
	current *process
	beats   int
}

// process is one start of a replica.
type process struct {
	*replica
	born     int64
	listener net.Listener
	server   *http.Server
	gone     chan struct{}
	// beatBegun gets the time of a beat that begins, if someone waits for it; beatNow ends the wait for the
	// next one.
	beatBegun chan time.Time
	beatNow   chan struct{}
}

func (b *replica) start() *process {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	must(err)
	b.address = l.Addr().String()
	p := &process{replica: b, born: time.Now().UnixMilli(), listener: l, gone: make(chan struct{}), beatBegun: make(chan time.Time), beatNow: make(chan struct{})}
	b.mu.Lock()
	b.current, b.state, b.beats = p, "ready", 0
	b.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Parsleylug-Instance", b.id)
	})
	mux.HandleFunc("/", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	go p.beatRepeatedly()
	b.log.add("replica %s starts, born %d", b.id, p.born)
	return p
}

// end ends the process: its connections break and its port is closed.
func (p *process) end(why string) {
	p.mu.Lock()
	select {
	case <-p.gone:
		p.mu.Unlock()
		return
	default:
	}
	close(p.gone)
	p.mu.Unlock()
	p.log.add("replica %s ends: %s", p.id, why)
	_ = p.server.Close()
}

func (p *process) isGone() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// beat writes one beat into the store and reports whether the store has answered. A replica gives a call up
// after a second.
func (p *process) beat() bool {
	p.mu.Lock()
	p.beats++
	d := map[string]any{"stage": "mixed", "models": []string{}, "busy": false, "born": p.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{}},
		"service": p.service, "address": p.address, "zone": "z1", "version": "v1", "slots": p.slots, "state": p.state, "cold_left_ms": 0, "sequence": p.beats}
	state, beats := p.state, p.beats
	p.mu.Unlock()
	value, _ := json.Marshal(d)
	data := binary.BigEndian.AppendUint32(nil, uint32(1+len(p.id)+len(value)))
	data = append(append(append(data, byte(len(p.id))), p.id...), value...)
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+p.beatAddress+"/-/log-append?topic=keyed.servers&part=0", "application/octet-stream", bytes.NewReader(data))
	if err != nil {
		p.log.add("beat %d of %s (%s) got no answer", beats, p.id, state)
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (p *process) beatRepeatedly() {
	for !p.isGone() {
		select {
		case p.beatBegun <- time.Now():
		default:
		}
		go p.beat()
		select {
		case <-p.gone:
		case <-p.beatNow:
		case <-time.After(p.beatInterval):
		}
	}
}

// awaitBeat waits until a beat is about to be sent and returns when that is.
func (b *replica) awaitBeat() time.Time {
	return <-b.current.beatBegun
}

// drain makes the replica say that it drains, until the store has accepted that, and returns when it had.
func (b *replica) drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	p := b.current
	b.mu.Unlock()
	for !p.beat() {
	}
	at := time.Now()
	select {
	case p.beatNow <- struct{}{}:
	default:
	}
	return at
}

// leave ends the replica: its entry is removed.
func (b *replica) leave() {
	b.current.end("it has drained and exits")
	b.store.put("keyed.servers", b.id, "")
}

// serve receives a request and runs it.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Parsleylug-Request-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if r.Header.Get("X-Parsleylug-Expect-Instance") != p.id {
		p.log.add("request %s reaches %s: 421", id, p.id)
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.log.add("request %s runs at %s", id, p.id)
	w.Header().Set("X-Parsleylug-Response-Stamp", p.id+"."+id)
	p.run(p, w, r)
}
