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
	loadTime    = 300 * time.Millisecond
	gossipDelay = 15 * time.Millisecond
)

// fleet is a set of fake engines that crash on a poison request. A model is loaded on
// some of them; if one crashes, it is loaded on the next engine.
type fleet struct {
	mu      sync.Mutex
	engines []*fleetEngine
	loaded  []int
	next    int
	crashes int
	// poisonCrashes counts the crashes that the poison caused.
	poisonCrashes int
	// poisonTokens is the number of tokens that the poison generates before it crashes
	// its engine.
	poisonTokens int
	// slowEngine is the index of an engine at a tenth of its pace; 0 means none.
	slowEngine int
}

// fleetEngine closes dead when it crashes, and stalled when its connections stop making
// progress.
type fleetEngine struct {
	dead, stalled chan struct{}
	upAt          time.Time
}

func newFleet(engines, copies, poisonTokens int) *fleet {
	f := &fleet{next: copies, poisonTokens: poisonTokens}
	for i := range engines {
		f.engines = append(f.engines, &fleetEngine{dead: make(chan struct{}), stalled: make(chan struct{})})
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
			if e := f.engines[i]; !time.Now().Before(e.upAt) {
				name := strconv.Itoa(i)
				found = append(found, routing.Replica{Server: domain.ServerID(name), Address: name, Region: "brisbane", Concurrency: 16})
			}
		}
		f.mu.Unlock()
		if len(found) > 0 {
			return found, nil
		}
		pause.For(ctx, loadTime/10, nil)
		if ctx.Err() != nil {
			return nil, verdict.Refuse(verdict.NoCapacity, "no replica in time")
		}
	}
}

func (f *fleet) MarkUnloaded(domain.ServerID, domain.ModelName) {}

// crash breaks all streams of a running engine and loads the model on the next one. It
// returns false if the engine is down already.
func (f *fleet) crash(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[i]
	if time.Now().Before(e.upAt) {
		return false
	}
	f.crashes++
	close(e.dead)
	e.dead = make(chan struct{})
	e.upAt = time.Now().Add(restartTime)
	for j, k := range f.loaded {
		if k == i {
			f.loaded[j] = f.next % len(f.engines)
			f.engines[f.loaded[j]].upAt = time.Now().Add(loadTime)
			f.next++
		}
	}
	return true
}

// injectFaults crashes a loaded engine every 3 s, and stalls the connections of one every
// 5 s.
func (f *fleet) injectFaults(until time.Time) {
	for second := 1; time.Now().Before(until); second++ {
		time.Sleep(time.Second)
		f.mu.Lock()
		victim := f.loaded[second%len(f.loaded)]
		if e := f.engines[victim]; second%5 == 0 {
			close(e.stalled)
			e.stalled = make(chan struct{})
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
	if time.Now().Before(e.upAt) {
		return nil, verdict.Refuse(verdict.BackendFailed, "connection refused")
	}
	s := &fleetStream{fakeStream: fakeStream{ctx: ctx, e: &fakeEngine{}, tokens: responseTokens(r), pace: 50 * time.Millisecond}, dead: e.dead, stalled: e.stalled}
	if f.slowEngine != 0 && i == f.slowEngine {
		s.pace *= 10
	}
	if bytes.Contains(r.Body, []byte("POISON")) {
		time.AfterFunc(time.Duration(f.poisonTokens)*s.pace+20*time.Millisecond, func() {
			if f.crash(i) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.poisonCrashes++
			}
		})
		s.pace = 51 * time.Millisecond
	}
	return s, nil
}

// fleetStream breaks when its engine crashes, and makes no progress once it stalls.
type fleetStream struct {
	fakeStream
	dead, stalled chan struct{}
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
	case <-s.stalled:
		s.pace = 24 * time.Hour
	default:
	}
	inner := s.fakeStream
	inner.ctx = ctx
	t, err := inner.Next()
	s.tokens = inner.tokens
	if err != nil && s.ctx.Err() == nil {
		return t, errReset
	}
	return t, err
}

// newNodes returns APIs that share one fleet and send reports on suspects to each other.
func newNodes(n int, f *fleet) []*fixture {
	nodes := make([]*fixture, n)
	for i := range nodes {
		b := newFixture()
		b.api.Placer, b.api.ChatClient = f, f
		b.api.Node = domain.NodeID(fmt.Sprintf("node-%d", i))
		b.api.BroadcastSuspects = func(s []peer.Suspect) {
			for j, o := range nodes {
				if j != i {
					time.AfterFunc(gossipDelay, func() { o.api.ApplySuspects(s) })
				}
			}
		}
		b.api.BroadcastTraits = func(r suspects.TraitReport) {
			for j, o := range nodes {
				if j != i {
					time.AfterFunc(gossipDelay, func() { o.api.ApplyTraits(r) })
				}
			}
		}
		nodes[i] = b
	}
	return nodes
}

// TestPoisonCrashesAtMostThreeServers sends a poison request to each of 7 nodes every 200
// ms for 30 s, as a caller that retries it, beside 10 other requests a second for the
// same model. It guards against a fleet that crashes server by server. Another request
// that ran beside the poison in every crash may be refused; its caller must get a
// Retry-After of at most a minute and the response after it.
func TestPoisonCrashesAtMostThreeServers(t *testing.T) {
	for _, copies := range []int{1, 2} {
		for _, poisonTokens := range []int{0, 2} {
			t.Run(fmt.Sprintf("copies %d, %d tokens first", copies, poisonTokens), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runPoison(t, copies, poisonTokens) })
			})
		}
	}
}

func runPoison(t *testing.T, copies, poisonTokens int) {
	f := newFleet(20, copies, poisonTokens)
	nodes := newNodes(7, f)
	var requests sync.WaitGroup
	var mu sync.Mutex
	completed, failed := 0, 0
	var refused []string
	send := func(node int, content string) (text string, retryAfter int) {
		w := nodes[node].post(t.Context(), strings.Replace(helloBody, "one two three four", content, 1))
		if w.Code != http.StatusOK {
			retryAfter, _ = strconv.Atoi(w.Header().Get("Retry-After"))
			return "", retryAfter
		}
		text, last := parseStream(t, w)
		if strings.Contains(last, `"Reason":"Quarantined"`) {
			return "", int(suspects.RefusalAfterSharedCrash.Seconds())
		}
		return text, 0
	}
	begin := time.Now()
	for i := 0; time.Since(begin) < 30*time.Second; i++ {
		for _, b := range nodes {
			requests.Go(func() { b.post(t.Context(), strings.Replace(helloBody, "one", "POISON", 1)) })
		}
		for j := range 2 {
			requests.Go(func() {
				content := fmt.Sprintf("innocent %d %d", i, j)
				got, retryAfter := send((2*i+j)%len(nodes), content)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case got == "answer to "+content:
					completed++
				case retryAfter > 0 && retryAfter <= int(suspects.RefusalAfterSharedCrash.Seconds()):
					refused = append(refused, content)
				default:
					t.Logf("%q: got %q, Retry-After %d", content, got, retryAfter)
					failed++
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	requests.Wait()
	t.Logf("%d servers crashed; other requests: %d completed, %d refused temporarily, %d lost", f.crashes, completed, len(refused), failed)
	if want := 3; f.crashes > want {
		t.Errorf("got %d servers crashed by one poison, want at most %d", f.crashes, want)
	}
	if failed != 0 {
		t.Errorf("got %d other requests neither completed nor refused temporarily, want 0", failed)
	}
	time.Sleep(suspects.RefusalAfterSharedCrash)
	for i, content := range refused {
		if got, _ := send(i%len(nodes), content); got != "answer to "+content {
			t.Errorf("got %q after the refusal, want the response to %q", got, content)
		}
	}
}
