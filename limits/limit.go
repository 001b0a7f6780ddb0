// Package limits enforces operators' limits on rates and on concurrent requests that
// hold over all nodes (distributed rate limiting). Each node enforces its share of a
// limit locally with a token bucket; the shares follow the demand that the nodes report
// to each other. Package caller checks each request against the limits of its team and
// model, and exchanges the reports. The package never reads a clock, does no I/O and
// starts no goroutines.
package limits

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// meterWindow is the time over which a node measures its demand and use.
	meterWindow = time.Second
	// burstSeconds is the size of the token bucket, in seconds of the node's share.
	burstSeconds = 1.0
	// reportExpiry is how long the report of another node counts. After it, the share
	// of a node that no longer reports goes to the others.
	reportExpiry = 4 * time.Second
	// evenShare is the fraction of a limit that is split evenly among all nodes when
	// demand exceeds the limit, so that a node with new demand always has a share.
	evenShare = 0.05
	// longestRetryAfter is the maximum of RetryAfter.
	longestRetryAfter = 10 * time.Minute
)

// Limit is one node's share of one limit, on a rate or on concurrent requests but not
// both. The zero Limit has no demand. It is not safe for concurrent use.
type Limit struct {
	tokens       float64
	refilledAt   time.Time
	meter        meter
	reports      map[domain.NodeID]report
	othersDemand float64 // of the other nodes, per second
	activeOthers int     // number of other nodes with demand
	sweptAt      time.Time
}

// report is the demand per second that another node reported.
type report struct {
	demand     float64
	receivedAt time.Time
}

// meter measures demand and use per second as exponential moving averages. For a limit
// on concurrent requests, AllowConcurrent and SetRunning set the rates to the number of
// running requests.
type meter struct {
	windowStart          time.Time
	demand, used         float64
	demandRate, usedRate float64
}

// averageWeight is the weight of the last second in the moving averages.
const averageWeight = 0.3

// rollWindow adds the current window to the averages once it is over.
func (m *meter) rollWindow(now time.Time) {
	elapsed := now.Sub(m.windowStart)
	if elapsed < meterWindow {
		return
	}
	if m.windowStart.IsZero() {
		m.windowStart = now
		return
	}
	seconds := elapsed.Seconds()
	decay := math.Pow(1-averageWeight, seconds)
	m.demandRate = decay*m.demandRate + (1-decay)*m.demand/seconds
	m.usedRate = decay*m.usedRate + (1-decay)*m.used/seconds
	m.demand, m.used, m.windowStart = 0, 0, now
	if m.demandRate < negligibleDemand {
		m.demandRate = 0
	}
}

// negligibleDemand is the demand per second below which a node has none.
const negligibleDemand = 0.001

// Allow takes an amount from the token bucket of a limit per second over the given
// number of nodes, and reports whether this node's share has it.
func (l *Limit) Allow(now time.Time, limit float64, nodes int, amount float64) bool {
	l.meter.rollWindow(now)
	fractional := l.hasFractionalShare(limit, nodes)
	l.refill(now, limit, nodes, fractional)
	l.meter.demand += amount
	if fractional {
		l.tokens = min(1, l.tokens+amount*limit/(l.meter.demandRate+l.othersDemand))
	}
	if l.tokens < amount {
		return false
	}
	l.tokens -= amount
	l.meter.used += amount
	return true
}

// hasFractionalShare reports whether demand exceeds the limit and this node's share is
// below one per second. Such a node gets too few requests to measure its demand, so
// each request adds to its bucket the ratio of the limit to total demand, which allows
// that fraction of the requests.
func (l *Limit) hasFractionalShare(limit float64, nodes int) bool {
	total := l.meter.demandRate + l.othersDemand
	return total > limit && share(limit, l.meter.demandRate, l.othersDemand, l.activeOthers, nodes) < 1
}

// Charge takes an amount that was used already, such as the tokens of a response. It
// can leave the bucket in debt.
func (l *Limit) Charge(now time.Time, amount float64) {
	l.meter.rollWindow(now)
	l.meter.demand += amount
	l.meter.used += amount
	l.tokens -= amount
}

// IsOutOfDebt reports whether the bucket has been refilled to zero or more since Charge.
func (l *Limit) IsOutOfDebt(now time.Time, limit float64, nodes int) bool {
	l.refill(now, limit, nodes, false)
	return l.tokens >= 0
}

// AllowConcurrent reports whether this node may run one more request besides the running
// ones, under a limit on concurrent requests over all nodes. Within a meterWindow a node
// may exceed the number that Rates returns by one, and further up to its share.
func (l *Limit) AllowConcurrent(now time.Time, limit float64, nodes, running int) bool {
	l.removeExpiredReports(now)
	if now.Sub(l.meter.windowStart) >= meterWindow {
		l.meter.windowStart, l.meter.demandRate, l.meter.usedRate = now, float64(running), float64(running)
	}
	if float64(running)+l.othersDemand >= limit {
		return false
	}
	reportedRunning := l.meter.demandRate
	return float64(running) < reportedRunning+1 || float64(running+1) <= share(limit, reportedRunning, l.othersDemand, l.activeOthers, nodes)
}

// SetRunning sets the number of this node's running requests, which Rates reports.
func (l *Limit) SetRunning(running int) {
	l.meter.demandRate, l.meter.usedRate = float64(running), float64(running)
}

// RetryAfter estimates the time until an amount is allowed, at least meterWindow.
func (l *Limit) RetryAfter(now time.Time, limit float64, nodes int, amount float64) time.Duration {
	rate := l.share(now, limit, nodes)
	if rate <= 0 {
		return meterWindow
	}
	seconds := max(amount-l.tokens, 0) / rate
	return max(time.Duration(min(seconds, longestRetryAfter.Seconds())*float64(time.Second)), meterWindow)
}

// refill adds tokens for the time since the last refill at the current share. The first
// refill gives a burst, with room for one request while demand is within the limit.
func (l *Limit) refill(now time.Time, limit float64, nodes int, fractional bool) {
	rate := l.share(now, limit, nodes)
	capacity := max(burstSeconds*rate, 1)
	switch elapsed := now.Sub(l.refilledAt); {
	case l.refilledAt.IsZero() && l.meter.demandRate+l.othersDemand <= limit:
		l.tokens += max(burstSeconds*rate, min(1, limit))
	case l.refilledAt.IsZero():
		l.tokens += burstSeconds * rate
	case elapsed > 0 && !fractional:
		l.tokens += rate * elapsed.Seconds()
	}
	l.tokens = min(l.tokens, capacity)
	l.refilledAt = now
}

// Share returns the rate that this node may use, per second.
func (l *Limit) Share(now time.Time, limit float64, nodes int) float64 {
	l.meter.rollWindow(now)
	return l.share(now, limit, nodes)
}

func (l *Limit) share(now time.Time, limit float64, nodes int) float64 {
	l.removeExpiredReports(now)
	return share(limit, l.meter.demandRate, l.othersDemand, l.activeOthers, nodes)
}

// share returns this node's share of a limit. While total demand is within the limit,
// that is the node's own demand and a part of the remainder, split among the active
// nodes, or the square root of all nodes where that is more, to leave something for
// newly active ones. Beyond the limit, shares are proportional to demand, except for
// evenShare.
func share(limit, local, remote float64, active, nodes int) float64 {
	nodes = max(nodes, active+1, 1)
	if total := local + remote; total > limit {
		return limit * ((1-evenShare)*local/total + evenShare/float64(nodes))
	}
	sharers := max(float64(active+1), math.Sqrt(float64(nodes)))
	return local + (limit-local-remote)/sharers
}

// Rates returns this node's demand and use per second, to report to the other nodes.
func (l *Limit) Rates(now time.Time) (demand, used float64) {
	l.meter.rollWindow(now)
	return l.meter.demandRate, l.meter.usedRate
}

// ApplyReport replaces the reported demand of another node; zero or less removes it.
func (l *Limit) ApplyReport(now time.Time, from domain.NodeID, demand float64) {
	if l.reports == nil {
		l.reports = make(map[domain.NodeID]report)
	}
	l.removeReport(from)
	if demand <= 0 {
		return
	}
	l.reports[from] = report{demand: demand, receivedAt: now}
	l.othersDemand += demand
	l.activeOthers++
}

// removeReport removes the report of a node, if any, from the totals.
func (l *Limit) removeReport(from domain.NodeID) {
	r, ok := l.reports[from]
	if !ok {
		return
	}
	delete(l.reports, from)
	l.activeOthers--
	l.othersDemand = max(0, l.othersDemand-r.demand)
	if l.activeOthers == 0 {
		l.othersDemand = 0
	}
}

// removeExpiredReports removes the reports of nodes that no longer report.
func (l *Limit) removeExpiredReports(now time.Time) {
	if now.Sub(l.sweptAt) < meterWindow {
		return
	}
	l.sweptAt = now
	for from, r := range l.reports {
		if now.Sub(r.receivedAt) > reportExpiry {
			l.removeReport(from)
		}
	}
}
