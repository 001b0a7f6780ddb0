package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// simCycle is the interval of the simulated owner's cycles.
	simCycle = 50 * time.Millisecond
	// simWait is how long a request waits for the owner's answer.
	simWait = 100 * time.Millisecond
	// simReportInterval and simIdleReport are those of package entry.
	simReportInterval = 250 * time.Millisecond
	simIdleReport     = time.Second
	// simMessageBytes is the size of one message without entries: 52 bytes of IPv4 and TCP, as much for
	// the acknowledgement, 8 of WebSocket, and 120 of CBOR (TestQuotaMessageSizes of package hub).
	// simEntryBytes is the size of one workspace, ask or answer in it.
	simMessageBytes = 52 + 52 + 8 + 120
	simEntryBytes   = 20
	// simUsualShare is the usual use as a part of the rate.
	simUsualShare = 1 / 1.8
	simMeanSize   = 1500
)

var simTerms = Terms{Window: 8 * time.Second, Tolerance: 0.1}

// simEvent is something that happens at a time.
type simEvent struct {
	at     time.Duration
	number int
	run    func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

type simRequest struct {
	w      *simWorkspace
	amount float64
}

type simNode struct {
	index        int
	id           domain.NodeID
	allowance    *Allowance
	isLinked     bool
	isCut        bool
	frozenUntil  time.Duration
	waiting      map[uint32]simRequest
	lastReport   time.Duration
	reportQueued bool
	// delivered are the latest times of arrival in each direction, which keep their order.
	toOwner, fromOwner time.Duration
	bytes              int
}

// simulation is a deployment in virtual time.
type simulation struct {
	*rand.Rand
	now        time.Duration
	queue      simQueue
	number     int
	nodes      []*simNode
	workspaces []*simWorkspace
	// ledger is nil while there is no owner. owner is the index of the owner's node.
	ledger   *Ledger
	owner    int
	ownerOff bool
	messages int
	// shares replaces the ledger if it is set.
	shares *simShares
}

func newSimulation(seed uint64, nodes int, limits []Limit) *simulation {
	s := &simulation{Rand: rand.New(rand.NewPCG(seed, 1)), now: time.Minute}
	for _, l := range limits {
		s.workspaces = append(s.workspaces, &simWorkspace{
			limit: l, usual: l.Rate * simUsualShare, factor: func(time.Duration) float64 { return 1 },
			at: func() int { return s.IntN(nodes) }, reference: l.Burst, referenceAt: s.now,
		})
	}
	for i := range nodes {
		n := &simNode{index: i, id: domain.NodeID(fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256)), waiting: map[uint32]simRequest{}}
		n.allowance = &Allowance{Terms: simTerms, Random: s.Float64}
		n.allowance.Configure(s.now, limits)
		s.nodes = append(s.nodes, n)
		s.after(time.Duration(s.Float64()*float64(simReportInterval)), func() { s.tick(n) })
	}
	s.begin(0, nodes)
	// The deployment has run for long: the nodes are linked and the buckets are full.
	for _, n := range s.nodes {
		if n.index != s.owner {
			n.isLinked = true
			s.ledger.Record(s.now, n.id, Report{Joins: true})
		}
	}
	for _, p := range s.ledger.pools {
		p.level, p.knownFrom, p.askSince = p.capacity, 0, 0
	}
	for _, n := range s.nodes {
		n.allowance.Apply(s.now, s.ledger.FullUpdate(s.now))
		n.allowance.Uses(s.now)
	}
	s.after(0, s.cycle)
	for _, w := range s.workspaces {
		s.after(0, func() { s.arrive(w) })
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.number++
	heap.Push(&s.queue, simEvent{at: s.now + d, number: s.number, run: run})
}

// runFor lets a time pass.
func (s *simulation) runFor(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// begin makes a node the owner.
func (s *simulation) begin(i, nodes int) {
	n := s.nodes[i]
	n.allowance.Link(s.now)
	s.owner, s.ownerOff = i, false
	s.ledger = NewLedger(s.now, simTerms, n.id, nodes)
	s.ledger.Configure(s.now, s.limits())
	s.ledger.Record(s.now, n.id, n.allowance.Uses(s.now))
}

func (s *simulation) limits() []Limit {
	var list []Limit
	for _, w := range s.workspaces {
		list = append(list, w.limit)
	}
	return list
}

// cycle is the owner's periodic work.
func (s *simulation) cycle() {
	s.after(simCycle, s.cycle)
	if s.ledger == nil || s.ownerOff {
		return
	}
	s.ledger.Advance(s.now)
	s.broadcast()
}

func (s *simulation) broadcast() {
	news := s.ledger.Update(s.now)
	if news.IsEmpty() {
		return
	}
	for _, n := range s.nodes {
		if n.isLinked {
			s.sendNews(n, news)
		}
	}
}

// delay is the time that a message takes.
func (s *simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(s.Float64()*float64(14*time.Millisecond))
}

func (s *simulation) sendNews(n *simNode, news Update) {
	ledger := s.ledger
	n.bytes += simMessageBytes + simEntryBytes*(len(news.Levels)+len(news.Answers))
	n.fromOwner = max(n.fromOwner, s.now+s.delay())
	s.after(n.fromOwner-s.now, func() { s.receiveNews(n, ledger, news) })
}

func (s *simulation) receiveNews(n *simNode, from *Ledger, news Update) {
	if !n.isLinked || n.isCut || from != s.ledger {
		return
	}
	if s.now < n.frozenUntil {
		s.after(n.frozenUntil-s.now, func() { s.receiveNews(n, from, news) })
		return
	}
	n.allowance.Apply(s.now, news)
	for _, a := range news.Answers {
		if !n.allowance.Answer(s.now, a) {
			continue
		}
		r := n.waiting[a.ID]
		delete(n.waiting, a.ID)
		s.answer(a, r)
	}
	s.reportUrgently(n)
}

// answer applies the owner's answer to a request.
func (s *simulation) answer(a Answer, r simRequest) {
	switch {
	case a.Granted:
		s.admit(r)
	case a.Unknown:
		s.refuseUnknown(r)
	default:
		s.refuse(r)
	}
}

// tick is the periodic report.
func (s *simulation) tick(n *simNode) {
	s.after(simReportInterval, func() { s.tick(n) })
	if !n.isLinked || s.now < n.frozenUntil {
		return
	}
	s.report(n)
}

func (s *simulation) reportUrgently(n *simNode) {
	if !n.isLinked || n.reportQueued || !n.allowance.IsUrgent() {
		return
	}
	n.reportQueued = true
	s.after(max(ReportBatchDelay, n.lastReport+ReportGap(len(s.nodes))-s.now), func() {
		n.reportQueued = false
		if n.isLinked {
			s.report(n)
		}
	})
}

func (s *simulation) report(n *simNode) {
	r := n.allowance.Uses(s.now)
	if r.IsEmpty() && s.now-n.lastReport < simIdleReport {
		return
	}
	n.lastReport = s.now
	n.bytes += simMessageBytes
	for _, u := range r.Uses {
		n.bytes += simEntryBytes * (1 + len(u.Asks))
	}
	s.messages++
	ledger := s.ledger
	n.toOwner = max(n.toOwner, s.now+s.delay())
	s.after(n.toOwner-s.now, func() { s.receiveReport(n, ledger, r) })
}

func (s *simulation) receiveReport(n *simNode, to *Ledger, r Report) {
	if n.isCut || to == nil || to != s.ledger {
		return
	}
	if until := s.nodes[s.owner].frozenUntil; s.now < until {
		// The connection keeps the report until the owner reads it.
		s.after(until-s.now, func() { s.receiveReport(n, to, r) })
		return
	}
	reply := s.ledger.Reply(s.now, n.id, r, s.ledger.Record(s.now, n.id, r))
	if !reply.IsEmpty() {
		s.sendNews(n, reply)
	}
	s.broadcast()
}

// arrive lets a request arrive at a node.
func (s *simulation) arrive(w *simWorkspace) {
	factor := w.factor(s.now)
	// Sizes from 200 to 5,000 tokens, with a mean of about simMeanSize.
	size := 200 + 4800*s.Float64()*s.Float64()
	s.after(time.Duration(s.ExpFloat64()*simMeanSize/(w.usual*max(factor, 1e-6))*float64(time.Second)), func() { s.arrive(w) })
	if factor > 0 {
		s.handle(s.nodes[w.at()], simRequest{w: w, amount: size})
	}
}

func (s *simulation) handle(n *simNode, r simRequest) {
	if s.now < n.frozenUntil {
		s.after(n.frozenUntil-s.now, func() { s.handle(n, r) })
		return
	}
	r.w.offered++
	if s.shares != nil {
		s.handleByShares(n, r)
		return
	}
	if n.index == s.owner && s.ledger != nil && !s.ownerOff {
		s.answer(s.ledger.Take(s.now, r.w.limit.Workspace, r.amount), r)
		s.broadcast()
		return
	}
	decision, id, _ := n.allowance.Take(s.now, r.w.limit.Workspace, r.amount)
	switch decision {
	case Admitted, AdmittedByShare:
		s.admit(r)
	case Refused:
		s.refuse(r)
	case Unknown:
		s.refuseUnknown(r)
	case Asked:
		n.waiting[id] = r
		s.after(simWait, func() { s.giveUp(n, id, r) })
	}
	s.reportUrgently(n)
}

// giveUp ends the wait for an answer.
func (s *simulation) giveUp(n *simNode, id uint32, r simRequest) {
	if _, ok := n.waiting[id]; !ok {
		return
	}
	delete(n.waiting, id)
	n.allowance.Withdraw(id)
	if n.allowance.TakeOwn(s.now, r.w.limit.Workspace, r.amount) == Unknown {
		s.refuseUnknown(r)
		return
	}
	s.admit(r)
}
