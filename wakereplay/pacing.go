package wakereplay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// PacingScheme is a way for nodes to limit their concurrent loads from the weight store.
type PacingScheme int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=PacingScheme -output=pacing_string.go

const (
	// PacerNode has one node grant all slots.
	PacerNode PacingScheme = iota
	// DividedShares limits each node to an equal share of the store's time, without messages
	// between nodes.
	DividedShares
	// LentShares has each slot granted by a different node. A granter is a node that grants slots,
	// which are permissions to load. A granter whose slot is free also
	// grants it to loads that wait for another granter.
	LentShares
)

const (
	// timeStep is the resolution of the simulation.
	timeStep = 40 * time.Millisecond
	// roundTrip is the latency of a request and its response between regions.
	roundTrip = 24 * time.Millisecond
	// failoverTime is how long nodes wait for a failed granter before another node replaces it.
	failoverTime = 3 * time.Second
	// storeSlots is the number of concurrent loads at full speed, storeSpacing the minimum time
	// between the starts of two loads.
	storeSlots   = 4
	storeSpacing = 200 * time.Millisecond
)

// PacingCase holds the parameters of one simulation of the weight store.
type PacingCase struct {
	Scheme PacingScheme
	Nodes  int
	// Slowdown multiplies the duration of each transfer; zero counts as one.
	Slowdown float64
	// GranterFailsAt is the time at which the granter fails; zero means never. If a scheme has
	// several granters, only the first fails.
	GranterFailsAt time.Duration
	// FallbackShare lets a node load one model at a time without a slot while the granter does
	// not respond. Only PacerNode uses it.
	FallbackShare bool
	Length        time.Duration
	Seed          uint64
}

// PacingResult holds the figures of one simulation.
type PacingResult struct {
	// Waits are the times from the request for a slot to the start of the load, sorted.
	Waits []time.Duration
	// Utilization is the number of full-speed slots in use, divided by the number that the
	// running and waiting loads could use, over the whole simulation.
	Utilization   float64
	MaxConcurrent int
	// Unfinished counts the loads that wait or run at the end.
	Unfinished int
}

// Quantile returns the wait that a share q of the loads did not exceed.
func (r *PacingResult) Quantile(q float64) time.Duration {
	return (&Result{Waits: r.Waits}).Quantile(q)
}

// pacedLoad is a load from the weight store. secondsLeft is its remaining transfer time at full
// speed; granter is -1 if it runs without a slot.
type pacedLoad struct {
	node        int
	requestedAt time.Duration
	startedAt   time.Duration
	secondsLeft float64
	granter     int
}

type pacing struct {
	PacingCase
	now      time.Duration
	upcoming []pacedLoad
	waiting  []pacedLoad
	active   []pacedLoad
	// slotsInUse is the number of slots in use, by granter. lastStart is the start of the
	// latest load.
	slotsInUse [storeSlots]int
	lastStart  time.Duration
	// shareFreeAt is the time from which a node's share allows its next load, by node;
	// runningLoads counts its running loads.
	shareFreeAt  map[int]time.Duration
	runningLoads map[int]int
	result       PacingResult
	// usedSlotSteps and usableSlotSteps sum, over all time steps, the slots in use and those
	// that running and waiting loads could use.
	usedSlotSteps   float64
	usableSlotSteps float64
}

// RunPacing runs one simulation. Loads of 8 to 28 s arrive at random nodes: a Poisson process
// that uses half of the store's capacity, and a burst of 12 loads every ten minutes.
func RunPacing(c PacingCase) PacingResult {
	if c.Slowdown == 0 {
		c.Slowdown = 1
	}
	p := &pacing{PacingCase: c, shareFreeAt: make(map[int]time.Duration), runningLoads: make(map[int]int)}
	p.generate()
	for ; p.now < c.Length; p.now += timeStep {
		p.advance()
	}
	p.result.Utilization = p.usedSlotSteps / max(1, p.usableSlotSteps)
	p.result.Unfinished = len(p.waiting) + len(p.active)
	slices.Sort(p.result.Waits)
	return p.result
}

func (p *pacing) generate() {
	r := rand.New(rand.NewPCG(p.Seed, 1))
	addLoad := func(at time.Duration) {
		p.upcoming = append(p.upcoming, pacedLoad{
			node: r.IntN(p.Nodes), requestedAt: at, secondsLeft: 8 + 20*r.Float64(), granter: r.IntN(storeSlots),
		})
	}
	const mean = 18.0 / storeSlots / .5
	for at := 0.0; at < p.Length.Seconds(); at += r.ExpFloat64() * mean {
		addLoad(time.Duration(at * float64(time.Second)))
	}
	for at := 5 * time.Minute; at < p.Length; at += 10 * time.Minute {
		for range 12 {
			addLoad(at)
		}
	}
	slices.SortStableFunc(p.upcoming, func(a, b pacedLoad) int { return cmp.Compare(a.requestedAt, b.requestedAt) })
}

func (p *pacing) advance() {
	for len(p.upcoming) > 0 && p.upcoming[0].requestedAt <= p.now {
		p.waiting = append(p.waiting, p.upcoming[0])
		p.upcoming = p.upcoming[1:]
	}
	p.failOver()
	p.advanceTransfers()
	p.waiting = slices.DeleteFunc(p.waiting, func(l pacedLoad) bool {
		granter, ok := p.grant(l)
		if ok {
			p.startLoad(l, granter)
		}
		return ok
	})
	p.result.MaxConcurrent = max(p.result.MaxConcurrent, len(p.active))
	p.usedSlotSteps += float64(min(storeSlots, len(p.active)))
	p.usableSlotSteps += float64(min(storeSlots, len(p.active)+len(p.waiting)))
}

// failOver replaces the failed granter once failoverTime has passed. The successor does not know
// which slots its predecessor granted, so all of these count as free.
func (p *pacing) failOver() {
	if p.GranterFailsAt == 0 || p.now < p.GranterFailsAt+failoverTime || p.now >= p.GranterFailsAt+failoverTime+timeStep {
		return
	}
	p.slotsInUse[0] = 0
	for i := range p.active {
		if p.active[i].granter == 0 {
			p.active[i].granter = -1
		}
	}
}

// advanceTransfers advances the running loads by one time step. Loads beyond storeSlots share
// the throughput of the store.
func (p *pacing) advanceTransfers() {
	progress := timeStep.Seconds() / p.Slowdown * min(1, float64(storeSlots)/float64(max(1, len(p.active))))
	p.active = slices.DeleteFunc(p.active, func(l pacedLoad) bool {
		return l.secondsLeft <= progress && p.endLoad(l)
	})
	for i := range p.active {
		p.active[i].secondsLeft -= progress
	}
}

func (p *pacing) startLoad(l pacedLoad, granter int) {
	l.startedAt, l.granter, p.lastStart = p.now, granter, p.now
	p.runningLoads[l.node]++
	if granter >= 0 {
		p.slotsInUse[granter]++
	}
	p.active = append(p.active, l)
	p.result.Waits = append(p.result.Waits, p.now-l.requestedAt)
}

// endLoad frees the slot of a load that has ended. It always returns true, for use in the condition
// of DeleteFunc.
func (p *pacing) endLoad(l pacedLoad) bool {
	p.runningLoads[l.node]--
	if l.granter >= 0 {
		p.slotsInUse[l.granter]--
	}
	p.shareFreeAt[l.node] = l.startedAt + time.Duration(float64(p.now-l.startedAt)*max(1, float64(p.Nodes)/storeSlots))
	return true
}

// hasFailed reports whether a granter has failed and not been replaced yet.
func (p *pacing) hasFailed(granter int) bool {
	return granter == 0 && p.GranterFailsAt > 0 && p.now >= p.GranterFailsAt && p.now < p.GranterFailsAt+failoverTime
}

// grant reports whether a load can start now and returns the granter of its slot, or -1 for a
// load without a slot.
func (p *pacing) grant(l pacedLoad) (granter int, ok bool) {
	if p.Scheme == DividedShares {
		return -1, p.runningLoads[l.node] == 0 && p.now >= p.shareFreeAt[l.node]
	}
	if p.now < l.requestedAt+roundTrip {
		return 0, false
	}
	spaced := p.now >= p.lastStart+storeSpacing
	if p.Scheme == PacerNode {
		if p.hasFailed(0) {
			return -1, p.FallbackShare && p.runningLoads[l.node] == 0
		}
		return 0, spaced && p.slotsInUse[0] < storeSlots
	}
	if !p.hasFailed(l.granter) && p.slotsInUse[l.granter] == 0 {
		return l.granter, spaced
	}
	for g := range storeSlots {
		if !p.hasFailed(g) && p.slotsInUse[g] == 0 && p.now >= l.requestedAt+2*roundTrip {
			return g, spaced
		}
	}
	return 0, false
}
