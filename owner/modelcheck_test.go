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

// explore visits every state within depth transitions of first. It returns the number of
// states, the number of transitions to the last of them and the first violation.
func explore(first *checkState, depth int) (int, int, string) {
	seed := maphash.MakeSeed()
	var b []byte
	seen := map[uint64]bool{maphash.Bytes(seed, first.appendCanonical(nil)): true}
	level := []*checkState{first}
	for steps := 1; steps <= depth; steps++ {
		var next []*checkState
		for _, w := range level {
			for _, c := range w.successors() {
				if v := c.violation(); v != "" {
					return len(seen), steps, v
				}
				b = c.appendCanonical(b[:0])
				if key := maphash.Bytes(seed, b); !seen[key] {
					seen[key] = true
					next = append(next, c)
				}
			}
		}
		if len(next) == 0 {
			return len(seen), steps - 1, ""
		}
		level = next
	}
	return len(seen), depth, ""
}

// ranks replaces values by their rank, so that two states are equal if they differ only
// in how many offsets or logical times have passed.
type ranks[T domain.Offset | LogicalTime] []T

func (r ranks[T]) rank(v T) int {
	i, _ := slices.BinarySearch(r, v)
	return i
}

func newRanks[T domain.Offset | LogicalTime](values []T) ranks[T] {
	slices.Sort(values)
	return slices.Compact(values)
}

// appendCanonical appends an encoding of the state in which offsets and logical times are
// ranks.
func (w *checkState) appendCanonical(b []byte) []byte {
	l, _ := w.state.Lease(theServer)
	r := newRanks(w.offsets(l))
	add := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
	}
	owner := l.Owner[0]
	add(int(owner), r.rank(domain.Offset(l.Fence)), w.incarnation, r.rank(domain.Offset(w.newestFence)), boolToInt(w.dead[0]), boolToInt(w.dead[1]),
		boolToInt(w.loaded[0]), boolToInt(w.loaded[1]), boolToInt(w.isBehind(0)), boolToInt(w.isBehind(1)), w.remaining.takeovers, w.remaining.loads,
		w.remaining.unloads, w.remaining.barriers, w.remaining.reads, w.remaining.restarts, w.remaining.lostResponses, w.remaining.deaths, len(l.Doubts), len(w.proposals))
	for _, p := range w.state.ServerPermits(theServer) {
		add(int(p.Model[0]), r.rank(p.AttachedAt))
	}
	for _, d := range l.Doubts {
		add(int(d.Owner[0]), r.rank(domain.Offset(d.Fence)), r.rank(d.Until))
	}
	for _, p := range w.proposals {
		kind, values := encodeProposal(p.record)
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

// offsets returns the log offsets that later transitions compare.
func (w *checkState) offsets(l fold.Lease) []domain.Offset {
	all := []domain.Offset{0, domain.Offset(l.Fence), domain.Offset(w.newestFence)}
	for _, p := range w.state.ServerPermits(theServer) {
		all = append(all, p.AttachedAt)
	}
	for _, d := range l.Doubts {
		all = append(all, domain.Offset(d.Fence), d.Until)
	}
	for _, o := range w.orders {
		all = append(all, domain.Offset(o.fence))
	}
	for _, a := range w.accounts {
		all = append(all, a.offsets()...)
	}
	for _, p := range w.proposals {
		_, values := encodeProposal(p.record)
		all = append(all, values...)
	}
	return all
}

// timeRanks ranks the logical times that later transitions of an account compare.
func (w *checkState) timeRanks(i int) ranks[LogicalTime] {
	a := w.accounts[i]
	all := []LogicalTime{0, a.barrierConfirmedAt, a.leaseSetAt, a.restartSeenAt}
	for _, e := range a.entries {
		all = append(all, e.startedAt, e.changedAt, e.invalidatedAt)
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
		all = append(all, domain.Offset(d.Fence), d.Until)
	}
	return all
}

func (a *Account) appendCanonical(b []byte, r ranks[domain.Offset], m ranks[LogicalTime]) []byte {
	b = append(b, byte(r.rank(domain.Offset(a.fence))), byte(m.rank(a.barrierConfirmedAt)), byte(m.rank(a.leaseSetAt)), byte(m.rank(a.restartSeenAt)),
		byte(boolToInt(a.stateRead)), byte(len(a.doubts)), byte(len(a.permits)))
	b = append(b, a.incarnation...)
	for _, n := range models {
		if p, ok := a.permits[n]; ok {
			b = append(b, n[0], byte(r.rank(p.AttachedAt)))
		}
	}
	for _, d := range a.doubts {
		b = append(b, d.Owner[0], byte(r.rank(domain.Offset(d.Fence))), byte(r.rank(d.Until)))
	}
	for _, n := range models {
		e := a.entries[n]
		if e == nil {
			continue
		}
		b = append(b, n[0], byte(e.presence), byte(e.reserved), byte(e.loads), byte(e.unloads), byte(e.unknownOutcomes),
			byte(boolToInt(e.releasing)), byte(m.rank(e.startedAt)), byte(m.rank(e.changedAt)), byte(m.rank(e.invalidatedAt)), byte(len(e.observedIncarnation)))
		b = append(b, e.observedIncarnation...)
	}
	return b
}

// encodeProposal returns a number for the kind and content of a proposal, and the offsets
// in it.
func encodeProposal(r fold.Record) (int, []domain.Offset) {
	switch r := r.(type) {
	case fold.LeaseTaken:
		return 1, []domain.Offset{domain.Offset(r.Expect)}
	case fold.DoubtCleared:
		return 2 + int(r.Proof), []domain.Offset{domain.Offset(r.Fence), domain.Offset(r.Earlier)}
	case fold.PermitAttached:
		return 10 + int(r.Model[0]), []domain.Offset{domain.Offset(r.Fence)}
	case fold.PermitReleased:
		return 20 + int(r.Model[0]), []domain.Offset{domain.Offset(r.Fence)}
	}
	return 0, nil
}

// extraDepth adds transitions to the depth of every scenario.
var extraDepth = flag.Int("takeover.deeper", 0, "transitions beyond the usual depth of the takeover model check")

// scenarios are the budgets that the model check explores, to fencingDepth if the engine
// checks fencing tokens and to noFencingDepth if it ignores them. Those with
// afterTakeover start when B has taken the lease from A, which has an order to send.
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

// startTakeover gives the lease to B while A is paused with an order to load a.
func (w *checkState) startTakeover() {
	_ = w.account(0).StartLoad("a")
	w.orders = append(w.orders, order{node: 0, kind: engine.LoadModel, model: "a", fence: w.accounts[0].Fence()})
	w.apply(1, fold.LeaseTaken{Server: theServer, Owner: "B", Expect: w.accounts[0].Fence(),
		Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: w.checksFences}})
	w.applyLog(1)
	if b := w.account(1); w.checksFences {
		b.FinishBarrier(b.Now(), b.Fence(), engine.Done)
		w.newestFence = b.Fence()
	}
}

// TestInvariantTakeoverKeepsCopiesAndMemory explores the takeover of an engine by a
// second owner, with late and lost orders, pauses, a death and a restart. It guards
// against a load without a permit, which would exceed the copies of a model, and against
// loads that exceed the memory of the engine.
func TestInvariantTakeoverKeepsCopiesAndMemory(t *testing.T) {
	for _, c := range scenarios {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, engine checks fencing tokens %v", c.name, checks), func(t *testing.T) {
				t.Parallel()
				depthLimit := c.noFencingDepth
				if checks {
					depthLimit = c.fencingDepth
				}
				w := newCheckState(checks, c.budget)
				if c.afterTakeover {
					w.startTakeover()
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
