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

// balancer sends callers to nodes that say that they are ready, in turn.
type balancer struct {
	mu    sync.Mutex
	ready []*process
	next  int
	stop  chan struct{}
	wait  sync.WaitGroup
}

// balancerInterval is how often the balancer asks each node.
const balancerInterval = 50 * time.Millisecond

func (s *system) balance() *balancer {
	b := &balancer{stop: make(chan struct{}), ready: append([]*process(nil), s.nodes...)}
	b.wait.Add(1)
	go func() {
		defer b.wait.Done()
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
	r, err := http.Get("http://" + p.caller + "/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

func (b *balancer) pick() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return nil
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

func (b *balancer) end() {
	close(b.stop)
	b.wait.Wait()
}

// probe is a model that nobody calls; its RequestsPerSecond counts the changes.
const probe = "upgrade-probe"

// writeProbe sets the probe in a schema version at a node.
func (s *system) writeProbe(p *process, version, value int) error {
	memory := `"MemoryBytes":1073741824`
	if version == 1 {
		memory = `"MemoryGiB":1,"Region":"brisbane"`
	}
	body := fmt.Sprintf(`{"SchemaVersion":%d,"Model":{"Name":%q,"Version":"v1",%s,"Copies":1,"RequestsPerSecond":%d}}`, version, probe, memory, value)
	r, err := http.NewRequest(http.MethodPut, "http://"+p.admin+"/admin/v1/models/"+probe, strings.NewReader(body))
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

// readProbe returns the probe's value at a node.
func (s *system) readProbe(p *process) (int64, bool) {
	r, err := http.Get("http://" + p.admin + "/admin/v1/models/" + probe)
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
// load, while records in schema versions 1 and 2 come in turn. No request may fail
// and no ready node may show an older configuration than was accepted some seconds
// before.
func TestRollingRestartWithTwoSchemaVersions(t *testing.T) {
	s := start(t, 7, "--engines", "8", "--load-time", "200ms")
	models := s.models(6)
	b := s.balance()
	var accepted atomic.Int64
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() { s.changeProbe(b, stop, &accepted) })
	for _, p := range s.nodes {
		wait.Go(func() { s.watchProbe(p, stop, &accepted) })
	}
	var answers served
	for i := range 24 {
		wait.Go(func() { s.call(b, stop, i, models, &answers) })
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
		if p.err != nil {
			t.Errorf("node %d: got exit %v, want 0; log:\n%s", i, p.err, p.log)
		}
		s.run(p)
		s.awaitReady(p)
	}
	close(stop)
	wait.Wait()
	b.end()
	t.Logf("%d whole answers, the slowest %s in %v; %d changes accepted", answers.whole, answers.slowestID, answers.slowest, accepted.Load())
	if answers.whole == 0 || accepted.Load() < 2 {
		t.Errorf("got %d whole answers and %d changes, want some of both", answers.whole, accepted.Load())
	}
	s.checkLimits()
}

// changeProbe writes rising values until stop is closed.
func (s *system) changeProbe(b *balancer, stop chan struct{}, accepted *atomic.Int64) {
	for value := 1; ; value++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		p := b.pick()
		if p == nil {
			s.t.Error("no node is ready")
			continue
		}
		if err := s.writeProbe(p, 1+value%2, value); err != nil {
			s.t.Logf("change %d at %s: %v", value, p.admin, err)
			continue
		}
		accepted.Store(int64(value))
	}
}

// watchProbe checks that a node never shows an older value than it showed before,
// nor, while it is ready, one older than was accepted long enough ago.
func (s *system) watchProbe(p *process, stop chan struct{}, accepted *atomic.Int64) {
	type mark struct {
		value int64
		at    time.Time
	}
	var marks []mark
	newest, due := int64(0), int64(0)
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		marks = append(marks, mark{accepted.Load(), time.Now()})
		for len(marks) > 0 && time.Since(marks[0].at) > within {
			due = marks[0].value
			marks = marks[1:]
		}
		ready := isReady(p)
		value, ok := s.readProbe(p)
		if !ready || !ok {
			continue
		}
		if value < newest || value < due {
			s.t.Errorf("node %s shows %d; it showed %d before, and %d was accepted %v ago", p.admin, value, newest, due, within)
		}
		newest = max(newest, value)
	}
}

// call asks through the balancer until stop is closed; every answer must be whole.
func (s *system) call(b *balancer, stop chan struct{}, i int, models []string, answers *served) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		p := b.pick()
		if p == nil {
			continue
		}
		id := fmt.Sprintf("upgrade-%d-%d", i, n)
		a := ask(p.caller, id, models[(i+n)%len(models)], "question "+id+" end", n%2 == 0, 20*time.Second)
		if !a.whole || !strings.Contains(a.text, "question "+id+" end") {
			s.t.Errorf("request %s at %s: got %+v, want its own whole answer", id, p.caller, a)
			continue
		}
		answers.add(id, a.took)
	}
}

// served counts whole answers.
type served struct {
	mu        sync.Mutex
	whole     int
	slowest   time.Duration
	slowestID string
}

func (s *served) add(id string, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.whole++
	if took > s.slowest {
		s.slowest, s.slowestID = took, id
	}
}
