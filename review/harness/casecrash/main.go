// Command casecrash: the operator puts a new service with models into the configuration and takes it
// back some seconds later. The node that owns the engines ends with a panic, and the streams that
// it passes on end with it.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"parsleylug-review/kit"
)

func service(name string, models int) map[string]any {
	list := []map[string]any{}
	for i := range models {
		list = append(list, map[string]any{"name": fmt.Sprintf("m%d", i), "weights_mb": 72700, "load_s": 6.9, "adapters": 0, "adapter_mb": 66, "warm_s": 0.6, "disk_s": 1.7})
	}
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 360, "engine": map[string]any{
		"slots": 64, "kv_capacity": 142447, "weights_mb": 200000, "adapter_slots": 8, "loads_per_s": 4.5, "models": list}}
}

func route(name, prefix, service string) kit.Route {
	return kit.Route{"name": name, "host": "frames.example", "path_prefix": prefix, "kind": "streaming", "timeout_ms": 30000, "goal_ms": 4000, "priority": 1,
		"service": service, "max_attempts": 1, "resumable": false, "gap_aim_ms": 250}
}

// newReplicas is the number of replicas of the new service. Each holds the two busy models, and
// its eight other models are held by none.
const newReplicas = 8

func startReplicas(store *kit.Store, record *kit.Record, stop <-chan struct{}, service string, count int) error {
	for i := range count {
		e := &kit.Engine{ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, LoadTime: 6900 * time.Millisecond, EventGap: 60 * time.Millisecond, Record: record}
		if err := kit.StartEngine(e, "m0", "m1"); err != nil {
			return err
		}
		go e.Beat(store, stop)
	}
	return nil
}

// caller sends streams and counts how they end.
type caller struct {
	front  string
	record *kit.Record
	client *http.Client

	wait       sync.WaitGroup
	mu         sync.Mutex
	cut, whole int
}

func (c *caller) send(id, path string, events int) {
	defer c.wait.Done()
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s%sgenerate?n=%d", c.front, path, events), strings.NewReader("{}"))
	r.Host = "frames.example"
	r.Header.Set("X-Parsleylug-Request-Id", id)
	r.Header.Set("X-Parsleylug-Deadline-Ms", "30000")
	r.Header.Set("X-Parsleylug-Model", "m0")
	r.Header.Set("X-Parsleylug-Tokens", "400,80")
	r.Header.Set("X-Parsleylug-Prompt-Prefix", "5c1e07a2:200,91bd3f06:200")
	c.record.Line("client sends request %s to %s", id, path)
	response, err := c.client.Do(r)
	if err != nil {
		c.record.Line("client: the connection of request %s ends without an answer: %v", id, err)
		c.count(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	c.record.Line("client gets %d to request %s, stamp %q, %d of %d events, error %v", response.StatusCode, id, response.Header.Get("X-Parsleylug-Response-Stamp"),
		strings.Count(string(body), "\n\n"), events, err)
	c.count(err)
}

func (c *caller) count(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.cut++
	} else {
		c.whole++
	}
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	if err := startReplicas(store, record, stop, "present", 2); err != nil {
		return 0, err
	}
	if err := startReplicas(store, record, stop, "new", newReplicas); err != nil {
		return 0, err
	}
	before := func(version int) {
		record.Line("operator writes version %d: the service \"present\" alone", version)
		store.PutConfiguration(version, []kit.Route{route("frames", "/frames/", "present")}, []map[string]any{service("present", 2)})
	}
	before(1)
	node, err := kit.NewNode(dir, "front-z1-1", store.Address, nil)
	if err != nil {
		return 0, err
	}
	if err := node.Start(); err != nil {
		return 0, err
	}
	defer node.Kill()
	if !node.AwaitReady(15 * time.Second) {
		return 0, errors.New("the node is not ready")
	}
	// The node becomes the owner of the engines, and is in touch.
	time.Sleep(6 * time.Second)

	c := &caller{front: node.Front, record: record, client: &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 32 * time.Second}}
	// Streams of three seconds on the service that stays, all through.
	end := time.Now().Add(22 * time.Second)
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		for i := 0; time.Now().Before(end) && !node.HasEnded(); i++ {
			c.wait.Add(1)
			go c.send(fmt.Sprintf("a%d", i), "/frames/", 50)
			time.Sleep(300 * time.Millisecond)
		}
	}()
	time.Sleep(8 * time.Second)
	record.Line("operator writes version 4: the service \"new\" and a route to it are added")
	store.PutConfiguration(4, []kit.Route{route("frames", "/frames/", "present"), route("drafts", "/drafts/", "new")}, []map[string]any{service("present", 2), service("new", 2+newReplicas)})
	time.Sleep(4 * time.Second)
	if kit.Trouble() {
		before(7)
	}
	c.wait.Wait()
	if node.HasEnded() {
		record.Line("the process of the node has ended by itself")
	}
	record.Line("%d answers were cut, %d were whole", c.cut, c.whole)
	if c.cut > 0 {
		record.Line("LOST: requests that were passed on to replicas end without a complete answer beside a change of the configuration")
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
