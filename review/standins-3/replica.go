package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of one replica, across its starts.
type replica struct {
	store              *store
	log                *record
	service, id        string
	address            string
	isEngine           bool
	memory, adapterMax int
	weights            map[string]int
	checksFences       bool
	slots              int
	// beatInterval is the time between two beats, beatAddress where they are sent.
	beatInterval time.Duration
	beatAddress  string
	// run handles a request that the replica runs; nil means a plain answer.
	run func(p *process, w http.ResponseWriter, r *http.Request, body []byte)
	// onOrder is called with each order that arrives; it returns false if the replica leaves it for later.
	onOrder func(p *process, o order) bool
	// onLimit is called when an order asks for more than the replica holds, before it crashes.
	onLimit func(p *process, text string)

	mu      sync.Mutex
	state   string
	current *process
	onDisk  map[string]bool
	beats   int
}

// process is one start of a replica.
type process struct {
	*replica
	born     int64
	listener net.Listener
	server   *http.Server
	gone     chan struct{}
	models   map[string][]string
	busy     bool
	sequence int
	fence    uint64
	holder   string
	// beatBegun gets the time of a beat that begins, if someone waits for it; beatNow ends the wait for the
	// next one.
	beatBegun chan time.Time
	beatNow   chan struct{}
}

type order struct {
	Opcode, Model, Adapter, Holder string
	Expected                       *int
	Fence                          uint64
	arrived                        time.Time
}

func (b *replica) start(models ...string) *process {
	address := b.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", address)
	must(err)
	b.address = l.Addr().String()
	p := &process{replica: b, born: time.Now().UnixMilli(), listener: l, gone: make(chan struct{}), models: map[string][]string{}, beatBegun: make(chan time.Time), beatNow: make(chan struct{})}
	if b.beatInterval == 0 {
		b.beatInterval, b.beatAddress = 600*time.Millisecond, b.store.address
	}
	b.mu.Lock()
	if b.onDisk == nil {
		b.onDisk = map[string]bool{}
	}
	for _, m := range models {
		p.models[m] = []string{}
		b.onDisk[m] = true
	}
	b.current, b.state, b.beats = p, "ready", 0
	b.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", p.report)
	mux.HandleFunc("POST /-/order", p.handleOrder)
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

// crash ends the process: its connections break and its port is closed.
func (p *process) crash(why string) {
	p.mu.Lock()
	select {
	case <-p.gone:
		p.mu.Unlock()
		return
	default:
	}
	close(p.gone)
	p.mu.Unlock()
	p.log.add("replica %s crashes: %s", p.id, why)
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

func (p *process) describe() map[string]any {
	models := []map[string]any{}
	for m, adapters := range p.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": adapters})
	}
	disk := []string{}
	for m := range p.onDisk {
		disk = append(disk, m)
	}
	return map[string]any{"stage": "mixed", "models": models, "busy": p.busy, "born": p.born, "at_hand": map[string]any{"in_memory": []string{}, "on_disk": disk}}
}

// beat writes one beat into the store and reports whether the store has answered. A replica gives a call up
// after a second.
func (p *process) beat() bool {
	p.mu.Lock()
	p.beats++
	d := p.describe()
	d["service"], d["address"], d["zone"], d["version"], d["slots"], d["state"], d["cold_left_ms"], d["sequence"] =
		p.service, p.address, "z1", "v1", p.slots, p.state, 0, p.beats
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
	b.current.crash("it has drained and exits")
	b.store.put("keyed.servers", b.id, "")
}

func (p *process) report(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	d := p.describe()
	d["sequence"], d["queued"], d["running"] = p.sequence, 0, 0
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(d)
}

func (p *process) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e := r.Header.Get("X-Parsleylug-Expect-Instance"); e != "" && e != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o.arrived = time.Now()
	p.log.add("order arrives at %s (born %d): %s %s/%s expected %d fence %d of %s", p.id, p.born, o.Opcode, o.Model, o.Adapter, deref(o.Expected), o.Fence, o.Holder)
	if p.onOrder != nil && !p.onOrder(p, o) {
		<-r.Context().Done()
		return
	}
	status := p.carryOut(o)
	w.WriteHeader(status)
}

func deref(n *int) int {
	if n == nil {
		return -1
	}
	return *n
}

// carryOut carries an order out as PROTOCOL.md says and returns its status.
func (p *process) carryOut(o order) int {
	status := p.tryOrder(o)
	p.log.add("replica %s: %s %s/%s expected %d fence %d -> %d", p.id, o.Opcode, o.Model, o.Adapter, deref(o.Expected), o.Fence, status)
	return status
}

func (p *process) tryOrder(o order) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.checksFences && o.Fence < p.fence {
		return http.StatusPreconditionFailed
	}
	p.fence, p.holder = max(p.fence, o.Fence), o.Holder
	adapters, loaded := p.models[o.Model]
	switch {
	case p.busy || o.Expected != nil && *o.Expected != p.sequence:
		return http.StatusConflict
	case o.Adapter != "" && !loaded:
		return http.StatusConflict
	case o.Opcode == "load" && o.Adapter == "" && loaded, o.Opcode == "unload" && !loaded:
		return http.StatusOK
	}
	for _, a := range adapters {
		if a == o.Adapter && o.Opcode == "load" {
			return http.StatusOK
		}
	}
	p.sequence++
	switch {
	case o.Opcode == "load" && o.Adapter != "":
		count := 1
		for _, a := range p.models {
			count += len(a)
		}
		if p.adapterMax > 0 && count > p.adapterMax {
			return p.exceed(fmt.Sprintf("ordered to hold %d adapters of %d", count, p.adapterMax))
		}
		p.models[o.Model] = append(adapters, o.Adapter)
	case o.Opcode == "unload" && o.Adapter != "":
		var rest []string
		for _, a := range adapters {
			if a != o.Adapter {
				rest = append(rest, a)
			}
		}
		p.models[o.Model] = rest
	case o.Opcode == "unload":
		delete(p.models, o.Model)
	default:
		used := p.weights[o.Model]
		for m := range p.models {
			used += p.weights[m]
		}
		if used > p.memory {
			return p.exceed(fmt.Sprintf("ordered to hold %d MB of %d MB", used, p.memory))
		}
		p.busy = true
		d := 900 * time.Millisecond
		if p.onDisk[o.Model] {
			d = 300 * time.Millisecond
		}
		time.AfterFunc(d, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.busy = false
			p.models[o.Model], p.onDisk[o.Model] = []string{}, true
			go p.beat()
		})
	}
	return http.StatusAccepted
}

// exceed makes the replica crash, because it was ordered to hold too much.
func (p *process) exceed(text string) int {
	if p.onLimit != nil {
		p.onLimit(p, text)
	}
	go p.crash("LIMIT: " + text)
	return http.StatusAccepted
}

// serve receives a request and runs it.
func (p *process) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Parsleylug-Request-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Parsleylug-Request-Id", id)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Parsleylug-Model"), "/")
	p.mu.Lock()
	adapters, loaded := p.models[model]
	ok := !p.isEngine || loaded && (adapter == "" || contains(adapters, adapter))
	p.mu.Unlock()
	if r.Header.Get("X-Parsleylug-Expect-Instance") != p.id || !ok {
		p.log.add("request %s reaches %s: 421", id, p.id)
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.log.add("request %s runs at %s (born %d)", id, p.id, p.born)
	w.Header().Set("X-Parsleylug-Response-Stamp", p.id+"."+id)
	if p.run != nil {
		p.run(p, w, r, body)
		return
	}
	time.Sleep(15 * time.Millisecond)
	text := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}
