package owner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// The small world of the model check: models a and b of 6 bytes each, one copy
// each, and one engine with 10 bytes, so that only one of them fits.
const (
	modelSize    domain.Bytes = 6
	engineMemory domain.Bytes = 10
	theServer                 = domain.ServerID("s")
)

var models = []domain.ModelName{"a", "b"}

// budget is what may still happen on a path.
type budget struct{ takeovers, loads, unloads, barriers, reads, restarts, lost, deaths int }

// order is one on its way to the engine, or back.
type order struct {
	by    int
	kind  engine.OrderKind
	model domain.ModelName
	fence domain.Fence
	mark  LogicalTime
	// sent orders are in a socket of the engine's life; others are held up at a
	// paused owner.
	sent      bool
	life      int
	delivered bool
	status    engine.OrderStatus
	// finished orders have been given up or answered at their owner.
	finished bool
}

// proposal is a record that its node has decided on and that is not in the log.
type proposal struct {
	by     int
	record fold.Record
}

// takeover is one state of the model check: the real fold, the real accounts of
// two owners, and an engine.
type takeover struct {
	checks   bool
	state    *fold.State
	accounts [2]*Account
	// sequences are the next proposals of the nodes.
	sequences [2]domain.Sequence
	// owned tells which accounts no other state shares.
	owned [2]bool
	// folded is how far each node has read the log.
	folded    [2]domain.Offset
	dead      [2]bool
	orders    []order
	proposals []proposal
	life      int
	newest    domain.Fence
	loaded    [2]bool
	left      budget
}

func nodeName(i int) domain.NodeID { return []domain.NodeID{"A", "B"}[i] }

// newTakeover returns the state in which A owns the server and knows it empty.
func newTakeover(checks bool, left budget) *takeover {
	w := &takeover{checks: checks, state: &fold.State{}, accounts: [2]*Account{{}, {}}, left: left}
	imported := fold.ConfigurationImported{Through: 2}
	for i, n := range models {
		m := configuration.Model{Name: n, Memory: modelSize, Copies: 1}
		imported.Changes = append(imported.Changes, fold.Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &m}})
	}
	w.apply(0, imported)
	w.apply(0, fold.LeaseTaken{Server: theServer, Owner: "A", Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: checks}})
	w.sync(0)
	a := w.accounts[0]
	a.FinishBarrier(a.Now(), a.Fence(), engine.Done)
	w.newest = a.Fence()
	a.Observe(a.Now(), engine.State{Incarnation: "0"})
	for _, n := range models {
		w.apply(0, fold.PermitAttached{Model: n, Server: theServer, Fence: a.Fence()})
	}
	w.sync(0)
	return w
}

func (w *takeover) apply(i int, r fold.Record) {
	state, err := fold.Restore(w.state.Snapshot())
	if err != nil {
		panic(err)
	}
	w.state = state
	w.sequences[i]++
	w.state.Apply(w.state.Offset()+1, fold.Batch{Node: nodeName(i), First: w.sequences[i], Records: []fold.Record{r}})
}

// behind tells whether the log has something that a node has not folded.
func (w *takeover) behind(i int) bool { return w.folded[i] != w.state.Offset() }

// sync lets a node fold everything that is in the log.
func (w *takeover) sync(i int) {
	w.folded[i] = w.state.Offset()
	l, _ := w.state.Lease(theServer)
	a := w.account(i)
	a.SetFacts(l.Facts.Memory, l.Facts.ChecksFences)
	if l.Owner == nodeName(i) {
		a.SetLease(l.Fence)
	} else {
		a.SetLease(0)
	}
	a.SetDoubts(l.Doubts)
	a.SetPermits(w.state.ServerPermits(theServer))
}

// clone copies what every step may change. The fold and the accounts are shared
// until apply and account change them.
func (w *takeover) clone() *takeover {
	c := *w
	c.owned = [2]bool{}
	c.orders = slices.Clone(w.orders)
	c.proposals = slices.Clone(w.proposals)
	return &c
}

// account returns an account to change.
func (w *takeover) account(i int) *Account {
	if !w.owned[i] {
		w.accounts[i], w.owned[i] = w.accounts[i].clone(), true
	}
	return w.accounts[i]
}

func (a *Account) clone() *Account {
	c := *a
	c.permits = maps.Clone(a.permits)
	c.doubts = slices.Clone(a.doubts)
	c.entries = make(map[domain.ModelName]*entry, len(a.entries))
	for n, e := range a.entries {
		copied := *e
		c.entries[n] = &copied
	}
	return &c
}

// violation returns which promise the engine sees broken, or "".
func (w *takeover) violation() string {
	var used domain.Bytes
	for i, n := range models {
		if !w.loaded[i] {
			continue
		}
		used += modelSize
		if !slices.ContainsFunc(w.state.Permits(n), func(p fold.Permit) bool { return p.Server == theServer }) {
			return fmt.Sprintf("model %s is loaded without a permit: another server may load it too", n)
		}
	}
	if used > engineMemory {
		return fmt.Sprintf("engine uses %d of %d bytes", used, engineMemory)
	}
	return ""
}

// deliver lets the engine carry out an order.
func (w *takeover) deliver(o *order) {
	o.delivered = true
	o.status = engine.Done
	if w.checks && o.fence < w.newest {
		o.status = engine.RefusedStale
		return
	}
	w.newest = max(w.newest, o.fence)
	switch o.kind {
	case engine.LoadModel:
		w.loaded[slices.Index(models, o.model)] = true
	case engine.UnloadModel:
		w.loaded[slices.Index(models, o.model)] = false
	}
}

// finish tells an order's owner what became of it.
func (w *takeover) finish(o *order, s engine.OrderStatus) {
	o.finished = true
	if w.dead[o.by] {
		return
	}
	a := w.account(o.by)
	switch o.kind {
	case engine.Barrier:
		a.FinishBarrier(o.mark, o.fence, s)
	case engine.LoadModel:
		a.FinishLoad(o.model, s)
	case engine.UnloadModel:
		a.FinishUnload(o.model, s)
	}
}

// prune forgets orders that have no effect any more.
func (w *takeover) prune() {
	w.orders = slices.DeleteFunc(w.orders, func(o order) bool {
		return o.finished && (o.delivered || o.sent && o.life != w.life)
	})
}

// engineState is what the engine reports; a lagging report shows no replicas.
func (w *takeover) engineState(lags bool) engine.State {
	s := engine.State{Incarnation: fmt.Sprint(w.life), Memory: engineMemory}
	for i, n := range models {
		if w.loaded[i] && !lags {
			s.Replicas = append(s.Replicas, engine.Replica{Model: n, Memory: modelSize})
		}
	}
	return s
}
