// Command casedropped: the operator takes a model out of the configuration that replicas still hold. The
// owner of the engines counts no memory for it, and orders a replica to load more than it holds.
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

const (
	modelMB   = 72700
	weightsMB = 200000
)

func service(models ...string) map[string]any {
	list := []map[string]any{}
	for _, m := range models {
		list = append(list, map[string]any{"name": m, "weights_mb": modelMB, "load_s": 3, "adapters": 0, "adapter_mb": 66, "warm_s": 0.6, "disk_s": 1.7})
	}
	return map[string]any{"name": "writer", "health_path": "/health", "max_conns": 360, "engine": map[string]any{
		"slots": 64, "kv_capacity": 142447, "weights_mb": weightsMB, "adapter_slots": 8, "loads_per_s": 4.5, "models": list}}
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	defer close(stop)
	var engines []*kit.Engine
	for i := range 3 {
		e := &kit.Engine{ID: fmt.Sprintf("i-%d", i), Service: "writer", LoadTime: 3 * time.Second, EventGap: 60 * time.Millisecond, Record: record, WeightsMB: weightsMB, ModelMB: modelMB}
		if err := kit.StartEngine(e, "busy", "retired"); err != nil {
			return 0, err
		}
		engines = append(engines, e)
		go e.Beat(store, stop)
	}
	routes := []kit.Route{{"name": "frames", "host": "frames.example", "path_prefix": "/frames/", "kind": "streaming", "timeout_ms": 30000, "goal_ms": 4000, "priority": 1,
		"service": "writer", "max_attempts": 1, "resumable": false, "gap_aim_ms": 250}}
	record.Line("operator writes version 1: the models busy and retired")
	store.PutConfiguration(1, routes, []map[string]any{service("busy", "retired")})
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

	var wg sync.WaitGroup
	var mu sync.Mutex
	cut, whole := 0, 0
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 32 * time.Second}
	send := func(id, model string, events int) {
		defer wg.Done()
		r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/frames/generate?n=%d", node.Front, events), strings.NewReader("{}"))
		r.Host = "frames.example"
		r.Header.Set("X-Parsleylug-Request-Id", id)
		r.Header.Set("X-Parsleylug-Deadline-Ms", "30000")
		r.Header.Set("X-Parsleylug-Model", model)
		r.Header.Set("X-Parsleylug-Tokens", "400,80")
		r.Header.Set("X-Parsleylug-Prompt-Prefix", "5c1e07a2:200,91bd3f06:200")
		record.Line("client sends request %s for model %s", id, model)
		response, err := client.Do(r)
		status := 0
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
			response.Body.Close()
			status = response.StatusCode
		}
		record.Line("client gets %d to request %s, %d of %d events, error %v", status, id, strings.Count(string(body), "\n\n"), events, err)
		mu.Lock()
		defer mu.Unlock()
		if err != nil || status != http.StatusOK {
			cut++
		} else {
			whole++
		}
	}
	end := time.Now().Add(14 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; time.Now().Before(end); i++ {
			wg.Add(1)
			go send(fmt.Sprintf("a%d", i), "busy", 50)
			time.Sleep(200 * time.Millisecond)
		}
	}()
	time.Sleep(4 * time.Second)
	models := []string{"busy", "retired", "fresh"}
	if kit.Trouble() {
		models = []string{"busy", "fresh"}
	}
	record.Line("operator writes version 4: the models %v", models)
	store.PutConfiguration(4, routes, []map[string]any{service(models...)})
	time.Sleep(3 * time.Second)
	wg.Add(1)
	go send("b0", "fresh", 10)
	wg.Wait()
	code := kit.Held
	for _, e := range engines {
		if e.HasCrashed() {
			record.Line("LIMIT: replica %s was ordered to load more than its weights_mb", e.ID)
			code = kit.Broken
		}
	}
	record.Line("%d answers were lost, %d were whole", cut, whole)
	return code, nil
}

func main() { kit.Run(play) }
