package operator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
	"github.com/parsleylug/parsleylug/verdict"
)

// fakeSystem is a node with a log of its own. Records are folded at once.
type fakeSystem struct {
	mu       sync.Mutex
	state    fold.State
	stored   []StoredRecord
	sequence domain.Sequence
	// beforeAppend runs before the next append, as another operator would.
	beforeAppend func(*fakeSystem)
	// refuseAppends fails appends with NotRun; loseAnswers after they took effect.
	refuseAppends, loseAnswers bool
	status                     Status
	released                   [][32]byte
	entry                      decisions.Entry
	recorder                   objective.Recorder
}

func (f *fakeSystem) View(read func(*fold.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(&f.state)
}

func (f *fakeSystem) Append(_ context.Context, records [][]byte) (domain.Offset, error) {
	if hook := f.beforeAppend; hook != nil {
		f.beforeAppend = nil
		hook(f)
	}
	if f.refuseAppends {
		return 0, verdict.Refuse(verdict.LogUnavailable, "the log is down")
	}
	first := f.put(records)
	if f.loseAnswers {
		return 0, verdict.UnknownOutcome(verdict.LogUnavailable, "the answer was lost", nil)
	}
	return first, nil
}

func (f *fakeSystem) put(records [][]byte) domain.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := f.state.ConfigurationOffset()
	imported := fold.ConfigurationImported{After: after, Through: after + domain.Offset(len(records))}
	for i, raw := range records {
		o := after + 1 + domain.Offset(i)
		f.stored = append(f.stored, StoredRecord{Offset: o, Data: raw})
		if r, err := configuration.Decode(raw); err == nil {
			imported.Changes = append(imported.Changes, fold.Change{Offset: o, Record: r})
		}
	}
	f.sequence++
	f.state.Apply(f.state.Offset()+1, fold.Batch{Node: "n", First: f.sequence, Records: []fold.Record{imported}})
	return after + 1
}

func (f *fakeSystem) ReadRecords(_ context.Context, from domain.Offset, most int) ([]StoredRecord, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []StoredRecord
	for _, s := range f.stored {
		if s.Offset >= from && len(out) < most {
			out = append(out, s)
		}
	}
	return out, nil
}

func (f *fakeSystem) AppliedOffsets(context.Context) (map[domain.NodeID]domain.Offset, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return map[domain.NodeID]domain.Offset{"n": f.state.ConfigurationOffset()}, nil
}

func (f *fakeSystem) Status(context.Context) (Status, error) { return f.status, nil }

func (f *fakeSystem) ReleaseContent(content [32]byte) { f.released = append(f.released, content) }

func (f *fakeSystem) BurnSnapshot(context.Context) (objective.Snapshot, error) {
	return f.recorder.Snapshot(testTime()), nil
}

func (f *fakeSystem) Decisions(_ context.Context, id domain.RequestID) (decisions.Entry, error) {
	if id != f.entry.Request {
		return decisions.Entry{}, nil
	}
	return f.entry, nil
}

// fixture is an API over a fake system.
type fixture struct {
	t       *testing.T
	system  *fakeSystem
	log     bytes.Buffer
	scope   tally.TestScope
	handler http.Handler
}

func newFixture(t *testing.T, records ...configuration.Record) *fixture {
	t.Helper()
	f := &fixture{t: t, system: &fakeSystem{}, scope: tally.NewTestScope("", nil)}
	for _, r := range records {
		f.system.put([][]byte{f.encode(r)})
	}
	f.handler = New(Deps{System: f.system, Logger: zerolog.New(&f.log), Scope: f.scope}).Handler()
	return f
}

func (f *fixture) encode(r configuration.Record) []byte {
	f.t.Helper()
	raw, err := configuration.Encode(r)
	if err != nil {
		f.t.Fatal(err)
	}
	return raw
}

// do sends a request; headers are pairs of name and value.
func (f *fixture) do(method, path, body string, headers ...string) (int, string) {
	f.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	r := httptest.NewRequest(method, path, reader)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// want checks an answer's status and that its body holds a text.
func (f *fixture) want(code int, body string, wantCode int, wantText string) {
	f.t.Helper()
	if code != wantCode || !strings.Contains(body, wantText) {
		f.t.Errorf("got %d %s, want %d with %q", code, body, wantCode, wantText)
	}
}

func (f *fixture) counter(name string) int64 {
	total := int64(0)
	for _, c := range f.scope.Snapshot().Counters() {
		if c.Name() == name {
			total += c.Value()
		}
	}
	return total
}
