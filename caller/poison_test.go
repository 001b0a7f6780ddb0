package caller

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/routing"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

const (
	restartTime = 2 * time.Second
	wakeTime    = 300 * time.Millisecond
	spreadDelay = 15 * time.Millisecond
)

// fleet is engines that crash on a poison; a model is loaded on copies of them,
// and woken on the next one where one crashes.
type fleet struct {
	mu      sync.Mutex
	engines []*fleetEngine
	loaded  []int
	next    int
	crashes int
	// poisoned are the crashes that the poison caused.
	poisoned int
	// after is how many tokens the poison gives before it crashes its engine.
	after int
	// slow is an engine at a tenth of its pace; 0 means none.
	slow int
}

// fleetEngine closes dead when it crashes, and silent when its connections go
// silent.
type fleetEngine struct {
	dead, silent chan struct{}
	up           time.Time
}

func newFleet(engines, copies, after int) *fleet {
	f := &fleet{next: copies, after: after}
	for i := range engines {
		f.engines = append(f.engines, &fleetEngine{dead: make(chan struct{}), silent: make(chan struct{})})
		if i < copies {
			f.loaded = append(f.loaded, i)
		}
	}
	return f
}

func (f *fleet) Place(ctx context.Context, n PlacementRequest) ([]routing.Replica, error) {
	for {
		f.mu.Lock()
		var found []routing.Replica
		for _, i := range f.loaded {
			if e := f.engines[i]; !time.Now().Before(e.up) {
				name := strconv.Itoa(i)
				found = append(found, routing.Replica{Server: domain.ServerID(name), Address: name, Region: "brisbane", Concurrency: 16})
			}
		}
		f.mu.Unlock()
		if len(found) > 0 {
			return found, nil
		}
		pause.For(ctx, wakeTime/10, nil)
		if ctx.Err() != nil {
			return nil, verdict.Refuse(verdict.NoCapacity, "no replica in time")
		}
	}
}

func (f *fleet) MarkUnloaded(domain.ServerID, domain.ModelName) {}

// crash ends every stream of an engine that is up, and wakes the model on the next
// one.
func (f *fleet) crash(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i]
	if time.Now().Before(e.up) {
		return false
	}
	f.crashes++
	close(e.dead)
	e.dead = make(chan struct{})
	e.up = time.Now().Add(restartTime)
	for j, k := range f.loaded {
		if k == i {
			f.loaded[j] = f.next % len(f.engines)
			f.engines[f.loaded[j]].up = time.Now().Add(wakeTime)
			f.next++
		}
	}
	return true
}

// fail crashes a loaded engine every 3 s, and silences another's connections every
// 5 s.
func (f *fleet) fail(until time.Time) {
	for second := 1; time.Now().Before(until); second++ {
		time.Sleep(time.Second)
		f.mu.Lock()
		victim := f.loaded[second%len(f.loaded)]
		if e := f.engines[victim]; second%5 == 0 {
			close(e.silent)
			e.silent = make(chan struct{})
		}
		f.mu.Unlock()
		if second%3 == 0 {
			f.crash(victim)
		}
	}
}

func (f *fleet) Chat(ctx context.Context, address string, r engine.ChatRequest) (engine.Stream, error) {
	i, _ := strconv.Atoi(address)
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i]
	if time.Now().Before(e.up) {
		return nil, verdict.Refuse(verdict.BackendFailed, "connection refused")
	}
	s := &fleetStream{fakeStream: fakeStream{ctx: ctx, e: &fakeEngine{}, parts: parts(r), pace: 50 * time.Millisecond}, dead: e.dead, silent: e.silent}
	if f.slow != 0 && i == f.slow {
		s.pace *= 10
	}
	if bytes.Contains(r.Body, []byte("POISON")) {
		time.AfterFunc(time.Duration(f.after)*s.pace+20*time.Millisecond, func() {
			if f.crash(i) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.poisoned++
			}
		})
		s.pace = 51 * time.Millisecond
	}
	return s, nil
}

// fleetStream breaks when its engine crashes, and stops when it goes silent.
type fleetStream struct {
	fakeStream
	dead, silent chan struct{}
}

func (s *fleetStream) Next() (engine.Token, error) {
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-s.dead:
			cancel()
		case <-stop:
		}
	}()
	select {
	case <-s.silent:
		s.pace = 24 * time.Hour
	default:
	}
	inner := s.fakeStream
	inner.ctx = ctx
	t, err := inner.Next()
	s.parts = inner.parts
	if err != nil && s.ctx.Err() == nil {
		return t, errReset
	}
	return t, err
}

// newNodes are APIs over one fleet that spread suspects to each other.
func newNodes(n int, f *fleet) []*bench {
	nodes := make([]*bench, n)
	for i := range nodes {
		b := newBench()
		b.api.Placer, b.api.ChatClient = f, f
		b.api.Node = domain.NodeID(fmt.Sprintf("node-%d", i))
		b.api.BroadcastSuspects = func(s []peer.Suspect) {
			for j, o := range nodes {
				if j != i {
					time.AfterFunc(spreadDelay, func() { o.api.ApplySuspects(s) })
				}
			}
		}
		nodes[i] = b
	}
	return nodes
}

// TestPoisonKillsAtMostThreeServers: one caller resends a poison every 200 ms at
// every one of 7 nodes for 30 s while 10 others a second ask for the same model.
// Another caller that is refused, because it ran beside the poison every time, is
// told so and gets its answer when it comes back a minute later.
func TestPoisonKillsAtMostThreeServers(t *testing.T) {
	for _, copies := range []int{1, 2} {
		for _, after := range []int{0, 2} {
			t.Run(fmt.Sprintf("copies %d, %d tokens first", copies, after), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { poison(t, copies, after) })
			})
		}
	}
}

func poison(t *testing.T, copies, after int) {
	f := newFleet(20, copies, after)
	nodes := newNodes(7, f)
	var all sync.WaitGroup
	var mu sync.Mutex
	whole, lost := 0, 0
	var refused []string
	ask := func(node int, content string) (answer string, retryAfter int) {
		w := nodes[node].post(t.Context(), strings.Replace(hello, "one two three four", content, 1))
		if w.Code != http.StatusOK {
			retryAfter, _ = strconv.Atoi(w.Header().Get("Retry-After"))
			return "", retryAfter
		}
		answer, last := streamed(t, w)
		if strings.Contains(last, `"Reason":"Quarantined"`) {
			return "", int(suspects.RefusalAfterSharedCrash.Seconds())
		}
		return answer, 0
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		for _, b := range nodes {
			all.Go(func() { b.post(t.Context(), strings.Replace(hello, "one", "POISON", 1)) })
		}
		for j := range 2 {
			all.Go(func() {
				content := fmt.Sprintf("innocent %d %d", i, j)
				got, retryAfter := ask((2*i+j)%len(nodes), content)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got == "answer to "+content:
					whole++
				case retryAfter > 0 && retryAfter <= int(suspects.RefusalAfterSharedCrash.Seconds()):
					refused = append(refused, content)
				default:
					t.Logf("%q: got %q, Retry-After %d", content, got, retryAfter)
					lost++
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	all.Wait()
	t.Logf("%d servers crashed; other answers: %d whole, %d refused for a while, %d lost", f.crashes, whole, len(refused), lost)
	if want := 3; f.crashes > want {
		t.Errorf("got %d servers crashed by one poison, want at most %d", f.crashes, want)
	}
	if lost != 0 {
		t.Errorf("got %d other requests neither answered whole nor refused for a while, want 0", lost)
	}
	time.Sleep(suspects.RefusalAfterSharedCrash)
	for i, content := range refused {
		if got, _ := ask(i%len(nodes), content); got != "answer to "+content {
			t.Errorf("got %q after the refusal, want the answer to %q", got, content)
		}
	}
}
