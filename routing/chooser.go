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
	// Ejected tells which servers a circuit breaker leaves out; nil means none.
	// Where all are ejected, the breaker is ignored.
	Ejected func(domain.ServerID) bool
	// Spare asks for a replica with room; without one there is no choice.
	Spare bool
	// Seed keeps requests with the same one on the same two candidates of a group,
	// unless these are full; zero means random ones.
	Seed uint64
}

// Set is the replicas of one model in the order of their distance: those of
// the zone, then of the region, then the others.
type Set struct {
	Replicas []Replica
	// ZoneEnd and RegionEnd are the ends of the first two groups.
	ZoneEnd, RegionEnd int
}

// Group orders a copy of replicas by their distance from region and zone.
func Group(region domain.Region, zone domain.Zone, replicas []Replica) Set {
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
	loads map[domain.ServerID]*load
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
	i, score := c.choose(now, s, r)
	if r.Seed != 0 && (i < 0 || score >= 1) {
		r.Seed = 0
		i, _ = c.choose(now, s, r)
	}
	if i < 0 && r.Ejected != nil && !r.Spare {
		r.Ejected = nil
		i, _ = c.choose(now, s, r)
	}
	if i < 0 {
		return 0, false
	}
	c.load(&s.Replicas[i]).inFlight++
	return i, true
}

// ChooseAlone returns the index of the replica on which a suspected content runs:
// the same at every node, so that its resends meet on one server. It counts a
// request in flight like Choose.
func (c *Chooser) ChooseAlone(s Set, r Request) (int, bool) {
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
	c.load(&s.Replicas[best]).inFlight++
	return best, true
}

// Done takes one request off a server's count.
func (c *Chooser) Done(server domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loads[server]
	if l == nil || l.inFlight == 0 {
		return
	}
	l.inFlight--
	if l.inFlight == 0 {
		delete(c.loads, server)
	}
}

// InFlight returns how many requests of this node run at a server.
func (c *Chooser) InFlight(server domain.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.loads[server]; l != nil {
		return l.inFlight
	}
	return 0
}

// Room returns how many requests this node may have in flight over the replicas
// of s. While they have room, that is what this node has and what is free; once
// they are full, each node falls back in proportion and all approach equal
// shares. It is at least one.
func (c *Chooser) Room(s Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	concurrency, reported, mine := 0, 0, 0
	for i := range s.Replicas {
		p := &s.Replicas[i]
		concurrency += max(p.Concurrency, 1)
		reported += p.Running + p.Waiting
		if l := c.loads[p.Server]; l != nil {
			l.see(p)
			mine += min(l.atReport, p.Running+p.Waiting)
		}
	}
	if reported <= concurrency {
		return mine + concurrency - reported + 1
	}
	return mine*concurrency/reported + 1
}

// choose takes the nearest group that has room, else the best candidate of all.
func (c *Chooser) choose(now time.Time, s Set, r Request) (index int, lowest float64) {
	best, bestScore := -1, 0.0
	borders := [...]int{0, s.ZoneEnd, s.RegionEnd, len(s.Replicas)}
	for g := range len(borders) - 1 {
		i, score := c.best(now, s.Replicas, borders[g], borders[g+1], r)
		if i < 0 {
			continue
		}
		if score < 1 {
			return i, score
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if r.Spare {
		return -1, 0
	}
	return best, bestScore
}

// best returns the least loaded candidate of replicas[from:to], or -1.
func (c *Chooser) best(now time.Time, replicas []Replica, from, to int, r Request) (index int, lowest float64) {
	index = -1
	size := to - from
	if size <= 0 {
		return index, 0
	}
	tries, sampled := size, 0
	start, whole := 0, size <= scanLimit && (r.Seed == 0 || size <= samples)
	if whole {
		start = pick(0, 0, size)
	}
	for t := 0; t < tries; t++ {
		i := from + (start+t)%size
		if !whole {
			i = from + pick(r.Seed, t, size)
		}
		candidate := &replicas[i]
		if !allowed(candidate.Server, r) {
			continue
		}
		score := c.score(now, candidate, r)
		if index < 0 || score < lowest {
			index, lowest = i, score
		}
		sampled++
		if !whole && sampled == samples {
			return index, lowest
		}
	}
	return index, lowest
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
	return r.Ejected == nil || !r.Ejected(server)
}

// missingAdapter is the cost of loading an adapter, in units of full load.
const missingAdapter = 0.5

// score is the estimated load of a replica relative to what it can batch: 1 is
// full.
func (c *Chooser) score(now time.Time, p *Replica, r Request) float64 {
	concurrency := max(p.Concurrency, 1)
	score := float64(c.estimate(p)) / (float64(concurrency) * slowStartShare(now, p.LoadedAt))
	if r.Adapter != "" && !slices.Contains(p.Adapters, r.Adapter) {
		score += missingAdapter
	}
	return score
}

// estimate corrects the last report by what this node sent and finished since.
func (c *Chooser) estimate(p *Replica) int {
	l, ok := c.loads[p.Server]
	if !ok {
		return p.Running + p.Waiting
	}
	l.see(p)
	return max(p.Running+p.Waiting+l.inFlight-l.atReport, l.inFlight)
}

// see remembers what this node had in flight when a new report came.
func (l *load) see(p *Replica) {
	if !l.reportedAt.Equal(p.ReportedAt) {
		l.reportedAt, l.atReport = p.ReportedAt, l.inFlight
	}
}

func (c *Chooser) load(p *Replica) *load {
	l := c.loads[p.Server]
	if l != nil {
		return l
	}
	if c.loads == nil {
		c.loads = make(map[domain.ServerID]*load)
	}
	l = &load{reportedAt: p.ReportedAt}
	c.loads[p.Server] = l
	return l
}

func slowStartShare(now, loadedAt time.Time) float64 {
	age := now.Sub(loadedAt)
	if loadedAt.IsZero() || age >= SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(SlowStart))
}
