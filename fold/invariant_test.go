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

// simulation draws batches, applies them to a State and checks the invariants. It has few
// nodes, servers, models and keys, so that records often conflict.
type simulation struct {
	state State
	// offset is the decision offset of the last applied batch.
	offset domain.Offset
	// lastSequences has the last sequence that each node proposed.
	lastSequences map[domain.NodeID]domain.Sequence
	// drawnBatches are the batches drawn so far, any of which may be applied again.
	drawnBatches []Batch
	// appliedSequences has the highest applied sequence of each node.
	appliedSequences map[domain.NodeID]domain.Sequence
	// holders has the node that holds the claim of each key.
	holders map[CommandKey]map[domain.NodeID]bool
	// versions has the expected version of each object, by objectName.
	versions map[string]domain.Offset
}

// newSimulation returns a simulation with three models and an owner for each server.
func newSimulation(t *rapid.T) *simulation {
	w := &simulation{lastSequences: map[domain.NodeID]domain.Sequence{}, appliedSequences: map[domain.NodeID]domain.Sequence{},
		holders: map[CommandKey]map[domain.NodeID]bool{}, versions: map[string]domain.Offset{}}
	r := ConfigurationImported{Through: 3}
	for i, n := range []domain.ModelName{"m1", "m2", "m3"} {
		m := configuration.Model{Name: n, Memory: 4, Copies: domain.ReplicaCount(rapid.IntRange(1, 2).Draw(t, "copies"))}
		r.Changes = append(r.Changes, Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &m}})
	}
	b := Batch{Node: "n1", First: 1, Records: []Record{r}}
	for _, n := range []domain.ServerID{"s1", "s2"} {
		b.Records = append(b.Records, LeaseTaken{Server: n, Owner: drawName[domain.NodeID](t, "n", 3),
			Facts: ServerFacts{Memory: 9, ChecksFences: n == "s1", Region: "r1", Zone: "z"}})
	}
	w.lastSequences["n1"] = 3
	w.apply(t, b)
	return w
}

// drawName draws one of the names prefix1 to prefixCOUNT.
func drawName[T ~string](t *rapid.T, prefix string, count int) T {
	return T(fmt.Sprint(prefix, rapid.IntRange(1, count).Draw(t, prefix)))
}

// drawBatch draws a new batch or repeats an earlier one.
func (w *simulation) drawBatch(t *rapid.T) Batch {
	if len(w.drawnBatches) > 0 && rapid.IntRange(0, 4).Draw(t, "again") == 0 {
		return rapid.SampledFrom(w.drawnBatches).Draw(t, "sent")
	}
	n := drawName[domain.NodeID](t, "n", 3)
	if l, ok := w.state.Lease(drawName[domain.ServerID](t, "s", 2)); ok && rapid.Bool().Draw(t, "asOwner") {
		n = l.Owner
	}
	b := Batch{Node: n, First: w.lastSequences[n] + 1}
	for range rapid.IntRange(1, 3).Draw(t, "records") {
		b.Records = append(b.Records, w.drawRecord(t, n))
	}
	w.lastSequences[n] += domain.Sequence(len(b.Records))
	w.drawnBatches = append(w.drawnBatches, b)
	return b
}

func (w *simulation) drawRecord(t *rapid.T, n domain.NodeID) Record {
	server := drawName[domain.ServerID](t, "s", 2)
	model := drawName[domain.ModelName](t, "m", 3)
	lease, _ := w.state.Lease(server)
	fence := lease.Fence
	if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
		fence = domain.Fence(rapid.Uint64Range(0, uint64(w.offset)).Draw(t, "fence"))
	}
	key := CommandKey{byte(rapid.IntRange(1, 4).Draw(t, "key"))}
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0, 1:
		return w.drawImport(t)
	case 2:
		facts := ServerFacts{Memory: domain.Bytes(rapid.IntRange(0, 12).Draw(t, "memory")), ChecksFences: server == "s1",
			Region: drawName[domain.Region](t, "r", 2), Zone: "z"}
		return LeaseTaken{Server: server, Owner: n, Expect: w.state.LastFence(server), Facts: facts}
	case 3:
		return w.drawDoubtCleared(t, server, fence)
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

func (w *simulation) drawDoubtCleared(t *rapid.T, server domain.ServerID, fence domain.Fence) Record {
	lease, _ := w.state.Lease(server)
	r := DoubtCleared{Server: server, Fence: fence, Proof: DoubtProof(rapid.IntRange(0, 3).Draw(t, "proof"))}
	if len(lease.Doubts) > 0 {
		r.EarlierFence = rapid.SampledFrom(lease.Doubts).Draw(t, "doubt").Fence
	}
	return r
}

// drawImport draws operator records after the current configuration offset, or after a
// stale one.
func (w *simulation) drawImport(t *rapid.T) Record {
	after := w.state.ConfigurationOffset()
	if after > 0 && rapid.IntRange(0, 4).Draw(t, "late") == 0 {
		after--
	}
	r := ConfigurationImported{After: after, Through: after + domain.Offset(rapid.IntRange(1, 3).Draw(t, "through"))}
	for o := after + 1; o <= r.Through; o++ {
		if rapid.IntRange(0, 5).Draw(t, "undecodable") > 0 {
			r.Changes = append(r.Changes, Change{Offset: o, Record: drawOperatorRecord(t)})
		}
	}
	return r
}

func drawOperatorRecord(t *rapid.T) configuration.Record {
	model := drawName[domain.ModelName](t, "m", 3)
	memory := domain.Bytes(rapid.IntRange(-1, 7).Draw(t, "memory"))
	var r configuration.Record
	switch rapid.IntRange(0, 5).Draw(t, "object") {
	case 0, 1, 2:
		r.Model = &configuration.Model{Name: model, Memory: memory, Copies: domain.ReplicaCount(rapid.IntRange(0, 2).Draw(t, "copies")),
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

// observedState is a copy of the parts of a State that the checks compare.
type observedState struct {
	configurationOffset domain.Offset
	fences              map[domain.ServerID]domain.Fence
	permits             map[domain.ModelName][]Permit
	leases              map[domain.ServerID]Lease
	snapshot            Snapshot
}

func (w *simulation) observeState() observedState {
	b := observedState{configurationOffset: w.state.ConfigurationOffset(), fences: map[domain.ServerID]domain.Fence{},
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

// check asserts the invariants that must hold after every record.
func (w *simulation) check(t *rapid.T, previous observedState) {
	s := &w.state
	if s.ConfigurationOffset() < previous.configurationOffset {
		t.Fatalf("configuration went from %d to %d", previous.configurationOffset, s.ConfigurationOffset())
	}
	for n, f := range previous.fences {
		if s.LastFence(n) < f {
			t.Fatalf("fencing token of %s went from %d to %d", n, f, s.LastFence(n))
		}
		w.checkServer(t, n)
	}
	for n, permits := range previous.permits {
		w.checkModel(t, n, permits)
	}
}

// checkServer asserts that a model has at most one permit at a server and that the permits
// that are not revoked are large enough. On a server that ignores fencing tokens they must
// also fit its memory.
func (w *simulation) checkServer(t *rapid.T, n domain.ServerID) {
	l, _ := w.state.Lease(n)
	var sum domain.Bytes
	seen := map[domain.ModelName]bool{}
	for _, p := range w.state.ServerPermits(n) {
		if seen[p.Model] {
			t.Fatalf("two permits for %s at %s", p.Model, n)
		}
		seen[p.Model] = true
		if !p.Revoked && p.Size < w.state.PermitSize(p.Model) {
			t.Fatalf("usable permit %+v is smaller than its model with all adapters", p)
		}
		if sum += p.Size; !p.Revoked && !l.Facts.ChecksFences && sum > l.Facts.Memory {
			t.Fatalf("permits at %s use %d of %d bytes", n, sum, l.Facts.Memory)
		}
	}
}

// checkModel asserts that no permit of a model is attached beyond its copies, and that no
// more permits than its copies are not revoked. A paused model has no copies. earlier are
// the permits before the last record.
func (w *simulation) checkModel(t *rapid.T, n domain.ModelName, earlier []Permit) {
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

// apply applies a batch one record at a time, so that check runs after every record.
func (w *simulation) apply(t *rapid.T, b Batch) {
	for i := range b.Records {
		recordBatch := b
		recordBatch.First, recordBatch.Records = b.First+domain.Sequence(i), b.Records[i:i+1]
		previous := w.observeState()
		w.offset++
		got := w.state.Apply(w.offset, recordBatch)[0].Rejection
		w.check(t, previous)
		w.checkDuplicate(t, recordBatch, previous, got)
		if got == Accepted {
			w.checkAccepted(t, recordBatch, previous)
		}
	}
}

// checkDuplicate asserts that a record whose sequence was applied before is rejected as
// Duplicate and changes nothing but the offsets of its batch.
func (w *simulation) checkDuplicate(t *rapid.T, b Batch, previous observedState, got Rejection) {
	if b.First > w.appliedSequences[b.Node] {
		w.appliedSequences[b.Node] = b.First
		return
	}
	now := w.state.Snapshot()
	now.Offset, now.Nodes = previous.snapshot.Offset, previous.snapshot.Nodes
	if got != Duplicate || !reflect.DeepEqual(now, previous.snapshot) {
		t.Fatalf("sequence %d of %s applied again: %v", b.First, b.Node, got)
	}
}

// checkAccepted asserts the preconditions of an accepted record.
func (w *simulation) checkAccepted(t *rapid.T, b Batch, previous observedState) {
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
		w.checkOwner(t, b.Node, previous.leases[r.Server], r.Fence)
		w.checkMemory(t, r.Server)
	case PermitReleased:
		w.checkOwner(t, b.Node, previous.leases[r.Server], r.Fence)
		w.checkNoDoubt(t, r, previous)
	case ConfigurationImported:
		w.checkVersions(t, r)
	}
}

func (w *simulation) checkOwner(t *rapid.T, n domain.NodeID, l Lease, f domain.Fence) {
	if l.Owner != n || l.Fence != f {
		t.Fatalf("accepted from %s under %d, the lease is %+v", n, f, l)
	}
}

// checkMemory asserts that the permits of a server that ignores fencing tokens fit its
// memory after a permit is attached.
func (w *simulation) checkMemory(t *rapid.T, n domain.ServerID) {
	l, _ := w.state.Lease(n)
	var sum domain.Bytes
	for _, p := range w.state.ServerPermits(n) {
		sum += p.Size
	}
	if !l.Facts.ChecksFences && sum > l.Facts.Memory {
		t.Fatalf("permits at %s use %d of %d bytes", n, sum, l.Facts.Memory)
	}
}

// checkNoDoubt asserts that no earlier owner could load under a released permit.
func (w *simulation) checkNoDoubt(t *rapid.T, r PermitReleased, previous observedState) {
	for _, p := range previous.permits[r.Model] {
		for _, d := range previous.leases[r.Server].Doubts {
			if p.Server == r.Server && p.AttachedAt < d.LeaseLostAt {
				t.Fatalf("permit %+v released while %+v is in doubt", p, d)
			}
		}
	}
}

// checkVersions asserts that each operator record has a result, and that one with an
// expected version took effect only if the object had this version.
func (w *simulation) checkVersions(t *rapid.T, r ConfigurationImported) {
	for _, c := range r.Changes {
		name, removes := objectName(c.Record)
		got, known := w.state.ConfigurationResult(c.Offset)
		if !known {
			t.Fatalf("operator record %d has no result", c.Offset)
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

// objectName returns a name for the object of a record, and whether the record removes it.
func objectName(r configuration.Record) (string, bool) {
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

// TestInvariantEveryRecordKeepsTheInvariants applies random interleavings with duplicate
// and stale records.
func TestInvariantEveryRecordKeepsTheInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "batches") {
			w.apply(t, w.drawBatch(t))
		}
	})
}

// TestInvariantSnapshotAndTailEqualFullLog guards against state that a Snapshot lacks. It
// compares a State that applied the whole log with one that was sometimes restored
// from a Snapshot.
func TestInvariantSnapshotAndTailEqualFullLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		restored := restoreFromSnapshot(t, &w.state)
		for range rapid.IntRange(1, 40).Draw(t, "batches") {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				restored = restoreFromSnapshot(t, restored)
			}
			b := w.drawBatch(t)
			w.offset++
			got := restored.Apply(w.offset, b)
			if want := w.state.Apply(w.offset, b); !slices.Equal(got, want) {
				t.Fatalf("results: got %v, want %v", got, want)
			}
			if got, want := restored.Snapshot(), w.state.Snapshot(); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

func restoreFromSnapshot(t *rapid.T, s *State) *State {
	r, err := Restore(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return r
}
