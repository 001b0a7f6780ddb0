package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Case limit: an order is carried out late, after its replica has started again under its id.
const (
	weightsMB, modelMB, adapterMB = 200_000, 72_700, 66
	diskLoad                      = 1700 * time.Millisecond
	lateBy                        = 11500 * time.Millisecond
	limitDownTime                 = 3 * time.Second
)

// order is the body of POST /-/order.
type order struct {
	Opcode   string  `json:"opcode"`
	Model    string  `json:"model"`
	Adapter  string  `json:"adapter"`
	Expected *uint64 `json:"expected"`
	Holder   string  `json:"holder"`
	Fence    uint64  `json:"fence"`
}

// engine is a replica that holds models.
type engine struct {
	*server
	mu       sync.Mutex
	life     int
	models   map[string]map[string]bool
	sequence uint64
	fence    uint64
	busy     bool
	held     bool
	over     string
	cut      int
	whole    int
}

func (e *engine) used() int {
	sum := 0
	for _, adapters := range e.models {
		sum += modelMB + adapterMB*len(adapters)
	}
	return sum
}

// state adds what the engine says of itself. The caller holds mu.
func (e *engine) state(m map[string]any) {
	models := []any{}
	for name, adapters := range e.models {
		list := []string{}
		for a := range adapters {
			list = append(list, a)
		}
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": list})
	}
	m["stage"], m["models"] = "mixed", models
	m["at_hand"] = map[string]any{"in_memory": []string{}, "on_disk": []string{"m1", "m2", "m3"}}
}

func (e *engine) serve(s *server, w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		m := map[string]any{"busy": e.busy, "sequence": e.sequence, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 142447, "handles": 0, "born": s.born}
		e.state(m)
		e.mu.Unlock()
		reply(w, m)
	case "/-/order":
		var o order
		data, _ := io.ReadAll(r.Body)
		if json.Unmarshal(data, &o) != nil || o.Expected == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		hold := isTrouble && o.Model == "m3" && o.Opcode == "load" && !e.held
		e.held = e.held || hold
		e.mu.Unlock()
		if hold {
			e.late(r.Header.Get("X-Parsleylug-Expect-Instance"), o)
			<-r.Context().Done()
			return
		}
		w.WriteHeader(e.take(o, "order"))
	default:
		e.stream(s, w, r)
	}
}

// late makes the path to the replica keep an order, crashes the replica, and delivers the order later.
func (e *engine) late(id string, o order) {
	note("%s %s, expected %d, gets no answer: the path to the replica keeps it", o.Opcode, o.Model, *o.Expected)
	time.AfterFunc(500*time.Millisecond, func() {
		note("the replica crashes")
		e.crash()
		time.AfterFunc(limitDownTime, func() {
			e.mu.Lock()
			e.models, e.sequence, e.fence, e.busy = map[string]map[string]bool{}, 0, 0, false
			e.life++
			e.mu.Unlock()
			e.restart()
			note("the replica is back, empty, under its id %s", e.id)
		})
	})
	time.AfterFunc(lateBy, func() {
		e.server.mu.Lock()
		isSame := e.up && e.id == id
		e.server.mu.Unlock()
		if isSame {
			note("the late order arrives at the replica: status %d", e.take(o, "late order"))
		}
	})
}

// take carries out an order and returns the status of its response.
func (e *engine) take(o order, name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.carryOut(o)
	note("%s: %s %s/%s, expected %d, fence %d, holder %s: status %d, sequence %d, %d MB used", name, o.Opcode, o.Model, o.Adapter, *o.Expected, o.Fence, o.Holder, status, e.sequence, e.used())
	return status
}

func (e *engine) carryOut(o order) int {
	if o.Fence < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = o.Fence
	adapters, loaded := e.models[o.Model]
	isHeld := loaded && (o.Adapter == "" || adapters[o.Adapter])
	if isHeld == (o.Opcode == "load") {
		return http.StatusOK
	}
	if e.busy || *o.Expected != e.sequence || o.Adapter != "" && !loaded {
		return http.StatusConflict
	}
	e.sequence++
	switch {
	case o.Adapter != "" && o.Opcode == "load":
		if len(adapters) >= 8 || e.used()+adapterMB > weightsMB {
			e.exceed(o)
			return http.StatusAccepted
		}
		adapters[o.Adapter] = true
	case o.Adapter != "":
		delete(adapters, o.Adapter)
		return http.StatusOK
	case o.Opcode == "unload":
		delete(e.models, o.Model)
	default:
		if e.used()+modelMB > weightsMB {
			e.exceed(o)
			return http.StatusAccepted
		}
		e.busy = true
		life := e.life
		time.AfterFunc(diskLoad, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.life == life {
				e.models[o.Model], e.busy = map[string]bool{}, false
			}
		})
	}
	return http.StatusAccepted
}

// exceed crashes the engine. The caller holds mu.
func (e *engine) exceed(o order) {
	e.over = fmt.Sprintf("load %s: %d MB are used, %d MB more make %d of %d", o.Model, e.used(), modelMB, e.used()+modelMB, weightsMB)
	go e.crash()
}

// stream runs a stream of 20 events.
func (e *engine) stream(s *server, w http.ResponseWriter, r *http.Request) {
	model, adapter, _ := strings.Cut(r.Header.Get("X-Parsleylug-Model"), "/")
	e.mu.Lock()
	adapters, loaded := e.models[model]
	loaded = loaded && (adapter == "" || adapters[adapter])
	e.mu.Unlock()
	if !loaded {
		w.Header().Set("X-Parsleylug-Request-Id", r.Header.Get("X-Parsleylug-Request-Id"))
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	answerHead(w, r)
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 20; n++ {
		fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(100 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func limit(dir string) bool {
	st := newStore(loopback(100) + ":0")
	models := []any{}
	for _, m := range []string{"m1", "m2", "m3"} {
		models = append(models, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 6.9, "adapters": 23, "adapter_mb": adapterMB, "warm_s": 0.6, "disk_s": 1.7})
	}
	config(st, 7, []any{route("brief", "streaming", "svc", 30000, 4000, 1, false)},
		[]any{map[string]any{"name": "svc", "health_path": "/health", "max_conns": 360, "engine": map[string]any{"slots": 64, "kv_capacity": 142447, "models": models, "weights_mb": weightsMB, "adapter_slots": 8, "loads_per_s": 4.5}}})
	e := &engine{models: map[string]map[string]bool{"m1": {}, "m2": {}}}
	e.server = &server{store: st, name: "1", service: "svc", zone: "z1", slots: 64, keepsID: true, handle: e.serve, extra: func(_ *server, m map[string]any) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.state(m)
	}}
	l := listen(101)
	e.address = l.Addr().String()
	e.begin(l)
	nodes := []*node{newNode(dir, 1, st.address, ""), newNode(dir, 2, st.address, "")}
	for _, n := range nodes {
		n.awaitReady()
	}
	time.Sleep(stableWindow)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	ask := func(name, model string, from time.Duration) {
		for i, n := range nodes {
			wg.Add(1)
			go func() { defer wg.Done(); e.callers(n, fmt.Sprintf("%s-%d", name, i), model, from, stop) }()
		}
	}
	c := newClient()
	for _, name := range []string{"a1", "a2", "a3"} {
		a := c.send(nodes[0].front, "POST", "/brief/x", "adapter-"+name, 30*time.Second, 5*time.Second, []byte("x"), map[string]string{"X-Parsleylug-Model": "m1/" + name})
		note("a request for m1/%s: status %d, whole %t", name, a.status, a.complete)
	}
	ask("m1", "m1", 0)
	time.Sleep(time.Second)
	a := c.send(nodes[0].front, "POST", "/brief/x", "third", 30*time.Second, 2500*time.Millisecond, []byte("x"), map[string]string{"X-Parsleylug-Model": "m3"})
	note("a request for m3, whose caller leaves after 2.5 s: status %d", a.status)
	ask("m2", "m2", 4*time.Second)
	time.Sleep(16 * time.Second)
	close(stop)
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	tell("streams that came whole: %d, cut: %d", e.whole, e.cut)
	if e.over == "" {
		tell("no replica was ordered to load more than it holds")
		return false
	}
	tell("the replica was ordered to load more than weights_mb and crashed: %s", e.over)
	return true
}

// callers sends requests for a model until stop is closed.
func (e *engine) callers(n *node, name, model string, from time.Duration, stop chan struct{}) {
	c := newClient()
	time.Sleep(from)
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, k)
		a := c.send(n.front, "POST", "/brief/x", id, 30*time.Second, 6*time.Second, []byte("x"), map[string]string{"X-Parsleylug-Model": model})
		e.mu.Lock()
		switch {
		case a.status == 200 && a.complete:
			e.whole++
		case a.status == 200:
			e.cut++
		}
		e.mu.Unlock()
		if a.status != 200 || !a.complete {
			note("%s for %s: status %d, %v", id, model, a.status, a.err)
		}
	}
}
