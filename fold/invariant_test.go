package fold

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// world draws batches of a few nodes, servers, models and keys, so that they
// collide often.
type world struct {
	state  State
	offset domain.Offset
	// sequences are the next ones of each node.
	sequences map[domain.NodeID]domain.Sequence
	sent      []Batch
	// applied are the highest sequences that were folded.
	applied map[domain.NodeID]domain.Sequence
	holders map[CommandKey]map[domain.NodeID]bool
	// versions are those that objects must have.
	versions map[string]domain.Offset
}

// newWorld returns a world with three models and an owner for each server.
func newWorld(t *rapid.T) *world {
	w := &world{sequences: map[domain.NodeID]domain.Sequence{}, applied: map[domain.NodeID]domain.Sequence{},
		holders: map[CommandKey]map[domain.NodeID]bool{}, versions: map[string]domain.Offset{}}
	r := ConfigurationImported{Through: 3}
	for i, n := range []domain.ModelName{"m1", "m2", "m3"} {
		m := configuration.Model{Name: n, Memory: 4, Copies: domain.Copies(rapid.IntRange(1, 2).Draw(t, "copies"))}
		r.Changes = append(r.Changes, Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &m}})
	}
	b := Batch{Node: "n1", First: 1, Records: []Record{r}}
	for _, n := range []domain.ServerID{"s1", "s2"} {
		b.Records = append(b.Records, LeaseTaken{Server: n, Owner: pick[domain.NodeID](t, "n", 3),
			Facts: ServerFacts{Memory: 9, ChecksFences: n == "s1", Region: "r1", Zone: "z"}})
	}
	w.sequences["n1"] = 3
	w.apply(t, b)
	return w
}

func pick[T ~string](t *rapid.T, prefix string, count int) T {
	return T(fmt.Sprint(prefix, rapid.IntRange(1, count).Draw(t, prefix)))
}

// batch draws a new batch, or one that was sent before.
func (w *world) batch(t *rapid.T) Batch {
	if len(w.sent) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		return rapid.SampledFrom(w.sent).Draw(t, "sent")
	}
	n := pick[domain.NodeID](t, "n", 3)
	if l, ok := w.state.Lease(pick[domain.ServerID](t, "s", 2)); ok && rapid.Bool().Draw(t, "asOwner") {
		n = l.Owner
	}
	b := Batch{Node: n, First: w.sequences[n] + 1}
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		b.Records = append(b.Records, w.record(t, n))
	}
	w.sequences[n] += domain.Sequence(len(b.Records))
	w.sent = append(w.sent, b)
	return b
}

func (w *world) record(t *rapid.T, n domain.NodeID) Record {
	server := pick[domain.ServerID](t, "s", 2)
	model := pick[domain.ModelName](t, "m", 3)
	lease, _ := w.state.Lease(server)
	fence := lease.Fence
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		fence = domain.Fence(rapid.Uint64Range(0, uint64(w.offset)).Draw(t, "fence"))
	}
	key := CommandKey{byte(rapid.IntRange(1, 4).Draw(t, "key"))}
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1:
		return w.imported(t)
	case 2:
		facts := ServerFacts{Memory: domain.Bytes(rapid.IntRange(0, 12).Draw(t, "memory")), ChecksFences: server == "s1",
			Region: pick[domain.Region](t, "r", 2), Zone: "z"}
		return LeaseTaken{Server: server, Owner: n, Expect: w.state.LastFence(server), Facts: facts}
	case 3:
		return w.doubtCleared(t, server, fence)
	case 4, 5, 6:
		return PermitAttached{Model: model, Server: server, Fence: fence}
	case 7, 8:
		return PermitReleased{Model: model, Server: server, Fence: fence}
	case 9:
		return CommandClaimed{Key: key}
	case 10:
		return CommandFinished{Key: key, Status: 201, Body: []byte("done")}
	}
	return rapid.SampledFrom([]Record{CommandAbandoned{Key: key}, ServerGone{Server: server, Fence: fence},
		SnapshotChunk{Count: 1, Data: []byte{1}}}).Draw(t, "rare")
}

func (w *world) doubtCleared(t *rapid.T, server domain.ServerID, fence domain.Fence) Record {
	lease, _ := w.state.Lease(server)
	r := DoubtCleared{Server: server, Fence: fence, Proof: DoubtProof(rapid.IntRange(0, 3).Draw(t, "proof"))}
	if len(lease.Doubts) > 0 {
		r.Earlier = rapid.SampledFrom(lease.Doubts).Draw(t, "doubt").Fence
	}
	return r
}

// imported draws operator records after the configuration offset, or a stale one.
func (w *world) imported(t *rapid.T) Record {
	after := w.state.ConfigurationOffset()
	if after > 0 && rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		after--
	}
	r := ConfigurationImported{After: after, Through: after + domain.Offset(rapid.IntRange(1, 3).Draw(t, "through"))}
	for o := after + 1; o <= r.Through; o++ {
		if rapid.IntRange(0, 5).Draw(t, "undecodable") > 0 {
			r.Changes = append(r.Changes, Change{Offset: o, Record: change(t)})
		}
	}
	return r
}

func change(t *rapid.T) configuration.Record {
	model := pick[domain.ModelName](t, "m", 3)
	memory := domain.Bytes(rapid.IntRange(-1, 7).Draw(t, "memory"))
	var r configuration.Record
	switch rapid.IntRange(0, 5).Draw(t, "object") {
	case 0, 1, 2:
		r.Model = &configuration.Model{Name: model, Memory: memory, Copies: domain.Copies(rapid.IntRange(0, 2).Draw(t, "copies")),
			Paused: rapid.IntRange(0, 6).Draw(t, "paused") == 0}
		if rapid.IntRange(0, 3).Draw(t, "regional") == 0 {
			r.Model.Regions = []domain.Region{"r1"}
		}
	case 3:
		r.Adapter = &configuration.Adapter{Name: "a", Model: model, Memory: memory}
	case 4:
		r.Drain = &configuration.Drain{Server: "s1", Off: rapid.Bool().Draw(t, "off")}
	case 5:
		r.Remove = &configuration.Remove{Kind: rapid.SampledFrom([]configuration.Kind{configuration.KindModel,
			configuration.KindAdapter}).Draw(t, "removed"), Name: string(model)}
		if r.Remove.Kind == configuration.KindAdapter {
			r.Remove.Name += ":a"
		}
	}
	if rapid.IntRange(0, 5).Draw(t, "expects") == 0 {
		expect := domain.Offset(rapid.IntRange(0, 9).Draw(t, "expect"))
		r.Expect = &expect
	}
	return r
}

// before is what the state was ahead of a batch.
type before struct {
	configuration domain.Offset
	fences        map[domain.ServerID]domain.Fence
	permits       map[domain.ModelName][]Permit
	leases        map[domain.ServerID]Lease
	snapshot      Snapshot
}

func (w *world) before() before {
	b := before{configuration: w.state.ConfigurationOffset(), fences: map[domain.ServerID]domain.Fence{},
		permits: map[domain.ModelName][]Permit{}, leases: map[domain.ServerID]Lease{}, snapshot: w.state.Snapshot()}
	for _, n := range []domain.ServerID{"s1", "s2"} {
		b.fences[n] = w.state.LastFence(n)
		b.leases[n], _ = w.state.Lease(n)
	}
	for _, n := range []domain.ModelName{"m1", "m2", "m3"} {
		b.permits[n] = w.state.Permits(n)
	}
	return b
}

// check asserts what must hold after every record.
func (w *world) check(t *rapid.T, b before) {
	s := &w.state
	if s.ConfigurationOffset() < b.configuration {
		t.Fatalf("configuration went from %d to %d", b.configuration, s.ConfigurationOffset())
	}
	for n, f := range b.fences {
		if s.LastFence(n) < f {
			t.Fatalf("fence of %s went from %d to %d", n, f, s.LastFence(n))
		}
		w.checkServer(t, n)
	}
	for n, permits := range b.permits {
		w.checkModel(t, n, permits)
	}
}

func (w *world) checkServer(t *rapid.T, n domain.ServerID) {
	l, _ := w.state.Lease(n)
	var sum domain.Bytes
	seen := map[domain.ModelName]bool{}
	for _, p := range w.state.ServerPermits(n) {
		if seen[p.Model] {
			t.Fatalf("two permits for %s at %s", p.Model, n)
		}
		seen[p.Model] = true
		if !p.Revoked && p.Size < w.state.PermitSize(p.Model) {
			t.Fatalf("usable permit %+v is smaller than the model with its adapters", p)
		}
		if sum += p.Size; !p.Revoked && !l.Facts.ChecksFences && sum > l.Facts.Memory {
			t.Fatalf("permits at %s take %d of %d", n, sum, l.Facts.Memory)
		}
	}
}

// checkModel asserts that permits beyond the limit are only kept, never added,
// and are all but the earliest revoked.
func (w *world) checkModel(t *rapid.T, n domain.ModelName, earlier []Permit) {
	m, _ := w.state.Model(n)
	now := w.state.Permits(n)
	usable := 0
	for _, p := range now {
		if !p.Revoked {
			usable++
		}
		if !slices.ContainsFunc(earlier, func(q Permit) bool { return p.Server == q.Server && p.AttachedAt == q.AttachedAt }) &&
			len(now) > int(m.Copies) {
			t.Fatalf("permit of %s attached beyond %d copies: %v", n, m.Copies, now)
		}
	}
	if usable > int(m.Copies) || m.Paused && usable > 0 {
		t.Fatalf("%d usable permits of %s, want at most %d", usable, n, m.Copies)
	}
}

// apply folds a one-record batch at a time, so that check runs after every record.
func (w *world) apply(t *rapid.T, b Batch) {
	for i := range b.Records {
		one := b
		one.First, one.Records = b.First+domain.Sequence(i), b.Records[i:i+1]
		was := w.before()
		w.offset++
		got := w.state.Apply(w.offset, one)[0].Rejection
		w.check(t, was)
		w.checkOnce(t, one, was, got)
		if got == Accepted {
			w.checkAccepted(t, one, was)
		}
	}
}

// checkOnce asserts that a sequence changes the state only the first time.
func (w *world) checkOnce(t *rapid.T, b Batch, was before, got Rejection) {
	if b.First > w.applied[b.Node] {
		w.applied[b.Node] = b.First
		return
	}
	now := w.state.Snapshot()
	now.Offset, now.Nodes = was.snapshot.Offset, was.snapshot.Nodes
	if got != Duplicate || !reflect.DeepEqual(now, was.snapshot) {
		t.Fatalf("sequence %d of %s applied again: %v", b.First, b.Node, got)
	}
}

// checkAccepted asserts what an accepted record needs.
func (w *world) checkAccepted(t *rapid.T, b Batch, was before) {
	switch r := b.Records[0].(type) {
	case CommandClaimed:
		if len(w.holders[r.Key]) > 0 {
			t.Fatalf("key %v has two holders", r.Key[0])
		}
		w.holders[r.Key] = map[domain.NodeID]bool{b.Node: true}
	case CommandAbandoned:
		if !w.holders[r.Key][b.Node] {
			t.Fatalf("key %v abandoned by %s, which does not hold it", r.Key[0], b.Node)
		}
		delete(w.holders, r.Key)
	case PermitAttached:
		w.checkOwner(t, b.Node, was.leases[r.Server], r.Fence)
		w.checkRoom(t, r.Server)
	case PermitReleased:
		w.checkOwner(t, b.Node, was.leases[r.Server], r.Fence)
		w.checkCertain(t, r, was)
	case ConfigurationImported:
		w.checkVersions(t, r)
	}
}

func (w *world) checkOwner(t *rapid.T, n domain.NodeID, l Lease, f domain.Fence) {
	if l.Owner != n || l.Fence != f {
		t.Fatalf("accepted from %s under %d, the lease is %+v", n, f, l)
	}
}

// checkRoom asserts that what was attached last fits a server that ignores fences
// beside everything else.
func (w *world) checkRoom(t *rapid.T, n domain.ServerID) {
	l, _ := w.state.Lease(n)
	var sum domain.Bytes
	for _, p := range w.state.ServerPermits(n) {
		sum += p.Size
	}
	if !l.Facts.ChecksFences && sum > l.Facts.Memory {
		t.Fatalf("permits at %s take %d of %d", n, sum, l.Facts.Memory)
	}
}

// checkCertain asserts that no earlier owner could load under a released permit.
func (w *world) checkCertain(t *rapid.T, r PermitReleased, was before) {
	for _, p := range was.permits[r.Model] {
		for _, d := range was.leases[r.Server].Doubts {
			if p.Server == r.Server && p.AttachedAt < d.Until {
				t.Fatalf("permit %+v released while %+v is in doubt", p, d)
			}
		}
	}
}

// checkVersions asserts that records with a precondition took effect only where
// it held.
func (w *world) checkVersions(t *rapid.T, r ConfigurationImported) {
	for _, c := range r.Changes {
		name, removes := subject(c.Record)
		got, known := w.state.ConfigurationResult(c.Offset)
		if !known {
			t.Fatalf("result of %d is lost", c.Offset)
		}
		if got != Accepted {
			continue
		}
		if c.Record.Expect != nil && *c.Record.Expect != w.versions[name] {
			t.Fatalf("%s expected version %d and replaced %d", name, *c.Record.Expect, w.versions[name])
		}
		w.versions[name] = c.Offset
		if removes {
			delete(w.versions, name)
		}
	}
}

func subject(r configuration.Record) (string, bool) {
	switch {
	case r.Model != nil:
		return "model " + string(r.Model.Name), false
	case r.Adapter != nil:
		return "adapter " + string(r.Adapter.Model) + ":a", false
	case r.Remove != nil && r.Remove.Kind == configuration.KindAdapter:
		return "adapter " + r.Remove.Name, true
	case r.Remove != nil:
		return "model " + r.Remove.Name, true
	}
	return "drain", r.Drain.Off
}

// TestInvariantEveryRecordKeepsThePromises folds random interleavings with
// duplicates and stale records.
func TestInvariantEveryRecordKeepsThePromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			w.apply(t, w.batch(t))
		}
	})
}

// TestInvariantSnapshotAndRestEqualWhole folds a prefix, restores its snapshot and
// folds the rest.
func TestInvariantSnapshotAndRestEqualWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		restored := restoreAgain(t, &w.state)
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				restored = restoreAgain(t, restored)
			}
			b := w.batch(t)
			w.offset++
			got := restored.Apply(w.offset, b)
			if want := w.state.Apply(w.offset, b); !slices.Equal(got, want) {
				t.Fatalf("outcomes: got %v, want %v", got, want)
			}
			if got, want := restored.Snapshot(), w.state.Snapshot(); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

func restoreAgain(t *rapid.T, s *State) *State {
	r, err := Restore(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return r
}
