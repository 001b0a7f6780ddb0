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

// fakeLog is the decision stream: one list of batches that nodes fold.
type fakeLog struct {
	mu      sync.Mutex
	batches []fold.Batch
	down    bool
	// late appends of proposers that left take effect once the log is back.
	late bool
}

// fakeAgreement is one node's copy of the agreed state. A frozen one learns
// nothing new, as a paused node does.
type fakeAgreement struct {
	log  *fakeLog
	node domain.NodeID

	mu     sync.Mutex
	state  fold.State
	folded int
	next   domain.Sequence
	frozen bool
}

// follow folds what is new; the caller holds mu. It returns the outcomes of this
// node's own batch that begins with sequence own.
func (a *fakeAgreement) follow(own domain.Sequence) (outcomes []fold.RecordResult) {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	for !a.frozen && a.folded < len(a.log.batches) {
		b := a.log.batches[a.folded]
		a.folded++
		out := a.state.Apply(domain.Offset(a.folded), b)
		if b.Node == a.node && b.First == own {
			outcomes = out
		}
	}
	return outcomes
}

func (a *fakeAgreement) View(f func(*fold.State)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(0)
	f(&a.state)
}

func (a *fakeAgreement) Changed() <-chan struct{} { return nil }

func (a *fakeAgreement) Propose(ctx context.Context, records ...fold.Record) ([]fold.RecordResult, error) {
	for !a.reachable() {
		select {
		case <-ctx.Done():
			return nil, a.left(records)
		case <-time.After(10 * time.Millisecond):
		}
	}
	// An append and the way back take a moment.
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
	return a.follow(b.First), nil
}

// left ends a proposal whose proposer gave up.
func (a *fakeAgreement) left(records []fold.Record) error {
	a.log.mu.Lock()
	late := a.log.late
	a.log.mu.Unlock()
	if !late {
		return verdict.Refuse(verdict.LogUnavailable, "the log is down")
	}
	go func() { _, _ = a.Propose(context.Background(), records...) }()
	return verdict.UnknownOutcome(verdict.LogUnavailable, "the append has no known outcome", nil)
}

func (a *fakeAgreement) reachable() bool {
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
		if n.deps.node() == m.self || m.system.sees(m.self, n.deps.node()) {
			out = append(out, n.deps.Self)
		}
	}
	return out
}

func (m *fakeMesh) Alive(n domain.NodeID) bool {
	return slices.ContainsFunc(m.Members(), func(p peer.Member) bool { return p.Node == n })
}

func (m *fakeMesh) Call(ctx context.Context, to domain.NodeID, message peer.Message) (peer.Message, error) {
	n := m.system.node(to)
	if n == nil || to != m.self && !m.system.linked(m.self, to) {
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

// fakeEngine is a model engine that counts what the outside world sees.
type fakeEngine struct {
	vm       vmlist.VM
	fence    domain.Fence
	replicas map[domain.ModelName]engine.Replica
	most     domain.Bytes
}

// fakeSystem holds nodes, engines and the log.
type fakeSystem struct {
	t        *testing.T
	log      *fakeLog
	loadTime time.Duration

	mu      sync.Mutex
	nodes   []*fakeNode
	engines map[string]*fakeEngine
	// mostLoaded is the most replicas of each model at one moment.
	mostLoaded map[domain.ModelName]int
	// hidden are pairs of nodes that do not see each other, cut those that cannot
	// reach each other either.
	hidden, cut map[[2]domain.NodeID]bool
	// dead engines do not answer.
	dead bool
	// hold delays orders of a node before the engine gets them.
	hold map[domain.Fence]time.Duration
}

// fakeNode is a node without its sockets.
type fakeNode struct {
	deps      *Deps
	agreement *fakeAgreement
	handler   *Handler
	placer    *Placer
	claims    *Claims
	home      *Home
}

func (s *fakeSystem) sees(a, b domain.NodeID) bool {
	return !s.hidden[[2]domain.NodeID{a, b}] && !s.cut[[2]domain.NodeID{a, b}]
}

func (s *fakeSystem) linked(a, b domain.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.cut[[2]domain.NodeID{a, b}]
}

func (s *fakeSystem) node(id domain.NodeID) *fakeNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.nodes {
		if n.deps.node() == id {
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
		out = append(out, vmlist.VM{ID: string(n.deps.node()), Kind: vmlist.Entry, Region: n.deps.Self.Region})
	}
	return out, nil
}

// State implements engine.Orderer.
func (s *fakeSystem) State(_ context.Context, address string) (engine.State, error) {
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
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
	hold := s.hold[o.Fence]
	s.mu.Unlock()
	time.Sleep(time.Millisecond + hold)
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
	e.most = max(e.most, used)
	s.mostLoaded[o.Model] = max(s.mostLoaded[o.Model], loaded)
}

// fakeOptions say what a fakeSystem has.
type fakeOptions struct {
	nodes, engines int
	// checks tells which engines check fences.
	checks    func(i int) bool
	models    []configuration.Model
	memory    domain.Bytes
	keepAlive time.Duration
}

// regions of the fake VMs, in turn.
var fakeRegions = []domain.Region{"brisbane", "townsville", "toowoomba"}

// newFakeSystem starts the nodes; they run until ctx ends.
func newFakeSystem(ctx context.Context, t *testing.T, o fakeOptions) *fakeSystem {
	t.Helper()
	s := &fakeSystem{
		t: t, log: &fakeLog{}, loadTime: time.Second, engines: make(map[string]*fakeEngine),
		mostLoaded: make(map[domain.ModelName]int), hidden: make(map[[2]domain.NodeID]bool),
		cut: make(map[[2]domain.NodeID]bool), hold: make(map[domain.Fence]time.Duration),
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
		go n.handler.Ownership.Run(ctx)
		go n.home.Run(ctx)
		go n.deps.News.Run(ctx)
	}
	return s
}

func (s *fakeSystem) newNode(i int, o fakeOptions) *fakeNode {
	id := domain.NodeID("node-" + string(rune('a'+i)))
	a := &fakeAgreement{log: s.log, node: id}
	d := &Deps{
		Self: peer.Member{Node: id, Region: fakeRegions[i%len(fakeRegions)]}, Agreement: a,
		Mesh: &fakeMesh{system: s, self: id}, Directory: &Directory{}, Reports: &Reports{}, Engines: s,
		KeepAlive: o.keepAlive, Logger: zerolog.Nop(),
		Leaving: func() bool { return false }, Settled: func() bool { return true }, LogDown: func() bool { return false },
	}
	d.News = NewNews(d)
	pacer := NewPacer(nil)
	ownership := NewOwnership(d, NewPaceClient(d, pacer))
	home := NewHome(d, ownership)
	n := &fakeNode{deps: d, agreement: a, home: home, placer: NewPlacer(d, home), claims: NewClaims(d)}
	n.handler = &Handler{News: d.News, Home: home, Ownership: ownership, Pacer: pacer, Claims: n.claims}
	return n
}

// check compares what the engines saw with copies and memory.
func (s *fakeSystem) check(models []configuration.Model) {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range models {
		if got, want := s.mostLoaded[m.Name], int(m.Copies); got > want {
			s.t.Errorf("model %s: got %d replicas loaded at once, want at most %d", m.Name, got, want)
		}
	}
	for id, e := range s.engines {
		if e.most > e.vm.Memory {
			s.t.Errorf("engine %s: got %d bytes in use, want at most %d", id, e.most, e.vm.Memory)
		}
	}
}
