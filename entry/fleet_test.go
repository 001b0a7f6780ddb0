package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/dispatch"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/standin"
	"github.com/parsleylug/parsleylug/transfer"
)

const (
	// largeLink and smallLink are the rates of the links of large and small VMs in bytes a second.
	largeLink = 25_000_000
	smallLink = 2_500_000
	// testTimeToLive is the time-to-live of the members of the group.
	testTimeToLive = 2490 * time.Millisecond
	// testShards is the number of shards that the store divides among the members.
	testShards = 8
	// callTimeout bounds a call to the store or to a server.
	callTimeout = 1500 * time.Millisecond
	// callBytes is the size of a short call, and of its response.
	callBytes = 400
	// testLoadTime is how long a server loads a model from its disk.
	testLoadTime = 740 * time.Millisecond
	// testModels is the number of models of the test configuration.
	testModels = 786
	// checkpointReplicas is the number of servers that have each model on their disk.
	checkpointReplicas = 4
)

// testMember is a member of the group.
type testMember struct {
	name   domain.NodeID
	seenAt time.Time
}

// testFleet is a store, its model engines and the nodes before them, in virtual time. All calls of a
// node take the link of its VM.
type testFleet struct {
	standin.Network
	store *standin.Host

	mu         sync.Mutex
	random     *rand.Rand
	generation lease.Generation
	members    []testMember
	owners     [testShards]domain.NodeID
	// revokedFrom holds the members that have not acknowledged the loss of a shard yet.
	revokedFrom [testShards]domain.NodeID
	engines     map[domain.ServerID]*fleet.Server
	nodes       []*testNode
	// calls counts the calls to the store, joins the renewals of memberships among them.
	calls, joins int
	// configurationReads counts the reads of the configuration.
	configurationReads int
	// registrationOffset is the end of the registrations; changes are those after the first listing.
	registrationOffset domain.Offset
	changes            []fleet.Change
	// ctx ends with the test.
	ctx context.Context
}

// testNode is a node of a testFleet, with its view of the platform.
type testNode struct {
	*Node
	fleet *testFleet
	host  *standin.Host
	log   *eventCounter
	stop  context.CancelFunc
	loads tableLoads
	// contents holds what the node knows of contents that crash servers.
	contents contentStore
	// isCut makes the store silent for this node.
	isCut atomic.Bool
}

// eventCounter counts the events in the log of a node.
type eventCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *eventCounter) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, rest, _ := strings.Cut(string(line), `"Event":"`)
	event, _, _ := strings.Cut(rest, `"`)
	c.counts[event]++
	return len(line), nil
}

func (c *eventCounter) count(event string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[event]
}

// newTestFleet returns a fleet with model engines and without nodes.
func newTestFleet(engines int) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(3, 4)), engines: map[domain.ServerID]*fleet.Server{}, registrationOffset: domain.Offset(engines + 1)}
	f.Delay = 12 * time.Millisecond
	f.store = f.Host("10.200.1.1:1", 500_000_000)
	for i := range engines {
		var onDisk []domain.ModelName
		for m := range testModels * checkpointReplicas / engines {
			onDisk = append(onDisk, modelName((i*testModels/engines+m)%testModels))
		}
		id := domain.ServerID(fmt.Sprintf("i-%08x", i))
		f.engines[id] = &fleet.Server{ID: id, Service: "s", Address: "10.9.0.1:80", Zone: "z", Slots: 12, State: fleet.Ready, EngineState: fleet.EngineState{StartedAtMs: 1, OnDisk: onDisk}}
	}
	return f
}

func modelName(m int) domain.ModelName { return domain.ModelName(fmt.Sprintf("model%03d", m)) }

// start starts nodes, of which the first are large.
func (f *testFleet) start(large, small int) {
	for i := range large + small {
		rate, suffix := largeLink, ""
		if i >= large {
			rate, suffix = smallLink, "/standby"
		}
		f.startNode(i, rate, suffix)
	}
}

func (f *testFleet) startNode(i, bytesPerSecond int, suffix string) {
	address := fmt.Sprintf("10.%d.%d.1:1", i/250, i%250)
	n := &testNode{fleet: f, host: f.Host(address, bytesPerSecond), log: &eventCounter{counts: map[string]int{}}}
	n.Node = New(Options{
		Name: domain.NodeID(address + "/1" + suffix), Feed: n, Group: n, Engines: n, Uptime: &clock{start: time.Now()}, Logger: zerolog.New(n.log),
		Dialer: n.host, HubAddress: func(id domain.NodeID) string { a, _, _ := strings.Cut(string(id), "/"); return a },
		Standby: suffix != "", IsStandby: func(id domain.NodeID) bool { return strings.HasSuffix(string(id), "/standby") },
		UpdateBytesPerSecond:  bytesPerSecond * 2 / 5,
		RegistrationsInterval: 1333 * time.Millisecond, DrainBound: 4 * time.Second, TimeToLive: testTimeToLive,
		ConfigurationBound: 4 * time.Second, RevokeBound: 5 * time.Second,
		FirstOrderDelay: 600 * time.Millisecond, ServersCheckFences: true, HandOverDelay: 6 * time.Second, LoadWindow: 5 * time.Second,
	})
	n.Loads = &n.loads
	n.Contents, n.OnCrashReports = &n.contents, n.contents.apply
	serveHub(n.host, n.Node)
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
}

// serveHub serves a node's hub on a host.
func serveHub(h *standin.Host, n *Node) {
	server := &http.Server{Handler: &n.Hub}
	go func() { _ = server.Serve(h) }()
}

// call makes a call of a node to the store and counts it.
func (n *testNode) call(ctx context.Context, responseBytes int, f func()) error {
	if n.isCut.Load() {
		pause.For(ctx, callTimeout, nil)
		return errStore
	}
	return n.exchange(ctx, responseBytes, func() {
		n.fleet.calls++
		f()
	})
}

// exchange makes a call of a node to a host with a fast link, on which f runs under the lock of the
// fleet.
func (n *testNode) exchange(ctx context.Context, responseBytes int, f func()) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.host.Transfer(ctx, n.fleet.store, callBytes); err != nil {
		return err
	}
	n.fleet.mu.Lock()
	f()
	n.fleet.mu.Unlock()
	return n.fleet.store.Transfer(ctx, n.host, responseBytes)
}

func (n *testNode) Configuration(ctx context.Context, after domain.Offset, wait time.Duration, _ *transfer.Progress) (*fleet.Configuration, domain.Offset, error) {
	n.fleet.mu.Lock()
	n.fleet.configurationReads++
	n.fleet.mu.Unlock()
	if after > 0 {
		<-time.After(wait)
		return nil, after, n.call(ctx, callBytes, func() {})
	}
	models := map[domain.ModelName]fleet.Model{}
	for m := range testModels {
		models[modelName(m)] = fleet.Model{Name: modelName(m), Memory: 60, StoreLoadTime: 10 * time.Second, DiskLoadTime: testLoadTime, MemoryLoadTime: testLoadTime}
	}
	e := &fleet.Engine{Slots: 12, Memory: 200, AdapterSlots: 8, Models: models}
	return &fleet.Configuration{Version: 1, Services: map[domain.ServiceName]fleet.Service{"s": {Name: "s", Engine: e}}}, 1, n.call(ctx, 100_000, func() {})
}

func (n *testNode) NewestConfiguration(ctx context.Context, _ domain.Offset, p *transfer.Progress) (*fleet.Configuration, domain.Offset, error) {
	return n.Configuration(ctx, 0, 0, p)
}

func (n *testNode) Servers(ctx context.Context, after domain.Offset) (changes []fleet.Change, complete bool, next domain.Offset, err error) {
	f := n.fleet
	bytes := callBytes
	if after == 0 {
		bytes = 1000 * len(f.engines)
	}
	err = n.call(ctx, bytes, func() {
		if complete = after == 0; complete {
			for i, id := range slices.Sorted(mapsKeys(f.engines)) {
				s := *f.engines[id]
				changes = append(changes, fleet.Change{ID: id, Offset: domain.Offset(i + 1), Server: &s})
			}
		}
		for _, c := range f.changes {
			if c.Offset >= after {
				changes = append(changes, c)
			}
		}
		next = f.registrationOffset
	})
	return changes, complete, next, err
}

// mapsKeys returns the keys of the engines.
func mapsKeys(m map[domain.ServerID]*fleet.Server) func(func(domain.ServerID) bool) {
	return func(yield func(domain.ServerID) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Join divides the shards evenly and moves as few as it can.
func (n *testNode) Join(ctx context.Context, generation lease.Generation, ttl time.Duration) (grant lease.Grant, err error) {
	f := n.fleet
	err = n.call(ctx, callBytes, func() {
		f.joins++
		now := time.Now()
		f.members = slices.DeleteFunc(f.members, func(m testMember) bool { return now.Sub(m.seenAt) > ttl })
		i := slices.IndexFunc(f.members, func(m testMember) bool { return m.name == n.Name })
		if i < 0 {
			// The store prefers none of the members.
			i = f.random.IntN(len(f.members) + 1)
			f.members = slices.Insert(f.members, i, testMember{name: n.Name})
		}
		f.members[i].seenAt = now
		for s, member := range f.revokedFrom {
			if member == n.Name && generation >= f.generation {
				f.revokedFrom[s] = ""
			}
		}
		f.assignShards()
		grant.Generation = f.generation
		for s, owner := range f.owners {
			if owner == n.Name {
				grant.Shards = append(grant.Shards, lease.Shard(s))
			}
		}
	})
	return grant, err
}

// assignShards gives the shards of lost members to those with the fewest, and takes shards from
// members with too many. It gives a shard that a member has lost to another one only after that
// member has acknowledged the loss. The caller holds mu.
func (f *testFleet) assignShards() {
	counts := map[domain.NodeID]int{}
	for _, m := range f.members {
		counts[m.name] = 0
	}
	most := (testShards + len(f.members) - 1) / len(f.members)
	changed := false
	for s, owner := range f.owners {
		count, isMember := counts[owner]
		if !isMember || count >= most {
			if isMember {
				f.revokedFrom[s] = owner
			}
			f.owners[s], changed = "", changed || owner != ""
			continue
		}
		counts[owner]++
	}
	for s := range f.owners {
		for _, m := range f.members {
			if _, isMember := counts[f.revokedFrom[s]]; isMember {
				break
			}
			if f.owners[s] == "" && counts[m.name] < most {
				f.owners[s] = m.name
				counts[m.name]++
			}
		}
	}
	if changed {
		f.generation++
	}
}

// reassign takes the owner's shard, as the store does at times without a request.
func (f *testFleet) reassign() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revokedFrom[ownedShard], f.owners[ownedShard] = f.owners[ownedShard], ""
	f.generation++
}

func (n *testNode) Leave(ctx context.Context) error {
	f := n.fleet
	return n.call(ctx, callBytes, func() {
		f.members = slices.DeleteFunc(f.members, func(m testMember) bool { return m.name == n.Name })
		if len(f.members) > 0 {
			f.assignShards()
		}
	})
}

func (n *testNode) Owners(ctx context.Context) (map[lease.Shard]domain.NodeID, error) {
	owners := map[lease.Shard]domain.NodeID{}
	err := n.call(ctx, callBytes, func() {
		for s, owner := range n.fleet.owners {
			if owner != "" {
				owners[lease.Shard(s)] = owner
			}
		}
	})
	return owners, err
}

func (n *testNode) QueryEngineState(ctx context.Context, s fleet.Server) (state fleet.EngineState, err error) {
	err = n.exchange(ctx, callBytes, func() { state = n.fleet.engines[s.ID].EngineState })
	return state, err
}

// Order carries an order out after its time.
func (n *testNode) Order(ctx context.Context, o placement.Order, _ domain.Fence) (placement.Outcome, error) {
	f := n.fleet
	outcome := placement.Accepted
	err := n.exchange(ctx, callBytes, func() {
		e := &f.engines[o.Server.ID].EngineState
		if e.Busy || e.Sequence != o.ExpectedSequence {
			outcome = placement.Rejected
			return
		}
		e.Sequence++
		e.Busy = true
		time.AfterFunc(testLoadTime, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			e.Busy = false
			e.Models = slices.DeleteFunc(slices.Clone(e.Models), func(l fleet.LoadedModel) bool { return l.Model == o.Model })
			if o.Operation == placement.Load {
				e.Models = append(e.Models, fleet.LoadedModel{Model: o.Model})
			}
		})
	})
	if err != nil {
		return placement.Unknown, err
	}
	return outcome, nil
}

// owner returns the node that retains the lease; nil if none does.
func (f *testFleet) owner() *testNode {
	for _, n := range f.nodes {
		if n.isOwner() {
			return n
		}
	}
	return nil
}

// linked returns the number of nodes that are linked to an owner.
func (f *testFleet) linked() int {
	linked := 0
	for _, n := range f.nodes {
		n.mu.Lock()
		if !n.linkedAt.IsZero() {
			linked++
		}
		n.mu.Unlock()
	}
	return linked
}

// count returns how often an event is in the logs of all nodes.
func (f *testFleet) count(event string) int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.log.count(event)
	}
	return sum
}

// requestModel makes a request for a model wait at a node, and returns the time until the node's
// view has the model; limit if it does not have it by then.
func (f *testFleet) requestModel(node *testNode, m domain.ModelName, limit time.Duration) time.Duration {
	start := time.Now()
	var seen *dispatch.View
	demand := placement.Demand{ModelKey: placement.ModelKey{Service: "s", Model: m}, Waiting: 1, Arrivals: 1}
	time.Sleep(reportBatchDelay + f.Delay)
	for time.Since(start) < limit {
		if o := f.owner(); o != nil {
			o.mu.Lock()
			o.planner.RecordDemand(time.Now(), node.Name, []placement.Demand{demand})
			o.mu.Unlock()
			o.triggerPlan()
		}
		for until := time.Now().Add(200 * time.Millisecond); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			v := node.Views.Get()
			if v == seen {
				continue
			}
			seen = v
			if viewHas(v, m) {
				demand.Waiting, demand.Arrivals = 0, 0
				if o := f.owner(); o != nil {
					o.mu.Lock()
					o.planner.RecordDemand(time.Now(), node.Name, []placement.Demand{demand})
					o.mu.Unlock()
				}
				return time.Since(start)
			}
		}
		demand.Arrivals = 0
	}
	return limit
}

// viewHas reports whether a server in a view has loaded a model.
func viewHas(v *dispatch.View, m domain.ModelName) bool {
	if v == nil {
		return false
	}
	for _, s := range v.Servers["s"] {
		if _, ok := s.EngineState.Find(m); ok {
			return true
		}
	}
	return false
}

// countRenewals returns the number of renewals of memberships so far.
func (f *testFleet) countRenewals() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.joins
}

// countOtherCalls returns the number of other calls to the store so far.
func (f *testFleet) countOtherCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls - f.joins
}

// runFleet starts nodes before 256 engines, gives them time to link, calls f and ends them.
func runFleet(t *testing.T, large, small int, f func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fl := newTestFleet(256)
		fl.ctx = ctx
		fl.start(large, small)
		time.Sleep(14 * time.Second)
		f(fl)
		cancel()
		for _, n := range fl.nodes {
			n.host.Kill()
		}
		time.Sleep(time.Minute)
	})
}

// requestModels makes requests for models that are on no server's list wait at random nodes, a
// number each second, and returns the waits in ascending order.
func (f *testFleet) requestModels(perSecond int, d time.Duration) []time.Duration {
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	var group sync.WaitGroup
	var waits []time.Duration
	for i := range int(d.Seconds()) * perSecond {
		node, m := f.nodes[random.IntN(len(f.nodes))], modelName(i*37%testModels)
		group.Go(func() {
			w := f.requestModel(node, m, 10*time.Second)
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, w)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	group.Wait()
	slices.Sort(waits)
	return waits
}

// Pattern: hundreds of nodes, most of them small, and cold models all the time. Guards against an
// owner whose link is full of updates: its lease ran out, all links were dropped, and cold models
// were waited for seconds after they were loaded.
func TestOwnerCarriesHundredsOfNodes(t *testing.T) {
	runFleet(t, 18, 277, func(f *testFleet) {
		if got, want := f.linked(), 294; got != want {
			t.Errorf("linked nodes after the start: got %d, want %d", got, want)
		}
		lost, expired, callsBefore := f.count("OwnerLinkLost"), f.count("LeaseExpired"), f.countOtherCalls()
		waits := f.requestModels(30, 6*time.Second)
		if got := f.count("OwnerLinkLost") - lost; got != 0 {
			t.Errorf("links lost without a fault: got %d, want 0", got)
		}
		if got := f.count("LeaseExpired") - expired; got != 0 {
			t.Errorf("leases lost without a fault: got %d, want 0", got)
		}
		median, high := waits[len(waits)/2], waits[len(waits)*9/10]
		t.Logf("waits for a cold model: p50 %v, p90 %v of %d; calls to the store a node and second %.3f, renewals %d in all",
			median, high, len(waits), float64(f.countOtherCalls()-callsBefore)/295/6, f.countRenewals())
		if want := testLoadTime + 300*time.Millisecond; median > want {
			t.Errorf("median wait for a cold model: got %v, want %v at most", median, want)
		}
		if f.owner().Standby {
			t.Error("a standby owns the engines beside large VMs")
		}
	})
}
