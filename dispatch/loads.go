package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/serverload"
)

const (
	// maximumConsidered bounds the candidates that one choice looks at. Of more candidates, a
	// random part is as good, and the choice stays a matter of microseconds.
	maximumConsidered = 48
	// otherZoneWeight and otherRegionWeight are the weights of a server in another availability
	// zone or region in the draw, relative to one with the same free capacity in this zone. Traffic
	// between regions is billed.
	otherZoneWeight   = 0.8
	otherRegionWeight = 0.1
	// The ranks of a candidate, the sum of which decides before any estimate.
	noRoomRank, ejectedRank, avoidedRank = 1, 2, 4
	// unresponsiveCost is the cost of a server that has just failed to respond.
	unresponsiveCost = time.Second
)

// serverLoad is the estimated load of a server.
type serverLoad struct {
	// known is true if the server has reported its load and its pace recently. Otherwise only this
	// node's own attempts are known.
	known bool
	// inUse is the number of running and waiting requests with this node's attempts since the
	// report. If the memory of the server is used to a greater share than its slots, it is that
	// share of the slots.
	inUse float64
	slots int
	// pace is how long work takes, relative to the usual time.
	pace float64
	// wait is the time until a new request begins to run.
	wait time.Duration
}

// estimateLoad returns the estimated load of a server.
func (c *chooser) estimateLoad(now time.Time, s *fleet.Server) serverLoad {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := serverload.KeyOf(s)
	state := c.table.State(now, key, s.Service, s.Slots)
	l := serverLoad{known: state.IsKnown && c.table.IsPaced(now, key), inUse: state.InUse(c.memoryOf(s.Service)), slots: state.Slots, pace: state.Pace}
	if state.IsFull {
		l.inUse = max(l.inUse, float64(l.slots))
	}
	l.wait = c.table.Wait(state, s.Service)
	return l
}

// memoryOf returns the memory of a server of a service in tokens, 0 if it is unknown.
func (c *chooser) memoryOf(name domain.ServiceName) domain.Tokens {
	if c.cacheTokens == nil {
		return 0
	}
	return c.cacheTokens(name)
}

// cacheTokens returns the memory of a server of a service in tokens, 0 if it is unknown.
func (d *Dispatcher) cacheTokens(name domain.ServiceName) domain.Tokens {
	if d.Views == nil {
		return 0
	}
	config := d.Views.Get().Config
	if config == nil {
		return 0
	}
	engine := config.Services[name].Engine
	if engine == nil {
		return 0
	}
	return engine.CacheTokens
}

// promptTokens returns the number of prompt tokens, 0 if it is unknown.
func (r *Request) promptTokens() domain.Tokens {
	if r.Size.Known {
		return r.Size.Prompt
	}
	var sum domain.Tokens
	for _, p := range r.PromptParts {
		sum += p.Tokens
	}
	return sum
}

// tokens returns the largest number of tokens that the request needs memory for at a server, 0 if it
// is unknown.
func (r *Request) tokens() domain.Tokens {
	if r.Size.Known {
		return r.Size.Total()
	}
	return r.promptTokens()
}

// rank ranks a candidate by this node's own failures there. The caller holds mu.
func (c *chooser) rank(now time.Time, s *fleet.Server, avoidedServers map[domain.ServerID]bool) int {
	rank := 0
	if avoidedServers[s.ID] {
		rank += avoidedRank
	}
	if c.breakers.IsEjected(now, s.ID) {
		rank += ejectedRank
	}
	return rank
}

// sampleIndex returns the index of the i-th candidate that a choice among n considers.
func sampleIndex(i, n int) int {
	if n <= maximumConsidered {
		return i
	}
	return rand.IntN(n)
}

// hasPaced reports whether a candidate reports its pace. The caller holds mu.
func (c *chooser) hasPaced(now time.Time, candidates []*fleet.Server) bool {
	for i := range min(len(candidates), maximumConsidered) {
		if c.table.IsPaced(now, serverload.KeyOf(candidates[sampleIndex(i, len(candidates))])) {
			return true
		}
	}
	return false
}

// chooseByEstimate returns the candidate that the draw of package serverload chooses. There is at
// least one. The caller holds mu.
func (c *chooser) chooseByEstimate(now time.Time, here location, candidates []*fleet.Server, r *Request, avoidedServers map[domain.ServerID]bool, inputs *choiceInputs) *fleet.Server {
	request := c.loadRequest(r, candidates[0].Service)
	var draw serverload.Draw
	for i := range min(len(candidates), maximumConsidered) {
		index := sampleIndex(i, len(candidates))
		c.consider(now, here, &draw, index, candidates[index], &request, avoidedServers)
	}
	if len(candidates) > maximumConsidered && draw.Rank() > 0 {
		for index, s := range candidates {
			c.consider(now, here, &draw, index, s, &request, avoidedServers)
		}
	}
	choice, isByCache, _ := draw.Choose(c.table.Saving(&request))
	inputs.estimate, inputs.isEstimated = choice.Estimate, true
	inputs.cachedTokens, inputs.isByCache = choice.Cached, isByCache
	return candidates[choice.Index]
}

// consider adds a candidate to a draw. The caller holds mu.
func (c *chooser) consider(now time.Time, here location, draw *serverload.Draw, index int, s *fleet.Server, r *serverload.Request, avoidedServers map[domain.ServerID]bool) {
	state := c.table.State(now, serverload.KeyOf(s), s.Service, s.Slots)
	rank := c.rank(now, s, avoidedServers)
	if !state.HasRoom(r) {
		rank += noRoomRank
	}
	distance := here.cost(s.Zone)
	cached := c.table.Cached(now, serverload.KeyOf(s), state, r)
	e := c.table.Estimate(state, r, cached, distance)
	if s.WarmUpRemaining > 0 {
		e.Queue += warmUpCost
	}
	if l := c.loads[s.ID]; l != nil && l.responseTime == unresponsiveResponseTime {
		weight := max(0, 1-float64(now.Sub(l.responseTimeAt))/float64(responseTimeLifetime))
		e.Queue += time.Duration(weight * float64(unresponsiveCost))
	}
	weight := state.FreeCapacity(r)
	switch distance {
	case otherZoneCost:
		weight *= otherZoneWeight
	case otherRegionCost:
		weight *= otherRegionWeight
	}
	draw.Consider(&serverload.Candidate{Index: index, Rank: rank, Weight: weight, Estimate: e, Cached: cached, MayPreferCache: state.MayPreferCache(r), HomeOrder: r.Prefixes.HomeOrder(serverload.KeyOf(s))}, rand.Float64())
}

// recordReport records the load that a server reported. The caller holds mu.
func (c *chooser) recordReport(now time.Time, s *fleet.Server, reported Load) {
	if reported.Known {
		c.table.Record(now, serverload.KeyOf(s), serverload.Report{Running: reported.Running, Waiting: reported.Waiting, Slots: reported.Slots, Pace: reported.Pace})
	}
}

// recordFirstEvent records the time to the first event of a request, after which its server has read
// the prompt. The caller holds mu.
func (c *chooser) recordFirstEvent(now time.Time, s *fleet.Server, r *Request, took time.Duration) {
	key, request := serverload.KeyOf(s), c.loadRequest(r, s.Service)
	cached := c.table.Cached(now, key, c.table.State(now, key, s.Service, s.Slots), &request)
	c.table.RecordFirstEvent(now, key, s.Service, max(0, request.Prompt-cached), took)
	if c.table.IsPaced(now, key) {
		c.table.RecordRead(now, key, s.Slots, &request)
	}
}

// loadRequest returns what package serverload needs to know of a request for a service.
func (c *chooser) loadRequest(r *Request, name domain.ServiceName) serverload.Request {
	request := serverload.Request{Service: name, Prompt: r.promptTokens(), Size: r.tokens(), CacheTokens: c.memoryOf(name)}
	if len(r.PromptParts) == 0 {
		return request
	}
	request.Prefixes = serverload.NewPrefixes(r.Model, r.Adapter)
	for i, p := range r.PromptParts[:min(len(r.PromptParts), serverload.MaximumParts)] {
		request.Prefixes.Add(p.ID, p.Tokens, i == len(r.PromptParts)-1)
	}
	return request
}

// end removes an attempt from those in flight at its server. If the response is complete, it records
// how long the request took there.
func (c *chooser) end(now time.Time, a *attempt, r *Request, isComplete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadOf(a.server.ID).attemptsInFlight--
	key := serverload.KeyOf(a.server)
	c.table.End(now, key, a.server.Service, r.tokens())
	if isComplete {
		c.table.RecordServiceTime(now, key, a.server.Service, now.Sub(a.startedAt))
	}
}

// isIdle reports whether this node has no attempt in flight at a server.
func (c *chooser) isIdle(id domain.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loadOf(id).attemptsInFlight == 0
}

// TakeLoads returns the loads of servers that this node has heard of since the last call, for the
// owner.
func (d *Dispatcher) TakeLoads(now time.Time) []serverload.Shared {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	return d.chooser.table.TakeOwn(now)
}

// MergeLoads applies the loads that another node has sent to this one, the owner.
func (d *Dispatcher) MergeLoads(now time.Time, list []serverload.Shared) {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	d.chooser.table.Merge(now, list)
}

// ApplyLoads applies the loads that the owner has sent.
func (d *Dispatcher) ApplyLoads(now time.Time, list []serverload.Shared) {
	d.chooser.applyLoads(now, list)
	if len(list) > 0 {
		d.grantAll(now)
	}
}

func (c *chooser) applyLoads(now time.Time, list []serverload.Shared) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Apply(now, list)
}

// TakeLoadChanges returns the loads that this node, the owner, sends to all nodes, at most the given
// number.
func (d *Dispatcher) TakeLoadChanges(now time.Time, maximum int) []serverload.Shared {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	return d.chooser.table.TakeChanges(now, maximum)
}

// TakePrefixes returns the cached prompt parts that the other nodes should be told of, at most the
// given number.
func (d *Dispatcher) TakePrefixes(now time.Time, maximum int) []serverload.SharedPrefix {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	return d.chooser.table.TakePrefixes(now, maximum)
}

// ApplyPrefixes applies what another node has told of cached prompt parts. mustPassOn is true on the
// owner, which tells all nodes.
func (d *Dispatcher) ApplyPrefixes(now time.Time, list []serverload.SharedPrefix, mustPassOn bool) {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	d.chooser.table.ApplyPrefixes(now, list, mustPassOn)
}

// CacheCounters count what the prompt parts that servers have cached are estimated to save. They are
// safe for concurrent use.
type CacheCounters interface {
	// CountCachedTokens counts the prompt tokens of a request that its server had probably cached.
	// isByCache is true if the server was chosen for them.
	CountCachedTokens(tokens domain.Tokens, isByCache bool)
}

// countCache counts what the cache of the server of an attempt has saved.
func (d *Dispatcher) countCache(a *attempt) {
	if d.CacheCounters != nil && (a.inputs.cachedTokens > 0 || a.inputs.isByCache) {
		d.CountCachedTokens(a.inputs.cachedTokens, a.inputs.isByCache)
	}
}

// UsualPace returns the mean pace of a server over the last seconds, or 0 if it is unknown.
func (d *Dispatcher) UsualPace(now time.Time, s *fleet.Server) float64 {
	d.chooser.mu.Lock()
	defer d.chooser.mu.Unlock()
	return d.chooser.table.UsualPace(now, serverload.KeyOf(s))
}
