package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// The intervals and timeouts of package peer, which drives a Table over real links.
const (
	tickInterval       = 100 * time.Millisecond
	pingInterval       = 500 * time.Millisecond
	remotePingInterval = 2 * time.Second
	pongTimeout        = 500 * time.Millisecond
	dialTimeout        = 400 * time.Millisecond
	retransmitTimeout  = 200 * time.Millisecond
)

// network simulates nodes that drive their tables the way that package peer does, in
// virtual time.
type network struct {
	t      *testing.T
	now    time.Time
	nodes  map[domain.NodeID]*host
	order  []domain.NodeID
	random *rand.Rand
	// loss is the probability that a packet is lost.
	loss float64
	// isCut reports whether two hosts cannot reach each other.
	isCut  func(a, b *host) bool
	events []event
}

type host struct {
	*Table
	member Member
	// unresponsive hosts neither send nor receive, killed ones refuse connections;
	// paused ones can resume.
	unresponsive, killed, paused bool
	links                        map[domain.NodeID]time.Time
	dialling                     map[domain.NodeID]bool
	nextSync                     time.Time
	// falselyGone counts the live nodes that this one gossiped as Gone.
	falselyGone int
}

type event struct {
	at     time.Time
	action func()
}

func newNetwork(t *testing.T, regions, zones, each int) *network {
	n := &network{
		t: t, now: time.Unix(1000, 0), nodes: map[domain.NodeID]*host{},
		random: rand.New(rand.NewPCG(1, 2)), isCut: func(_, _ *host) bool { return false },
	}
	for r := range regions {
		for z := range zones {
			for i := range each {
				n.add(fmt.Sprintf("r%d", r), fmt.Sprintf("r%dz%d", r, z), fmt.Sprintf("r%dz%dn%d", r, z, i))
			}
		}
	}
	for _, h := range n.nodes {
		h.ApplyListing(n.now, n.list())
	}
	return n
}

func (n *network) add(region, zone, name string) *host {
	m := Member{Node: domain.NodeID(name), Address: name, Region: domain.Region(region), Zone: domain.Zone(zone)}
	h := &host{Table: NewTable(m), member: m, links: map[domain.NodeID]time.Time{}, dialling: map[domain.NodeID]bool{}}
	n.nodes[m.Node] = h
	n.order = append(n.order, m.Node)
	return h
}

func (n *network) list() []Member {
	var result []Member
	for _, id := range n.order {
		result = append(result, n.nodes[id].member)
	}
	return result
}

func (n *network) canReach(a, b *host) bool {
	return !a.unresponsive && !b.unresponsive && !a.paused && !b.paused && !n.isCut(a, b)
}

func (n *network) losesPacket() bool { return n.random.Float64() < n.loss }

// deliveryTime returns how long TCP takes to deliver a message, including the
// retransmissions of lost packets.
func (n *network) deliveryTime() time.Duration {
	d, resend := time.Millisecond, retransmitTimeout
	for n.losesPacket() {
		d += resend
		resend *= 2
	}
	return d
}

func (n *network) schedule(d time.Duration, do func()) {
	n.events = append(n.events, event{n.now.Add(d), do})
}

// advance runs the simulation for d.
func (n *network) advance(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(tickInterval)
		due := n.events
		n.events = nil
		for _, e := range due {
			if e.at.After(n.now) {
				n.events = append(n.events, e)
				continue
			}
			e.action()
		}
		for _, id := range n.order {
			if h := n.nodes[id]; !h.unresponsive && !h.killed && !h.paused {
				n.tick(h)
			}
		}
	}
}

func (n *network) tick(h *host) {
	h.Tick(n.now)
	for _, to := range slices.Clone(h.Neighbours()) {
		n.checkNeighbour(h, n.nodes[to])
	}
	for _, to := range h.DueProbes(n.now) {
		n.dial(h, n.nodes[to])
	}
	if !n.now.Before(h.nextSync) && len(h.Neighbours()) > 0 {
		h.nextSync = n.now.Add(10 * time.Second)
		n.synchronise(h, n.nodes[h.Neighbours()[n.random.IntN(len(h.Neighbours()))]])
	}
	n.spread(h)
}

// checkNeighbour dials a neighbour without a link and pings one with a link.
func (n *network) checkNeighbour(h, to *host) {
	pinged, linked := h.links[to.member.Node]
	interval := pingInterval
	if h.member.Region != to.member.Region {
		interval = remotePingInterval
	}
	switch {
	case !linked:
		n.dial(h, to)
	case to.killed:
		delete(h.links, to.member.Node)
		n.dial(h, to)
	case n.now.Sub(pinged) >= interval:
		h.links[to.member.Node] = n.now
		if pong := n.deliveryTime() + n.deliveryTime(); !n.canReach(h, to) || pong > pongTimeout {
			n.schedule(pongTimeout, func() { n.redialIfLate(h, to, pong-pongTimeout) })
		}
	}
}

// redialIfLate dials a new connection where the late pong is still far off.
func (n *network) redialIfLate(h, to *host, pongIn time.Duration) {
	if !n.canReach(h, to) || pongIn > 2*dialTimeout {
		n.dial(h, to)
	}
}

func (n *network) dial(h, to *host) {
	if h.paused || h.unresponsive || h.dialling[to.member.Node] {
		return
	}
	h.dialling[to.member.Node] = true
	if to.killed && n.canReach(h, to) {
		n.schedule(2*tickInterval, func() { n.reportFailure(h, to, h.MarkGone) })
		return
	}
	for range 2 {
		// SYN, SYN-ACK and three round trips with retransmission.
		syn, synAck := n.losesPacket(), n.losesPacket()
		if n.canReach(h, to) && !syn && !synAck && n.deliveryTime()+n.deliveryTime()+n.deliveryTime() <= dialTimeout {
			n.connect(h, to)
			return
		}
	}
	delete(h.links, to.member.Node)
	n.schedule(2*dialTimeout, func() { n.reportFailure(h, to, h.RecordTimeout) })
}

func (n *network) reportFailure(h, to *host, report func(time.Time, domain.NodeID)) {
	delete(h.dialling, to.member.Node)
	if _, linked := h.links[to.member.Node]; !linked || to.killed {
		report(n.now, to.member.Node)
	}
}

func (n *network) connect(h, to *host) {
	if u, ok := to.Lookup(h.member.Node); ok && u.Status >= Suspect {
		h.Merge(n.now, []Update{u})
	}
	delete(h.dialling, to.member.Node)
	h.links[to.member.Node] = n.now
	to.links[h.member.Node] = n.now
	h.RecordContact(n.now, to.Self())
	to.RecordContact(n.now, h.Self())
	n.synchronise(h, to)
}

func (n *network) synchronise(h, to *host) {
	if !n.canReach(h, to) || to.killed || h.Digests() == to.Digests() {
		return
	}
	digests, updates := h.Digests(), h.DifferingUpdates(to.Digests())
	response := to.DifferingUpdates(digests)
	to.Merge(n.now, updates)
	h.Merge(n.now, response)
}

func (n *network) spread(h *host) {
	updates := h.TakeGossip()
	for _, u := range updates {
		if o := n.nodes[u.Member.Node]; u.Status == Gone && !o.unresponsive && !o.killed && !o.paused {
			h.falselyGone++
		}
	}
	if len(updates) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.links)) {
		to := n.nodes[id]
		n.schedule(n.deliveryTime(), func() { n.deliver(h, to, updates) })
	}
}

// deliver brings gossip to a host; a paused process finds it in its socket buffer
// when it resumes.
func (n *network) deliver(h, to *host, updates []Update) {
	if to.paused && !to.unresponsive && !n.isCut(h, to) {
		n.schedule(tickInterval, func() { n.deliver(h, to, updates) })
		return
	}
	if !n.canReach(h, to) || to.killed {
		return
	}
	to.Merge(n.now, updates)
	if to.HasUrgentGossip() {
		n.spread(to)
	}
}

// isConverged reports whether every live node counts as many members as there are
// live nodes.
func (n *network) isConverged() bool {
	live := 0
	for _, h := range n.nodes {
		if !h.unresponsive && !h.killed && !h.paused {
			live++
		}
	}
	for _, h := range n.nodes {
		if !h.unresponsive && !h.killed && !h.paused && len(h.Members()) != live {
			return false
		}
	}
	return true
}

// timeUntil runs the simulation until done returns true, at most for limit, and
// returns how long that took.
func (n *network) timeUntil(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit && !done() {
		n.advance(tickInterval)
	}
	return n.now.Sub(start)
}
