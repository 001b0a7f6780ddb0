package entry

import (
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
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
		linked.applyUpdate(n.initialUpdate())
		if !later.isRefused() {
			t.Error("a node that links later does not refuse the trait, want it refused")
		}
	})
}

// Guards against BUDGET: a new owner knows of no refusal. The first report over each link has
// all that its node knows, and a crash is reported before the next regular report.
func TestReportsTellOfTraits(t *testing.T) {
	reports := make(chan hub.Report, 9)
	h := &hub.Hub{OnReport: func(r hub.Report) { reports <- r }, AcceptsLinks: func() bool { return true }, InitialUpdate: func() hub.Update { return hub.Update{} }}
	s := httptest.NewServer(h)
	defer s.Close()
	defer h.Close()
	store := &traitStore{}
	for _, id := range crashedServers {
		store.recordCrash(id)
	}
	n := New(Options{Name: "n"})
	n.Traits = store
	for _, id := range []domain.ServerID{"d", "e"} {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		l, err := hub.Dial(ctx, &net.Dialer{}, strings.TrimPrefix(s.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			n.sendReports(ctx, l)
		}()
		owner := &traitStore{}
		owner.ApplyTraitReport((<-reports).Traits)
		if !owner.isRefused() {
			t.Error("the owner does not refuse the trait after the first report, want it refused")
		}
		n.ReportTraits(store.recordCrash(id))
		if got := (<-reports).Traits.Crashes; len(got) != 1 || got[0].Server != id {
			t.Errorf("second report: got crashes %+v, want the one of %s", got, id)
		}
		cancel()
		<-done
		l.Close()
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
