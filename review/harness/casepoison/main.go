// Command casepoison: a request crashes each replica that runs it and comes again. The nodes refuse
// it after the second crash. Then the operator stops and starts the nodes one after the other; each
// node that starts has forgotten the request, is not told of it, and hands it to replicas again.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"parsleylug-review/kit"
)

const (
	nodeCount    = 4
	replicaCount = 6
	stableWindow = 4 * time.Second
	gracePeriod  = 8 * time.Second
	poisonBody   = "poison"
)

// fleet is the service: replicas that crash when they begin to run the poison, and come back.
type fleet struct {
	store  *kit.Store
	record *kit.Record
	stop   chan struct{}

	mu      sync.Mutex
	lives   int
	crashes []time.Time
	// runs are the times at which the poison reached a replica, by request.
	runs map[string]time.Time
}

type replica struct {
	fleet   *fleet
	id      string
	born    int64
	address string
	server  *http.Server
	crashed chan struct{}
	once    sync.Once
}

func (f *fleet) start() error {
	l, err := net.Listen("tcp", kit.IP()+":0")
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.lives++
	r := &replica{fleet: f, id: fmt.Sprintf("i-%03d", f.lives), born: time.Now().UnixMilli(), address: l.Addr().String(), crashed: make(chan struct{})}
	f.mu.Unlock()
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go f.store.Beat(r.id, kit.Registration{Service: "desk", Address: r.address, Zone: "z1", Version: "v1", Slots: 6, State: "ready", Born: r.born}, r.crashed)
	return nil
}

// crash ends a replica like a process that dies. Its registration is removed after three heartbeat
// intervals, and a new replica is back after two seconds.
func (r *replica) crash() {
	r.once.Do(func() {
		close(r.crashed)
		_ = r.server.Close()
		f := r.fleet
		time.AfterFunc(3600*time.Millisecond, func() { f.store.Put("keyed.servers", r.id, nil) })
		time.AfterFunc(2*time.Second, func() {
			if err := f.start(); err != nil {
				f.record.Line("a replica could not start: %v", err)
			}
		})
	})
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Parsleylug-Request-Id")
	body, _ := io.ReadAll(q.Body)
	w.Header().Set("X-Parsleylug-Request-Id", id)
	if x := q.Header.Get("X-Parsleylug-Expect-Instance"); x != "" && x != r.id {
		w.Header().Set("X-Parsleylug-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if string(body) == poisonBody {
		f := r.fleet
		f.mu.Lock()
		f.crashes = append(f.crashes, time.Now())
		f.runs[id] = time.Now()
		n := len(f.crashes)
		f.mu.Unlock()
		f.record.Line("replica %s begins to run the poison %s and crashes: crash %d", r.id, id, n)
		r.crash()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(150 * time.Millisecond)
	w.Header().Set("X-Parsleylug-Response-Stamp", "stamp-"+r.id+"-"+id)
	_, _ = io.WriteString(w, "booked "+id)
}

// machine is a node with the times that say whether it is in touch.
type machine struct {
	*kit.Node
	mu        sync.Mutex
	startedAt time.Time
	stopping  bool
}

func (m *machine) start() error {
	m.mu.Lock()
	m.startedAt, m.stopping = time.Now(), false
	m.mu.Unlock()
	return m.Start()
}

// inTouch reports whether the machine has run for the stable window without a disturbance.
func (m *machine) inTouch() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.stopping && time.Since(m.startedAt) > stableWindow+500*time.Millisecond
}

// roll stops the machine with SIGTERM, as the platform does, and starts it again.
func (m *machine) roll(record *kit.Record) error {
	record.Line("%s gets SIGTERM", m.Name)
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	m.Signal(syscall.SIGTERM)
	for until := time.Now().Add(gracePeriod); !m.HasEnded() && time.Now().Before(until); {
		time.Sleep(50 * time.Millisecond)
	}
	m.Kill()
	record.Line("%s has ended and is started again", m.Name)
	time.Sleep(300 * time.Millisecond)
	if err := m.start(); err != nil {
		return err
	}
	if !m.AwaitReady(10 * time.Second) {
		return errors.New("a node is not ready again")
	}
	record.Line("%s is ready", m.Name)
	return nil
}

// send sends a request and returns the status of its answer, 0 for none.
func send(client *http.Client, front, id, body string) int {
	q, _ := http.NewRequest(http.MethodPost, "http://"+front+"/book/x", strings.NewReader(body))
	q.Host = "desk.example"
	q.Header.Set("X-Parsleylug-Request-Id", id)
	q.Header.Set("X-Parsleylug-Deadline-Ms", "1500")
	a, err := client.Do(q)
	if err != nil {
		return 0
	}
	defer a.Body.Close()
	_, _ = io.Copy(io.Discard, a.Body)
	return a.StatusCode
}

func play(dir string, record *kit.Record) (int, error) {
	store, err := kit.StartStore(kit.IP())
	if err != nil {
		return 0, err
	}
	f := &fleet{store: store, record: record, runs: map[string]time.Time{}}
	for range replicaCount {
		if err := f.start(); err != nil {
			return 0, err
		}
	}
	store.PutConfiguration(1, []kit.Route{{"name": "book", "host": "desk.example", "path_prefix": "/book/", "kind": "non_idempotent", "timeout_ms": 1500,
		"goal_ms": 150, "priority": 2, "service": "desk", "max_attempts": 1}}, []map[string]any{{"name": "desk", "health_path": "/health", "max_conns": 96}})
	var machines []*machine
	for i := range nodeCount {
		n, err := kit.NewNode(dir, fmt.Sprintf("front-z1-%d", i+1), store.Address, nil)
		if err != nil {
			return 0, err
		}
		m := &machine{Node: n}
		if err := m.start(); err != nil {
			return 0, err
		}
		defer m.Kill()
		machines = append(machines, m)
	}
	for _, m := range machines {
		if !m.AwaitReady(15 * time.Second) {
			return 0, errors.New("a node is not ready")
		}
	}
	time.Sleep(6 * time.Second)
	record.Line("all nodes are ready and in touch; traffic starts")

	stop := make(chan struct{})
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	// Bookings of others, each on a connection of its own, at the machines that are in touch.
	for k := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if m := machines[(k+i)%nodeCount]; m.inTouch() {
					status := send(client, m.Front, fmt.Sprintf("b%d-%d", k, i), fmt.Sprintf("booking %d of %d", i, k))
					mu.Lock()
					answers[status]++
					mu.Unlock()
				}
			}
		}()
	}
	// The poison comes again every two seconds, at the machines in turn.
	wait.Add(1)
	go func() {
		defer wait.Done()
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second):
			}
			if m := machines[i%nodeCount]; m.inTouch() {
				id := fmt.Sprintf("poison-%d", i)
				record.Line("the poison %s at %s, which is in touch: answer %d", id, m.Name, send(client, m.Front, id, poisonBody))
			}
		}
	}()
	time.Sleep(8 * time.Second)
	for _, m := range machines {
		if kit.Trouble() {
			if err := m.roll(record); err != nil {
				return 0, err
			}
		}
		time.Sleep(stableWindow + 6*time.Second)
	}
	close(stop)
	wait.Wait()

	f.mu.Lock()
	defer f.mu.Unlock()
	record.Line("%d replicas crashed; bookings of others by status: %v", len(f.crashes), answers)
	if len(f.crashes) < 3 {
		return kit.Held, nil
	}
	late := 0
	for id, at := range f.runs {
		if at.Sub(f.crashes[2]) > stableWindow {
			record.Line("retry %s reached a replica %.1f s after the third crash", id, at.Sub(f.crashes[2]).Seconds())
			late++
		}
	}
	if late > 3 {
		record.Line("BUDGET: a request that crashes replicas reached them in %d retries, sent by machines in touch later than %v after the third crash", late, stableWindow)
		return kit.Broken, nil
	}
	return kit.Held, nil
}

func main() { kit.Run(play) }
