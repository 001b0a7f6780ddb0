// Command caseone: replicas do not check fence numbers (bounds.fencing=false), and the store deals all
// partitions of the owner group anew, twice. Two nodes give orders to the same replicas by turns well
// within lease_ms.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"

	"parsleylug-review/kit"
)

const (
	lease     = 3000 * time.Millisecond
	modelMB   = 72700
	weightsMB = 200000
	models    = 12
	nodeCount = 2
	// dealGap is the time between two deals.
	dealGap = 1500 * time.Millisecond
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
	at              time.Time
	replica, holder string
	fence           uint64
	what            string
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
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i), Service: "writer", LoadTime: 200 * time.Millisecond, EventGap: 20 * time.Millisecond, Record: record,
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
	for i := range nodeCount {
		n, err := kit.NewNode(dir, fmt.Sprintf("front-z1-%d", i+1), store.Address, map[string]string{"bounds.fencing": "false"})
		if err != nil {
			return 0, err
		}
		if err := n.Start(); err != nil {
			return 0, err
		}
		defer n.Kill()
		nodes = append(nodes, n)
	}
	for _, n := range nodes {
		if !n.AwaitReady(15 * time.Second) {
			return 0, errors.New("a node is not ready")
		}
	}
	end := time.Now().Add(26 * time.Second)
	var wg sync.WaitGroup
	for k := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 10 * time.Second}
			for n := 0; time.Now().Before(end); n++ {
				r, _ := http.NewRequest(http.MethodPost, "http://"+nodes[k%nodeCount].Front+"/frames/generate?n=10", strings.NewReader("{}"))
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
	for range 2 {
		if kit.Trouble() {
			before, after := store.Deal("parsleylug")
			record.Line("the store deals all partitions anew: from %s to %s", before, after)
		}
		time.Sleep(dealGap)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	turns := 0
	for _, replica := range []string{"i-0", "i-1"} {
		// seen are the orders of the last lease_ms.
		var seen []order
		for _, o := range orders {
			if o.replica != replica {
				continue
			}
			for len(seen) > 0 && o.at.Sub(seen[0].at) > lease {
				seen = seen[1:]
			}
			if first, second, ok := turn(seen, o); ok {
				record.Line("replica %s gets %q of holder %s (fence %d), %d ms later %q of holder %s (fence %d), and %d ms later %q of the first holder again (fence %d)",
					replica, first.what, first.holder, first.fence, second.at.Sub(first.at).Milliseconds(), second.what, second.holder, second.fence,
					o.at.Sub(second.at).Milliseconds(), o.what, o.fence)
				turns++
			}
			seen = append(seen, o)
		}
	}
	if turns > 0 {
		record.Line("ONE: two holders take turns within lease_ms (%d ms) at a replica, %d times", lease.Milliseconds(), turns)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

// turn reports whether a holder orders again after another one, and returns the latest order of the other
// one and the latest of its own before that.
func turn(seen []order, o order) (first, second order, ok bool) {
	for j := len(seen) - 1; j >= 0; j-- {
		if seen[j].holder == o.holder {
			continue
		}
		for i := j - 1; i >= 0; i-- {
			if seen[i].holder == o.holder {
				return seen[i], seen[j], j == len(seen)-1
			}
		}
		return order{}, order{}, false
	}
	return order{}, order{}, false
}

func main() { kit.Run(play) }
