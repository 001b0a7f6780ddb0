package wakereplay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// PacingScheme is a way for nodes to share the weight store.
type PacingScheme int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=PacingScheme -output=pacing_string.go

// The schemes.
const (
	// PacerNode has one node grant all slots.
	PacerNode PacingScheme = iota
	// DividedShares gives each node the same share of the store's time.
	DividedShares
	// LentShares has each slot granted by a node of its own, which takes over loads from the
	// others' queues when it has none.
	LentShares
)

const (
	// step is the resolution of the model.
	step = 40 * time.Millisecond
	// roundTrip is a question and its answer between regions.
	roundTrip = 24 * time.Millisecond
	// deathSeen is how long a dead granter is asked before another one has its role.
	deathSeen = 3 * time.Second
	// storeSlots are loads at full speed, storeSpacing the least time between two starts.
	storeSlots   = 4
	storeSpacing = 200 * time.Millisecond
)

// PacingCase is one run of the model of the weight store.
type PacingCase struct {
	Scheme PacingScheme
	Nodes  int
	// Slowdown makes each transfer longer; zero counts as one.
	Slowdown float64
	// Dies is when the node dies that grants slots, the first one of several; zero means never.
	Dies time.Duration
	// OwnShare lets a node that gets no answer load one at a time by itself.
	OwnShare bool
	Length   time.Duration
	Seed     uint64
}

// PacingResult holds the figures of one run.
type PacingResult struct {
	// Waits are the times from asking to the start of each load, sorted.
	Waits []time.Duration
	// Busy is the share of the store's full-speed slots in use while loads wait or run.
	Busy       float64
	MostAtOnce int
	// Unfinished loads had not ended at the end.
	Unfinished int
}

// Quantile is the wait that a share q of the loads did not pass.
func (r *PacingResult) Quantile(q float64) time.Duration {
	return (&Result{Waits: r.Waits}).Quantile(q)
}

type pacedLoad struct {
	node    int
	asked   time.Duration
	began   time.Duration
	left    float64
	granter int
}

type pacing struct {
	PacingCase
	now     time.Duration
	pending []pacedLoad
	waiting []pacedLoad
	active  []pacedLoad
	// held is how many slots each granter has given out, last when a load began last.
	held [storeSlots]int
	last time.Duration
	// allowed is when a node's own share lets it load again, running its loads.
	allowed  map[int]time.Duration
	running  map[int]int
	result   PacingResult
	used     float64
	possible float64
}

// RunPacing runs one case: Poisson loads for half of the store's time and a burst of 12 every ten
// minutes, each of 8 to 28 s, at random nodes.
func RunPacing(c PacingCase) PacingResult {
	if c.Slowdown == 0 {
		c.Slowdown = 1
	}
	p := &pacing{PacingCase: c, allowed: make(map[int]time.Duration), running: make(map[int]int)}
	p.generate()
	for ; p.now < c.Length; p.now += step {
		p.step()
	}
	p.result.Busy = p.used / max(1, p.possible)
	p.result.Unfinished = len(p.waiting) + len(p.active)
	slices.Sort(p.result.Waits)
	return p.result
}

func (p *pacing) generate() {
	r := rand.New(rand.NewPCG(p.Seed, 1))
	load := func(at time.Duration) {
		p.pending = append(p.pending, pacedLoad{
			node: r.IntN(p.Nodes), asked: at, left: 8 + 20*r.Float64(), granter: r.IntN(storeSlots),
		})
	}
	const mean = 18.0 / storeSlots / .5
	for at := 0.0; at < p.Length.Seconds(); at += r.ExpFloat64() * mean {
		load(time.Duration(at * float64(time.Second)))
	}
	for at := 5 * time.Minute; at < p.Length; at += 10 * time.Minute {
		for range 12 {
			load(at)
		}
	}
	slices.SortStableFunc(p.pending, func(a, b pacedLoad) int { return cmp.Compare(a.asked, b.asked) })
}

func (p *pacing) step() {
	for len(p.pending) > 0 && p.pending[0].asked <= p.now {
		p.waiting = append(p.waiting, p.pending[0])
		p.pending = p.pending[1:]
	}
	p.succeed()
	p.transfer()
	p.waiting = slices.DeleteFunc(p.waiting, func(l pacedLoad) bool {
		granter, ok := p.grant(l)
		if ok {
			p.begin(l, granter)
		}
		return ok
	})
	p.result.MostAtOnce = max(p.result.MostAtOnce, len(p.active))
	p.used += float64(min(storeSlots, len(p.active)))
	p.possible += float64(min(storeSlots, len(p.active)+len(p.waiting)))
}

// succeed gives the dead granter's role to a node that doesn't know which slots are taken.
func (p *pacing) succeed() {
	if p.Dies == 0 || p.now < p.Dies+deathSeen || p.now >= p.Dies+deathSeen+step {
		return
	}
	p.held[0] = 0
	for i := range p.active {
		if p.active[i].granter == 0 {
			p.active[i].granter = -1
		}
	}
}

// transfer moves all active loads on; above its slots the store's pace is shared.
func (p *pacing) transfer() {
	pace := step.Seconds() / p.Slowdown * min(1, float64(storeSlots)/float64(max(1, len(p.active))))
	p.active = slices.DeleteFunc(p.active, func(l pacedLoad) bool {
		return l.left <= pace && p.end(l)
	})
	for i := range p.active {
		p.active[i].left -= pace
	}
}

func (p *pacing) begin(l pacedLoad, granter int) {
	l.began, l.granter, p.last = p.now, granter, p.now
	p.running[l.node]++
	if granter >= 0 {
		p.held[granter]++
	}
	p.active = append(p.active, l)
	p.result.Waits = append(p.result.Waits, p.now-l.asked)
}

func (p *pacing) end(l pacedLoad) bool {
	p.running[l.node]--
	if l.granter >= 0 {
		p.held[l.granter]--
	}
	p.allowed[l.node] = l.began + time.Duration(float64(p.now-l.began)*max(1, float64(p.Nodes)/storeSlots))
	return true
}

// dead tells whether a granter doesn't answer now.
func (p *pacing) dead(granter int) bool {
	return granter == 0 && p.Dies > 0 && p.now >= p.Dies && p.now < p.Dies+deathSeen
}

// grant returns which granter's slot a load gets now; -1 is the node's own share.
func (p *pacing) grant(l pacedLoad) (granter int, ok bool) {
	if p.Scheme == DividedShares {
		return -1, p.running[l.node] == 0 && p.now >= p.allowed[l.node]
	}
	if p.now < l.asked+roundTrip {
		return 0, false
	}
	spaced := p.now >= p.last+storeSpacing
	if p.Scheme == PacerNode {
		if p.dead(0) {
			return -1, p.OwnShare && p.running[l.node] == 0
		}
		return 0, spaced && p.held[0] < storeSlots
	}
	if !p.dead(l.granter) && p.held[l.granter] == 0 {
		return l.granter, spaced
	}
	for g := range storeSlots {
		if !p.dead(g) && p.held[g] == 0 && p.now >= l.asked+2*roundTrip {
			return g, spaced
		}
	}
	return 0, false
}
