package limits

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

var start = time.Unix(1_000_000, 0)

const (
	limitPerSecond = 100.0
	tickLength     = 10 * time.Millisecond
	simulatedTime  = 60 * time.Second
	reportLag      = 300 * time.Millisecond
)

// simulation is a number of nodes under one limit with uneven traffic: node i gets
// requests in proportion to 1/(i+1). After half the time, the busiest tenth of the nodes
// fails, and their callers send their requests to the other nodes.
type simulation struct {
	nodes            []Limit
	random           *rand.Rand
	cumulativeWeight []float64
	pendingReports   []delayedReport
}

// delayedReport is a report of the demand of each node of a group that arrives after
// reportLag.
type delayedReport struct {
	group     int
	demand    []float64
	arrivesAt time.Time
}

func newSimulation(n int) *simulation {
	f := &simulation{nodes: make([]Limit, n), random: rand.New(rand.NewPCG(1, 2)), cumulativeWeight: make([]float64, n)}
	sum := 0.0
	for i := range f.cumulativeWeight {
		sum += 1 / float64(i+1)
		f.cumulativeWeight[i] = sum
	}
	return f
}

// pickNode draws the node that gets a request. Nodes with an index below failedNodes
// have failed and get none.
func (f *simulation) pickNode(failedNodes int) int {
	base := 0.0
	if failedNodes > 0 {
		base = f.cumulativeWeight[failedNodes-1]
	}
	x := base + f.random.Float64()*(f.cumulativeWeight[len(f.cumulativeWeight)-1]-base)
	low, high := failedNodes, len(f.cumulativeWeight)-1
	for low < high {
		if mid := (low + high) / 2; f.cumulativeWeight[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// maximumGroups is the maximum number of groups. The relay of each group adds up the
// demand of its nodes. With fewer nodes, each node is a group and reports directly.
const maximumGroups = 20

// exchangeReports sends a report of each group once a second, and delivers the reports
// that were sent reportLag ago.
func (f *simulation) exchangeReports(now time.Time, ticks, failedNodes int) {
	groups := min(len(f.nodes), maximumGroups)
	for g := range groups {
		if ticks%100 != g*5 {
			continue
		}
		r := delayedReport{group: g, arrivesAt: now.Add(reportLag)}
		for i := g; i < len(f.nodes); i += groups {
			demand := 0.0
			if i >= failedNodes {
				demand, _ = f.nodes[i].Rates(now)
			}
			r.demand = append(r.demand, demand)
		}
		f.pendingReports = append(f.pendingReports, r)
	}
	for len(f.pendingReports) > 0 && !f.pendingReports[0].arrivesAt.After(now) {
		f.deliver(now, f.pendingReports[0], groups, failedNodes)
		f.pendingReports = f.pendingReports[1:]
	}
}

// deliver applies the demand of a group at each node, without the demand of the node
// itself.
func (f *simulation) deliver(now time.Time, r delayedReport, groups, failedNodes int) {
	sum := 0.0
	for _, d := range r.demand {
		sum += d
	}
	for i := failedNodes; i < len(f.nodes); i++ {
		demand := sum
		if i%groups == r.group {
			demand -= r.demand[i/groups]
		}
		f.nodes[i].ApplyReport(now, nodeID(r.group), demand)
	}
}

func nodeID(i int) domain.NodeID { return domain.NodeID(strconv.Itoa(i)) }

// policy reports whether a node allows one request.
type policy func(f *simulation, now time.Time, node int) bool

// allowCentrally enforces a single limit for all nodes.
func allowCentrally(f *simulation, now time.Time, _ int) bool {
	return f.nodes[0].Allow(now, limitPerSecond, 1, 1)
}

// refillFixedShare refills a token bucket at a fixed share of the limit.
func (l *Limit) refillFixedShare(now time.Time, share float64) {
	if l.refilledAt.IsZero() {
		l.tokens, l.refilledAt = max(share, 1), now
	}
	l.tokens = min(max(share, 1), l.tokens+share*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// allowFixedShare enforces the same fixed share at each node.
func allowFixedShare(f *simulation, now time.Time, node int) bool {
	l := &f.nodes[node]
	l.refillFixedShare(now, limitPerSecond/float64(len(f.nodes)))
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// allowDemandShare is the policy of this package: shares follow demand, so that the other
// nodes can use the part of the limit that a node does not need.
func allowDemandShare(f *simulation, now time.Time, node int) bool {
	return f.nodes[node].Allow(now, limitPerSecond, len(f.nodes), 1)
}

// simulateAllowedShare returns the highest number of requests allowed in one second and
// the average number per second, both divided by the limit.
func simulateAllowedShare(nodes int, offeredPerSecond float64, admit policy, exchangesReports bool) (worstSecond, average float64) {
	f := newSimulation(nodes)
	allowed, allowedInSecond, dueRequests := 0, 0, 0.0
	for ticks := range int(simulatedTime / tickLength) {
		now := start.Add(time.Duration(ticks) * tickLength)
		failedNodes := 0
		if ticks >= int(simulatedTime/tickLength/2) {
			failedNodes = max(1, nodes/10)
		}
		if exchangesReports {
			f.exchangeReports(now, ticks, failedNodes)
		}
		for dueRequests += offeredPerSecond * tickLength.Seconds(); dueRequests >= 1; dueRequests-- {
			if admit(f, now, f.pickNode(failedNodes)) {
				allowed++
				allowedInSecond++
			}
		}
		if ticks%int(time.Second/tickLength) == 0 {
			worstSecond = max(worstSecond, float64(allowedInSecond)/limitPerSecond)
			allowedInSecond = 0
		}
	}
	return worstSecond, float64(allowed) / (limitPerSecond * simulatedTime.Seconds())
}

// TestDemandSharesNeitherExceedNorWasteTheLimit simulates a minute of requests at half
// the limit and at twice the limit; a tenth of the nodes fails after half a minute.
func TestDemandSharesNeitherExceedNorWasteTheLimit(t *testing.T) {
	for _, nodes := range []int{7, 940} {
		for _, offered := range []float64{limitPerSecond / 2, 2 * limitPerSecond} {
			for _, w := range []struct {
				name             string
				policy           policy
				exchangesReports bool
			}{{"central", allowCentrally, false}, {"fixed shares", allowFixedShare, false}, {"demand shares", allowDemandShare, true}} {
				t.Run(fmt.Sprintf("%d nodes, %.0f offered, %s", nodes, offered, w.name), func(t *testing.T) {
					worstSecond, average := simulateAllowedShare(nodes, offered, w.policy, w.exchangesReports)
					expected := min(offered, limitPerSecond) / limitPerSecond
					t.Logf("worst second %.2f of the limit, whole minute %.3f, fair is %.3f", worstSecond, average, expected)
					if w.name != "demand shares" {
						return
					}
					if average > 1.1 {
						t.Errorf("got %.3f of the limit over a minute, want at most 1.1", average)
					}
					if average < 0.9*expected {
						t.Errorf("got %.3f of the limit over a minute, want at least %.3f", average, 0.9*expected)
					}
				})
			}
		}
	}
}

// TestSharesNeverExceedTheLimit checks that the shares of all nodes add up to at most the
// limit if all nodes know the same demands.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0.1, 100), 1, 50).Draw(rt, "demands")
		limit := rapid.Float64Range(0.1, 5000).Draw(rt, "limit")
		total, sum := 0.0, 0.0
		for _, d := range demands {
			total += d
		}
		for _, d := range demands {
			sum += share(limit, d, total-d, len(demands)-1, len(demands))
		}
		if sum > limit*1.000001 {
			rt.Fatalf("got shares of %v in total, want at most %v", sum, limit)
		}
	})
}

func TestIdleLimitsAreRemoved(t *testing.T) {
	var s Registry
	s.Limit(start, "team/coral/requests").Allow(start, 10, 1, 1)
	if got := len(s.Counters(start.Add(meterWindow))); got != 1 {
		t.Errorf("got %d counters, want 1", got)
	}
	s.Counters(start.Add(2 * idleExpiry))
	if got := len(s.limits); got != 0 {
		t.Errorf("got %d limits kept, want 0", got)
	}
}

func BenchmarkAllow(b *testing.B) {
	var l Limit
	for i := range 940 {
		l.ApplyReport(start, nodeID(i), 1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Allow(start.Add(time.Duration(i)), 100, 940, 1)
	}
}
