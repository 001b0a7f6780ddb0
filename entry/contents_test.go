package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/hub"
	"github.com/parsleylug/parsleylug/suspects"
)

var testContent = suspects.Content{7}

// contentStore is a Contents for tests. It is safe for concurrent use.
type contentStore struct {
	mu       sync.Mutex
	contents suspects.List
}

func (s *contentStore) RestoreContents(records []suspects.ContentRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Restore(time.Now(), records)
}

func (s *contentStore) ContentSnapshot() []suspects.ContentRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Snapshot(time.Now())
}

func (s *contentStore) AllContents() []suspects.ContentRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.All(time.Now())
}

func (s *contentStore) ContentRecords(contents []suspects.Content) []suspects.ContentRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.Records(time.Now(), contents)
}

func (s *contentStore) recordCrash(id domain.ServerID) suspects.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contents.RecordCrash(time.Now(), testContent, id, false, false)
}

func (s *contentStore) apply(reports []suspects.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contents.ApplyReports(time.Now(), reports)
}

func (s *contentStore) isRefused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	standing, _ := s.contents.Standing(time.Now(), testContent)
	return standing == suspects.Refused
}

// crashTwice records the crashes of two servers and returns the reports.
func (s *contentStore) crashTwice() []suspects.Report {
	return []suspects.Report{s.recordCrash("a"), s.recordCrash("b")}
}

// Guards against BUDGET: a node that had started was told of no content that crashes servers, and
// sent it to further ones.
func TestNodesThatLinkLearnOfContents(t *testing.T) {
	run(t, true, func(n *Node, _ *fakePlatform, _ *clock) {
		owner, later := &contentStore{}, &contentStore{}
		n.mu.Lock()
		n.Contents, n.OnCrashReports = owner, owner.apply
		n.mu.Unlock()
		time.Sleep(2 * time.Second)
		var other contentStore
		n.handleReport(hub.Report{Node: "other", CrashReports: other.crashTwice()})
		linked := New(Options{Name: "later"})
		linked.Contents = later
		n.initialUpdate(linked.applyUpdate)
		if !owner.isRefused() || !later.isRefused() {
			t.Errorf("refused: got owner %v, node that links later %v, want both", owner.isRefused(), later.isRefused())
		}
	})
}

// Guards against BUDGET: an owner that had started knew of no content, and told none to the nodes
// that link to it.
func TestFirstReportTellsOfContents(t *testing.T) {
	address, reports := startReportHub(t)
	store := &contentStore{}
	store.crashTwice()
	n := New(Options{Name: "n"})
	n.Contents = store
	withLink(t, n, address, func() {
		owner := &contentStore{}
		owner.RestoreContents((<-reports).Contents)
		if !owner.isRefused() {
			t.Error("the owner does not refuse the content after the first report, want it refused")
		}
	})
}

// contentLog is a ContentLog for tests. It is safe for concurrent use.
type contentLog struct {
	mu sync.Mutex
	// While failing is set, calls fail at once. hangs makes Load block until its context ends.
	failing, hangs bool
	records        map[suspects.Content]suspects.ContentRecord
	saves          int
}

func (l *contentLog) Load(ctx context.Context) ([]suspects.ContentRecord, error) {
	if l.hangs {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return nil, errStore
	}
	var list []suspects.ContentRecord
	for _, r := range l.records {
		list = append(list, r)
	}
	return list, nil
}

func (l *contentLog) Save(_ context.Context, changed []suspects.ContentRecord, cleared []suspects.Content) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failing {
		return errStore
	}
	l.saves++
	if l.records == nil {
		l.records = map[suspects.Content]suspects.ContentRecord{}
	}
	for _, r := range changed {
		l.records[r.Content] = r
	}
	for _, c := range cleared {
		delete(l.records, c)
	}
	return nil
}

func (l *contentLog) setFailing(failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failing = failing
}

// state returns the number of crashes that are saved of testContent, and the number of saves.
func (l *contentLog) state() (crashes, saves int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records[testContent].Crashes), l.saves
}

// newContentOwner returns a node that becomes the owner when it runs.
func newContentOwner(p *fakePlatform, l ContentLog, contents *contentStore) *Node {
	n := newOwner(p, nil, nil)
	n.ContentLog, n.Contents, n.OnCrashReports = l, contents, contents.apply
	return n
}

// Guards against BUDGET: all nodes restart, or one starts while no node owns the engines, and nobody
// can tell it which contents crash servers. The owner saves them, also after an outage of the store,
// and removes those that are cleared.
func TestOwnerSavesContents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{version: 1}
		store, saved := &contentStore{}, &contentLog{}
		n := newContentOwner(p, saved, store)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(2 * time.Second)
		saved.setFailing(true)
		for _, r := range store.crashTwice() {
			n.ReportCrash(r)
		}
		time.Sleep(5 * time.Second)
		saved.setFailing(false)
		time.Sleep(5 * time.Second)
		if crashes, saves := saved.state(); crashes != 2 || saves != 1 {
			t.Errorf("got %d crashes saved with %d calls, want 2 with 1", crashes, saves)
		}
		n.handleReport(hub.Report{Node: "other", CrashReports: []suspects.Report{{Content: testContent}}})
		time.Sleep(5 * time.Second)
		if crashes, saves := saved.state(); crashes != 0 || saves != 2 {
			t.Errorf("after it was cleared: got %d crashes saved with %d calls, want 0 with 2", crashes, saves)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against BUDGET: the owner removed contents from the store as more than a message has room for had
// crashed servers. A request with one of them came back after its nodes had restarted, and crashed two more.
func TestOwnerSavesMoreContentsThanAMessageHas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const contents = 600
		store, saved := &contentStore{}, &contentLog{}
		n := newContentOwner(&fakePlatform{version: 1}, saved, store)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(2 * time.Second)
		for i := range contents {
			c := suspects.Content{byte(i), byte(i >> 8)}
			for _, id := range []domain.ServerID{"a", "b"} {
				store.mu.Lock()
				r := store.contents.RecordCrash(time.Now(), c, id, false, false)
				store.mu.Unlock()
				n.ReportCrash(r)
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		saved.mu.Lock()
		defer saved.mu.Unlock()
		if got, want := len(saved.records), contents; got != want {
			t.Errorf("got %d contents in the store, want %d", got, want)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against BUDGET: a node was ready before it knew which contents crash servers. Without the
// store it is ready, and learns of them once the store responds.
func TestStartingNodeReadsContents(t *testing.T) {
	for _, failing := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var before contentStore
			before.crashTwice()
			saved := &contentLog{failing: failing, records: map[suspects.Content]suspects.ContentRecord{testContent: before.ContentSnapshot()[0]}}
			store := &contentStore{}
			n := newContentOwner(&fakePlatform{version: 1}, saved, store)
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = n.Run(ctx) }()
			time.Sleep(time.Second)
			if got, want := store.isRefused(), !failing; got != want || !n.IsReady() {
				t.Errorf("after the start: got refused %v, ready %v, want %v, true", got, n.IsReady(), want)
			}
			saved.setFailing(false)
			time.Sleep(5 * time.Second)
			if !store.isRefused() {
				t.Error("the node does not refuse the content, want it refused")
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

// Guards against a node that is never ready because the store sends the contents slowly, and against
// one that is ready before it has tried to read them.
func TestSlowContentLogDoesNotHoldUpTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newContentOwner(&fakePlatform{version: 1}, &contentLog{hangs: true}, &contentStore{})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(maximumTraitLoad - time.Second)
		if n.IsReady() {
			t.Error("got ready before the contents were read")
		}
		time.Sleep(2 * time.Second)
		if !n.IsReady() {
			t.Error("got not ready, want ready without the contents")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// Guards against an owner that keeps what the one before had saved: where servers check no fencing
// tokens, its term begins long before its first order.
func TestNewOwnerSavesContentsBeforeItsFirstOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, saved := &contentStore{}, &contentLog{}
		n := newContentOwner(&fakePlatform{version: 1}, saved, store)
		n.lease.ServersCheckFences, n.lease.LeaseBound = false, time.Minute
		store.crashTwice()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = n.Run(ctx) }()
		time.Sleep(3 * time.Second)
		if crashes, _ := saved.state(); crashes != 2 {
			t.Errorf("got %d crashes saved, want 2", crashes)
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
