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

// explore visits every state within depth steps. It returns how many there are,
// how many steps lead to the last of them, and the first violation.
func explore(first *takeover, depth int) (int, int, string) {
	seed := maphash.MakeSeed()
	var b []byte
	seen := map[uint64]bool{maphash.Bytes(seed, first.canonical(nil)): true}
	level := []*takeover{first}
	for steps := 1; steps <= depth; steps++ {
		var next []*takeover
		for _, w := range level {
			for _, c := range w.successors() {
				if v := c.violation(); v != "" {
					return len(seen), steps, v
				}
				b = c.canonical(b[:0])
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

// ranks numbers values by their order, so that states which differ in how long
// they took are the same.
type ranks[T domain.Offset | LogicalTime] []T

func (r ranks[T]) of(v T) int {
	i, _ := slices.BinarySearch(r, v)
	return i
}

func newRanks[T domain.Offset | LogicalTime](values []T) ranks[T] {
	slices.Sort(values)
	return slices.Compact(values)
}

// canonical writes the state with offsets and marks as ranks.
func (w *takeover) canonical(b []byte) []byte {
	l, _ := w.state.Lease(theServer)
	r := newRanks(w.offsets(l))
	add := func(values ...int) {
		for _, v := range values {
			b = append(b, byte(v))
		}
	}
	owner := l.Owner[0]
	add(int(owner), r.of(domain.Offset(l.Fence)), w.life, r.of(domain.Offset(w.newest)), number(w.dead[0]), number(w.dead[1]),
		number(w.loaded[0]), number(w.loaded[1]), number(w.behind(0)), number(w.behind(1)), w.left.takeovers, w.left.loads,
		w.left.unloads, w.left.barriers, w.left.reads, w.left.restarts, w.left.lost, w.left.deaths, len(l.Doubts), len(w.proposals))
	for _, p := range w.state.ServerPermits(theServer) {
		add(int(p.Model[0]), r.of(p.AttachedAt))
	}
	for _, d := range l.Doubts {
		add(int(d.Owner[0]), r.of(domain.Offset(d.Fence)), r.of(d.Until))
	}
	for _, p := range w.proposals {
		kind, values := describe(p.record)
		add(p.by, kind)
		for _, o := range values {
			add(r.of(o))
		}
	}
	for i, a := range w.accounts {
		b = a.canonical(b, r, w.marks(i))
	}
	for _, o := range w.orders {
		add(o.by, int(o.kind), len(o.model), r.of(domain.Offset(o.fence)), w.marks(o.by).of(o.mark), number(o.sent), o.life,
			number(o.delivered), int(o.status), number(o.finished))
		b = append(b, o.model...)
	}
	return b
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// offsets are the log offsets that the state still compares.
func (w *takeover) offsets(l fold.Lease) []domain.Offset {
	all := []domain.Offset{0, domain.Offset(l.Fence), domain.Offset(w.newest)}
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
		_, values := describe(p.record)
		all = append(all, values...)
	}
	return all
}

// marks ranks the moments that an account still compares.
func (w *takeover) marks(i int) ranks[LogicalTime] {
	a := w.accounts[i]
	all := []LogicalTime{0, a.barrierAt, a.leaseAt, a.restartAt}
	for _, e := range a.entries {
		all = append(all, e.started, e.changed, e.doubted)
	}
	for _, o := range w.orders {
		if o.by == i {
			all = append(all, o.mark)
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

func (a *Account) canonical(b []byte, r ranks[domain.Offset], m ranks[LogicalTime]) []byte {
	b = append(b, byte(r.of(domain.Offset(a.fence))), byte(m.of(a.barrierAt)), byte(m.of(a.leaseAt)), byte(m.of(a.restartAt)),
		byte(number(a.settled)), byte(len(a.doubts)), byte(len(a.permits)))
	b = append(b, a.incarnation...)
	for _, n := range models {
		if p, ok := a.permits[n]; ok {
			b = append(b, n[0], byte(r.of(p.AttachedAt)))
		}
	}
	for _, d := range a.doubts {
		b = append(b, d.Owner[0], byte(r.of(domain.Offset(d.Fence))), byte(r.of(d.Until)))
	}
	for _, n := range models {
		e := a.entries[n]
		if e == nil {
			continue
		}
		b = append(b, n[0], byte(e.presence), byte(e.reserved), byte(e.loads), byte(e.unloads), byte(e.unclear),
			byte(number(e.releasing)), byte(m.of(e.started)), byte(m.of(e.changed)), byte(m.of(e.doubted)), byte(len(e.since)))
		b = append(b, e.since...)
	}
	return b
}

// describe returns a number for what a proposal says and the offsets in it.
func describe(r fold.Record) (int, []domain.Offset) {
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

// deeper adds steps to every scenario, for a longer run than the usual one.
var deeper = flag.Int("takeover.deeper", 0, "steps beyond the usual depth of the model check of takeover")

// scenarios are the budgets that the model check explores, each to a depth for
// engines that check fences and one for those that ignore them. Those with taken set
// start after B took the lease of A, which has an order to send.
var scenarios = []struct {
	name            string
	taken           bool
	checks, ignores int
	left            budget
}{
	{"late orders of one owner", false, 8, 14, budget{loads: 2, unloads: 1, reads: 1, restarts: 1, lost: 1}},
	{"paused owner", false, 8, 13, budget{takeovers: 1, loads: 1, unloads: 1, barriers: 1, reads: 1}},
	{"after a takeover", true, 9, 18, budget{loads: 1, unloads: 1, reads: 1, lost: 1}},
	{"owner dies", true, 8, 14, budget{loads: 1, unloads: 1, reads: 1, lost: 1, deaths: 1}},
	{"lease returns", true, 7, 11, budget{takeovers: 1, unloads: 1, barriers: 1, reads: 1, lost: 1}},
	{"restart during takeover", true, 8, 12, budget{loads: 1, unloads: 1, barriers: 1, reads: 2, restarts: 1}},
}

// take lets B take the lease while A is paused with an order to load a.
func (w *takeover) take() {
	_ = w.account(0).StartLoad("a")
	w.orders = append(w.orders, order{by: 0, kind: engine.LoadModel, model: "a", fence: w.accounts[0].Fence()})
	w.apply(1, fold.LeaseTaken{Server: theServer, Owner: "B", Expect: w.accounts[0].Fence(),
		Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: w.checks}})
	w.sync(1)
	if b := w.account(1); w.checks {
		b.FinishBarrier(b.Now(), b.Fence(), engine.Done)
		w.newest = b.Fence()
	}
}

// TestInvariantTakeoverKeepsCopiesAndMemory explores two owners of one engine of
// each kind with late and lost orders, pauses, a death and a restart.
func TestInvariantTakeoverKeepsCopiesAndMemory(t *testing.T) {
	for _, c := range scenarios {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, engine checks fences %v", c.name, checks), func(t *testing.T) {
				t.Parallel()
				limit := c.ignores
				if checks {
					limit = c.checks
				}
				w := newTakeover(checks, c.left)
				if c.taken {
					w.take()
				}
				states, depth, violation := explore(w, limit+*deeper)
				t.Logf("%d states within %d steps", states, depth)
				if violation != "" {
					t.Error(violation)
				}
			})
		}
	}
}
