package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/parsleylug/parsleylug/domain"
)

// SlowStart is how long a newly loaded replica takes to reach its full share of the
// requests.
const SlowStart = 10 * time.Second

// minimumSlowStartShare is the fraction of its slots that a newly loaded replica
// starts with.
const minimumSlowStartShare = 0.2

// fullScanLimit is the size of the largest group that is scanned in full. Larger
// groups are sampled, so that the cost of a choice is bounded for any number of
// replicas.
const fullScanLimit = 8

// sampleSize is the number of eligible candidates compared in a sampled group
// (power of two choices).
const sampleSize = 2

// Request holds the properties of a request that a choice depends on.
type Request struct {
	Adapter domain.AdapterName
	// Exclude lists the servers that just failed the request or already run it.
	Exclude []domain.ServerID
	// IsEjected reports whether a circuit breaker ejects a server; nil means none.
	// Choose ignores the breaker if it finds no other replica, unless
	// RequireFreeSlot is set; ChooseByRendezvousHash never ignores it.
	IsEjected func(domain.ServerID) bool
	// RequireFreeSlot makes Choose fail if it finds no replica with a free slot.
	RequireFreeSlot bool
	// Seed selects the candidates of a group: requests with the same seed get the
	// same two, unless these are full. Zero means random candidates.
	Seed uint64
	// resampled is set for the second sample of a group, drawn after the candidates
	// of the seed were full.
	resampled bool
}

// Set holds the replicas of one model or service ordered by locality: first those
// of this node's availability zone, then the others of its region, then the rest.
type Set struct {
	Replicas []Replica
	// ZoneEnd and RegionEnd are the end indexes of the zone's and the region's group.
	ZoneEnd, RegionEnd int
}

// GroupByLocality returns a copy of replicas ordered by locality relative to region and
// zone.
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

// Chooser chooses replicas and counts this node's requests in flight at each server.
// The zero Chooser is ready for use; it is safe for concurrent use.
type Chooser struct {
	mu    sync.Mutex
	loads map[domain.ServerID]load
}

// load counts this node's requests at one server.
type load struct {
	inFlight int
	// inFlightAtReport is the value of inFlight when the newest report was first used.
	inFlightAtReport int
	reportedAt       time.Time
}

// Choose returns the index of a replica in s and counts a request in flight there
// until Done. It returns false if it finds no eligible replica; in a group larger
// than fullScanLimit the sample can miss the only eligible ones.
func (c *Chooser) Choose(now time.Time, s Set, r Request) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.chooseByLocality(now, s, r).index
	if i < 0 && r.IsEjected != nil && !r.RequireFreeSlot {
		r.IsEjected = nil
		i = c.chooseByLocality(now, s, r).index
	}
	if i < 0 {
		return 0, false
	}
	c.addInFlight(&s.Replicas[i])
	return i, true
}

// ChooseByRendezvousHash returns the index of the eligible replica with the highest
// rendezvous hash for the seed. Every node chooses the same one, so that all retries of
// a request suspected of crashing servers run on one server. It counts a request in
// flight like Choose.
func (c *Chooser) ChooseByRendezvousHash(s Set, r Request) (int, bool) {
	best, highestWeight := -1, uint64(0)
	for i := range s.Replicas {
		server := s.Replicas[i].Server
		if !isEligible(server, r) {
			continue
		}
		if weight := mix64(r.Seed ^ xxhash.Sum64String(string(server))); best < 0 || weight > highestWeight {
			best, highestWeight = i, weight
		}
	}
	if best < 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addInFlight(&s.Replicas[best])
	return best, true
}

// Done removes one request in flight from a server's count.
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

// InFlight returns the number of this node's requests in flight at a server.
func (c *Chooser) InFlight(server domain.ServerID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[server].inFlight
}

// InFlightLimit returns the number of requests that this node may have in flight over
// the replicas of s, at least one. Every node computes its own limit from the same
// reports: while slots are free, a node may add only its part of them to what it
// has; once they are full, each limit is cut in proportion and raised by one, so that
// the nodes converge to equal limits.
func (c *Chooser) InFlightLimit(s Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	concurrency, reported, reportedLocal := 0, 0, 0
	for i := range s.Replicas {
		replica := &s.Replicas[i]
		concurrency += max(replica.Concurrency, 1)
		reported += replica.Running + replica.Waiting
		if l, ok := c.syncLoad(replica); ok {
			reportedLocal += min(l.inFlightAtReport, replica.Running+replica.Waiting)
		}
	}
	target := concurrency + concurrency/engineQueueDivisor
	free := target - reported
	switch {
	case reported == 0:
		return concurrency + 1
	case free <= 0:
		return reportedLocal*target/reported + 1
	default:
		return reportedLocal + max(2, free*reportedLocal/reported, free/freeSlotDivisor)
	}
}

// freeSlotDivisor gives the part of the free slots, one in 8, that even a node with
// few requests in flight may take.
const freeSlotDivisor = 8

// engineQueueDivisor gives the part of a replica's slots, one in 8, that may queue in
// its engine beyond them, so that outdated reports leave no slot idle.
const engineQueueDivisor = 8

// chooseByLocality returns the best candidate of the nearest group with a free slot,
// or else the least utilized candidate of all groups.
func (c *Chooser) chooseByLocality(now time.Time, s Set, r Request) candidate {
	best := candidate{index: -1}
	bounds := [...]int{0, s.ZoneEnd, s.RegionEnd, len(s.Replicas)}
	for g := range len(bounds) - 1 {
		found := c.bestInGroup(now, s.Replicas, bounds[g], bounds[g+1], r)
		if r.Seed != 0 && !found.hasFreeSlot() {
			alternate := r
			alternate.Seed, alternate.resampled = mix64(r.Seed)|1, true
			found = c.bestInGroup(now, s.Replicas, bounds[g], bounds[g+1], alternate)
		}
		if found.hasFreeSlot() {
			return found
		}
		if found.index >= 0 && (best.index < 0 || found.utilization < best.utilization) {
			best = found
		}
	}
	if r.RequireFreeSlot {
		return candidate{index: -1}
	}
	return best
}

// candidate is a replica evaluated for a request.
type candidate struct {
	index int
	// utilization is the estimated load relative to the replica's slots; 1 is full.
	utilization float64
	// cost is the weighted load relative to the slots, plus adapterLoadCost if the
	// adapter is missing; the lowest is best.
	cost float64
}

// isBetterThan reports whether c is a better choice than other. A candidate with a
// free slot wins only in a full scan; in a sample that rule would trust outdated
// reports too much.
func (c candidate) isBetterThan(other candidate, fullScan bool) bool {
	if fullScan && c.hasFreeSlot() != other.hasFreeSlot() {
		return c.hasFreeSlot()
	}
	return c.cost < other.cost
}

func (c candidate) hasFreeSlot() bool { return c.index >= 0 && c.utilization < 1 }

// bestInGroup returns the best eligible candidate of replicas[start:end], or of a
// sample of them if the group is large or the request has a seed. The index is -1 if
// it finds none.
func (c *Chooser) bestInGroup(now time.Time, replicas []Replica, start, end int, r Request) candidate {
	best := candidate{index: -1}
	size := end - start
	if size <= 0 {
		return best
	}
	fullScan := size <= fullScanLimit && (r.Seed == 0 || r.resampled || size <= sampleSize)
	first, evaluated := 0, 0
	if fullScan {
		first = pickIndex(r.Seed, 0, size)
	}
	for attempt := 0; attempt < size; attempt++ {
		i := start + (first+attempt)%size
		if !fullScan {
			i = start + pickIndex(r.Seed, attempt, size)
		}
		if !isEligible(replicas[i].Server, r) {
			continue
		}
		found := c.evaluate(now, &replicas[i], r)
		found.index = i
		if best.index < 0 || found.isBetterThan(best, fullScan) {
			best = found
		}
		if evaluated++; !fullScan && evaluated == sampleSize {
			return best
		}
	}
	return best
}

// pickIndex returns a random index below n, determined by seed and attempt unless the
// seed is zero.
func pickIndex(seed uint64, attempt, n int) int {
	if seed == 0 {
		return rand.IntN(n)
	}
	return int(mix64(seed+uint64(attempt)*0x9e3779b97f4a7c15) % uint64(n))
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func isEligible(server domain.ServerID, r Request) bool {
	if slices.Contains(r.Exclude, server) {
		return false
	}
	return r.IsEjected == nil || !r.IsEjected(server)
}

// adapterLoadCost is the cost of loading an adapter, in units of candidate.cost.
const adapterLoadCost = 0.5

// Weights of a replica's cost. This node's own requests in flight are exact, while
// the reported load of other nodes is outdated and identical at every node: with a
// high weight, all nodes would send to the same replica (herding).
const (
	localLoadWeight  = 4.0
	remoteLoadWeight = 0.2
)

// evaluate estimates the utilization of a replica and its cost for a request.
func (c *Chooser) evaluate(now time.Time, replica *Replica, r Request) candidate {
	slots := float64(max(replica.Concurrency, 1)) * slowStartShare(now, replica.LoadedAt)
	remote, local := c.estimateLoad(replica)
	found := candidate{utilization: float64(remote+local) / slots}
	found.cost = (remoteLoadWeight*float64(remote) + localLoadWeight*float64(local)) / slots
	if r.Adapter != "" && !slices.Contains(replica.Adapters, r.Adapter) {
		found.cost += adapterLoadCost
	}
	return found
}

// estimateLoad returns the load of other nodes at the last report and this node's
// requests in flight now.
func (c *Chooser) estimateLoad(replica *Replica) (remote, local int) {
	l, ok := c.syncLoad(replica)
	if !ok {
		return replica.Running + replica.Waiting, 0
	}
	return max(0, replica.Running+replica.Waiting-l.inFlightAtReport), l.inFlight
}

// syncLoad returns this node's load at a replica, after it has stored the requests in
// flight at a new report.
func (c *Chooser) syncLoad(replica *Replica) (load, bool) {
	l, ok := c.loads[replica.Server]
	if ok && !l.reportedAt.Equal(replica.ReportedAt) {
		l.reportedAt, l.inFlightAtReport = replica.ReportedAt, l.inFlight
		c.loads[replica.Server] = l
	}
	return l, ok
}

// addInFlight counts a request in flight at a replica.
func (c *Chooser) addInFlight(replica *Replica) {
	l, ok := c.syncLoad(replica)
	if !ok {
		l = load{reportedAt: replica.ReportedAt}
	}
	l.inFlight++
	if c.loads == nil {
		c.loads = make(map[domain.ServerID]load)
	}
	c.loads[replica.Server] = l
}

// slowStartShare returns the fraction of its slots that a replica of this age uses.
func slowStartShare(now, loadedAt time.Time) float64 {
	age := now.Sub(loadedAt)
	if loadedAt.IsZero() || age >= SlowStart {
		return 1
	}
	return max(minimumSlowStartShare, float64(age)/float64(SlowStart))
}
