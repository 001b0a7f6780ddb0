package quota

import "time"

// killOwner ends the owner's process. A node becomes the next owner after a time, and the other
// nodes link to it within 1.5 s.
func (s *simulation) killOwner(gap time.Duration, next int) {
	old := s.owner
	s.ledger, s.ownerOff, s.owner = nil, true, -1
	for _, n := range s.nodes {
		if n.isLinked {
			// The end of the process closes the links.
			s.after(s.delay(), func() { s.unlink(n) })
		}
	}
	s.after(gap, func() {
		s.unlink(s.nodes[next])
		s.begin(next, s.nodes[next].allowance.Nodes())
		for _, n := range s.nodes {
			if n.index != next && n.index != old && !n.isCut {
				s.after(50*time.Millisecond+time.Duration(s.Float64()*float64(1450*time.Millisecond)), func() { s.link(n) })
			}
		}
		// The killed process starts again after 2 s.
		s.after(2*time.Second, func() { s.restart(s.nodes[old]) })
	})
}

// restart replaces a node by a new process at the same address, which links after a second.
func (s *simulation) restart(n *simNode) {
	s.unlink(n)
	if s.ledger != nil {
		s.ledger.Forget(s.now, n.id)
	}
	n.allowance = &Allowance{Terms: simTerms, Random: s.Float64}
	n.allowance.Configure(s.now, s.limits())
	n.waiting = map[uint32]simRequest{}
	s.after(time.Second, func() { s.link(n) })
}

func (s *simulation) unlink(n *simNode) {
	n.isLinked = false
	n.allowance.Unlink(s.now)
}

func (s *simulation) link(n *simNode) {
	if n.index == s.owner || s.ledger == nil || n.isLinked || n.isCut {
		return
	}
	n.allowance.Link(s.now)
	n.isLinked = true
	s.report(n)
	s.sendNews(n, s.ledger.FullUpdate(s.now))
}

// cut cuts some nodes off for a time, first to first+count-1. Neither end notices at once.
func (s *simulation) cut(first, count int, d time.Duration) {
	for _, n := range s.nodes[first : first+count] {
		n.isCut = true
		s.after(d, func() {
			n.isCut = false
			s.unlink(n)
			s.ledger.Forget(s.now, n.id)
			s.after(time.Duration(s.Float64()*float64(time.Second)), func() { s.link(n) })
		})
	}
}

// freeze suspends the VMs of some nodes for a time.
func (s *simulation) freeze(first, count int, d time.Duration) {
	for _, n := range s.nodes[first : first+count] {
		n.frozenUntil = s.now + d
		if n.index == s.owner {
			s.ownerOff = true
			s.after(d, func() { s.ownerOff = false })
		}
	}
}

// lower lowers a limit, which reaches the owner and the nodes within 4 s.
func (s *simulation) lower(w *simWorkspace, l Limit) {
	w.limit = l
	w.boundFrom = s.now + 4*time.Second
	for _, n := range s.nodes {
		s.after(time.Duration(s.Float64()*float64(4*time.Second)), func() {
			n.allowance.Configure(s.now, s.limits())
			if n.index == s.owner {
				s.ledger.Configure(s.now, s.limits())
			}
		})
	}
}

// burstAt multiplies the use of a workspace for 6 s.
func (s *simulation) burst(w *simWorkspace, factor float64) {
	from := s.now
	w.factor = func(now time.Duration) float64 {
		if now >= from && now < from+6*time.Second {
			return factor
		}
		return 1
	}
}
