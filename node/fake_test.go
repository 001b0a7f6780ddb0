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

// fakeLog is the decision stream of the platform's log: the list of batches that the nodes
// apply.
type fakeLog struct {
	mu      sync.Mutex
	batches []fold.Batch
	// down makes proposals wait until the log is available again.
	down bool
	// appliesAbandonedProposals appends a proposal whose context ended while the log was down
	// as soon as the log is available again. Otherwise such a proposal is dropped.
	appliesAbandonedProposals bool
}

// fakeState is one node's replica of the replicated state.
type fakeState struct {
	log  *fakeLog
	node domain.NodeID

	mu             sync.Mutex
	state          fold.State
	appliedBatches int
	nextSequence   domain.Sequence
	// applyPaused stops this state from applying batches, as if the log were unreachable.
	applyPaused bool
}

// applyNew applies the batches that are new in the log. It returns the results of this
// node's batch that starts with batchSequence, if that batch is among them. The caller holds
// mu.
func (a *fakeState) applyNew(batchSequence domain.Sequence) (results []fold.RecordResult) {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	for !a.applyPaused && a.appliedBatches < len(a.log.batches) {
		b := a.log.batches[a.appliedBatches]
		a.appliedBatches++
		out := a.state.Apply(domain.Offset(a.appliedBatches), b)
		if b.Node == a.node && b.First == batchSequence {
			results = out
		}
	}
	return results
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
	if a.nextSequence == 0 {
		a.nextSequence = 1
	}
	b := fold.Batch{Node: a.node, First: a.nextSequence, Records: records}
	a.nextSequence += domain.Sequence(len(records))
	a.log.mu.Lock()
	a.log.batches = append(a.log.batches, b)
	a.log.mu.Unlock()
	return a.applyNew(b.First), nil
}

// abandonProposal returns the error of a proposal whose context ended while the log was not
// reachable. If appliesAbandonedProposals is set, the proposal continues in the background.
func (a *fakeState) abandonProposal(records []fold.Record) error {
	a.log.mu.Lock()
	appliesLater := a.log.appliesAbandonedProposals
	a.log.mu.Unlock()
	if !appliesLater {
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
	return !a.log.down && !a.applyPaused
}

// fakeMesh is the Mesh of one node in a fakeSystem.
type fakeMesh struct {
	system *fakeSystem
	self   domain.NodeID
}

func (m *fakeMesh) Members() []peer.Member {
	m.system.mu.Lock()
	defer m.system.mu.Unlock()
	var out []peer.Member
	for _, n := range m.system.nodes {
		if n.deps.nodeID() == m.self || m.system.isMemberFor(m.self, n.deps.nodeID()) {
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

// fakeEngine is a backend server with a model engine. fence is the newest fencing token that
// it has received. peakMemory is the most memory that its replicas have used at once.
type fakeEngine struct {
	vm         vmlist.VM
	fence      domain.Fence
	replicas   map[domain.ModelName]engine.Replica
	peakMemory domain.Bytes
}

// fakeSystem is a cluster in memory: nodes, engines and the log. It implements VMLister and
// engine.ControlClient. loadTime is the duration of each load.
type fakeSystem struct {
	t        *testing.T
	log      *fakeLog
	loadTime time.Duration

	mu      sync.Mutex
	nodes   []*fakeNode
	engines map[string]*fakeEngine
	// peakReplicas is the most replicas of each model that were loaded or loading at once.
	peakReplicas map[domain.ModelName]int
	// missingMembers holds the pairs of nodes of which the second is not in the members of
	// the first. For a pair in unreachable, messages from the first to the second fail too.
	missingMembers, unreachable map[[2]domain.NodeID]bool
	// enginesDead makes every engine unresponsive.
	enginesDead bool
	// orderDelays is the additional delay until an engine receives an order, by the fencing
	// token of the order.
	orderDelays map[domain.Fence]time.Duration
}

// fakeNode has the parts of a Node for each role, without listeners, relay and callers' API.
type fakeNode struct {
	deps        *Deps
	state       *fakeState
	handler     *Handler
	placer      *Placer
	claims      *Claims
	coordinator *Coordinator
}

// isMemberFor reports whether viewer has node among its live members.
func (s *fakeSystem) isMemberFor(viewer, node domain.NodeID) bool {
	return !s.missingMembers[[2]domain.NodeID{viewer, node}] && !s.unreachable[[2]domain.NodeID{viewer, node}]
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

// State implements engine.ControlClient.
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

// Order implements engine.ControlClient.
func (s *fakeSystem) Order(_ context.Context, address string, o engine.Order) (engine.OrderStatus, error) {
	s.mu.Lock()
	delay := s.orderDelays[o.Fence]
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

// startLoad adds a replica that is loading and updates the peaks of memory and replicas,
// which count the replica from now on. The caller holds mu.
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
	// checksFences reports whether engine i checks fencing tokens; nil means that all do.
	checksFences func(i int) bool
	models       []configuration.Model
	memory       domain.Bytes
	keepAlive    time.Duration
}

// fakeRegions are the regions of the nodes and engines, assigned in turn.
var fakeRegions = []domain.Region{"brisbane", "townsville", "toowoomba"}

// newFakeSystem returns a system with started nodes, which run until ctx ends.
func newFakeSystem(ctx context.Context, t *testing.T, o fakeOptions) *fakeSystem {
	t.Helper()
	s := &fakeSystem{
		t: t, log: &fakeLog{}, loadTime: time.Second, engines: make(map[string]*fakeEngine),
		peakReplicas: make(map[domain.ModelName]int), missingMembers: make(map[[2]domain.NodeID]bool),
		unreachable: make(map[[2]domain.NodeID]bool), orderDelays: make(map[domain.Fence]time.Duration),
	}
	for i := range o.engines {
		id := "engine-" + string(rune('a'+i))
		s.engines[id] = &fakeEngine{
			vm: vmlist.VM{
				ID: id, Kind: vmlist.Engine, Address: id, Memory: o.memory,
				ChecksFences: o.checksFences == nil || o.checksFences(i), Region: fakeRegions[i%len(fakeRegions)],
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
		IsLeaving: func() bool { return false }, HasCompleteView: func() bool { return true }, IsLogDown: func() bool { return false },
	}
	d.Gossip = NewReportGossip(d)
	pacer := NewPacer(nil)
	leaseManager := NewLeaseManager(d, NewPaceClient(d, pacer))
	coordinator := NewCoordinator(d, leaseManager)
	n := &fakeNode{deps: d, state: a, coordinator: coordinator, placer: NewPlacer(d, coordinator), claims: NewClaims(d)}
	n.handler = &Handler{Gossip: d.Gossip, Coordinator: coordinator, LeaseManager: leaseManager, Pacer: pacer, Claims: n.claims}
	return n
}

// checkLimits fails the test if a model ever had more replicas than its copies allow, or if
// the replicas of an engine ever used more than its memory.
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
