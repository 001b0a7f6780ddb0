package node

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/verdict"
	"github.com/parsleylug/parsleylug/vmlist"
)

// fakeLog is the decision stream: the list of batches that the nodes apply.
type fakeLog struct {
	mu      sync.Mutex
	batches []fold.Batch
	down    bool
	// appliesLateAppends makes appends of proposers that left take effect once the log is
	// back.
	appliesLateAppends bool
}

// fakeState is one node's replica of the replicated state. A frozen one applies nothing
// new, like a paused node.
type fakeState struct {
	log  *fakeLog
	node domain.NodeID

	mu             sync.Mutex
	state          fold.State
	appliedBatches int
	next           domain.Sequence
	frozen         bool
}

// applyNew applies new batches; the caller holds mu. It returns the outcomes of this node's
// batch whose first sequence is ownFirst.
func (a *fakeState) applyNew(ownFirst domain.Sequence) (outcomes []fold.RecordResult) {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	for !a.frozen && a.appliedBatches < len(a.log.batches) {
		b := a.log.batches[a.appliedBatches]
		a.appliedBatches++
		out := a.state.Apply(domain.Offset(a.appliedBatches), b)
		if b.Node == a.node && b.First == ownFirst {
			outcomes = out
		}
	}
	return outcomes
}

func (a *fakeState) View(f func(*fold.State)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.applyNew(0)
	f(&a.state)
}

func (a *fakeState) Changed() <-chan struct{} { return nil }

func (a *fakeState) Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error) {
	for !a.reachable() {
		select {
		case <-ctx.Done():
			return nil, a.abandonProposal(records)
		case <-time.After(10 * time.Millisecond):
		}
	}
	// Simulate the latency of an append and of its delivery.
	time.Sleep(5 * time.Millisecond)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next == 0 {
		a.next = 1
	}
	b := fold.Batch{Node: a.node, First: a.next, Records: records}
	a.next += domain.Sequence(len(records))
	a.log.mu.Lock()
	a.log.batches = append(a.log.batches, b)
	a.log.mu.Unlock()
	return a.applyNew(b.First), nil
}

// abandonProposal ends a proposal whose proposer's context ended.
func (a *fakeState) abandonProposal(records []fold.Record) error {
	a.log.mu.Lock()
	late := a.log.appliesLateAppends
	a.log.mu.Unlock()
	if !late {
		return verdict.Refuse(verdict.LogUnavailable, "the log is down")
	}
	go func() { _, _ = a.Propose(context.Background(), records...) }()
	return verdict.UnknownOutcome(verdict.LogUnavailable, "the append has no known outcome", nil)
}

func (a *fakeState) reachable() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	return !a.log.down && !a.frozen
}

// fakeMesh is one node's view of the others.
type fakeMesh struct {
	system *fakeSystem
	self   domain.NodeID
}

func (m *fakeMesh) Members() []peer.Member {
	m.system.mu.Lock()
	defer m.system.mu.Unlock()
	var out []peer.Member
	for _, n := range m.system.nodes {
		if n.deps.nodeID() == m.self || m.system.isVisible(m.self, n.deps.nodeID()) {
			out = append(out, n.deps.Self)
		}
	}
	return out
}

func (m *fakeMesh) IsAlive(n domain.NodeID) bool {
	return slices.ContainsFunc(m.Members(), func(p peer.Member) bool { return p.Node == n })
}

func (m *fakeMesh) Call(ctx context.Context, to domain.NodeID, message peer.Message) (peer.Message, error) {
	n := m.system.node(to)
	if n == nil || to != m.self && !m.system.isReachable(m.self, to) {
		return nil, verdict.Refuse(verdict.BackendFailed, "the peer cannot be reached")
	}
	time.Sleep(time.Millisecond)
	return n.handler.Handle(ctx, m.self, message)
}

func (m *fakeMesh) Send(to domain.NodeID, message peer.Message) {
	go func() { _, _ = m.Call(context.Background(), to, message) }()
}

func (m *fakeMesh) Broadcast(message peer.Message) {
	for _, p := range m.Members() {
		if p.Node != m.self {
			m.Send(p.Node, message)
		}
	}
}

// fakeEngine is a model engine that records its peak memory.
type fakeEngine struct {
	vm         vmlist.VM
	fence      domain.Fence
	replicas   map[domain.ModelName]engine.Replica
	peakMemory domain.Bytes
}

// fakeSystem holds nodes, engines and the log.
type fakeSystem struct {
	t        *testing.T
	log      *fakeLog
	loadTime time.Duration

	mu      sync.Mutex
	nodes   []*fakeNode
	engines map[string]*fakeEngine
	// peakReplicas is the most replicas of each model that were loaded at one moment.
	peakReplicas map[domain.ModelName]int
	// notVisible holds pairs of nodes that are not in each other's members, unreachable
	// those that cannot send messages either.
	notVisible, unreachable map[[2]domain.NodeID]bool
	// enginesDead makes every engine unresponsive.
	enginesDead bool
	// orderDelay delays the orders under a fencing token before the engine receives them.
	orderDelay map[domain.Fence]time.Duration
}

// fakeNode is a node without its listeners.
type fakeNode struct {
	deps        *Deps
	state       *fakeState
	handler     *Handler
	placer      *Placer
	claims      *Claims
	coordinator *Coordinator
}

func (s *fakeSystem) isVisible(a, b domain.NodeID) bool {
	return !s.notVisible[[2]domain.NodeID{a, b}] && !s.unreachable[[2]domain.NodeID{a, b}]
}

func (s *fakeSystem) isReachable(a, b domain.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unreachable[[2]domain.NodeID{a, b}]
}

func (s *fakeSystem) node(id domain.NodeID) *fakeNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.deps.nodeID() == id {
			return n
		}
	}
	return nil
}

// List implements VMLister.
func (s *fakeSystem) List(context.Context) ([]vmlist.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []vmlist.VM
	for _, e := range s.engines {
		out = append(out, e.vm)
	}
	for _, n := range s.nodes {
		out = append(out, vmlist.VM{ID: string(n.deps.nodeID()), Kind: vmlist.Entry, Region: n.deps.Self.Region})
	}
	return out, nil
}

// State implements engine.Orderer.
func (s *fakeSystem) State(_ context.Context, address string) (engine.State, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.enginesDead {
		return engine.State{}, verdict.Refuse(verdict.BackendFailed, "connection refused")
	}
	e := s.engines[address]
	out := engine.State{Incarnation: "1", Memory: e.vm.Memory}
	for _, r := range e.replicas {
		out.Replicas = append(out.Replicas, r)
	}
	return out, nil
}

// Order implements engine.Orderer.
func (s *fakeSystem) Order(_ context.Context, address string, o engine.Order) (engine.OrderStatus, error) {
	s.mu.Lock()
	delay := s.orderDelay[o.Fence]
	s.mu.Unlock()
	time.Sleep(time.Millisecond + delay)
	s.mu.Lock()
	e := s.engines[address]
	if e.vm.ChecksFences && o.Fence < e.fence {
		s.mu.Unlock()
		return engine.RefusedStale, nil
	}
	e.fence = max(e.fence, o.Fence)
	switch o.Kind {
	case engine.LoadModel:
		s.startLoad(e, o)
		s.mu.Unlock()
		time.Sleep(s.loadTime)
		s.mu.Lock()
		if r, ok := e.replicas[o.Model]; ok {
			r.Loading = false
			e.replicas[o.Model] = r
		}
	case engine.UnloadModel:
		delete(e.replicas, o.Model)
	}
	s.mu.Unlock()
	return engine.Done, nil
}

// startLoad counts a replica from the start of its load; the caller holds mu.
func (s *fakeSystem) startLoad(e *fakeEngine, o engine.Order) {
	if _, ok := e.replicas[o.Model]; ok {
		return
	}
	e.replicas[o.Model] = engine.Replica{Model: o.Model, Memory: o.Memory, Loading: true}
	used, loaded := domain.Bytes(0), 0
	for _, r := range e.replicas {
		used += r.Memory
	}
	for _, x := range s.engines {
		if _, ok := x.replicas[o.Model]; ok {
			loaded++
		}
	}
	e.peakMemory = max(e.peakMemory, used)
	s.peakReplicas[o.Model] = max(s.peakReplicas[o.Model], loaded)
}

// fakeOptions describe a fakeSystem.
type fakeOptions struct {
	nodes, engines int
	// checks reports which engines check fencing tokens.
	checks    func(i int) bool
	models    []configuration.Model
	memory    domain.Bytes
	keepAlive time.Duration
}

// fakeRegions are assigned to the fake VMs in turn.
var fakeRegions = []domain.Region{"brisbane", "townsville", "toowoomba"}

// newFakeSystem starts the nodes, which run until ctx ends.
func newFakeSystem(ctx context.Context, t *testing.T, o fakeOptions) *fakeSystem {
	t.Helper()
	s := &fakeSystem{
		t: t, log: &fakeLog{}, loadTime: time.Second, engines: make(map[string]*fakeEngine),
		peakReplicas: make(map[domain.ModelName]int), notVisible: make(map[[2]domain.NodeID]bool),
		unreachable: make(map[[2]domain.NodeID]bool), orderDelay: make(map[domain.Fence]time.Duration),
	}
	for i := range o.engines {
		id := "engine-" + string(rune('a'+i))
		s.engines[id] = &fakeEngine{
			vm: vmlist.VM{
				ID: id, Kind: vmlist.Engine, Address: id, Memory: o.memory,
				ChecksFences: o.checks == nil || o.checks(i), Region: fakeRegions[i%len(fakeRegions)],
			},
			replicas: make(map[domain.ModelName]engine.Replica),
		}
	}
	var changes []fold.Change
	for i, m := range o.models {
		changes = append(changes, fold.Change{Offset: domain.Offset(i + 1), Record: configuration.Record{SchemaVersion: 2, Model: &m}})
	}
	s.log.batches = append(s.log.batches, fold.Batch{
		Node: "setup", First: 1,
		Records: []fold.Record{fold.ConfigurationImported{Through: domain.Offset(len(changes)), Changes: changes}},
	})
	for i := range o.nodes {
		s.nodes = append(s.nodes, s.newNode(i, o))
	}
	for _, n := range s.nodes {
		n.deps.Directory.Refresh(ctx, s)
		go n.deps.Directory.Run(ctx, s)
		go n.handler.LeaseManager.Run(ctx)
		go n.coordinator.Run(ctx)
		go n.deps.Gossip.Run(ctx)
	}
	return s
}

func (s *fakeSystem) newNode(i int, o fakeOptions) *fakeNode {
	id := domain.NodeID("node-" + string(rune('a'+i)))
	a := &fakeState{log: s.log, node: id}
	d := &Deps{
		Self: peer.Member{Node: id, Region: fakeRegions[i%len(fakeRegions)]}, State: a,
		Mesh: &fakeMesh{system: s, self: id}, Directory: &Directory{}, Reports: &Reports{}, Engines: s,
		KeepAlive: o.keepAlive, Logger: zerolog.Nop(),
		IsLeaving: func() bool { return false }, HasSettledView: func() bool { return true }, IsLogDown: func() bool { return false },
	}
	d.Gossip = NewReportGossip(d)
	pacer := NewPacer(nil)
	leaseManager := NewLeaseManager(d, NewPaceClient(d, pacer))
	coordinator := NewCoordinator(d, leaseManager)
	n := &fakeNode{deps: d, state: a, coordinator: coordinator, placer: NewPlacer(d, coordinator), claims: NewClaims(d)}
	n.handler = &Handler{Gossip: d.Gossip, Coordinator: coordinator, LeaseManager: leaseManager, Pacer: pacer, Claims: n.claims}
	return n
}

// checkLimits fails the test if a model ever had more replicas than its copies allow, or an
// engine more in use than its memory.
func (s *fakeSystem) checkLimits(models []configuration.Model) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range models {
		if got, want := s.peakReplicas[m.Name], int(m.Copies); got > want {
			s.t.Errorf("model %s: got %d replicas loaded at once, want at most %d", m.Name, got, want)
		}
	}
	for id, e := range s.engines {
		if e.peakMemory > e.vm.Memory {
			s.t.Errorf("engine %s: got %d bytes in use, want at most %d", id, e.peakMemory, e.vm.Memory)
		}
	}
}
