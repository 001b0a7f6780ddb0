package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// SlowStart is how long a fresh replica takes to reach its full share.
const SlowStart = 10 * time.Second

// slowStartFloor is the share that a fresh replica starts with.
const slowStartFloor = 0.2

// scanLimit is the largest group that is read whole; larger ones are sampled,
// so that a choice costs the same at any number of replicas.
const scanLimit = 8

// samples are the candidates that are compared in a sampled group.
const samples = 2

// Request is what a choice depends on.
type Request struct {
	Adapter domain.AdapterName
	// Exclude are servers that just failed the request.
	Exclude []domain.ServerID
	// IsEjected tells which servers a circuit breaker leaves out; nil means none.
	// Where all are ejected, the breaker is ignored.
	IsEjected func(domain.ServerID) bool
	// RequireFreeSlot asks for a replica with room; without one there is no choice.
	RequireFreeSlot bool
	// Seed keeps requests with the same one on the same two candidates of a group,
	// unless these are full; zero means random ones.
	Seed uint64
	// second is true for other candidates than the first ones of a Seed.
	second bool
}

// Set is the replicas of one model in the order of their distance: those of
// the zone, then of the region, then the others.
type Set struct {
	Replicas []Replica
	// ZoneEnd and RegionEnd are the ends of the first two groups.
	ZoneEnd, RegionEnd int
}

// GroupByLocality orders a copy of replicas by their distance from region and zone.
func GroupByLocality(region domain.Region, zone domain.Zone, replicas []Replica) Set {
	s := Set{Replicas: make([]Replica, 0, len(replicas))}
	for _, r := range replicas {
		if r.Region == region && r.Zone == zone {
			s.Replicas = append(s.Replicas, r)
		}
	}
	s.ZoneEnd = len(s.Replicas)
	for _, r := range replicas {
		if r.Region == region && r.Zone != zone {
			s.Replicas = append(s.Replicas, r)
		}
	}
	s.RegionEnd = len(s.Replicas)
	for _, r := range replicas {
		if r.Region != region {
			s.Replicas = append(s.Replicas, r)
		}
	}
	return s
}

// Chooser picks replicas and counts what this node has in flight at each. The
// zero Chooser is ready for use.
type Chooser struct {
	mu    sync.Mutex
	loads map[domain.ServerID]load
}

// load is what this node knows of its own use of one server.
type load struct {
	inFlight int
	// atReport is inFlight when the newest report came.
	atReport   int
	reportedAt time.Time
}

// Choose returns the index of a replica in s and counts a request in flight
// there, which Done takes off. It returns false where every replica is
// excluded.
func (c *Chooser) Choose(now time.Time, s Set, r Request) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.choose(now, s, r).index
	if i < 0 && r.IsEjected != nil && !r.RequireFreeSlot {
		r.IsEjected = nil
		i = c.choose(now, s, r).index
	}
	if i < 0 {
		return 0, false
	}
	c.sent(&s.Replicas[i])
	return i, true
}

// ChooseByRendezvousHash returns the index of the replica on which a suspected content runs:
// the same at every node, so that its resends meet on one server. It counts a
// request in flight like Choose.
func (c *Chooser) ChooseByRendezvousHash(s Set, r Request) (int, bool) {
	best, highest := -1, uint64(0)
	for i := range s.Replicas {
		server := s.Replicas[i].Server
		if !allowed(server, r) {
			continue
		}
		if weight := mix(r.Seed ^ xxhash.Sum64String(string(server))); best < 0 || weight > highest {
			best, highest = i, weight
		}
	}
	if best < 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent(&s.Replicas[best])
	return best, true
}

// Done takes one request off a server's count.
func (c *Chooser) Done(server domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, ok := c.loads[server]
	if !ok {
		return
	}
	l.inFlight--
	if l.inFlight <= 0 {
		delete(c.loads, server)
		return
	}
	c.loads[server] = l
}

// InFlight returns how many requests of this node run at a server.
func (c *Chooser) InFlight(server domain.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[server].inFlight
}

// InFlightLimit returns how many requests this node may have in flight over the replicas
// of s. While they have room, that is what this node has and its part of what is
// free, since other nodes see the same; once they are full, each node falls back in
// proportion and all approach equal shares. It is at least one.
func (c *Chooser) InFlightLimit(s Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	concurrency, reported, mine := 0, 0, 0
	for i := range s.Replicas {
		p := &s.Replicas[i]
		concurrency += max(p.Concurrency, 1)
		reported += p.Running + p.Waiting
		if l, ok := c.see(p); ok {
			mine += min(l.atReport, p.Running+p.Waiting)
		}
	}
	target := concurrency + concurrency/queuedShare
	free := target - reported
	switch {
	case reported == 0:
		return concurrency + 1
	case free <= 0:
		return mine*target/reported + 1
	default:
		return mine + max(2, free*mine/reported, free/newcomerShare)
	}
}

// newcomerShare is the part of free slots that a node takes which has few or none.
const newcomerShare = 8

// queuedShare is the part of a replica's size that may wait in its engine, so that
// late reports leave no slot empty.
const queuedShare = 8

// choose takes the nearest group that has room, else the best candidate of all.
func (c *Chooser) choose(now time.Time, s Set, r Request) candidate {
	best := candidate{index: -1}
	borders := [...]int{0, s.ZoneEnd, s.RegionEnd, len(s.Replicas)}
	for g := range len(borders) - 1 {
		found := c.best(now, s.Replicas, borders[g], borders[g+1], r)
		if r.Seed != 0 && !found.hasRoom() {
			others := r
			others.Seed, others.second = mix(r.Seed)|1, true
			found = c.best(now, s.Replicas, borders[g], borders[g+1], others)
		}
		if found.hasRoom() {
			return found
		}
		if found.index >= 0 && (best.index < 0 || found.used < best.used) {
			best = found
		}
	}
	if r.RequireFreeSlot {
		return candidate{index: -1}
	}
	return best
}

// candidate is one replica that was looked at.
type candidate struct {
	index int
	// used is the estimated load relative to what the replica batches: 1 is full.
	used float64
	// cost orders candidates.
	cost float64
}

// before tells whether c is the better choice. Where a whole group is compared,
// one with room goes first; of a sample that would trust late reports too much.
func (c candidate) before(o candidate, whole bool) bool {
	if whole && c.hasRoom() != o.hasRoom() {
		return c.hasRoom()
	}
	return c.cost < o.cost
}

func (c candidate) hasRoom() bool { return c.index >= 0 && c.used < 1 }

// best returns the cheapest candidate of replicas[from:to].
func (c *Chooser) best(now time.Time, replicas []Replica, from, to int, r Request) candidate {
	best := candidate{index: -1}
	size := to - from
	if size <= 0 {
		return best
	}
	whole := size <= scanLimit && (r.Seed == 0 || r.second || size <= samples)
	start, seen := 0, 0
	if whole {
		start = pick(r.Seed, 0, size)
	}
	for t := 0; t < size; t++ {
		i := from + (start+t)%size
		if !whole {
			i = from + pick(r.Seed, t, size)
		}
		if !allowed(replicas[i].Server, r) {
			continue
		}
		found := c.look(now, &replicas[i], r)
		found.index = i
		if best.index < 0 || found.before(best, whole) {
			best = found
		}
		if seen++; !whole && seen == samples {
			return best
		}
	}
	return best
}

// pick returns a number below n.
func pick(seed uint64, try, n int) int {
	if seed == 0 {
		return rand.IntN(n)
	}
	return int(mix(seed+uint64(try)*0x9e3779b97f4a7c15) % uint64(n))
}

// mix spreads the bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func allowed(server domain.ServerID, r Request) bool {
	if slices.Contains(r.Exclude, server) {
		return false
	}
	return r.IsEjected == nil || !r.IsEjected(server)
}

// missingAdapter is the cost of loading an adapter, in units of full load.
const missingAdapter = 0.5

// Weights of a replica's cost: this node knows at once what it sent itself, while
// reports of what others sent are late, and every node reads the same ones.
const (
	ownWeight   = 4.0
	otherWeight = 0.2
)

// look estimates the load of a replica and its cost for a request.
func (c *Chooser) look(now time.Time, p *Replica, r Request) candidate {
	full := float64(max(p.Concurrency, 1)) * slowStartShare(now, p.LoadedAt)
	others, own := c.estimate(p)
	found := candidate{used: float64(others+own) / full}
	found.cost = (otherWeight*float64(others) + ownWeight*float64(own)) / full
	if r.Adapter != "" && !slices.Contains(p.Adapters, r.Adapter) {
		found.cost += missingAdapter
	}
	return found
}

// estimate splits a replica's load: what others had there at the last report, and
// what this node has there now.
func (c *Chooser) estimate(p *Replica) (others, own int) {
	l, ok := c.see(p)
	if !ok {
		return p.Running + p.Waiting, 0
	}
	return max(0, p.Running+p.Waiting-l.atReport), l.inFlight
}

// see remembers what this node had in flight when a new report came.
func (c *Chooser) see(p *Replica) (load, bool) {
	l, ok := c.loads[p.Server]
	if ok && !l.reportedAt.Equal(p.ReportedAt) {
		l.reportedAt, l.atReport = p.ReportedAt, l.inFlight
		c.loads[p.Server] = l
	}
	return l, ok
}

// sent counts a request in flight.
func (c *Chooser) sent(p *Replica) {
	l, ok := c.see(p)
	if !ok {
		l = load{reportedAt: p.ReportedAt}
	}
	l.inFlight++
	if c.loads == nil {
		c.loads = make(map[domain.ServerID]load)
	}
	c.loads[p.Server] = l
}

func slowStartShare(now, loadedAt time.Time) float64 {
	age := now.Sub(loadedAt)
	if loadedAt.IsZero() || age >= SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(SlowStart))
}
