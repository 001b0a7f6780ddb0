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

// The model check has two models, a and b, of 6 bytes and one copy each, and one engine
// with 10 bytes, so that only one model fits.
const (
	modelSize    domain.Bytes = 6
	engineMemory domain.Bytes = 10
	theServer                 = domain.ServerID("s")
)

var models = []domain.ModelName{"a", "b"}

// budget is how many events of each kind may still happen on a path.
type budget struct{ takeovers, loads, unloads, barriers, reads, restarts, lostResponses, deaths int }

// order is an order that a node has issued.
type order struct {
	node     int
	kind     engine.OrderKind
	model    domain.ModelName
	fence    domain.Fence
	issuedAt LogicalTime
	// sent orders are in a connection to the engine process of the given incarnation;
	// others are delayed at a paused owner.
	sent        bool
	incarnation int
	delivered   bool
	status      engine.OrderStatus
	// finished orders have ended for the node that issued them, with a response or an
	// unknown outcome.
	finished bool
}

// proposal is a record that a node has decided on and that is not in the log yet.
type proposal struct {
	node   int
	record fold.Record
}

// checkState is one state of the model check: the real state machine, the real Accounts
// of two nodes and an engine.
type checkState struct {
	checksFences bool
	state        *fold.State
	accounts     [2]*Account
	// sequences are the sequences of the last proposals of the nodes.
	sequences [2]domain.Sequence
	// unshared marks the accounts that no other checkState shares.
	unshared [2]bool
	// appliedThrough is the last offset of the log that each node has applied.
	appliedThrough [2]domain.Offset
	dead           [2]bool
	orders         []order
	proposals      []proposal
	incarnation    int
	newestFence    domain.Fence
	loaded         [2]bool
	remaining      budget
}

func nodeName(i int) domain.NodeID { return []domain.NodeID{"A", "B"}[i] }

// newCheckState returns the state in which A owns the server and knows that nothing is
// loaded.
func newCheckState(checksFences bool, remaining budget) *checkState {
	w := &checkState{checksFences: checksFences, state: &fold.State{}, accounts: [2]*Account{{}, {}}, remaining: remaining}
	imported := fold.ConfigurationImported{Through: 2}
	for i, n := range models {
		m := configuration.Model{Name: n, Memory: modelSize, Copies: 1}
		imported.Changes = append(imported.Changes, fold.Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &m}})
	}
	w.apply(0, imported)
	w.apply(0, fold.LeaseTaken{Server: theServer, Owner: "A", Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: checksFences}})
	w.applyLog(0)
	a := w.accounts[0]
	a.FinishBarrier(a.Now(), a.Fence(), engine.Done)
	w.newestFence = a.Fence()
	a.Observe(a.Now(), engine.State{Incarnation: "0"})
	for _, n := range models {
		w.apply(0, fold.PermitAttached{Model: n, Server: theServer, Fence: a.Fence()})
	}
	w.applyLog(0)
	return w
}

func (w *checkState) apply(i int, r fold.Record) {
	state, err := fold.Restore(w.state.Snapshot())
	if err != nil {
		panic(err)
	}
	w.state = state
	w.sequences[i]++
	w.state.Apply(w.state.Offset()+1, fold.Batch{Node: nodeName(i), First: w.sequences[i], Records: []fold.Record{r}})
}

// isBehind reports whether the log has records that a node has not applied.
func (w *checkState) isBehind(i int) bool { return w.appliedThrough[i] != w.state.Offset() }

// applyLog makes a node apply everything in the log.
func (w *checkState) applyLog(i int) {
	w.appliedThrough[i] = w.state.Offset()
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

// clone copies what every transition may change. The state machine and the accounts are
// shared until apply and account replace them.
func (w *checkState) clone() *checkState {
	c := *w
	c.unshared = [2]bool{}
	c.orders = slices.Clone(w.orders)
	c.proposals = slices.Clone(w.proposals)
	return &c
}

// account returns an account that may be changed.
func (w *checkState) account(i int) *Account {
	if !w.unshared[i] {
		w.accounts[i], w.unshared[i] = w.accounts[i].clone(), true
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

// violation describes the invariant that the engine breaks, or returns "".
func (w *checkState) violation() string {
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

// deliver makes the engine execute an order.
func (w *checkState) deliver(o *order) {
	o.delivered = true
	o.status = engine.Done
	if w.checksFences && o.fence < w.newestFence {
		o.status = engine.RefusedStale
		return
	}
	w.newestFence = max(w.newestFence, o.fence)
	switch o.kind {
	case engine.LoadModel:
		w.loaded[slices.Index(models, o.model)] = true
	case engine.UnloadModel:
		w.loaded[slices.Index(models, o.model)] = false
	}
}

// finish reports the status of an order to the node that issued it.
func (w *checkState) finish(o *order, s engine.OrderStatus) {
	o.finished = true
	if w.dead[o.node] {
		return
	}
	a := w.account(o.node)
	switch o.kind {
	case engine.Barrier:
		a.FinishBarrier(o.issuedAt, o.fence, s)
	case engine.LoadModel:
		a.FinishLoad(o.model, s)
	case engine.UnloadModel:
		a.FinishUnload(o.model, s)
	}
}

// prune removes orders that have no effect any more.
func (w *checkState) prune() {
	w.orders = slices.DeleteFunc(w.orders, func(o order) bool {
		return o.finished && (o.delivered || o.sent && o.incarnation != w.incarnation)
	})
}

// engineState returns the state that the engine reports; a stale one lists no replicas.
func (w *checkState) engineState(stale bool) engine.State {
	s := engine.State{Incarnation: fmt.Sprint(w.incarnation), Memory: engineMemory}
	for i, n := range models {
		if w.loaded[i] && !stale {
			s.Replicas = append(s.Replicas, engine.Replica{Model: n, Memory: modelSize})
		}
	}
	return s
}
