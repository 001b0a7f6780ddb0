package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/serverload"
)

// The costs for services whose servers do not report their pace. Without it and without the
// reports of other nodes, the load of a server is known too roughly for package serverload.
const (
	// fullSlotsCost is the estimated delay of a request at a server with every slot in
	// use. fullSlotsCost divided by the number of slots is the cost of each other request
	// at the server.
	fullSlotsCost = 150 * time.Millisecond
	// minimumRequestCost is the lower bound of the cost of each other request at the
	// server: the prefill of a prompt is interleaved with the token generation of the
	// other requests.
	minimumRequestCost = 8 * time.Millisecond
	// queuedRequestSlots is the load of a queued request, as a number of running
	// requests.
	queuedRequestSlots = 2.0
	// cachedPrefixGain is the time saved at a server that has the prompt's prefix cached.
	cachedPrefixGain = 12 * time.Millisecond
	// maximumRandomCost bounds the random cost that is added to each server. Nodes do not
	// see each other's requests. Without a random cost, all nodes would choose the same
	// one of several equal servers.
	maximumRandomCost = 8 * time.Millisecond
)

// chooseUnpaced returns the candidate with the lowest cost. There is at least one.
func (c *chooser) chooseUnpaced(now time.Time, here location, candidates []*fleet.Server, prefix string, avoidedServers map[domain.ServerID]bool) *fleet.Server {
	var best *fleet.Server
	var bestCost time.Duration
	bestRank := 0
	meanResponseTime := c.meanResponseTime(now, candidates)
	for _, s := range candidates {
		rank := c.rank(now, s, avoidedServers)
		cost := c.cost(now, here, s, prefix, meanResponseTime) + rand.N(maximumRandomCost)
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestCost, bestRank = s, cost, rank
		}
	}
	return best
}

// hasRecentResponseTime reports whether the response time was measured recently. The time
// assumed for an unresponsive server does not count as a measurement.
func (l *load) hasRecentResponseTime(now time.Time) bool {
	return l.responseTime != unresponsiveResponseTime && now.Sub(l.responseTimeAt) < responseTimeLifetime
}

// meanResponseTime returns the mean response time of the candidates with a recent
// measurement, or 0 if no candidate has one. The caller holds mu.
func (c *chooser) meanResponseTime(now time.Time, candidates []*fleet.Server) time.Duration {
	var sum time.Duration
	measuredServers := 0
	for _, s := range candidates {
		if l := c.loadOf(s.ID); l.hasRecentResponseTime(now) {
			sum += l.responseTime
			measuredServers++
		}
	}
	return sum / time.Duration(max(1, measuredServers))
}

// cost estimates the delay of a request at a server. As the measured response time of the
// server ages, meanResponseTime replaces it, so that a server is not preferred for lack
// of data; it is multiplied by the pace of the server if enough samples of all nodes show it. The caller holds mu.
func (c *chooser) cost(now time.Time, here location, s *fleet.Server, prefix string, meanResponseTime time.Duration) time.Duration {
	l := c.loadOf(s.ID)
	otherRequests := float64(l.attemptsInFlight)
	if now.Sub(l.reportedAt) < loadReportLifetime {
		otherRequests += l.otherLoad
	}
	cost := here.cost(s.Zone) + time.Duration(otherRequests*float64(max(minimumRequestCost, fullSlotsCost/time.Duration(max(1, s.Slots)))))
	if s.WarmUpRemaining > 0 {
		cost += warmUpCost
	}
	weight := max(0, 1-float64(now.Sub(l.responseTimeAt))/float64(responseTimeLifetime))
	expectedResponseTime := float64(meanResponseTime)
	if pace := c.table.LearnedPace(now, serverload.KeyOf(s)); pace > 0 {
		expectedResponseTime *= pace
	}
	cost += time.Duration(weight*float64(l.responseTime)+(1-weight)*expectedResponseTime) / 2
	if _, ok := l.prefixes[prefix]; ok && prefix != "" {
		cost -= cachedPrefixGain
	}
	return cost
}
