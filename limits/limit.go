// Package limits enforces the limits that operators set on rates and on concurrent
// requests over all nodes (distributed rate limiting). Each node enforces its share of a
// limit locally, for a rate with a token bucket. The shares follow the demand that the
// nodes report to each other. Package caller checks each request against the limits of
// its team and model, and exchanges the reports. The package never reads a clock, does
// no I/O and starts no goroutines.
package limits

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// meterWindow is the time over which a node counts its demand and use before it
	// adds them to the moving averages.
	meterWindow = time.Second
	// burstSeconds is the time in which the node's share refills an empty token bucket.
	burstSeconds = 1.0
	// reportExpiry is how long this node uses the report of another node. The share of
	// a node that no longer reports then goes to the others.
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
	// tokens is the content of the token bucket. A negative content is a debt.
	tokens     float64
	refilledAt time.Time
	meter      meter
	reports    map[domain.NodeID]report
	// othersDemand is the sum of the demands in reports, per second.
	othersDemand float64
	// activeOthers is the number of other nodes with demand.
	activeOthers int
	// expiryCheckedAt is when expired reports were last removed.
	expiryCheckedAt time.Time
}

// report is the demand per second that another node reported.
type report struct {
	demand     float64
	receivedAt time.Time
}

// meter measures demand and use per second as exponential moving averages. For a limit
// on concurrent requests, AllowConcurrent and SetRunning set both rates to the number of
// running requests.
type meter struct {
	windowStart time.Time
	// windowDemand and windowUsed are the sums of the amounts that were requested and
	// used since windowStart.
	windowDemand, windowUsed float64
	// demandRate and usedRate are the moving averages per second.
	demandRate, usedRate float64
}

// averageWeight is the weight of the latest second in the moving averages.
const averageWeight = 0.3

// rollWindow adds the current window to the moving averages and starts the next window,
// if the current window is over.
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
	m.demandRate = decay*m.demandRate + (1-decay)*m.windowDemand/seconds
	m.usedRate = decay*m.usedRate + (1-decay)*m.windowUsed/seconds
	m.windowDemand, m.windowUsed, m.windowStart = 0, 0, now
	if m.demandRate < negligibleDemand {
		m.demandRate = 0
	}
}

// negligibleDemand is the smallest demand per second; a lower demand counts as zero.
const negligibleDemand = 0.001

// Allow reports whether this node's share of a limit allows an amount now, and takes the
// amount from the token bucket if so. The limit is per second, over the given number of
// nodes.
func (l *Limit) Allow(now time.Time, limit float64, nodes int, amount float64) bool {
	l.meter.rollWindow(now)
	fractional := l.hasFractionalShare(limit, nodes)
	l.refill(now, limit, nodes, fractional)
	l.meter.windowDemand += amount
	if fractional {
		l.tokens = min(1, l.tokens+amount*limit/(l.meter.demandRate+l.othersDemand))
	}
	if l.tokens < amount {
		return false
	}
	l.tokens -= amount
	l.meter.windowUsed += amount
	return true
}

// hasFractionalShare reports whether total demand exceeds the limit and this node's share
// is below one per second. Such a node gets too few requests to measure its demand. Allow
// then adds the ratio of the limit to total demand to the bucket at each request, so that
// this fraction of the requests is allowed.
func (l *Limit) hasFractionalShare(limit float64, nodes int) bool {
	total := l.meter.demandRate + l.othersDemand
	return total > limit && share(limit, l.meter.demandRate, l.othersDemand, l.activeOthers, nodes) < 1
}

// Charge takes an amount that was already used, such as the tokens of a response. It can
// leave the bucket with a negative content, in debt.
func (l *Limit) Charge(now time.Time, amount float64) {
	l.meter.rollWindow(now)
	l.meter.windowDemand += amount
	l.meter.windowUsed += amount
	l.tokens -= amount
}

// IsOutOfDebt reports whether the content of the bucket is zero or more now.
func (l *Limit) IsOutOfDebt(now time.Time, limit float64, nodes int) bool {
	l.refill(now, limit, nodes, false)
	return l.tokens >= 0
}

// AllowConcurrent reports whether this node may run one more request besides its
// running requests, under a limit on concurrent requests over all nodes. The running
// requests of all nodes must be fewer than the limit. Within one meterWindow, the node
// may run one request more than the number that Rates returns, or as many as its share
// if that is more.
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

// RetryAfter estimates the time until an amount is allowed: at least meterWindow and at
// most longestRetryAfter.
func (l *Limit) RetryAfter(now time.Time, limit float64, nodes int, amount float64) time.Duration {
	rate := l.share(now, limit, nodes)
	if rate <= 0 {
		return meterWindow
	}
	seconds := max(amount-l.tokens, 0) / rate
	return max(time.Duration(min(seconds, longestRetryAfter.Seconds())*float64(time.Second)), meterWindow)
}

// refill adds tokens at the rate of the current share for the time since the last
// refill, but none if the share is fractional: Allow adds them in that case. The first
// refill adds the tokens of burstSeconds, and at least one token, or the limit if that
// is less, while demand is within the limit.
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

// share returns this node's share of a limit. If total demand exceeds the limit, shares
// are proportional to demand, except that evenShare of the limit is split evenly among
// all nodes. Otherwise a share is the demand of the node and a part of the remainder.
// The remainder is split into as many parts as there are active nodes, or as the square
// root of the number of nodes if that is more, to leave parts for newly active nodes.
func share(limit, localDemand, othersDemand float64, activeOthers, nodes int) float64 {
	nodes = max(nodes, activeOthers+1, 1)
	if total := localDemand + othersDemand; total > limit {
		return limit * ((1-evenShare)*localDemand/total + evenShare/float64(nodes))
	}
	sharers := max(float64(activeOthers+1), math.Sqrt(float64(nodes)))
	return localDemand + (limit-localDemand-othersDemand)/sharers
}

// Rates returns this node's demand and use to report to the other nodes: per second, or
// in running requests for a limit on concurrent requests.
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

// removeReport removes the report of a node, if there is one, and subtracts it from the
// totals.
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

// removeExpiredReports removes the reports that are older than reportExpiry, at most
// once per meterWindow.
func (l *Limit) removeExpiredReports(now time.Time) {
	if now.Sub(l.expiryCheckedAt) < meterWindow {
		return
	}
	l.expiryCheckedAt = now
	for from, r := range l.reports {
		if now.Sub(r.receivedAt) > reportExpiry {
			l.removeReport(from)
		}
	}
}
