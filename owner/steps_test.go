package owner

import (
	"slices"

	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// transitions collects in next the states that are one transition away from a state.
type transitions struct {
	from *checkState
	next []*checkState
}

// add adds the state after change to next, if the transition is possible.
func (s *transitions) add(possible bool, change func(*checkState)) {
	if !possible {
		return
	}
	c := s.from.clone()
	change(c)
	c.prune()
	s.next = append(s.next, c)
}

// successors returns every state that is one transition away.
func (w *checkState) successors() []*checkState {
	s := &transitions{from: w}
	for i := range w.orders {
		s.addOrderTransitions(i)
	}
	for i, p := range w.proposals {
		s.add(true, func(c *checkState) {
			c.proposals = slices.Delete(c.proposals, i, i+1)
			c.apply(p.node, p.record)
		})
	}
	for i := range w.accounts {
		if !w.nodeDead[i] {
			s.addNodeTransitions(i)
			s.addDoubtTransitions(i)
		}
	}
	s.add(w.remainingBudget.restarts > 0, func(c *checkState) {
		c.remainingBudget.restarts--
		c.engineIncarnation++
		c.modelLoaded = [2]bool{}
	})
	return s.next
}

// addOrderTransitions adds the send, delivery, response and loss of an order.
func (s *transitions) addOrderTransitions(i int) {
	w, o := s.from, s.from.orders[i]
	s.add(!o.sent && !w.nodeDead[o.node], func(c *checkState) { c.orders[i].sent, c.orders[i].incarnation = true, c.engineIncarnation })
	s.add(o.sent && !o.delivered && o.incarnation == w.engineIncarnation, func(c *checkState) { c.deliver(&c.orders[i]) })
	s.add(o.delivered && !o.finished && o.incarnation == w.engineIncarnation, func(c *checkState) { c.finish(&c.orders[i], o.status) })
	unfinished := o.sent && !o.finished
	s.add(unfinished && o.incarnation == w.engineIncarnation && w.remainingBudget.lostResponses > 0, func(c *checkState) {
		c.remainingBudget.lostResponses--
		c.finish(&c.orders[i], engine.Unclear)
	})
	s.add(unfinished && o.incarnation != w.engineIncarnation, func(c *checkState) { c.finish(&c.orders[i], engine.Unclear) })
}

// addNodeTransitions adds what a live node can do or what can happen to it: it applies the
// log, takes the lease, reads the engine state, issues a barrier, dies, or acts on a model.
func (s *transitions) addNodeTransitions(i int) {
	w, a := s.from, s.from.accounts[i]
	s.add(w.isBehind(i), func(c *checkState) { c.applyLog(i) })
	s.add(w.remainingBudget.takeovers > 0 && w.hasNoProposal(i), func(c *checkState) {
		c.remainingBudget.takeovers--
		c.propose(i, fold.LeaseTaken{Server: testServer, Owner: nodeName(i), Expect: w.state.LastFence(testServer),
			Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: w.checksFences}})
	})
	for _, stale := range []bool{false, true} {
		s.add(w.remainingBudget.reads > 0 && a.Fence() != 0 && (!stale || w.modelLoaded != [2]bool{}), func(c *checkState) {
			c.remainingBudget.reads--
			c.account(i).Observe(a.Now(), c.engineState(stale))
		})
	}
	s.add(a.NeedsBarrier() && w.remainingBudget.barriers > 0, func(c *checkState) {
		c.remainingBudget.barriers--
		c.orders = append(c.orders, order{node: i, kind: engine.Barrier, fence: a.Fence(), issuedAt: a.Now()})
	})
	s.add(w.remainingBudget.deaths > 0, func(c *checkState) {
		c.remainingBudget.deaths--
		c.nodeDead[i] = true
		c.orders = slices.DeleteFunc(c.orders, func(o order) bool { return o.node == i && !o.sent })
		c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool { return p.node == i })
	})
	for _, n := range models {
		s.addModelTransitions(i, n)
	}
}

// addModelTransitions adds the load and unload orders of a node for a model, and the
// proposals that release and attach the permit of the model.
func (s *transitions) addModelTransitions(i int, n modelName) {
	w, a := s.from, s.from.accounts[i]
	s.add(w.remainingBudget.loads > 0 && w.hasPermitInView(i, n) && w.account(i).CheckLoad(n) == nil, func(c *checkState) {
		c.remainingBudget.loads--
		_ = c.account(i).StartLoad(n)
		c.orders = append(c.orders, order{node: i, kind: engine.LoadModel, model: n, fence: a.Fence()})
	})
	s.add(w.remainingBudget.unloads > 0 && w.hasPermitInView(i, n) && a.checkReady() == nil && !a.entries[n].hasOrderInFlight(), func(c *checkState) {
		c.remainingBudget.unloads--
		_ = c.account(i).StartUnload(n)
		c.orders = append(c.orders, order{node: i, kind: engine.UnloadModel, model: n, fence: a.Fence()})
	})
	s.add(w.hasNoProposal(i) && a.CanRelease(n), func(c *checkState) {
		c.account(i).StartRelease(n)
		c.propose(i, fold.PermitReleased{Model: n, Server: testServer, Fence: a.Fence()})
	})
	s.add(w.hasNoProposal(i) && a.Fence() != 0 && w.state.CheckAttach(n, testServer) == fold.Accepted, func(c *checkState) {
		c.propose(i, fold.PermitAttached{Model: n, Server: testServer, Fence: a.Fence()})
	})
}

// hasPermitInView reports whether the server has a permit for the model, as far as node i has
// applied the log.
func (w *checkState) hasPermitInView(i int, n modelName) bool {
	_, ok := w.accounts[i].permits[n]
	return ok
}

// addDoubtTransitions adds the proposals of a node that clear a doubt, one for each proof
// that the node has.
func (s *transitions) addDoubtTransitions(i int) {
	w, a := s.from, s.from.accounts[i]
	l, _ := w.state.Lease(testServer)
	for _, d := range l.Doubts {
		isLaterOwner := a.Fence() != 0 && a.Fence() > d.Fence && w.hasNoProposal(i)
		addProof := func(possible bool, p fold.DoubtProof) {
			s.add(possible, func(c *checkState) {
				c.propose(i, fold.DoubtCleared{Server: testServer, Fence: a.Fence(), EarlierFence: d.Fence, Proof: p})
			})
		}
		addProof(w.hasNoProposal(i) && d.Owner == nodeName(i) && a.Fence() == 0 && a.IsQuiescent(), fold.OwnerAcknowledged)
		addProof(isLaterOwner && w.checksFences && !a.NeedsBarrier(), fold.BarrierPassed)
		addProof(isLaterOwner && w.nodeDead[1-i] && d.Owner == nodeName(1-i) && !w.hasUndeliveredOrder(1-i), fold.OwnerVMGone)
	}
}

// hasNoProposal reports whether a node has no proposal in flight. A node has at most one
// at a time.
func (w *checkState) hasNoProposal(i int) bool {
	return !slices.ContainsFunc(w.proposals, func(p proposal) bool { return p.node == i })
}

// propose hands a record to the log, which appends it in a later transition.
func (w *checkState) propose(i int, r fold.Record) {
	w.proposals = append(w.proposals, proposal{i, r})
}

// hasUndeliveredOrder reports whether an order that a node has sent may still reach the
// engine. The proof OwnerVMGone requires that there is none: a real node waits until the last
// packets of the VM that is gone cannot arrive any more.
func (w *checkState) hasUndeliveredOrder(i int) bool {
	return slices.ContainsFunc(w.orders, func(o order) bool {
		return o.node == i && o.sent && !o.delivered && o.incarnation == w.engineIncarnation
	})
}
