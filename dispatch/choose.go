package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/retries"
)

const (
	// fullSlotsCost is the estimated delay at a server with every slot in use. Divided by
	// the server's slots, it is the cost of each other request there.
	fullSlotsCost = 150 * time.Millisecond
	// minimumRequestCost is the least cost of each other request at the server: the
	// prefill of a prompt is interleaved with their token generation.
	minimumRequestCost = 8 * time.Millisecond
	// queuedRequestSlots is the weight of a queued request, in running requests.
	queuedRequestSlots = 2.0
	// otherRegionCost is the cost of a server in another region, otherZoneCost that of one
	// in another availability zone of the same region.
	otherRegionCost = 25 * time.Millisecond
	otherZoneCost   = 2 * time.Millisecond
	// coldServerCost is the cost of a server that is still slow after its start.
	coldServerCost = 100 * time.Millisecond
	// cachedPrefixGain is the time saved at a server that has the prompt's prefix cached.
	cachedPrefixGain = 12 * time.Millisecond
	// loadReportLifetime is how long a server's load report is used.
	loadReportLifetime = 1500 * time.Millisecond
	// delayLifetime is how long a measured response time is used; its weight decreases
	// linearly to zero over this time.
	delayLifetime = 3 * time.Second
	// delayWeight is the weight of the newest response time in the moving average.
	delayWeight = 0.3
	// maximumRandomCost bounds the random cost added to each server. Nodes do not see each
	// other's requests; without it, all of them would choose the same one of several equal
	// servers.
	maximumRandomCost = 8 * time.Millisecond
	// unresponsiveDelay is the response time assumed after a request got no response.
	unresponsiveDelay = 2 * time.Second
	// missingLifetime is how long a server is left out for a model or adapter that it
	// turned out to lack.
	missingLifetime = 700 * time.Millisecond
	// maximumPrefixes bounds the prompt prefixes recorded for one server.
	maximumPrefixes = 256
)

// load is this node's view of the load of one server.
type load struct {
	inFlight int
	// otherLoad is the load that the server reported, in running requests, less this
	// node's own requests.
	otherLoad  float64
	reportedAt time.Time
	// delay is the moving average of the response time, last updated at delayAt.
	delay   time.Duration
	delayAt time.Time
	// prefixes are the prompt prefixes in requests that this node sent to the server.
	prefixes map[string]time.Time
	// missing holds when the server last turned out to lack a model or adapter.
	missing map[placement.ModelKey]time.Time
}

// chooser selects servers by estimated delay and tracks their load and failures. The zero
// chooser is ready for use. It is safe for concurrent use.
type chooser struct {
	mu       sync.Mutex
	loads    map[domain.ServerID]*load
	breakers retries.Breakers
}

// loadOf returns the load of a server and creates it if needed. The caller holds mu.
func (c *chooser) loadOf(id domain.ServerID) *load {
	if c.loads == nil {
		c.loads = map[domain.ServerID]*load{}
	}
	l := c.loads[id]
	if l == nil {
		l = &load{}
		c.loads[id] = l
	}
	return l
}

// location is the availability zone of this node, with the regions of all zones.
type location struct {
	zone    domain.Zone
	regions map[domain.Zone]domain.Region
}

// cost is the cost of the distance to a zone.
func (l location) cost(z domain.Zone) time.Duration {
	switch {
	case z == l.zone:
		return 0
	case l.regions[z] == l.regions[l.zone]:
		return otherZoneCost
	}
	return otherRegionCost
}

// choose returns the candidate with the lowest cost and counts a request in flight there;
// it returns nil if there are no candidates. Servers in avoided rank after all others; in
// either group, servers removed by outlier ejection rank last.
func (c *chooser) choose(now time.Time, here location, candidates []*fleet.Server, prefix string, avoided map[domain.ServerID]bool) (*fleet.Server, choiceInputs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best *fleet.Server
	var bestCost time.Duration
	bestRank := 0
	meanDelay := c.meanDelay(now, candidates)
	for _, s := range candidates {
		rank := 0
		if avoided[s.ID] {
			rank += 2
		}
		if c.breakers.IsEjected(now, s.ID) {
			rank++
		}
		cost := c.cost(now, here, s, prefix, meanDelay) + rand.N(maximumRandomCost)
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestCost, bestRank = s, cost, rank
		}
	}
	if best == nil {
		return nil, choiceInputs{}
	}
	l := c.loadOf(best.ID)
	inputs := choiceInputs{candidates: len(candidates), inFlight: l.inFlight, otherLoad: l.otherLoad, loadAge: min(now.Sub(l.reportedAt), time.Hour)}
	l.inFlight++
	l.addPrefix(now, prefix)
	return best, inputs
}

// addPrefix records a prompt prefix. When the record is full, it starts again empty.
func (l *load) addPrefix(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if l.prefixes == nil || len(l.prefixes) >= maximumPrefixes {
		l.prefixes = map[string]time.Time{}
	}
	l.prefixes[prefix] = now
}

// hasRecentDelay reports whether delay is a recent measurement. The delay assumed for an
// unresponsive server is none.
func (l *load) hasRecentDelay(now time.Time) bool {
	return l.delay != unresponsiveDelay && now.Sub(l.delayAt) < delayLifetime
}

// meanDelay returns the mean response time of the candidates with a recent measurement, or
// 0 if none has one. The caller holds mu.
func (c *chooser) meanDelay(now time.Time, candidates []*fleet.Server) time.Duration {
	var sum time.Duration
	measured := 0
	for _, s := range candidates {
		if l := c.loadOf(s.ID); l.hasRecentDelay(now) {
			sum += l.delay
			measured++
		}
	}
	return sum / time.Duration(max(1, measured))
}

// cost estimates the delay of a request at a server. As a server's measurement ages,
// meanDelay takes its place, so that a server is not preferred for lack of data. The
// caller holds mu.
func (c *chooser) cost(now time.Time, here location, s *fleet.Server, prefix string, meanDelay time.Duration) time.Duration {
	l := c.loadOf(s.ID)
	busy := float64(l.inFlight)
	if now.Sub(l.reportedAt) < loadReportLifetime {
		busy += l.otherLoad
	}
	cost := here.cost(s.Zone) + time.Duration(busy*float64(max(minimumRequestCost, fullSlotsCost/time.Duration(max(1, s.Slots)))))
	if s.WarmUpRemaining > 0 {
		cost += coldServerCost
	}
	weight := max(0, 1-float64(now.Sub(l.delayAt))/float64(delayLifetime))
	cost += time.Duration(weight*float64(l.delay)+(1-weight)*float64(meanDelay)) / 2
	if _, ok := l.prefixes[prefix]; ok && prefix != "" {
		cost -= cachedPrefixGain
	}
	return cost
}

// recordMissing records that a server lacks a model or adapter that this node's view lists
// there.
func (c *chooser) recordMissing(now time.Time, id domain.ServerID, k placement.ModelKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	if l.missing == nil {
		l.missing = map[placement.ModelKey]time.Time{}
	}
	l.missing[k] = now
}

// isMissing reports whether a server recently turned out to lack a model or adapter.
func (c *chooser) isMissing(now time.Time, id domain.ServerID, k placement.ModelKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	at, ok := l.missing[k]
	if ok && now.Sub(at) >= missingLifetime {
		delete(l.missing, k)
		return false
	}
	return ok
}

// release ends one request in flight at a server.
func (c *chooser) release(id domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadOf(id).inFlight--
}

// recordResponse records the response time of a server and the load that it reported.
func (c *chooser) recordResponse(now time.Time, id domain.ServerID, latency time.Duration, reported Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordSuccess(now, id)
	l := c.loadOf(id)
	if l.delayAt.IsZero() || now.Sub(l.delayAt) > delayLifetime {
		l.delay = latency
	} else {
		l.delay += time.Duration(delayWeight * float64(latency-l.delay))
	}
	l.delayAt = now
	if reported.Known {
		l.otherLoad = max(0, float64(reported.Running)+queuedRequestSlots*float64(reported.Waiting)-float64(l.inFlight))
		l.reportedAt = now
	}
}

// recordNoResponse records a request without a response. It counts as a failure and raises
// the server's cost until delayLifetime has passed.
func (c *chooser) recordNoResponse(now time.Time, id domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, false)
	l := c.loadOf(id)
	l.delay, l.delayAt = unresponsiveDelay, now
}

// recentDelay returns the moving average of a server's response time, or 0 without a
// recent measurement.
func (c *chooser) recentDelay(now time.Time, id domain.ServerID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	if !l.hasRecentDelay(now) {
		return 0
	}
	return l.delay
}

// recordFailure counts a failure for outlier ejection. Unreached means that no connection
// could be made.
func (c *chooser) recordFailure(now time.Time, id domain.ServerID, unreached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, unreached)
}

// recordOverload records that a server had no room for a request.
func (c *chooser) recordOverload(now time.Time, s *fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(s.ID)
	l.otherLoad = max(l.otherLoad, queuedRequestSlots*float64(s.Slots))
	l.reportedAt = now
}

// inFlight returns the number of this node's attempts in flight.
func (c *chooser) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, l := range c.loads {
		n += l.inFlight
	}
	return n
}
