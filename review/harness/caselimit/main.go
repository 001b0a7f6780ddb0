// Command caselimit: replicas hold models that fill their memory nearly, as the platform has placed
// them at startup. Callers ask for adapters of one of the models. The node orders adapters as long as
// there are slots for them, without a look at the memory, until a replica crashes.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"parsleylug-review/kit"
)

const (
	weightsMB    = 200000
	adapterSlots = 8
	adapterMB    = 66
	replicaCount = 2
	adapters     = 12
	eventGap     = 100 * time.Millisecond
)

type model struct {
	name string
	mb   int
}

// models returns what each replica holds at startup: 199,800 MB, or 159,400 MB without the trouble.
func models() []model {
	third := model{"m2", 54400}
	if !kit.Trouble() {
		third.mb = 14000
	}
	return []model{{"m0", 72700}, {"m1", 72700}, third}
}

// replica is a stand-in for a model replica.
type replica struct {
	id, address string
	record      *kit.Record
	server      *http.Server
	born        int64

	mu       sync.Mutex
	sequence int
	fence    uint64
	// held and coming are the adapters of m0.
	held, coming []string
	crashed      bool
}

func (r *replica) modelList() []map[string]any {
	list := []map[string]any{}
	for _, m := range models() {
		held := []string{}
		if m.name == "m0" {
			held = slices.Clone(r.held)
		}
		list = append(list, map[string]any{"name": m.name, "version": 1, "adapters": held})
	}
	return list
}

// used returns the memory that the models and a number of adapters take.
func used(count int) int {
	sum := count * adapterMB
	for _, m := range models() {
		sum += m.mb
	}
	return sum
}

func (r *replica) beat(s *kit.Store, stop <-chan struct{}) {
	for n := 0; ; n++ {
		r.mu.Lock()
		crashed := r.crashed
		g := kit.Registration{Service: "writer", Address: r.address, Zone: "z1", Version: "v1", Slots: 64, State: "ready", Models: r.modelList(), Sequence: n, Born: r.born}
		r.mu.Unlock()
		if crashed {
			return
		}
		s.Register(r.id, g)
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Parsleylug-Request-Id")
	if x := q.Header.Get("X-Parsleylug-Expect-Instance"); x != "" && x != r.id {
		w.Header().Set("X-Parsleylug-Request-Id", id)
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch q.URL.Path {
	case "/-/report":
		r.mu.Lock()
		defer r.mu.Unlock()
		coming := []string{}
		for _, a := range r.coming {
			coming = append(coming, "m0/"+a+"@1")
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "mixed", "models": r.modelList(), "coming": coming, "busy": false, "sequence": r.sequence, "queued": 0,
			"running": 0, "kv_used": 0, "kv_total": 142447, "handles": 0, "born": r.born})
	case "/-/order":
		r.order(w, q)
	default:
		r.stream(w, q, id)
	}
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Opcode, Model, Adapter, Holder string
		Expected                       *int
		Fence                          uint64
	}
	body, _ := io.ReadAll(q.Body)
	if json.Unmarshal(body, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	what := fmt.Sprintf("replica %s gets order %s %s/%s (expected %d, fence %d)", r.id, o.Opcode, o.Model, o.Adapter, *o.Expected, o.Fence)
	status := http.StatusAccepted
	switch {
	case o.Fence < r.fence:
		status = http.StatusPreconditionFailed
	case o.Expected != nil && *o.Expected != r.sequence:
		status = http.StatusConflict
	case o.Model != "m0" || o.Adapter == "":
		// No other order is needed here; it is as if another one were in progress.
		status = http.StatusConflict
	case (slices.Contains(r.held, o.Adapter) || slices.Contains(r.coming, o.Adapter)) == (o.Opcode == "load"):
		status = http.StatusOK
	}
	if status != http.StatusAccepted {
		r.record.Line("%s: %d", what, status)
		w.WriteHeader(status)
		return
	}
	r.fence = o.Fence
	r.sequence++
	if o.Opcode == "unload" {
		r.held = slices.DeleteFunc(r.held, func(a string) bool { return a == o.Adapter })
		r.record.Line("%s: 200", what)
		return
	}
	count := len(r.held) + len(r.coming) + 1
	if count > adapterSlots || used(count) > weightsMB {
		r.crashed = true
		r.record.Line("%s: it holds %d MB with %d adapters, and needs %d MB of %d MB; it crashes", what, used(count-1), count-1, used(count), weightsMB)
		go func() { _ = r.server.Close() }()
		panic(http.ErrAbortHandler)
	}
	r.record.Line("%s: 202; it needs %d MB of %d MB", what, used(count), weightsMB)
	r.coming = append(r.coming, o.Adapter)
	time.AfterFunc(14*time.Millisecond, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.coming = slices.DeleteFunc(r.coming, func(a string) bool { return a == o.Adapter })
		r.held = append(r.held, o.Adapter)
	})
	w.WriteHeader(status)
}

func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	_, _ = io.Copy(io.Discard, q.Body)
	name, adapter, _ := strings.Cut(q.Header.Get("X-Parsleylug-Model"), "/")
	r.mu.Lock()
	holds := slices.ContainsFunc(models(), func(m model) bool { return m.name == name }) && (adapter == "" || name == "m0" && slices.Contains(r.held, adapter))
	r.mu.Unlock()
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if !holds {
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+r.id+"-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	n := 1
	_, _ = fmt.Sscanf(q.URL.Query().Get("n"), "%d", &n)
	for i := 1; i <= n; i++ {
		time.Sleep(eventGap)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i); err != nil || q.Context().Err() != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// send sends a stream of n events and records how it ends.
func send(record *kit.Record, front, id, modelName string, n int) bool {
	q, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/note/x?n=%d", front, n), strings.NewReader("note "+id))
	q.Host = "frames.example"
	q.Header.Set("X-Parsleylug-Request-Id", id)
	q.Header.Set("X-Parsleylug-Deadline-Ms", "15000")
	q.Header.Set("X-Parsleylug-Model", modelName)
	q.Header.Set("X-Parsleylug-Tokens", "646,70")
	q.Header.Set("X-Parsleylug-Prompt-Prefix", fmt.Sprintf("5c1e07a2:155,%08x:491", time.Now().UnixNano()&0xffffffff))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 16 * time.Second}
	a, err := client.Do(q)
	if err != nil {
		record.Line("client: request %s for %s: no answer: %v", id, modelName, err)
		return false
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	whole := a.StatusCode == http.StatusOK && err == nil
	record.Line("client: request %s for %s: %d, %d of %d events, error %v", id, modelName, a.StatusCode, strings.Count(string(body), "\n\n"), n, err)
	return whole
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var replicas []*replica
	for i := range replicaCount {
		l, err := net.Listen("tcp", kit.IP()+":0")
		if err != nil {
			return 0, err
		}
		r := &replica{id: fmt.Sprintf("i-%d", i), address: l.Addr().String(), record: record, born: time.Now().UnixMilli()}
		r.server = &http.Server{Handler: r}
		go func() { _ = r.server.Serve(l) }()
		go r.beat(store, stop)
		replicas = append(replicas, r)
	}
	list := []map[string]any{}
	for _, m := range models() {
		count := 0
		if m.name == "m0" {
			count = adapters
		}
		list = append(list, map[string]any{"name": m.name, "weights_mb": m.mb, "load_s": 6.9, "adapters": count, "adapter_mb": adapterMB, "warm_s": 0.6, "disk_s": 1.7})
	}
	store.PutConfiguration(1, []kit.Route{{"name": "note", "host": "frames.example", "path_prefix": "/note/", "kind": "streaming", "timeout_ms": 15000, "goal_ms": 600,
		"priority": 1, "service": "writer", "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 250}},
		[]map[string]any{{"name": "writer", "health_path": "/health", "max_conns": 360, "engine": map[string]any{
			"slots": 64, "kv_capacity": 142447, "weights_mb": weightsMB, "adapter_slots": adapterSlots, "loads_per_s": 4.5, "models": list}}})
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
	time.Sleep(6 * time.Second)
	record.Line("the node is ready and in touch; traffic starts")
	var wait sync.WaitGroup
	var mu sync.Mutex
	cut, whole := 0, 0
	run := func(id, name string, events int) {
		defer wait.Done()
		ok := send(record, n.Front, id, name, events)
		mu.Lock()
		defer mu.Unlock()
		if ok {
			whole++
		} else {
			cut++
		}
	}
	for i := range 8 {
		wait.Add(1)
		go run(fmt.Sprintf("base-%d", i), fmt.Sprintf("m%d", i%3), 100)
	}
	for i := range adapters {
		wait.Add(1)
		go run(fmt.Sprintf("adapter-%d", i+1), fmt.Sprintf("m0/a%d", i+1), 20)
		time.Sleep(300 * time.Millisecond)
	}
	wait.Wait()
	record.Line("%d streams came whole, %d did not", whole, cut)
	broken := 0
	for _, r := range replicas {
		r.mu.Lock()
		if r.crashed {
			broken++
		}
		r.mu.Unlock()
	}
	if broken > 0 {
		record.Line("LIMIT: %d replicas were ordered to load more than weights_mb holds", broken)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
