package dispatch

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/serverload"
)

const (
	// otherRegionCost is the cost of a server in another region, otherZoneCost that of one
	// in another availability zone of the same region.
	otherRegionCost = 25 * time.Millisecond
	otherZoneCost   = 2 * time.Millisecond
	// warmUpCost is the cost of a server that is still warming up after its start.
	warmUpCost = 100 * time.Millisecond
	// loadReportLifetime is how long a load report of a server is used.
	loadReportLifetime = 1500 * time.Millisecond
	// responseTimeLifetime is how long a measured response time is used. Its weight
	// decreases linearly to zero over this time.
	responseTimeLifetime = 3 * time.Second
	// newestResponseTimeWeight is the weight of the newest response time in the moving
	// average.
	newestResponseTimeWeight = 0.3
	// unresponsiveResponseTime is the response time assumed for a server that did not
	// respond to a request.
	unresponsiveResponseTime = 2 * time.Second
	// missingLifetime is how long a server gets no requests for a model or adapter after
	// a refusal has shown that the server lacks it.
	missingLifetime = 700 * time.Millisecond
	// maximumPrefixes bounds the prompt prefixes that are recorded for one server.
	maximumPrefixes = 256
)

// load is this node's view of the load of one server.
type load struct {
	// attemptsInFlight is the number of this node's attempts at the server that have not
	// ended.
	attemptsInFlight int
	// otherLoad is the load that the server last reported minus this node's own attempts,
	// as a number of running requests.
	otherLoad float64
	// reportedAt is when otherLoad was set.
	reportedAt time.Time
	// responseTime is the moving average of the response time, last updated at
	// responseTimeAt.
	responseTime   time.Duration
	responseTimeAt time.Time
	// prefixes holds the prompt prefixes of the requests that this node sent to the
	// server, with the time of the latest request.
	prefixes map[string]time.Time
	// lastMissingAt holds the models and adapters that the server lacked when it refused a
	// request, with the time of the latest such refusal.
	lastMissingAt map[placement.ModelKey]time.Time
}

// chooser selects servers by estimated delay and tracks their load and failures. The zero
// chooser is ready for use. It is safe for concurrent use.
type chooser struct {
	// cacheTokens returns the memory of a server of a service in tokens, 0 if it is unknown. It may
	// be nil.
	cacheTokens func(domain.ServiceName) domain.Tokens

	mu       sync.Mutex
	loads    map[domain.ServerID]*load
	breakers retries.Breakers
	// table holds the load that the servers and the other nodes report.
	table serverload.Table
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

// choose returns the candidate with the lowest estimated delay and counts an attempt in flight
// there. It returns nil if there are no candidates. Servers in avoidedServers rank after
// all others. Among the avoided and among the other servers, those removed by outlier
// ejection rank last.
func (c *chooser) choose(now time.Time, here location, candidates []*fleet.Server, r *Request, avoidedServers map[domain.ServerID]bool) (*fleet.Server, choiceInputs) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(candidates) == 0 {
		return nil, choiceInputs{}
	}
	var best *fleet.Server
	inputs := choiceInputs{candidates: len(candidates)}
	if c.hasPaced(now, candidates) {
		best = c.chooseByEstimate(now, here, candidates, r, avoidedServers, &inputs)
	} else {
		best = c.chooseUnpaced(now, here, candidates, r.Prefix, avoidedServers)
	}
	l := c.loadOf(best.ID)
	inputs.attemptsInFlight, inputs.otherLoad, inputs.loadAge = l.attemptsInFlight, l.otherLoad, min(now.Sub(l.reportedAt), time.Hour)
	l.attemptsInFlight++
	c.table.Send(now, serverload.KeyOf(best), best.Service, r.tokens())
	l.addPrefix(now, r.Prefix)
	return best, inputs
}

// addPrefix records a prompt prefix. If the record already holds maximumPrefixes, all of
// them are dropped first.
func (l *load) addPrefix(now time.Time, prefix string) {
	if prefix == "" {
		return
	}
	if l.prefixes == nil || len(l.prefixes) >= maximumPrefixes {
		l.prefixes = map[string]time.Time{}
	}
	l.prefixes[prefix] = now
}

// recordMissing records that a server refused a request because it lacks the model or
// adapter, although this node's view shows them as loaded there.
func (c *chooser) recordMissing(now time.Time, id domain.ServerID, k placement.ModelKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	if l.lastMissingAt == nil {
		l.lastMissingAt = map[placement.ModelKey]time.Time{}
	}
	l.lastMissingAt[k] = now
}

// isMissing reports whether a refusal within missingLifetime has shown that a server
// lacks a model or adapter.
func (c *chooser) isMissing(now time.Time, id domain.ServerID, k placement.ModelKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	at, ok := l.lastMissingAt[k]
	if ok && now.Sub(at) >= missingLifetime {
		delete(l.lastMissingAt, k)
		return false
	}
	return ok
}

// release removes an attempt that was chosen and not sent from those in flight at its server.
func (c *chooser) release(s *fleet.Server, r *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loadOf(s.ID).attemptsInFlight--
	c.table.End(time.Now(), serverload.KeyOf(s), s.Service, r.tokens())
}

// recordResponse records the response time of a server and the load that it reported.
func (c *chooser) recordResponse(now time.Time, s *fleet.Server, r *Request, responseTime time.Duration, reported Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordSuccess(now, s.ID)
	c.recordReport(now, s, reported)
	c.recordFirstEvent(now, s, r, responseTime)
	l := c.loadOf(s.ID)
	if l.responseTimeAt.IsZero() || now.Sub(l.responseTimeAt) > responseTimeLifetime {
		l.responseTime = responseTime
	} else {
		l.responseTime += time.Duration(newestResponseTimeWeight * float64(responseTime-l.responseTime))
	}
	l.responseTimeAt = now
	if reported.Known {
		l.otherLoad = max(0, float64(reported.Running)+queuedRequestSlots*float64(reported.Waiting)-float64(l.attemptsInFlight))
		l.reportedAt = now
	}
}

// recordNoResponse records an attempt that ended without a response. It counts as a
// failure for outlier ejection and raises the server's cost until responseTimeLifetime
// has passed.
func (c *chooser) recordNoResponse(now time.Time, id domain.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, false)
	l := c.loadOf(id)
	l.responseTime, l.responseTimeAt = unresponsiveResponseTime, now
}

// recentResponseTime returns the moving average of a server's response time, or 0 without
// a recent measurement.
func (c *chooser) recentResponseTime(now time.Time, id domain.ServerID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.loadOf(id)
	if !l.hasRecentResponseTime(now) {
		return 0
	}
	return l.responseTime
}

// recordFailure counts a failure for outlier ejection; unreached means that no connection
// could be made.
func (c *chooser) recordFailure(now time.Time, id domain.ServerID, unreached bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breakers.RecordFailure(now, id, unreached)
}

// recordOverload records that a server refused a request for lack of room. Its load is
// then assumed to be at least queuedRequestSlots times the number of its slots.
func (c *chooser) recordOverload(now time.Time, s *fleet.Server, reported Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordReport(now, s, reported)
	c.table.RecordFull(now, serverload.KeyOf(s))
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
		n += l.attemptsInFlight
	}
	return n
}
