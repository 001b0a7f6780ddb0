// Command case3: replicas do not check fence numbers (bounds.fencing=false), and the owner of the
// engines gets a SIGTERM. The next owner orders the same replica well within lease_ms.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleylug-review/kit"
)

const (
	lease     = 3000 * time.Millisecond
	modelMB   = 72700
	weightsMB = 200000
	models    = 12
)

func service() map[string]any {
	list := []map[string]any{}
	for i := range models {
		list = append(list, map[string]any{"name": fmt.Sprintf("m%d", i), "weights_mb": modelMB, "load_s": 0.6, "adapters": 0, "adapter_mb": 66, "warm_s": 0.2, "disk_s": 0.4})
	}
	return map[string]any{"name": "writer", "health_path": "/health", "max_conns": 360, "engine": map[string]any{
		"slots": 64, "kv_capacity": 142447, "weights_mb": weightsMB, "adapter_slots": 8, "loads_per_s": 4.5, "models": list}}
}

// order is an order that a replica has received.
type order struct {
	at      time.Time
	replica string
	holder  string
	fence   uint64
	what    string
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var mu sync.Mutex
	var orders []order
	for i := range 2 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i), Service: "writer", LoadTime: 600 * time.Millisecond, EventGap: 20 * time.Millisecond, Record: record,
			WeightsMB: weightsMB, ModelMB: modelMB, IgnoresFences: true}
		e.OnOrder = func(holder string, fence uint64, what string) {
			mu.Lock()
			defer mu.Unlock()
			orders = append(orders, order{time.Now(), e.ID, holder, fence, what})
		}
		if err := kit.StartEngine(e, "m0", "m1"); err != nil {
			return 0, err
		}
		go e.Beat(store, stop)
	}
	store.PutConfiguration(1, []kit.Route{{"name": "frames", "host": "frames.example", "path_prefix": "/frames/", "kind": "streaming", "timeout_ms": 8000, "goal_ms": 500, "priority": 1,
		"service": "writer", "max_attempts": 1, "resumable": false, "gap_aim_ms": 250}}, []map[string]any{service()})
	var nodes []*kit.Node
	for i := range 2 {
		n, err := kit.NewNode(dir, fmt.Sprintf("front-z1-%d", i+1), store.Address, map[string]string{"bounds.fencing": "false"})
		if err != nil {
			return 0, err
		}
		if err := n.Start(); err != nil {
			return 0, err
		}
		defer n.Kill()
		if !n.AwaitReady(15 * time.Second) {
			return 0, errors.New("a node is not ready")
		}
		nodes = append(nodes, n)
	}
	end := time.Now().Add(22 * time.Second)
	var wg sync.WaitGroup
	for k := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
			for n := 0; time.Now().Before(end); n++ {
				// The platform sends the callers of a node that stops to the others.
				r, _ := http.NewRequest(http.MethodPost, "http://"+nodes[1].Front+"/frames/generate?n=10", strings.NewReader("{}"))
				r.Host = "frames.example"
				r.Header.Set("X-Parsleylug-Request-Id", fmt.Sprintf("c%d-%d", k, n))
				r.Header.Set("X-Parsleylug-Deadline-Ms", "8000")
				r.Header.Set("X-Parsleylug-Model", fmt.Sprintf("m%d", rand.Intn(models)))
				r.Header.Set("X-Parsleylug-Tokens", "400,80")
				r.Header.Set("X-Parsleylug-Prompt-Prefix", "5c1e07a2:200,91bd3f06:200")
				if response, err := client.Do(r); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(7 * time.Second)
	if kit.Trouble() {
		record.Line("SIGTERM of %s, which owns the engines", nodes[0].Name)
		nodes[0].Signal(syscall.SIGTERM)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	code := kit.Held
	last := map[string]order{}
	for _, o := range orders {
		p, ok := last[o.replica]
		last[o.replica] = o
		if gap := o.at.Sub(p.at); ok && p.holder != o.holder && gap < lease {
			record.Line("ONE: replica %s gets %q of holder %s (fence %d) and %q of holder %s (fence %d) %d ms later; lease_ms is %d",
				o.replica, p.what, p.holder, p.fence, o.what, o.holder, o.fence, gap.Milliseconds(), lease.Milliseconds())
			code = kit.Broken
		}
	}
	return code, nil
}

func main() { kit.Run(play) }
