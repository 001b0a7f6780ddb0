// Command caserecover: a quarter of the replicas is lost at once, while each of them runs streams of
// one kind, and two seconds later all nodes are killed. The nodes have taken the shared part of the
// prompts for the cause of the crashes and have put that into the store: after the restart they refuse
// every request of the kind.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleylug-review/kit"
)

const (
	nodeCount    = 3
	replicaCount = 12
	lostReplicas = 3 // a quarter
	eventGap     = 200 * time.Millisecond
	recoverTime  = 12 * time.Second
)

func service() map[string]any {
	return map[string]any{"name": "writer", "health_path": "/health", "max_conns": 360, "engine": map[string]any{
		"slots": 64, "kv_capacity": 142447, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 4.5,
		"models": []map[string]any{{"name": "m0", "weights_mb": 72700, "load_s": 6.9, "adapters": 0, "adapter_mb": 66, "warm_s": 0.6, "disk_s": 1.7}}}}
}

func route() kit.Route {
	return kit.Route{"name": "brief", "host": "frames.example", "path_prefix": "/brief/", "kind": "streaming", "timeout_ms": 30000, "goal_ms": 4000, "priority": 1,
		"service": "writer", "max_attempts": 1, "sticky": true, "resumable": false, "gap_aim_ms": 250}
}

// batch sends streams of n events at the nodes in turn and returns how many came whole.
func batch(record *kit.Record, nodes []*kit.Node, name string, count, events int, pace time.Duration) func() int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	whole, answers := 0, map[string]int{}
	for i := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			time.Sleep(time.Duration(i) * pace)
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 32 * time.Second}
			id := fmt.Sprintf("%s-%d", name, i)
			// The body and the last part of the prompt are the request's own.
			q, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/brief/x?n=%d", nodes[i%len(nodes)].Front, events), strings.NewReader("brief "+id))
			q.Host = "frames.example"
			q.Header.Set("X-Parsleylug-Request-Id", id)
			q.Header.Set("X-Parsleylug-Deadline-Ms", "30000")
			q.Header.Set("X-Parsleylug-Model", "m0")
			q.Header.Set("X-Parsleylug-Tokens", "1460,600")
			q.Header.Set("X-Parsleylug-Prompt-Prefix", fmt.Sprintf("5c1e07a2:350,%08x:1110", 0x10000+i*7919+len(name)*104729))
			result := "no answer"
			a, err := client.Do(q)
			if err == nil {
				body, err := io.ReadAll(a.Body)
				a.Body.Close()
				result = fmt.Sprintf("%d", a.StatusCode)
				if a.StatusCode == http.StatusOK && (err != nil || strings.Count(string(body), "\n\n") != events) {
					result = "200, cut"
				}
				if a.StatusCode != http.StatusOK {
					result += " " + strings.TrimSpace(string(body)) + ", Retry-After " + a.Header.Get("Retry-After")
				}
			}
			record.Line("client: request %s: %s", id, result)
			mu.Lock()
			defer mu.Unlock()
			answers[result[:min(3, len(result))]]++
			if result == "200" {
				whole++
			}
		}()
	}
	return func() int {
		wait.Wait()
		record.Line("batch %s: %d of %d came whole", name, whole, count)
		return whole
	}
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var engines []*kit.Engine
	for i := range replicaCount {
		e := &kit.Engine{ID: fmt.Sprintf("i-%02d", i), Service: "writer", LoadTime: 6900 * time.Millisecond, EventGap: eventGap, Record: record}
		if err := kit.StartEngine(e, "m0"); err != nil {
			return 0, err
		}
		go e.Beat(store, stop)
		engines = append(engines, e)
	}
	store.PutConfiguration(1, []kit.Route{route()}, []map[string]any{service()})
	var nodes []*kit.Node
	for i := range nodeCount {
		n, err := kit.NewNode(dir, fmt.Sprintf("front-z1-%d", i+1), store.Address, nil)
		if err != nil {
			return 0, err
		}
		if err := n.Start(); err != nil {
			return 0, err
		}
		defer func() { n.Kill() }()
		nodes = append(nodes, n)
	}
	awaitAll := func() error {
		for _, n := range nodes {
			if !n.AwaitReady(15 * time.Second) {
				return errors.New("a node is not ready")
			}
		}
		return nil
	}
	if err := awaitAll(); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second)
	record.Line("all nodes are ready and in touch")
	before := batch(record, nodes, "first", 24, 10, 100*time.Millisecond)()
	time.Sleep(11 * time.Second)
	running := batch(record, nodes, "second", 36, 75, 50*time.Millisecond)
	time.Sleep(6 * time.Second)
	if kit.Trouble() {
		for _, e := range engines[:lostReplicas] {
			record.Line("replica %s crashes", e.ID)
			e.Crash()
		}
		time.AfterFunc(3600*time.Millisecond, func() {
			for _, e := range engines[:lostReplicas] {
				store.Put("keyed.servers", e.ID, nil)
			}
		})
		// They are back two seconds later, empty and under new names.
		time.AfterFunc(2*time.Second, func() {
			for i := range lostReplicas {
				e := &kit.Engine{ID: fmt.Sprintf("i-%02d", replicaCount+i), Service: "writer", LoadTime: 6900 * time.Millisecond, EventGap: eventGap, Record: record}
				if err := kit.StartEngine(e); err != nil {
					record.Line("a replica could not start again: %v", err)
					continue
				}
				record.Line("replica %s starts, empty", e.ID)
				go e.Beat(store, stop)
			}
		})
	}
	time.Sleep(2 * time.Second)
	store.PutConfiguration(2, []kit.Route{route()}, []map[string]any{service()})
	time.Sleep(50 * time.Millisecond)
	record.Line("the store has accepted one more configuration; all nodes are killed")
	for _, n := range nodes {
		n.Signal(syscall.SIGKILL)
	}
	for _, n := range nodes {
		n.Kill()
	}
	running()
	time.Sleep(1400 * time.Millisecond)
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return 0, err
		}
	}
	back := time.Now()
	if err := awaitAll(); err != nil {
		return 0, err
	}
	record.Line("all nodes are back and ready")
	time.Sleep(time.Until(back.Add(recoverTime + time.Second)))
	after := batch(record, nodes, "third", 48, 10, 250*time.Millisecond)()
	if 4*before >= 24 && 4*after < 48 {
		record.Line("RECOVER: %d of 48 requests are served later than %v after the machines are back, %d of 24 were before", after, recoverTime, before)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
