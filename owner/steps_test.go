package owner

import (
	"slices"

	"github.com/parsleylug/parsleylug/engine"
	"github.com/parsleylug/parsleylug/fold"
)

// stepper collects the states that one step leads to.
type stepper struct {
	from *takeover
	all  []*takeover
}

// step adds the state after f where the step is possible.
func (s *stepper) step(possible bool, f func(*takeover)) {
	if !possible {
		return
	}
	c := s.from.clone()
	f(c)
	c.prune()
	s.all = append(s.all, c)
}

// successors returns every state that one step leads to.
func (w *takeover) successors() []*takeover {
	s := &stepper{from: w}
	for i := range w.orders {
		s.orderSteps(i)
	}
	for i, p := range w.proposals {
		s.step(true, func(c *takeover) {
			c.proposals = slices.Delete(c.proposals, i, i+1)
			c.apply(p.by, p.record)
		})
	}
	for i := range w.accounts {
		if !w.dead[i] {
			s.nodeSteps(i)
			s.doubtSteps(i)
		}
	}
	s.step(w.left.restarts > 0, func(c *takeover) {
		c.left.restarts--
		c.life++
		c.loaded = [2]bool{}
	})
	return s.all
}

// orderSteps send, deliver, answer and lose an order.
func (s *stepper) orderSteps(i int) {
	w, o := s.from, s.from.orders[i]
	s.step(!o.sent && !w.dead[o.by], func(c *takeover) { c.orders[i].sent, c.orders[i].life = true, c.life })
	s.step(o.sent && !o.delivered && o.life == w.life, func(c *takeover) { c.deliver(&c.orders[i]) })
	s.step(o.delivered && !o.finished && o.life == w.life, func(c *takeover) { c.finish(&c.orders[i], o.status) })
	lost := o.sent && !o.finished
	s.step(lost && o.life == w.life && w.left.lost > 0, func(c *takeover) {
		c.left.lost--
		c.finish(&c.orders[i], engine.Unclear)
	})
	s.step(lost && o.life != w.life, func(c *takeover) { c.finish(&c.orders[i], engine.Unclear) })
}

// nodeSteps are what a node that runs may do.
func (s *stepper) nodeSteps(i int) {
	w, a := s.from, s.from.accounts[i]
	s.step(w.behind(i), func(c *takeover) { c.sync(i) })
	s.step(w.left.takeovers > 0 && w.idle(i), func(c *takeover) {
		c.left.takeovers--
		c.propose(i, fold.LeaseTaken{Server: theServer, Owner: nodeName(i), Expect: w.state.LastFence(theServer),
			Facts: fold.ServerFacts{Memory: engineMemory, ChecksFences: w.checks}})
	})
	for _, lags := range []bool{false, true} {
		s.step(w.left.reads > 0 && a.Fence() != 0 && (!lags || w.loaded != [2]bool{}), func(c *takeover) {
			c.left.reads--
			c.account(i).Observe(a.Now(), c.engineState(lags))
		})
	}
	s.step(a.NeedsBarrier() && w.left.barriers > 0, func(c *takeover) {
		c.left.barriers--
		c.orders = append(c.orders, order{by: i, kind: engine.Barrier, fence: a.Fence(), mark: a.Now()})
	})
	s.step(w.left.deaths > 0, func(c *takeover) {
		c.left.deaths--
		c.dead[i] = true
		c.orders = slices.DeleteFunc(c.orders, func(o order) bool { return o.by == i && !o.sent })
		c.proposals = slices.DeleteFunc(c.proposals, func(p proposal) bool { return p.by == i })
	})
	for _, n := range models {
		s.modelSteps(i, n)
	}
}

// modelSteps order, release and attach.
func (s *stepper) modelSteps(i int, n modelName) {
	w, a := s.from, s.from.accounts[i]
	s.step(w.left.loads > 0 && w.permitted(i, n) && w.account(i).MayLoad(n) == nil, func(c *takeover) {
		c.left.loads--
		_ = c.account(i).StartLoad(n)
		c.orders = append(c.orders, order{by: i, kind: engine.LoadModel, model: n, fence: a.Fence()})
	})
	s.step(w.left.unloads > 0 && w.permitted(i, n) && a.ready() == nil && !a.entries[n].inFlight(), func(c *takeover) {
		c.left.unloads--
		_ = c.account(i).StartUnload(n)
		c.orders = append(c.orders, order{by: i, kind: engine.UnloadModel, model: n, fence: a.Fence()})
	})
	s.step(w.idle(i) && a.CanRelease(n), func(c *takeover) {
		c.account(i).StartRelease(n)
		c.propose(i, fold.PermitReleased{Model: n, Server: theServer, Fence: a.Fence()})
	})
	s.step(w.idle(i) && a.Fence() != 0 && w.state.CheckAttach(n, theServer) == fold.Accepted, func(c *takeover) {
		c.propose(i, fold.PermitAttached{Model: n, Server: theServer, Fence: a.Fence()})
	})
}

// permitted tells whether a node believes that the server has a permit.
func (w *takeover) permitted(i int, n modelName) bool {
	_, ok := w.accounts[i].permits[n]
	return ok
}

// doubtSteps clear doubts with each proof that a node may have.
func (s *stepper) doubtSteps(i int) {
	w, a := s.from, s.from.accounts[i]
	l, _ := w.state.Lease(theServer)
	for _, d := range l.Doubts {
		owns := a.Fence() != 0 && a.Fence() > d.Fence && w.idle(i)
		clears := func(possible bool, p fold.DoubtProof) {
			s.step(possible, func(c *takeover) {
				c.propose(i, fold.DoubtCleared{Server: theServer, Fence: a.Fence(), Earlier: d.Fence, Proof: p})
			})
		}
		clears(w.idle(i) && d.Owner == nodeName(i) && a.Fence() == 0 && a.IsQuiescent(), fold.OwnerAcknowledged)
		clears(owns && w.checks && !a.NeedsBarrier(), fold.BarrierPassed)
		clears(owns && w.dead[1-i] && d.Owner == nodeName(1-i) && !w.sentBy(1-i), fold.OwnerVMGone)
	}
}

// idle tells whether a node has no proposal under way; it has one at a time.
func (w *takeover) idle(i int) bool {
	return !slices.ContainsFunc(w.proposals, func(p proposal) bool { return p.by == i })
}

// propose hands a record to the log, which takes it later.
func (w *takeover) propose(i int, r fold.Record) {
	w.proposals = append(w.proposals, proposal{i, r})
}

// sentBy tells whether an order of a node may still reach the engine. The
// stated time after a VM has left the list stands for it.
func (w *takeover) sentBy(i int) bool {
	return slices.ContainsFunc(w.orders, func(o order) bool { return o.by == i && o.sent && !o.delivered && o.life == w.life })
}
