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

// The times of package peer, which drives a Table over real links.
const (
	step       = 100 * time.Millisecond
	pingEvery  = 500 * time.Millisecond
	farEvery   = 2 * time.Second
	pongWithin = 500 * time.Millisecond
	dialWithin = 400 * time.Millisecond
	resendTime = 200 * time.Millisecond
)

// network drives tables in virtual time the way that package peer does.
type network struct {
	t      *testing.T
	now    time.Time
	nodes  map[domain.NodeID]*host
	order  []domain.NodeID
	random *rand.Rand
	// loss is the chance that a packet is lost.
	loss float64
	// cut tells whether two hosts cannot reach each other.
	cut    func(a, b *host) bool
	events []event
}

type host struct {
	*Table
	member Member
	// down hosts are silent, dead ones refuse connections; paused ones resume.
	down, dead, paused bool
	links              map[domain.NodeID]time.Time
	dialling           map[domain.NodeID]bool
	nextSync           time.Time
	// falseGone counts how often the node called a live one gone.
	falseGone int
}

type event struct {
	at time.Time
	do func()
}

func newNetwork(t *testing.T, regions, zones, each int) *network {
	n := &network{
		t: t, now: time.Unix(1000, 0), nodes: map[domain.NodeID]*host{},
		random: rand.New(rand.NewPCG(1, 2)), cut: func(_, _ *host) bool { return false },
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

func (n *network) reach(a, b *host) bool {
	return !a.down && !b.down && !a.paused && !b.paused && !n.cut(a, b)
}

func (n *network) lost() bool { return n.random.Float64() < n.loss }

// delay is how long TCP takes to bring a message through the loss.
func (n *network) delay() time.Duration {
	d, resend := time.Millisecond, resendTime
	for n.lost() {
		d += resend
		resend *= 2
	}
	return d
}

func (n *network) after(d time.Duration, do func()) {
	n.events = append(n.events, event{n.now.Add(d), do})
}

// run lets time pass.
func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); {
		n.now = n.now.Add(step)
		due := n.events
		n.events = nil
		for _, e := range due {
			if e.at.After(n.now) {
				n.events = append(n.events, e)
				continue
			}
			e.do()
		}
		for _, id := range n.order {
			if h := n.nodes[id]; !h.down && !h.dead && !h.paused {
				n.tick(h)
			}
		}
	}
}

func (n *network) tick(h *host) {
	h.Tick(n.now)
	for _, to := range slices.Clone(h.Neighbours()) {
		n.watch(h, n.nodes[to])
	}
	for _, to := range h.DueProbes(n.now) {
		n.dial(h, n.nodes[to])
	}
	if !n.now.Before(h.nextSync) && len(h.Neighbours()) > 0 {
		h.nextSync = n.now.Add(10 * time.Second)
		n.compare(h, n.nodes[h.Neighbours()[n.random.IntN(len(h.Neighbours()))]])
	}
	n.spread(h)
}

// watch dials a neighbour without a link and pings one with a link.
func (n *network) watch(h, to *host) {
	pinged, linked := h.links[to.member.Node]
	interval := pingEvery
	if h.member.Region != to.member.Region {
		interval = farEvery
	}
	switch {
	case !linked:
		n.dial(h, to)
	case to.dead:
		delete(h.links, to.member.Node)
		n.dial(h, to)
	case n.now.Sub(pinged) >= interval:
		h.links[to.member.Node] = n.now
		if pong := n.delay() + n.delay(); !n.reach(h, to) || pong > pongWithin {
			n.after(pongWithin, func() { n.doubt(h, to, pong-pongWithin) })
		}
	}
}

// doubt tries a new connection after a late pong.
func (n *network) doubt(h, to *host, pongIn time.Duration) {
	if !n.reach(h, to) || pongIn > 2*dialWithin {
		n.dial(h, to)
	}
}

func (n *network) dial(h, to *host) {
	if h.paused || h.down || h.dialling[to.member.Node] {
		return
	}
	h.dialling[to.member.Node] = true
	if to.dead && n.reach(h, to) {
		n.after(2*step, func() { n.seen(h, to, h.MarkGone) })
		return
	}
	for range 2 {
		// SYN, SYN-ACK and three round trips with retransmission.
		syn, synAck := n.lost(), n.lost()
		if n.reach(h, to) && !syn && !synAck && n.delay()+n.delay()+n.delay() <= dialWithin {
			n.connect(h, to)
			return
		}
	}
	delete(h.links, to.member.Node)
	n.after(2*dialWithin, func() { n.seen(h, to, h.RecordTimeout) })
}

func (n *network) seen(h, to *host, report func(time.Time, domain.NodeID)) {
	delete(h.dialling, to.member.Node)
	if _, linked := h.links[to.member.Node]; !linked || to.dead {
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
	n.compare(h, to)
}

func (n *network) compare(h, to *host) {
	if !n.reach(h, to) || to.dead || h.Digests() == to.Digests() {
		return
	}
	digests, updates := h.Digests(), h.Differing(to.Digests())
	back := to.Differing(digests)
	to.Merge(n.now, updates)
	h.Merge(n.now, back)
}

func (n *network) spread(h *host) {
	updates := h.TakeGossip()
	for _, u := range updates {
		if o := n.nodes[u.Member.Node]; u.Status == Gone && !o.down && !o.dead && !o.paused {
			h.falseGone++
		}
	}
	if len(updates) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.links)) {
		to := n.nodes[id]
		n.after(n.delay(), func() { n.deliver(h, to, updates) })
	}
}

// deliver brings news; a paused process finds it in its socket when it resumes.
func (n *network) deliver(h, to *host, updates []Update) {
	if to.paused && !to.down && !n.cut(h, to) {
		n.after(step, func() { n.deliver(h, to, updates) })
		return
	}
	if !n.reach(h, to) || to.dead {
		return
	}
	to.Merge(n.now, updates)
	if to.HasUrgentGossip() {
		n.spread(to)
	}
}

// whole tells whether every live node counts exactly the live ones.
func (n *network) whole() bool {
	live := 0
	for _, h := range n.nodes {
		if !h.down && !h.dead && !h.paused {
			live++
		}
	}
	for _, h := range n.nodes {
		if !h.down && !h.dead && !h.paused && len(h.Members()) != live {
			return false
		}
	}
	return true
}

// until returns how long it takes until done, at most limit.
func (n *network) until(limit time.Duration, done func() bool) time.Duration {
	start := n.now
	for n.now.Sub(start) < limit && !done() {
		n.run(step)
	}
	return n.now.Sub(start)
}
