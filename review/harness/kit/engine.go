package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Engine is a stand-in for a model replica: it takes orders and streams events.
type Engine struct {
	ID, Service, Address string
	// LoadTime is how long a load takes, EventGap the time between two events.
	LoadTime, EventGap time.Duration
	Record             *Record
	// WeightsMB is the memory for weights, ModelMB the size of each model. A replica that is ordered
	// to load more than it holds crashes; it is never full if WeightsMB is 0.
	WeightsMB, ModelMB int
	// IgnoresFences is set on a replica that does not check fence numbers.
	IgnoresFences bool
	// OnOrder is called with each order that arrives; it may be nil.
	OnOrder func(holder string, fence uint64, what string)
	// OnRun is called with the ID of each request that begins to run; it may be nil.
	OnRun func(id string)

	mu       sync.Mutex
	born     int64
	sequence int
	busy     bool
	models   []string
	fence    uint64
	server   *http.Server
	crashed  bool
}

// StartEngine starts a replica that holds some models.
func StartEngine(e *Engine, models ...string) error {
	l, err := net.Listen("tcp", IP()+":0")
	if err != nil {
		return err
	}
	e.Address, e.born, e.models = l.Addr().String(), time.Now().UnixMilli(), models
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

// HasCrashed reports whether the replica was ordered to load more than it holds.
func (e *Engine) HasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

func (e *Engine) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range e.models {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// Beat registers the replica every 1.2 s until stop is closed.
func (e *Engine) Beat(s *Store, stop <-chan struct{}) {
	for n := 0; ; n++ {
		e.mu.Lock()
		if e.crashed {
			e.mu.Unlock()
			return
		}
		r := Registration{Service: e.Service, Address: e.Address, Zone: "z1", Version: "v1", Slots: 64, State: "ready", Models: e.modelList(), Sequence: n, Born: e.born}
		e.mu.Unlock()
		s.Register(e.ID, r)
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Parsleylug-Request-Id")
	if x := r.Header.Get("X-Parsleylug-Expect-Instance"); x != "" && x != e.ID {
		w.Header().Set("X-Parsleylug-Request-Id", id)
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		writeJSON(w, map[string]any{"stage": "mixed", "models": e.modelList(), "busy": e.busy, "sequence": e.sequence, "queued": 0, "running": 0,
			"kv_used": 0, "kv_total": 90000, "handles": 0, "born": e.born})
	case "/-/order":
		e.order(w, r)
	default:
		e.stream(w, r, id)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Opcode, Model, Adapter, Holder string
		Expected                       *int
		Fence                          uint64
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.OnOrder != nil {
		e.OnOrder(o.Holder, o.Fence, o.Opcode+" "+o.Model)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	holds := e.holds(o.Model)
	status := http.StatusAccepted
	switch {
	case o.Fence < e.fence && !e.IgnoresFences:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != e.sequence, e.busy:
		status = http.StatusConflict
	case holds == (o.Opcode == "load"):
		status = http.StatusOK
	}
	if needed := (len(e.models) + 1) * e.ModelMB; status == http.StatusAccepted && o.Opcode == "load" && e.WeightsMB > 0 && needed > e.WeightsMB {
		e.crashed = true
		e.Record.Line("replica %s holds %v and is ordered to load %s (holder %s, fence %d): %d MB of %d MB; it crashes", e.ID, e.models, o.Model, o.Holder, o.Fence, needed, e.WeightsMB)
		go func() { _ = e.server.Close() }()
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusAccepted {
		e.fence = o.Fence
		e.sequence++
		e.busy = true
		duration := e.LoadTime
		if o.Opcode == "unload" {
			duration = 30 * time.Millisecond
		}
		time.AfterFunc(duration, func() { e.complete(o.Opcode, o.Model) })
	}
	e.Record.Line("replica %s gets order %s %s (expected %v, fence %d, holder %s): %d", e.ID, o.Opcode, o.Model, deref(o.Expected), o.Fence, o.Holder, status)
	w.WriteHeader(status)
}

func deref(n *int) any {
	if n == nil {
		return "none"
	}
	return *n
}

func (e *Engine) holds(model string) bool {
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return false
}

func (e *Engine) complete(opcode, model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.busy = false
	if opcode == "load" {
		e.models = append(e.models, model)
		return
	}
	for i, m := range e.models {
		if m == model {
			e.models = append(e.models[:i:i], e.models[i+1:]...)
			return
		}
	}
}

// stream answers with n events, where n is in the query.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, _ = io.Copy(io.Discard, r.Body)
	model, _, _ := strings.Cut(r.Header.Get("X-Parsleylug-Model"), "/")
	e.mu.Lock()
	holds := model == "" || e.holds(model)
	e.mu.Unlock()
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if !holds {
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.OnRun != nil {
		e.OnRun(id)
	}
	n := 1
	_, _ = fmt.Sscanf(r.URL.Query().Get("n"), "%d", &n)
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+e.ID+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= n; i++ {
		time.Sleep(e.EventGap)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

// Crash ends the replica like a process that dies: its connections are closed and it writes no
// heartbeat any more.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crashed = true
	e.mu.Unlock()
	_ = e.server.Close()
}
