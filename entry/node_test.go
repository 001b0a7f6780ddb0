package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/placement"
)

// fakePlatform is a store and one engine. Its fields are guarded by mu.
type fakePlatform struct {
	mu sync.Mutex
	// down makes every call of the store fail, silent lets it hang.
	down, silent bool
	version      fleet.Version
	shards       []lease.Shard
	generation   lease.Generation
	fenced       bool
	orders       []placement.Order
	fences       []domain.Fence
	held         fleet.EngineState
	left         bool
	// serverReads and configurationReads count calls that reached the store.
	serverReads, configurationReads int
	// draining and drained are the state of the engine's registration and the offset
	// at which it changed.
	draining bool
	// gone drops the registration instead.
	gone    bool
	drained domain.Offset
	// lostWaits loses the answers to calls that wait for a configuration meanwhile.
	lostWaits bool
}

var errDown = errors.New("the store is down")

// reach returns an error where the store cannot be reached.
func (p *fakePlatform) reach(ctx context.Context) error {
	p.mu.Lock()
	down, silent := p.down, p.silent
	p.mu.Unlock()
	if silent {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(3700 * time.Millisecond):
			return errDown
		}
	}
	if down {
		return errDown
	}
	return nil
}

func (p *fakePlatform) Configuration(ctx context.Context, after domain.Offset, wait time.Duration) (*fleet.Configuration, domain.Offset, error) {
	if err := p.reach(ctx); err != nil {
		return nil, after, err
	}
	p.set(func() { p.configurationReads++ })
	lost := false
	for end := time.Now().Add(wait); ; {
		p.mu.Lock()
		version := p.version
		lost = lost || p.lostWaits
		p.mu.Unlock()
		if domain.Offset(version) > after && !lost {
			return testConfiguration(version), domain.Offset(version), nil
		}
		if !time.Now().Before(end) || !pause.For(ctx, 50*time.Millisecond, nil) {
			return nil, after, ctx.Err()
		}
	}
}

func testConfiguration(v fleet.Version) *fleet.Configuration {
	e := &fleet.Engine{Slots: 8, Memory: 100, AdapterSlots: 2, Models: map[domain.ModelName]fleet.Model{
		"m": {Name: "m", Memory: 10, StoreLoadTime: 2 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: time.Second},
	}}
	return &fleet.Configuration{Version: v, Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}
}

func (p *fakePlatform) Servers(ctx context.Context, after domain.Offset) ([]fleet.Change, bool, domain.Offset, error) {
	if err := p.reach(ctx); err != nil {
		return nil, false, after, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serverReads++
	if p.gone && after > 0 && after < p.drained {
		return []fleet.Change{{ID: "i", Offset: p.drained}}, false, p.drained + 1, nil
	}
	if p.draining && after > 0 && after < p.drained {
		s := &fleet.Server{ID: "i", Service: "s", Slots: 8, State: fleet.Draining, EngineState: fleet.EngineState{StartedAtMs: 1}}
		return []fleet.Change{{ID: "i", Offset: p.drained, Server: s}}, false, p.drained + 1, nil
	}
	if after > 0 {
		return nil, false, after, nil
	}
	s := &fleet.Server{ID: "i", Service: "s", Slots: 8, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1, OnDisk: []domain.ModelName{"m"}}}
	return []fleet.Change{{ID: "i", Offset: 1, Server: s}}, true, 2, nil
}

func (p *fakePlatform) Join(ctx context.Context, _ lease.Generation, _ time.Duration) (lease.Grant, error) {
	if err := p.reach(ctx); err != nil {
		return lease.Grant{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return lease.Grant{Generation: p.generation, Shards: p.shards}, nil
}

func (p *fakePlatform) Leave(context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left = true
	return nil
}

func (p *fakePlatform) Owners(context.Context) (map[lease.Shard]domain.NodeID, error) {
	return nil, errDown
}

func (p *fakePlatform) QueryHoldings(context.Context, fleet.Server) (fleet.EngineState, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held, nil
}

func (p *fakePlatform) Order(_ context.Context, o placement.Order, f domain.Fence) (placement.Outcome, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fenced {
		return placement.Fenced, errors.New("a newer fence was seen")
	}
	p.orders = append(p.orders, o)
	p.fences = append(p.fences, f)
	p.held.Sequence++
	p.held.Models = append([]fleet.LoadedModel{}, fleet.LoadedModel{Model: o.Model})
	return placement.Accepted, nil
}

func (p *fakePlatform) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fakePlatform) ordered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.orders)
}

// clock counts all time since its start.
type clock struct {
	start     time.Time
	suspended time.Duration
}

func (c *clock) Now() time.Duration { return time.Since(c.start) + c.suspended }

// run starts a node on p and calls f; the node stops when f returns.
func run(t *testing.T, fenced bool, f func(n *Node, p *fakePlatform, c *clock)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1, generation: 4, shards: []lease.Shard{0}, held: fleet.EngineState{StartedAtMs: 1, OnDisk: []domain.ModelName{"m"}}}
		c := &clock{start: time.Now()}
		n := New(Options{
			Name: "n", Feed: p, Group: p, Engines: p, Uptime: c, Logger: zerolog.Nop(),
			RegistrationsInterval: 800 * time.Millisecond, TimeToLive: 2500 * time.Millisecond, SettleTime: 500 * time.Millisecond, FencesChecked: fenced,
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- n.Run(ctx) }()
		f(n, p, c)
		cancel()
		<-done
		synctest.Wait()
		if !p.left {
			t.Error("the node did not leave the group")
		}
	})
}

// wantModel has a request wait for model m.
func wantModel(n *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.planner.RecordDemand(time.Now(), "other", []placement.Demand{{ModelKey: placement.ModelKey{Service: "s", Model: "m"}, Waiting: 1, Arrived: 1}})
}

// expectOrders has a request wait for model m and checks how many orders there are
// two seconds later.
func expectOrders(t *testing.T, n *Node, p *fakePlatform, want int, what string) {
	t.Helper()
	wantModel(n)
	time.Sleep(2 * time.Second)
	if got := p.ordered(); got != want {
		t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

func TestOwnerLoadsWhatIsWanted(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		if !n.Ready() {
			t.Error("not ready")
		}
		wantModel(n)
		time.Sleep(2 * time.Second)
		if got, want := p.ordered(), 1; got != want || p.fences[0] != 4 {
			t.Errorf("orders: got %d under %v, want %d under fence 4", got, p.fences, want)
		}
		if _, ok := n.Views.Get().Servers["s"][0].EngineState.Find("m"); !ok {
			t.Error("the view does not show the model")
		}
	})
}

func TestNodeWithoutTheShardGivesNoOrder(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(2 * time.Second)
		expectOrders(t, n, p, 0, "orders")
	})
}

func TestOwnerStopsInTimeWhereFencesAreIgnored(t *testing.T) {
	run(t, false, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.down = true })
		time.Sleep(2500 * time.Millisecond)
		expectOrders(t, n, p, 0, "orders after the lease")
	})
}

func TestOwnerGoesOnBehindFencesWhileTheStoreIsAway(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.down = true })
		time.Sleep(8 * time.Second)
		expectOrders(t, n, p, 1, "orders")
	})
}

func TestSuspendedOwnerGivesNoOrderBeforeItIsGrantedAgain(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, c *clock) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.down = true })
		n.mu.Lock()
		c.suspended = 6 * time.Second
		n.mu.Unlock()
		expectOrders(t, n, p, 0, "orders")
	})
}

func TestFencedOwnerStops(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.fenced, p.shards = true, nil })
		wantModel(n)
		time.Sleep(2 * time.Second)
		if n.accepts() {
			t.Error("still takes links as the owner")
		}
	})
}

// A call that waits for a configuration is lost in a store that falls silent; the
// configuration written meanwhile must be in force soon after the store's return.
func TestConfigurationIsFoundAfterSilence(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		p.set(func() { p.silent = true })
		time.Sleep(8 * time.Second)
		p.set(func() { p.silent, p.version = false, 2 })
		time.Sleep(4 * time.Second)
		if got, want := n.Views.Get().Config.Version, fleet.Version(2); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		time.Sleep(time.Second)
		n.configure(testConfiguration(7), 7)
		n.configure(testConfiguration(3), 8)
		if got, want := n.Views.Get().Config.Version, fleet.Version(7); got != want {
			t.Errorf("version: got %d, want %d", got, want)
		}
	})
}

func TestOwnersWordGoesBeforeRegistration(t *testing.T) {
	run(t, true, func(n *Node, p *fakePlatform, _ *clock) {
		p.set(func() { p.shards = nil })
		time.Sleep(3 * time.Second)
		n.updated(hub.Update{Servers: []hub.Server{{ID: "i", Holdings: fleet.EngineState{StartedAtMs: 1, Models: []fleet.LoadedModel{{Model: "m"}}}}}})
		if _, ok := n.Views.Get().Servers["s"][0].EngineState.Find("m"); !ok {
			t.Error("the view does not show what the owner says")
		}
		n.updated(hub.Update{Servers: []hub.Server{{ID: "i", Holdings: fleet.EngineState{StartedAtMs: 0, Models: []fleet.LoadedModel{{Model: "m"}}}}}})
		if _, ok := n.Views.Get().Servers["s"][0].EngineState.Find("m"); ok {
			t.Error("the view shows what the server held before its restart")
		}
	})
}

// After a change of owner the links come back one by one: a count of the first few
// would hand each node too large a share of the retry budget.
func TestNodesAreCountedOnceTheyHaveLinked(t *testing.T) {
	run(t, true, func(n *Node, _ *fakePlatform, _ *clock) {
		time.Sleep(2 * time.Second)
		if got, want := n.NodeCount(), 0; got != want {
			t.Errorf("nodes while they link: got %d, want %d for unknown", got, want)
		}
		time.Sleep(4 * time.Second)
		if got, want := n.NodeCount(), 1; got != want {
			t.Errorf("nodes: got %d, want %d", got, want)
		}
		n.updated(hub.Update{Nodes: 5})
		if got, want := n.NodeCount(), 1; got != want {
			t.Errorf("an owner took another's count: got %d, want %d", got, want)
		}
	})
}
