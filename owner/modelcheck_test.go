package owner

import (
	"flag"
	"fmt"
	"hash/maphash"
	"slices"
	"testing"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

type modelName = domain.ModelName

// explore visits every state within depth transitions of initial, breadth first. It returns
// the number of different states, the number of transitions to the last of them and the
// first violation, or "".
func explore(initial *checkState, depth int) (int, int, string) {
	seed := maphash.MakeSeed()
	var b []byte
	seen := map[uint64]bool{maphash.Bytes(seed, initial.appendCanonical(nil)): true}
	frontier := []*checkState{initial}
	for depthReached := 1; depthReached <= depth; depthReached++ {
		var next []*checkState
		for _, w := range frontier {
			for _, c := range w.successors() {
				if v := c.violation(); v != "" {
					return len(seen), depthReached, v
				}
				b = c.appendCanonical(b[:0])
				if key := maphash.Bytes(seed, b); !seen[key] {
					seen[key] = true
					next = append(next, c)
				}
			}
		}
		if len(next) == 0 {
			return len(seen), depthReached - 1, ""
		}
		frontier = next
	}
	return len(seen), depth, ""
}

// ranks is a sorted list of different offsets or logical times. The rank of a value is its
// index in the list.
type ranks[T domain.Offset | LogicalTime] []T

func (r ranks[T]) rank(v T) int {
	i, _ := slices.BinarySearch(r, v)
	return i
}

func newRanks[T domain.Offset | LogicalTime](values []T) ranks[T] {
	slices.Sort(values)
	return slices.Compact(values)
}

// appendCanonical appends an encoding of the state. It replaces offsets and logical times by
// their ranks, so that states that differ only in absolute values encode equally.
func (w *checkState) appendCanonical(b []byte) []byte {
	l, _ := w.state.Lease(testServer)
	r := newRanks(w.offsets(l))
	add := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
	}
	owner := l.Owner[0]
	add(int(owner), r.rank(domain.Offset(l.Fence)), w.engineIncarnation, r.rank(domain.Offset(w.engineFence)), boolToInt(w.nodeDead[0]), boolToInt(w.nodeDead[1]),
		boolToInt(w.modelLoaded[0]), boolToInt(w.modelLoaded[1]), boolToInt(w.isBehind(0)), boolToInt(w.isBehind(1)), w.remainingBudget.takeovers, w.remainingBudget.loads,
		w.remainingBudget.unloads, w.remainingBudget.barriers, w.remainingBudget.reads, w.remainingBudget.restarts, w.remainingBudget.lostResponses, w.remainingBudget.deaths, len(l.Doubts), len(w.proposals))
	for _, p := range w.state.ServerPermits(testServer) {
		add(int(p.Model[0]), r.rank(p.AttachedAt))
	}
	for _, d := range l.Doubts {
		add(int(d.Owner[0]), r.rank(domain.Offset(d.Fence)), r.rank(d.LeaseLostAt))
	}
	for _, p := range w.proposals {
		kind, values := proposalKindAndOffsets(p.record)
		add(p.node, kind)
		for _, o := range values {
			add(r.rank(o))
		}
	}
	for i, a := range w.accounts {
		b = a.appendCanonical(b, r, w.timeRanks(i))
	}
	for _, o := range w.orders {
		add(o.node, int(o.kind), len(o.model), r.rank(domain.Offset(o.fence)), w.timeRanks(o.node).rank(o.issuedAt), boolToInt(o.sent), o.incarnation,
			boolToInt(o.delivered), int(o.status), boolToInt(o.finished))
		b = append(b, o.model...)
	}
	return b
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// offsets returns every log offset in the state that a later transition may compare. l is the
// lease in the state.
func (w *checkState) offsets(l fold.Lease) []domain.Offset {
	all := []domain.Offset{0, domain.Offset(l.Fence), domain.Offset(w.engineFence)}
	for _, p := range w.state.ServerPermits(testServer) {
		all = append(all, p.AttachedAt)
	}
	for _, d := range l.Doubts {
		all = append(all, domain.Offset(d.Fence), d.LeaseLostAt)
	}
	for _, o := range w.orders {
		all = append(all, domain.Offset(o.fence))
	}
	for _, a := range w.accounts {
		all = append(all, a.offsets()...)
	}
	for _, p := range w.proposals {
		_, values := proposalKindAndOffsets(p.record)
		all = append(all, values...)
	}
	return all
}

// timeRanks returns the ranks of the logical times of node i that a later transition may
// compare.
func (w *checkState) timeRanks(i int) ranks[LogicalTime] {
	a := w.accounts[i]
	all := []LogicalTime{0, a.barrierConfirmedAt, a.leaseSetAt, a.restartSeenAt}
	for _, e := range a.entries {
		all = append(all, e.lastIssuedAt, e.orderChangedAt, e.invalidatedAt)
	}
	for _, o := range w.orders {
		if o.node == i {
			all = append(all, o.issuedAt)
		}
	}
	return newRanks(all)
}

func (a *Account) offsets() []domain.Offset {
	all := []domain.Offset{domain.Offset(a.fence)}
	for _, p := range a.permits {
		all = append(all, p.AttachedAt)
	}
	for _, d := range a.doubts {
		all = append(all, domain.Offset(d.Fence), d.LeaseLostAt)
	}
	return all
}

func (a *Account) appendCanonical(b []byte, r ranks[domain.Offset], m ranks[LogicalTime]) []byte {
	b = append(b, byte(r.rank(domain.Offset(a.fence))), byte(m.rank(a.barrierConfirmedAt)), byte(m.rank(a.leaseSetAt)), byte(m.rank(a.restartSeenAt)),
		byte(boolToInt(a.hasCurrentState)), byte(len(a.doubts)), byte(len(a.permits)))
	b = append(b, a.incarnation...)
	for _, n := range models {
		if p, ok := a.permits[n]; ok {
			b = append(b, n[0], byte(r.rank(p.AttachedAt)))
		}
	}
	for _, d := range a.doubts {
		b = append(b, d.Owner[0], byte(r.rank(domain.Offset(d.Fence))), byte(r.rank(d.LeaseLostAt)))
	}
	for _, n := range models {
		e := a.entries[n]
		if e == nil {
			continue
		}
		b = append(b, n[0], byte(e.presence), byte(e.reservedMemory), byte(e.loadsInFlight), byte(e.unloadsInFlight), byte(e.unknownOutcomes),
			byte(boolToInt(e.releasing)), byte(m.rank(e.lastIssuedAt)), byte(m.rank(e.orderChangedAt)), byte(m.rank(e.invalidatedAt)), byte(len(e.observedIncarnation)))
		b = append(b, e.observedIncarnation...)
	}
	return b
}

// proposalKindAndOffsets returns a number that identifies the kind of a proposal with its
// proof or model, and the fencing tokens in it as offsets.
func proposalKindAndOffsets(r fold.Record) (int, []domain.Offset) {
	switch r := r.(type) {
	case fold.LeaseTaken:
		return 1, []domain.Offset{domain.Offset(r.Expect)}
	case fold.DoubtCleared:
		return 2 + int(r.Proof), []domain.Offset{domain.Offset(r.Fence), domain.Offset(r.EarlierFence)}
	case fold.PermitAttached:
		return 10 + int(r.Model[0]), []domain.Offset{domain.Offset(r.Fence)}
	case fold.PermitReleased:
		return 20 + int(r.Model[0]), []domain.Offset{domain.Offset(r.Fence)}
	}
	return 0, nil
}

// extraDepth is added to the depth of every scenario.
var extraDepth = flag.Int("takeover.deeper", 0, "transitions beyond the usual depth of the takeover model check")

// scenarios are the starts and budgets that the model check explores. It explores to
// fencingDepth if the engine checks fencing tokens, and to noFencingDepth if it ignores
// them. A scenario with afterTakeover starts in the state of takeOverWhileOwnerIsPaused.
var scenarios = []struct {
	name                         string
	afterTakeover                bool
	fencingDepth, noFencingDepth int
	budget                       budget
}{
	{"late orders of one owner", false, 8, 14, budget{loads: 2, unloads: 1, reads: 1, restarts: 1, lostResponses: 1}},
	{"paused owner", false, 8, 13, budget{takeovers: 1, loads: 1, unloads: 1, barriers: 1, reads: 1}},
	{"after a takeover", true, 9, 18, budget{loads: 1, unloads: 1, reads: 1, lostResponses: 1}},
	{"owner dies", true, 8, 14, budget{loads: 1, unloads: 1, reads: 1, lostResponses: 1, deaths: 1}},
	{"lease returns", true, 7, 11, budget{takeovers: 1, unloads: 1, barriers: 1, reads: 1, lostResponses: 1}},
	{"restart during takeover", true, 8, 12, budget{loads: 1, unloads: 1, barriers: 1, reads: 2, restarts: 1}},
}

// takeOverWhileOwnerIsPaused lets node A issue an order to load model a, which it has not
// sent yet, and gives the lease to node B, which has passed its barrier. A has not applied
// the loss of the lease.
func (w *checkState) takeOverWhileOwnerIsPaused() {
	_ = w.account(0).StartLoad("a")
	w.orders = append(w.orders, order{node: 0, kind: engine.LoadModel, model: "a", fence: w.accounts[0].Fence()})
	w.apply(1, fold.LeaseTaken{Server: testServer, Owner: "B", Expect: w.accounts[0].Fence(),
		Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: w.checksFences}})
	w.applyLog(1)
	if b := w.account(1); w.checksFences {
		b.FinishBarrier(b.Now(), b.Fence(), engine.Done)
		w.engineFence = b.Fence()
	}
}

// TestInvariantTakeoverKeepsCopyAndMemoryLimits explores the takeover of an engine by a
// second owner, with delayed orders, lost responses, paused owners, the death of an owner and
// restarts of the engine. It guards against a replica without a permit, which would exceed
// the copies of its model, and against replicas that exceed the memory of the engine.
func TestInvariantTakeoverKeepsCopyAndMemoryLimits(t *testing.T) {
	for _, c := range scenarios {
		for _, checksFences := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, engine checks fencing tokens %v", c.name, checksFences), func(t *testing.T) {
				t.Parallel()
				depthLimit := c.noFencingDepth
				if checksFences {
					depthLimit = c.fencingDepth
				}
				w := newCheckState(checksFences, c.budget)
				if c.afterTakeover {
					w.takeOverWhileOwnerIsPaused()
				}
				states, depth, violation := explore(w, depthLimit+*extraDepth)
				t.Logf("%d states within %d transitions", states, depth)
				if violation != "" {
					t.Error(violation)
				}
			})
		}
	}
}
