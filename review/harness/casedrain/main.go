// Command casedrain: a service is scaled in twice, a quarter of its replicas each time. The replicas of the
// second time never report that they drain: their registrations are removed, and they serve on for a
// while. Nodes take the removals for an outage of the store and go on sending requests there.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"parsleylug-review/kit"
)

const (
	replicaCount = 12
	leavers      = 3 // a quarter
	drainBound   = 2500 * time.Millisecond
	// lingerTime is how much longer than drain_ms a replica serves before it exits.
	lingerTime = 600 * time.Millisecond
	workTime   = 60 * time.Millisecond
)

type replica struct {
	id, address string
	record      *kit.Record
	server      *http.Server
	stop        chan struct{}
	born        int64

	mu       sync.Mutex
	goneAt   time.Time
	late     int
	arrivals int
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Parsleylug-Request-Id")
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if x := q.Header.Get("X-Parsleylug-Expect-Instance"); x != "" && x != r.id {
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	now := time.Now()
	r.mu.Lock()
	r.arrivals++
	if !r.goneAt.IsZero() {
		after := now.Sub(r.goneAt)
		if after > drainBound {
			r.late++
		}
		r.record.Line("request %s reaches replica %s %d ms after the store accepted its leaving", id, r.id, after.Milliseconds())
	}
	r.mu.Unlock()
	time.Sleep(workTime)
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+r.id+"-"+id)
	w.Header().Set("X-Parsleylug-Server-Load", "1,0,6")
	_, _ = io.WriteString(w, "extract "+id)
}

func (r *replica) registration(state string) kit.Registration {
	return kit.Registration{Service: "desk", Address: r.address, Zone: "z1", Version: "v1", Slots: 6, State: state, Born: r.born}
}

func startReplica(id string, record *kit.Record, store *kit.Store) (*replica, error) {
	l, err := net.Listen("tcp", kit.IP()+":0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, address: l.Addr().String(), record: record, stop: make(chan struct{}), born: time.Now().UnixMilli()}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	store.Register(id, r.registration("ready"))
	return r, nil
}

// markGone notes when the store has accepted that the replica drains or is gone.
func (r *replica) markGone() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.goneAt = time.Now()
}

// deploy plays the case in one small deployment and returns the number of requests that came too late.
func deploy(dir, name string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	var replicas []*replica
	for i := range replicaCount {
		r, err := startReplica(fmt.Sprintf("i-%s-%02d", name, i), record, store)
		if err != nil {
			return 0, err
		}
		replicas = append(replicas, r)
	}
	store.PutConfiguration(1, []kit.Route{{"name": "book", "host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500,
		"goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1}}, []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}})
	var nodes []*kit.Node
	for i := range 2 {
		n, err := kit.NewNode(dir, fmt.Sprintf("front-%s-%d", name, i+1), store.Address, nil)
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
	// The nodes are in touch, and linked.
	time.Sleep(6 * time.Second)
	record.Line("deployment %s: all nodes are ready; traffic starts", name)

	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for k := range 16 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * time.Second}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(80 * time.Millisecond):
				}
				q, _ := http.NewRequest(http.MethodPost, "http://"+nodes[k%2].Front+"/book/x", strings.NewReader(fmt.Sprintf("booking %d of %d", i, k)))
				q.Host = "desk.example"
				q.Header.Set("X-Parsleylug-Request-Id", fmt.Sprintf("%s%02d-%d", name, k, i))
				q.Header.Set("X-Parsleylug-Deadline-Ms", "1500")
				status := 0
				if a, err := client.Do(q); err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					a.Body.Close()
					status = a.StatusCode
				}
				if status != http.StatusOK {
					record.Line("client gets %d to request %s%02d-%d (0: no answer)", status, name, k, i)
				}
				mu.Lock()
				answers[status]++
				mu.Unlock()
			}
		}()
	}
	// The leaving begins at any moment between two reads of the store.
	time.Sleep(3*time.Second + time.Duration(rand.Int63n(int64(time.Second))))

	first, second := replicas[:leavers], replicas[leavers:2*leavers]
	if kit.Trouble() {
		for _, r := range first {
			store.Register(r.id, r.registration("draining"))
			r.markGone()
			record.Line("replica %s reports that it drains", r.id)
		}
	}
	time.Sleep(drainBound + lingerTime)
	if kit.Trouble() {
		for _, r := range first {
			store.Put("keyed.servers", r.id, nil)
			record.Line("replica %s has left; its registration is removed", r.id)
			_ = r.server.Close()
		}
	}
	// The next quarter is taken away as soon as the first has left.
	time.Sleep(50 * time.Millisecond)
	for _, r := range second {
		store.Put("keyed.servers", r.id, nil)
		r.markGone()
		record.Line("replica %s leaves and never reports that it drains; its registration is removed", r.id)
	}
	time.Sleep(drainBound + lingerTime)
	for _, r := range second {
		_ = r.server.Close()
		record.Line("replica %s exits", r.id)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	late := 0
	for _, r := range replicas {
		record.Line("replica %s: %d arrivals, %d of them later than drain_ms", r.id, r.arrivals, r.late)
		late += r.late
	}
	record.Line("deployment %s: answers by status (0: none): %v", name, answers)
	return late, nil
}

// deployments play side by side, each with a store of its own, so that the leaving meets other moments
// between two reads of the store.
var deployments = []string{"a", "b", "c"}

func play(dir string, record *kit.Record) (int, error) {
	var wait sync.WaitGroup
	late, errs := make([]int, len(deployments)), make([]error, len(deployments))
	for i, name := range deployments {
		wait.Add(1)
		go func() {
			defer wait.Done()
			late[i], errs[i] = deploy(dir, name, record)
		}()
	}
	wait.Wait()
	sum := 0
	for i, name := range deployments {
		if errs[i] != nil {
			return 0, errs[i]
		}
		record.Line("deployment %s: %d requests too late", name, late[i])
		sum += late[i]
	}
	if sum > 0 {
		record.Line("DRAIN: %d requests reached replicas later than %v after the store had accepted that they were gone", sum, drainBound)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
