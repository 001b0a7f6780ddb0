// Package limits holds rates and numbers of requests under operators' limits over
// all nodes. Each node enforces a share of each limit by itself; shares follow
// the demand that nodes tell each other of. It has no input, output or clock.
package limits

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// window is over what a node measures its demand and use.
	window = time.Second
	// burst is how many seconds of its share a node may use at once.
	burst = 1.0
	// believe is how long another node's report counts; a lost node's share is
	// free again after it.
	believe = 4 * time.Second
	// evenPart of a limit that is in short supply is split evenly, so that a node
	// with new demand is never without any.
	evenPart = 0.05
	// longestRetryAfter bounds the wait that a refusal names.
	longestRetryAfter = 10 * time.Minute
)

// Limit is one limit at one node. The zero Limit has seen no demand. It is not
// safe for concurrent use.
type Limit struct {
	tokens  float64
	filled  time.Time
	meter   meter
	others  map[domain.NodeID]report
	demand  float64 // of the others, a second
	active  int     // others with demand
	sweepAt time.Time
}

// report is what another node told.
type report struct {
	demand float64
	at     time.Time
}

// meter measures amounts a second, as averages that follow within some windows.
type meter struct {
	since                time.Time
	demand, used         float64
	demandRate, usedRate float64
}

// weight of the last window in an average.
const weight = 0.3

func (m *meter) roll(now time.Time) {
	elapsed := now.Sub(m.since)
	if elapsed < window {
		return
	}
	if m.since.IsZero() {
		m.since = now
		return
	}
	seconds := elapsed.Seconds()
	keep := math.Pow(1-weight, seconds)
	m.demandRate = keep*m.demandRate + (1-keep)*m.demand/seconds
	m.usedRate = keep*m.usedRate + (1-keep)*m.used/seconds
	m.demand, m.used, m.since = 0, 0, now
	if m.demandRate < negligible {
		m.demandRate = 0
	}
}

// negligible demand is none.
const negligible = 0.001

// Allow asks for an amount under a limit a second over a number of nodes, and
// takes it where the node's share has it.
func (l *Limit) Allow(now time.Time, limit float64, nodes int, amount float64) bool {
	l.meter.roll(now)
	scarce := l.scarce(limit, nodes)
	l.refill(now, limit, nodes, scarce)
	l.meter.demand += amount
	if scarce {
		l.tokens = min(1, l.tokens+amount*limit/(l.meter.demandRate+l.demand))
	}
	if l.tokens < amount {
		return false
	}
	l.tokens -= amount
	l.meter.used += amount
	return true
}

// scarce tells whether demand is above the limit and this node's share is less than
// one a second. Such a node sees too few requests to measure its demand; it lets
// the same part of them through that the limit is of the demand of all.
func (l *Limit) scarce(limit float64, nodes int) bool {
	total := l.meter.demandRate + l.demand
	return total > limit && share(limit, l.meter.demandRate, l.demand, l.active, nodes) < 1
}

// Charge takes an amount that was used already, such as the tokens of an answer;
// later requests wait until it is paid.
func (l *Limit) Charge(now time.Time, amount float64) {
	l.meter.roll(now)
	l.meter.demand += amount
	l.meter.used += amount
	l.tokens -= amount
}

// IsOutOfDebt tells whether all that was charged is paid.
func (l *Limit) IsOutOfDebt(now time.Time, limit float64, nodes int) bool {
	l.refill(now, limit, nodes, false)
	return l.tokens >= 0
}

// AllowConcurrent tells whether one more may run at once beside the held ones of this node,
// under a limit on how many run over all nodes. Between two reports a node takes
// at most its part of what is left, and at least one.
func (l *Limit) AllowConcurrent(now time.Time, limit float64, nodes, held int) bool {
	l.sweep(now)
	if now.Sub(l.meter.since) >= window {
		l.meter.since, l.meter.demandRate, l.meter.usedRate = now, float64(held), float64(held)
	}
	if float64(held)+l.demand >= limit {
		return false
	}
	base := l.meter.demandRate
	return float64(held) < base+1 || float64(held+1) <= share(limit, base, l.demand, l.active, nodes)
}

// SetRunning tells the limit how many of this node run, so that Report is current.
func (l *Limit) SetRunning(held int) {
	l.meter.demandRate, l.meter.usedRate = float64(held), float64(held)
}

// RetryAfter estimates when an amount would be allowed.
func (l *Limit) RetryAfter(now time.Time, limit float64, nodes int, amount float64) time.Duration {
	rate := l.share(now, limit, nodes)
	if rate <= 0 {
		return window
	}
	seconds := max(amount-l.tokens, 0) / rate
	return max(time.Duration(min(seconds, longestRetryAfter.Seconds())*float64(time.Second)), window)
}

// refill adds what came in since at the present share. While the limit is not
// reached, a node's first request finds its share at once.
func (l *Limit) refill(now time.Time, limit float64, nodes int, scarce bool) {
	rate := l.share(now, limit, nodes)
	most := max(burst*rate, 1)
	switch elapsed := now.Sub(l.filled); {
	case l.filled.IsZero() && l.meter.demandRate+l.demand <= limit:
		l.tokens += max(burst*rate, min(1, limit))
	case l.filled.IsZero():
		l.tokens += burst * rate
	case elapsed > 0 && !scarce:
		l.tokens += rate * elapsed.Seconds()
	}
	l.tokens = min(l.tokens, most)
	l.filled = now
}

// Share returns what this node may use a second.
func (l *Limit) Share(now time.Time, limit float64, nodes int) float64 {
	l.meter.roll(now)
	return l.share(now, limit, nodes)
}

func (l *Limit) share(now time.Time, limit float64, nodes int) float64 {
	l.sweep(now)
	return share(limit, l.meter.demandRate, l.demand, l.active, nodes)
}

// share splits a limit. While demand is below it, a node has its own demand and a
// part of what is left: as much as every active node and some new ones
// can have at once. Above it, shares follow demand.
func share(limit, own, others float64, active, nodes int) float64 {
	nodes = max(nodes, active+1, 1)
	if total := own + others; total > limit {
		return limit * ((1-evenPart)*own/total + evenPart/float64(nodes))
	}
	takers := max(float64(active+1), math.Sqrt(float64(nodes)))
	return own + (limit-own-others)/takers
}

// Report returns this node's demand and use a second, for the other nodes.
func (l *Limit) Report(now time.Time) (demand, used float64) {
	l.meter.roll(now)
	return l.meter.demandRate, l.meter.usedRate
}

// ApplyReport takes in the demand of another node.
func (l *Limit) ApplyReport(now time.Time, from domain.NodeID, demand float64) {
	if l.others == nil {
		l.others = make(map[domain.NodeID]report)
	}
	l.remove(from)
	if demand <= 0 {
		return
	}
	l.others[from] = report{demand: demand, at: now}
	l.demand += demand
	l.active++
}

func (l *Limit) remove(from domain.NodeID) {
	r, ok := l.others[from]
	if !ok {
		return
	}
	delete(l.others, from)
	l.active--
	l.demand = max(0, l.demand-r.demand)
	if l.active == 0 {
		l.demand = 0
	}
}

// sweep forgets nodes that no longer report.
func (l *Limit) sweep(now time.Time) {
	if now.Sub(l.sweepAt) < window {
		return
	}
	l.sweepAt = now
	for from, r := range l.others {
		if now.Sub(r.at) > believe {
			l.remove(from)
		}
	}
}
