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

// fullScanLimit is the largest number of replicas in a locality that Choose scans in
// full. It samples larger localities, so that the cost of a choice is bounded for any
// number of replicas.
const fullScanLimit = 8

// sampleSize is the number of eligible replicas that Choose compares in a sampled
// locality (power of two choices).
const sampleSize = 2

// Request holds the properties of a request that a choice depends on.
type Request struct {
	// Adapter is the adapter that the request uses, or "" for the model alone.
	Adapter domain.AdapterName
	// Exclude lists the servers that just failed the request or already run it.
	Exclude []domain.ServerID
	// IsEjected reports whether a circuit breaker ejects a server; nil means none.
	// Choose ignores the breaker if it finds no other replica, unless
	// RequireFreeSlot is set; ChooseByRendezvousHash never ignores it.
	IsEjected func(domain.ServerID) bool
	// RequireFreeSlot makes Choose fail if it finds no replica with a free slot.
	RequireFreeSlot bool
	// Seed selects the candidates of a locality: requests with the same seed get the
	// same two, unless these are full. Zero means random candidates.
	Seed uint64
	// resampled is set for the second sample of a locality, which is drawn if the
	// first one has no free slot.
	resampled bool
}

// Set holds the replicas of one model or service ordered by locality: first those
// of this node's availability zone, then the others of its region, then the rest.
type Set struct {
	Replicas []Replica
	// ZoneEnd and RegionEnd are the end indexes of the replicas of this node's zone
	// and region.
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
	// inFlightAtReport is the value of inFlight when the Chooser first saw the newest
	// report of the replica, and reportedAt is ReportedAt of that report.
	inFlightAtReport int
	reportedAt       time.Time
}

// Choose returns the index of a replica in s and counts a request in flight there
// until Done is called. It returns false if it finds no eligible replica. In a
// locality with more than fullScanLimit replicas, the sample can miss the eligible ones.
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
// rendezvous hash for the seed. Every node chooses the same replica, so that all
// retries of a request suspected of crashing servers run on one server. It counts a
// request in flight like Choose.
func (c *Chooser) ChooseByRendezvousHash(s Set, r Request) (int, bool) {
	bestIndex, highestWeight := -1, uint64(0)
	for i := range s.Replicas {
		server := s.Replicas[i].Server
		if !isEligible(server, r) {
			continue
		}
		if weight := mix64(r.Seed ^ xxhash.Sum64String(string(server))); bestIndex < 0 || weight > highestWeight {
			bestIndex, highestWeight = i, weight
		}
	}
	if bestIndex < 0 {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addInFlight(&s.Replicas[bestIndex])
	return bestIndex, true
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
// reports. While slots are free, a node may add only a part of the free slots to its
// requests in flight. Once the slots are full, the limit of each node is its requests
// in flight at the last reports, scaled down in proportion until the requests of all
// nodes fit into the slots, plus one, so that the nodes converge to equal limits.
func (c *Chooser) InFlightLimit(s Set) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	slots, reportedRequests, reportedLocalRequests := 0, 0, 0
	for i := range s.Replicas {
		replica := &s.Replicas[i]
		slots += max(replica.Concurrency, 1)
		reportedRequests += replica.Running + replica.Waiting
		if l, ok := c.recordNewReport(replica); ok {
			reportedLocalRequests += min(l.inFlightAtReport, replica.Running+replica.Waiting)
		}
	}
	targetRequests := slots + slots/engineQueueDivisor
	freeSlots := targetRequests - reportedRequests
	switch {
	case reportedRequests == 0:
		return slots + 1
	case freeSlots <= 0:
		return reportedLocalRequests*targetRequests/reportedRequests + 1
	default:
		return reportedLocalRequests + max(2, freeSlots*reportedLocalRequests/reportedRequests, freeSlots/freeSlotDivisor)
	}
}

// freeSlotDivisor sets the fraction of the free slots, one in 8, that a node may use
// even if it has few requests in flight.
const freeSlotDivisor = 8

// engineQueueDivisor sets the number of requests that may be queued in an engine
// besides those in its slots: one for every 8 slots, so that outdated reports leave no
// slot idle.
const engineQueueDivisor = 8

// chooseByLocality returns the best candidate of the nearest locality in which that
// candidate has a free slot. If there is none, it returns the least utilized of the
// best candidates of all localities, or index -1 if a free slot is required.
func (c *Chooser) chooseByLocality(now time.Time, s Set, r Request) candidate {
	best := candidate{index: -1}
	bounds := [...]int{0, s.ZoneEnd, s.RegionEnd, len(s.Replicas)}
	for g := range len(bounds) - 1 {
		localityBest := c.bestInLocality(now, s.Replicas, bounds[g], bounds[g+1], r)
		if r.Seed != 0 && !localityBest.hasFreeSlot() {
			resample := r
			resample.Seed, resample.resampled = mix64(r.Seed)|1, true
			localityBest = c.bestInLocality(now, s.Replicas, bounds[g], bounds[g+1], resample)
		}
		if localityBest.hasFreeSlot() {
			return localityBest
		}
		if localityBest.index >= 0 && (best.index < 0 || localityBest.utilization < best.utilization) {
			best = localityBest
		}
	}
	if r.RequireFreeSlot {
		return candidate{index: -1}
	}
	return best
}

// candidate is a replica evaluated for a request.
type candidate struct {
	// index is the index of the replica in Set.Replicas, or -1 for no replica.
	index int
	// utilization is the estimated number of requests divided by the replica's slots;
	// at 1 the replica is full.
	utilization float64
	// cost is the weighted number of requests divided by the slots, plus
	// adapterLoadCost if the adapter is not loaded; the lowest cost is best.
	cost float64
}

// isBetterThan reports whether c is a better choice than other. In a full scan, a
// candidate with a free slot is better than a full one at any cost. In a sample only
// the cost counts, because whether a slot is free depends too much on outdated reports.
func (c candidate) isBetterThan(other candidate, fullScan bool) bool {
	if fullScan && c.hasFreeSlot() != other.hasFreeSlot() {
		return c.hasFreeSlot()
	}
	return c.cost < other.cost
}

func (c candidate) hasFreeSlot() bool { return c.index >= 0 && c.utilization < 1 }

// bestInLocality returns the best eligible candidate of replicas[start:end]. It
// compares only a sample of them if there are more than fullScanLimit, or if the
// request has a seed and was not resampled. The index is -1 if it finds none.
func (c *Chooser) bestInLocality(now time.Time, replicas []Replica, start, end int, r Request) candidate {
	best := candidate{index: -1}
	size := end - start
	if size <= 0 {
		return best
	}
	fullScan := size <= fullScanLimit && (r.Seed == 0 || r.resampled || size <= sampleSize)
	startOffset, evaluatedCount := 0, 0
	if fullScan {
		startOffset = pickIndex(r.Seed, 0, size)
	}
	for iteration := 0; iteration < size; iteration++ {
		i := start + (startOffset+iteration)%size
		if !fullScan {
			i = start + pickIndex(r.Seed, iteration, size)
		}
		if !isEligible(replicas[i].Server, r) {
			continue
		}
		current := c.evaluate(now, &replicas[i], r)
		current.index = i
		if best.index < 0 || current.isBetterThan(best, fullScan) {
			best = current
		}
		if evaluatedCount++; !fullScan && evaluatedCount == sampleSize {
			return best
		}
	}
	return best
}

// pickIndex returns the index, below n, of one draw of a sample. Seed and draw
// determine it; with seed zero it is random.
func pickIndex(seed uint64, draw, n int) int {
	if seed == 0 {
		return rand.IntN(n)
	}
	return int(mix64(seed+uint64(draw)*0x9e3779b97f4a7c15) % uint64(n))
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

// adapterLoadCost is the addition to candidate.cost if the adapter must be loaded.
const adapterLoadCost = 0.5

// Weights of the requests of this node and of other nodes in a replica's cost. The
// count of this node's requests in flight is exact. The reported load of other nodes
// is outdated and the same at every node: with a high weight, all nodes would send to
// the same replica (herding).
const (
	localLoadWeight  = 4.0
	remoteLoadWeight = 0.2
)

// evaluate estimates the utilization of a replica and its cost for a request.
func (c *Chooser) evaluate(now time.Time, replica *Replica, r Request) candidate {
	slots := float64(max(replica.Concurrency, 1)) * slowStartShare(now, replica.LoadedAt)
	remoteRequests, localRequests := c.estimateLoad(replica)
	result := candidate{utilization: float64(remoteRequests+localRequests) / slots}
	result.cost = (remoteLoadWeight*float64(remoteRequests) + localLoadWeight*float64(localRequests)) / slots
	if r.Adapter != "" && !slices.Contains(replica.Adapters, r.Adapter) {
		result.cost += adapterLoadCost
	}
	return result
}

// estimateLoad returns the number of requests of other nodes at the last report, and
// the number of this node's requests in flight now.
func (c *Chooser) estimateLoad(replica *Replica) (remoteRequests, localRequests int) {
	l, ok := c.recordNewReport(replica)
	if !ok {
		return replica.Running + replica.Waiting, 0
	}
	return max(0, replica.Running+replica.Waiting-l.inFlightAtReport), l.inFlight
}

// recordNewReport stores this node's requests in flight as inFlightAtReport if the
// report of the replica is new, and returns this node's load there. It returns false
// if this node has no requests in flight there.
func (c *Chooser) recordNewReport(replica *Replica) (load, bool) {
	l, ok := c.loads[replica.Server]
	if ok && !l.reportedAt.Equal(replica.ReportedAt) {
		l.reportedAt, l.inFlightAtReport = replica.ReportedAt, l.inFlight
		c.loads[replica.Server] = l
	}
	return l, ok
}

// addInFlight counts a request in flight at a replica.
func (c *Chooser) addInFlight(replica *Replica) {
	l, ok := c.recordNewReport(replica)
	if !ok {
		l = load{reportedAt: replica.ReportedAt}
	}
	l.inFlight++
	if c.loads == nil {
		c.loads = make(map[domain.ServerID]load)
	}
	c.loads[replica.Server] = l
}

// slowStartShare returns the fraction of its slots that a replica loaded at loadedAt
// uses at now.
func slowStartShare(now, loadedAt time.Time) float64 {
	age := now.Sub(loadedAt)
	if loadedAt.IsZero() || age >= SlowStart {
		return 1
	}
	return max(minimumSlowStartShare, float64(age)/float64(SlowStart))
}
