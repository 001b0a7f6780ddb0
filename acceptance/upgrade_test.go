package acceptance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// balancer is a round-robin load balancer over the nodes whose readiness check succeeds.
type balancer struct {
	mu     sync.Mutex
	ready  []*process
	next   int
	stop   chan struct{}
	poller sync.WaitGroup
}

// balancerInterval is the interval between readiness checks.
const balancerInterval = 50 * time.Millisecond

func (s *system) startBalancer() *balancer {
	b := &balancer{stop: make(chan struct{}), ready: append([]*process(nil), s.nodes...)}
	b.poller.Add(1)
	go func() {
		defer b.poller.Done()
		for {
			select {
			case <-b.stop:
				return
			case <-time.After(balancerInterval):
			}
			var ready []*process
			for _, p := range s.nodes {
				if isReady(p) {
					ready = append(ready, p)
				}
			}
			b.mu.Lock()
			b.ready = ready
			b.mu.Unlock()
		}
	}()
	return b
}

func isReady(p *process) bool {
	r, err := http.Get("http://" + p.callerAddress + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// nextReady returns the next ready node, or nil.
func (b *balancer) nextReady() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) stopAndWait() {
	close(b.stop)
	b.poller.Wait()
}

// probeModel is a model without callers. Each change of the test writes its number to the
// model's RequestsPerSecond.
const probeModel = "upgrade-probe"

// writeProbe writes a value to the probe model through a node, in a schema version.
func (s *system) writeProbe(p *process, version, value int) error {
	memory := `"MemoryBytes":1073741824`
	if version == 1 {
		memory = `"MemoryGiB":1,"Region":"brisbane"`
	}
	body := fmt.Sprintf(`{"SchemaVersion":%d,"Model":{"Name":%q,"Version":"v1",%s,"Copies":1,"RequestsPerSecond":%d}}`, version, probeModel, memory, value)
	r, err := http.NewRequest(http.MethodPut, "http://"+p.adminAddress+"/admin/v1/models/"+probeModel, strings.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

// readProbe returns the probe model's value in the view of a node.
func (s *system) readProbe(p *process) (int64, bool) {
	r, err := http.Get("http://" + p.adminAddress + "/admin/v1/models/" + probeModel)
	if err != nil {
		return 0, false
	}
	defer func() { _ = r.Body.Close() }()
	var o struct {
		Record struct {
			Model struct{ RequestsPerSecond int64 }
		}
	}
	if r.StatusCode != http.StatusOK || json.NewDecoder(r.Body).Decode(&o) != nil {
		return 0, false
	}
	return o.Record.Model.RequestsPerSecond, true
}

// TestRollingRestartWithTwoSchemaVersions restarts 7 nodes one after the other under
// load, while configuration changes alternate between schema versions 1 and 2. No request
// may fail, and a ready node must have applied every change that was accepted more than
// propagationLimit ago.
func TestRollingRestartWithTwoSchemaVersions(t *testing.T) {
	s := start(t, 7, "--engines", "8", "--load-time", "200ms")
	models := s.models(6)
	b := s.startBalancer()
	var accepted atomic.Int64
	stop := make(chan struct{})
	var workers sync.WaitGroup
	workers.Go(func() { s.updateProbe(b, stop, &accepted) })
	for _, p := range s.nodes {
		workers.Go(func() { s.watchProbe(p, stop, &accepted) })
	}
	var stats responseStats
	for i := range 24 {
		workers.Go(func() { s.sendRequests(b, stop, i, models, &stats) })
	}
	for i, p := range s.nodes {
		if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		select {
		case <-p.exited:
		case <-time.After(30 * time.Second):
			t.Fatalf("node %d did not exit", i)
		}
		if p.exitError != nil {
			t.Errorf("node %d: got exit %v, want 0; log:\n%s", i, p.exitError, p.log)
		}
		s.startProcess(p)
		s.awaitReady(p)
	}
	close(stop)
	workers.Wait()
	b.stopAndWait()
	t.Logf("%d complete responses, the slowest %s in %v; %d changes accepted", stats.completed, stats.slowestID, stats.slowest, accepted.Load())
	if stats.completed == 0 || accepted.Load() < 2 {
		t.Errorf("got %d complete responses and %d changes, want some of both", stats.completed, accepted.Load())
	}
	s.checkLimits()
}

// updateProbe writes increasing values to the probe model until stop is closed.
func (s *system) updateProbe(b *balancer, stop chan struct{}, accepted *atomic.Int64) {
	for value := 1; ; value++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		p := b.nextReady()
		if p == nil {
			s.t.Error("no node is ready")
			continue
		}
		if err := s.writeProbe(p, 1+value%2, value); err != nil {
			s.t.Logf("change %d at %s: %v", value, p.adminAddress, err)
			continue
		}
		accepted.Store(int64(value))
	}
}

// watchProbe checks, while a node is ready, that its value of the probe model is never
// older than one it returned before or one accepted more than propagationLimit ago.
func (s *system) watchProbe(p *process, stop chan struct{}, accepted *atomic.Int64) {
	type acceptance struct {
		value int64
		at    time.Time
	}
	var acceptances []acceptance
	newestShown, required := int64(0), int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		acceptances = append(acceptances, acceptance{accepted.Load(), time.Now()})
		for len(acceptances) > 0 && time.Since(acceptances[0].at) > propagationLimit {
			required = acceptances[0].value
			acceptances = acceptances[1:]
		}
		ready := isReady(p)
		value, ok := s.readProbe(p)
		if !ready || !ok {
			continue
		}
		if value < newestShown || value < required {
			s.t.Errorf("node %s: got value %d, after %d before; %d was accepted %v ago", p.adminAddress, value, newestShown, required, propagationLimit)
		}
		newestShown = max(newestShown, value)
	}
}

// sendRequests sends requests through the balancer until stop is closed. Every response
// must be complete.
func (s *system) sendRequests(b *balancer, stop chan struct{}, i int, models []string, stats *responseStats) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		p := b.nextReady()
		if p == nil {
			continue
		}
		id := fmt.Sprintf("upgrade-%d-%d", i, n)
		a := sendChat(p.callerAddress, id, models[(i+n)%len(models)], "question "+id+" end", n%2 == 0, 20*time.Second)
		if !a.complete || !strings.Contains(a.text, "question "+id+" end") {
			s.t.Errorf("request %s at %s: got %+v, want its own complete response", id, p.callerAddress, a)
			continue
		}
		stats.add(id, a.latency)
	}
}

// responseStats counts complete responses and records the slowest.
type responseStats struct {
	mu        sync.Mutex
	completed int
	slowest   time.Duration
	slowestID string
}

func (s *responseStats) add(id string, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completed++
	if latency > s.slowest {
		s.slowest, s.slowestID = latency, id
	}
}
