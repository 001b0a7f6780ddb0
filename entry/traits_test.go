package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/lease"
	"github.com/parsleylug/parsleylug/suspects"
)

const testTrait suspects.Trait = 7

// traitStore is a Traits for tests. It is safe for concurrent use.
type traitStore struct {
	mu     sync.Mutex
	traits suspects.Traits
}

func (s *traitStore) ApplyTraitReport(r suspects.TraitReport) (news, answer suspects.TraitReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news, answer, _ = s.traits.Apply(time.Now(), r)
	return news, answer
}

func (s *traitStore) TraitSnapshot() suspects.TraitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.traits.Snapshot(time.Now())
}

func (s *traitStore) recordCrash(id domain.ServerID) suspects.TraitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.traits.RecordCrash(time.Now(), id, []suspects.Trait{testTrait})
	return r
}

func (s *traitStore) recordCompletion() suspects.TraitReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, _ := s.traits.RecordCompletion(time.Now(), []suspects.Trait{testTrait})
	return r
}

func (s *traitStore) isRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, refused := s.traits.Refused(time.Now(), []suspects.Trait{testTrait})
	return refused
}

var crashedServers = []domain.ServerID{"a", "b", "c"}

// Guards against BUDGET: each node sees some of the crashes of a trait, and none learns enough.
// A node that links later learns of the refusal from the owner.
func TestOwnerJoinsCrashesOfNodesAndTellsLaterOnes(t *testing.T) {
	run(t, true, func(n *Node, _ *fakePlatform, _ *clock) {
		owner, later := &traitStore{}, &traitStore{}
		n.Traits = owner
		time.Sleep(2 * time.Second)
		for _, id := range crashedServers {
			var other traitStore
			n.handleReport(hub.Report{Node: domain.NodeID("node of " + id), Traits: other.recordCrash(id)})
		}
		if !owner.isRefused() {
			t.Error("the owner does not refuse the trait, want it refused")
		}
		linked := New(Options{Name: "later"})
		linked.Traits = later
		n.initialUpdate(linked.applyUpdate)
		if !later.isRefused() {
			t.Error("a node that links later does not refuse the trait, want it refused")
		}
	})
}

// Guards against BUDGET: a new owner knows of no refusal. The first report over each link has
// all that its node knows, and a crash is reported before the next regular report.
func TestReportsTellOfTraits(t *testing.T) {
	address, reports := startReportHub(t)
	store := &traitStore{}
	for _, id := range crashedServers {
		store.recordCrash(id)
	}
	n := New(Options{Name: "n"})
	n.Traits = store
	for _, id := range []domain.ServerID{"d", "e"} {
		withLink(t, n, address, func() {
			owner := &traitStore{}
			owner.ApplyTraitReport((<-reports).Traits)
			if !owner.isRefused() {
				t.Error("the owner does not refuse the trait after the first report, want it refused")
			}
			n.ReportTraits(store.recordCrash(id))
			if got := (<-reports).Traits.Crashes; len(got) != 1 || got[0].Server != id {
				t.Errorf("second report: got crashes %+v, want the one of %s", got, id)
			}
		})
	}
}

// A node that finds no owner keeps a bounded number of reports.
func TestUnsentReportsAreBounded(t *testing.T) {
	n := New(Options{Name: "n"})
	for range 2 * maximumPendingReports {
		n.ReportCrash(suspects.Report{Crashes: 1, Server: "a"})
		n.ReportTraits(suspects.TraitReport{Completions: []suspects.TraitCompletion{{Trait: testTrait}}})
	}
	if got, want := len(n.crashReports), maximumPendingReports; got > want {
		t.Errorf("crash reports: got %d, want %d at most", got, want)
	}
	if got, want := n.traitReport.Len(), maximumPendingReports; got > want {
		t.Errorf("reports on traits: got %d, want %d at most", got, want)
	}
}

// traitLog is a TraitLog for tests. It is safe for concurrent use.
type traitLog struct {
	mu      sync.Mutex
	failing bool
	// hangs makes Load block until its context ends.
	hangs   bool
	refused map[suspects.Trait]suspects.TraitRefusal
	saves   int
}

func (l *traitLog) Load(ctx context.Context) ([]suspects.TraitRefusal, error) {
	if l.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return nil, errStore
	}
	var list []suspects.TraitRefusal
	for _, r := range l.refused {
		list = append(list, r)
	}
	return list, nil
}

func (l *traitLog) Save(_ context.Context, refused []suspects.TraitRefusal, ended []suspects.Trait) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return errStore
	}
	l.saves++
	if l.refused == nil {
		l.refused = map[suspects.Trait]suspects.TraitRefusal{}
	}
	for _, r := range refused {
		l.refused[r.Trait] = r
	}
	for _, t := range ended {
		delete(l.refused, t)
	}
	return nil
}

func (l *traitLog) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

// state returns whether testTrait is saved as refused, and the number of saves.
func (l *traitLog) state() (refused bool, saves int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refused[testTrait].Number > 0, l.saves
}

// newOwner returns a node that becomes the owner of the engine of a platform when it runs.
func newOwner(p *fakePlatform, l TraitLog, traits Traits) *Node {
	p.shards, p.generation = []lease.Shard{ownedShard}, 4
	n := New(Options{
		Name: "n", Feed: p, Group: p, Engines: p, Uptime: &clock{start: time.Now()}, Logger: zerolog.Nop(), TraitLog: l,
		RegistrationsInterval: 800 * time.Millisecond, TimeToLive: 2500 * time.Millisecond, FirstOrderDelay: 500 * time.Millisecond, ServersCheckFences: true,
	})
	n.Traits = traits
	return n
}

// Guards against BUDGET: all nodes restart, or one starts while no node owns the engines, and
// nobody can tell it which traits are refused. The owner saves them once, also after an outage
// of the store, and removes those that are cleared.
func TestOwnerSavesRefusedTraits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1}
		store, saved := &traitStore{}, &traitLog{}
		n := newOwner(p, saved, store)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(2 * time.Second)
		saved.setFailing(true)
		for _, id := range crashedServers {
			n.ReportTraits(store.recordCrash(id))
		}
		time.Sleep(5 * time.Second)
		if refused, _ := saved.state(); refused {
			t.Error("got the trait saved while the store is away")
		}
		saved.setFailing(false)
		time.Sleep(5 * time.Second)
		if refused, saves := saved.state(); !refused || saves != 1 {
			t.Errorf("got saved %v with %d calls, want true with 1", refused, saves)
		}
		n.ReportTraits(store.recordCompletion())
		time.Sleep(5 * time.Second)
		if refused, saves := saved.state(); refused || saves != 2 {
			t.Errorf("after a completion: got saved %v with %d calls, want false with 2", refused, saves)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// A node is not ready before it has tried to read the refused traits. Without the store it is
// ready, and reads them once the store responds.
func TestStartingNodeReadsRefusedTraits(t *testing.T) {
	for _, failing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := &fakePlatform{version: 1}
			saved := &traitLog{failing: failing, refused: map[suspects.Trait]suspects.TraitRefusal{testTrait: {Trait: testTrait, Number: 1, Remaining: time.Hour}}}
			store := &traitStore{}
			n := newOwner(p, saved, store)
			if n.IsReady() {
				t.Error("got ready before the start")
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = n.Run(ctx) }()
			time.Sleep(time.Second)
			if got, want := store.isRefused(), !failing; got != want || !n.IsReady() {
				t.Errorf("after the start: got refused %v, ready %v, want %v, true", got, n.IsReady(), want)
			}
			saved.setFailing(false)
			time.Sleep(5 * time.Second)
			if !store.isRefused() {
				t.Error("the node does not refuse the trait, want it refused")
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

// Guards against a permission that has run out: an owner that was suspended for longer than its
// lease saves nothing.
func TestSuspendedOwnerSavesNoTraits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1}
		store, saved := &traitStore{}, &traitLog{}
		n := newOwner(p, saved, store)
		n.lease.ServersCheckFences = false
		c := n.Uptime.(*clock)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(2 * time.Second)
		p.update(func() { p.failing = true })
		c.suspend(time.Minute)
		for _, id := range crashedServers {
			n.ReportTraits(store.recordCrash(id))
		}
		time.Sleep(100 * time.Millisecond)
		if _, saves := saved.state(); saves != 0 {
			t.Errorf("got %d saves after the suspension, want none", saves)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against a node that is never ready: a store that sends the refused traits a byte now and
// then, or page after page, held up its start.
func TestSlowTraitLogDoesNotHoldUpTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1}
		n := newOwner(p, &traitLog{hangs: true}, &traitStore{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(maximumTraitLoad + time.Second)
		if !n.IsReady() {
			t.Error("got not ready, want ready without the refused traits")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against DENIED: a trait that completes while a new owner is there stayed refused in the
// store, where only its former owner would have removed it, and each node that started refused
// sound requests with it.
func TestNewOwnerRemovesTraitsThatAreCleared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1}
		saved := &traitLog{refused: map[suspects.Trait]suspects.TraitRefusal{testTrait: {Trait: testTrait, Number: 1, Remaining: time.Hour}}}
		store := &traitStore{}
		n := newOwner(p, saved, store)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		// The node has read the traits and is not the owner yet.
		time.Sleep(100 * time.Millisecond)
		n.ReportTraits(store.recordCompletion())
		time.Sleep(5 * time.Second)
		if refused, _ := saved.state(); refused {
			t.Error("got the trait refused in the store after it has completed, want it removed")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
