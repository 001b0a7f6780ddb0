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
	testServer                = domain.ServerID("s")
)

var models = []domain.ModelName{"a", "b"}

// budget is the number of transitions of each kind that may still follow a state.
type budget struct{ takeovers, loads, unloads, barriers, reads, restarts, lostResponses, deaths int }

// order is an order that a node has issued.
type order struct {
	node     int
	kind     engine.OrderKind
	model    domain.ModelName
	fence    domain.Fence
	issuedAt LogicalTime
	// sent is true once the order is in a connection to the engine process of incarnation.
	// Until then it is delayed at its node.
	sent        bool
	incarnation int
	// delivered is true once the engine has executed or rejected the order, with status.
	delivered bool
	status    engine.OrderStatus
	// finished is true once the order has ended for the node that issued it, with a response
	// or an unknown outcome.
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
	// lastSequences are the sequences of the last proposals of the nodes.
	lastSequences [2]domain.Sequence
	// hasOwnAccount is true for each node whose account no other checkState shares.
	hasOwnAccount [2]bool
	// appliedThrough is the last offset of the log that each node has applied.
	appliedThrough [2]domain.Offset
	nodeDead       [2]bool
	// orders are the issued orders that may still have an effect on a node or the engine.
	orders    []order
	proposals []proposal
	// engineIncarnation counts the restarts of the engine, engineFence is the newest fencing
	// token that the engine has received. modelLoaded holds, for each element of models,
	// whether the engine has loaded it.
	engineIncarnation int
	engineFence       domain.Fence
	modelLoaded       [2]bool
	remainingBudget   budget
}

func nodeName(i int) domain.NodeID { return []domain.NodeID{"A", "B"}[i] }

// newCheckState returns the state in which node A owns the server, has permits for both
// models and knows that nothing is loaded.
func newCheckState(checksFences bool, remaining budget) *checkState {
	w := &checkState{checksFences: checksFences, state: &fold.State{}, accounts: [2]*Account{{}, {}}, remainingBudget: remaining}
	imported := fold.ConfigurationImported{Through: 2}
	for i, n := range models {
		m := configuration.Model{Name: n, Memory: modelSize, Copies: 1}
		imported.Changes = append(imported.Changes, fold.Change{Offset: domain.Offset(i + 1), Record: configuration.Record{Model: &m}})
	}
	w.apply(0, imported)
	w.apply(0, fold.LeaseTaken{Server: testServer, Owner: "A", Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: checksFences}})
	w.applyLog(0)
	a := w.accounts[0]
	a.FinishBarrier(a.Now(), a.Fence(), engine.Done)
	w.engineFence = a.Fence()
	a.Observe(a.Now(), engine.State{Incarnation: "0"})
	for _, n := range models {
		w.apply(0, fold.PermitAttached{Model: n, Server: testServer, Fence: a.Fence()})
	}
	w.applyLog(0)
	return w
}

// apply appends a record of node i to the log and applies it to a copy of the state machine.
// The accounts change when applyLog runs.
func (w *checkState) apply(i int, r fold.Record) {
	state, err := fold.Restore(w.state.Snapshot())
	if err != nil {
		panic(err)
	}
	w.state = state
	w.lastSequences[i]++
	w.state.Apply(w.state.Offset()+1, fold.Batch{Node: nodeName(i), First: w.lastSequences[i], Records: []fold.Record{r}})
}

// isBehind reports whether the log has records that node i has not applied to its account.
func (w *checkState) isBehind(i int) bool { return w.appliedThrough[i] != w.state.Offset() }

// applyLog applies the result of the whole log to the account of node i.
func (w *checkState) applyLog(i int) {
	w.appliedThrough[i] = w.state.Offset()
	l, _ := w.state.Lease(testServer)
	a := w.account(i)
	a.SetFacts(l.Facts.Memory, l.Facts.ChecksFences)
	if l.Owner == nodeName(i) {
		a.SetLease(l.Fence)
	} else {
		a.SetLease(0)
	}
	a.SetDoubts(l.Doubts)
	a.SetPermits(w.state.ServerPermits(testServer))
}

// clone returns a copy that shares the state machine and the accounts with the original. The
// methods apply and account replace them by copies before a change.
func (w *checkState) clone() *checkState {
	c := *w
	c.hasOwnAccount = [2]bool{}
	c.orders = slices.Clone(w.orders)
	c.proposals = slices.Clone(w.proposals)
	return &c
}

// account returns the account of node i for changes. It copies the account first if another
// checkState may share it.
func (w *checkState) account(i int) *Account {
	if !w.hasOwnAccount[i] {
		w.accounts[i], w.hasOwnAccount[i] = w.accounts[i].clone(), true
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

// violation returns a description of the invariant that the loaded replicas violate, or "".
func (w *checkState) violation() string {
	var used domain.Bytes
	for i, n := range models {
		if !w.modelLoaded[i] {
			continue
		}
		used += modelSize
		if !slices.ContainsFunc(w.state.Permits(n), func(p fold.Permit) bool { return p.Server == testServer }) {
			return fmt.Sprintf("model %s is loaded without a permit: another server may load it too", n)
		}
	}
	if used > engineMemory {
		return fmt.Sprintf("engine uses %d of %d bytes", used, engineMemory)
	}
	return ""
}

// deliver makes the engine execute an order, or reject it if it checks fencing tokens and has
// received a newer one.
func (w *checkState) deliver(o *order) {
	o.delivered = true
	o.status = engine.Done
	if w.checksFences && o.fence < w.engineFence {
		o.status = engine.RefusedStale
		return
	}
	w.engineFence = max(w.engineFence, o.fence)
	switch o.kind {
	case engine.LoadModel:
		w.modelLoaded[slices.Index(models, o.model)] = true
	case engine.UnloadModel:
		w.modelLoaded[slices.Index(models, o.model)] = false
	}
}

// finish reports the status of an order to the account of the node that issued it, unless
// the node is dead.
func (w *checkState) finish(o *order, s engine.OrderStatus) {
	o.finished = true
	if w.nodeDead[o.node] {
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

// prune removes the orders that are finished and cannot reach the engine any more.
func (w *checkState) prune() {
	w.orders = slices.DeleteFunc(w.orders, func(o order) bool {
		return o.finished && (o.delivered || o.sent && o.incarnation != w.engineIncarnation)
	})
}

// engineState returns the state that the engine reports. A stale state lists no replicas.
func (w *checkState) engineState(stale bool) engine.State {
	s := engine.State{Incarnation: fmt.Sprint(w.engineIncarnation), Memory: engineMemory}
	for i, n := range models {
		if w.modelLoaded[i] && !stale {
			s.Replicas = append(s.Replicas, engine.Replica{Model: n, Memory: modelSize})
		}
	}
	return s
}
