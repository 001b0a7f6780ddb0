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
	rate      = 100.0
	step      = 10 * time.Millisecond
	duration  = 60 * time.Second
	reportLag = 300 * time.Millisecond
)

// simulation is a number of nodes under one limit with uneven traffic: node i gets
// requests in proportion to 1/(i+1). After half the time, a tenth of the nodes, the
// busiest ones, fail and their callers go to the others.
type simulation struct {
	nodes            []Limit
	random           *rand.Rand
	cumulativeWeight []float64
	pendingReports   []delayedReport
}

// delayedReport is a report of a group of nodes that arrives after reportLag.
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

// pick draws the node of one request among those that have not failed: lostNodes and
// above.
func (f *simulation) pick(lostNodes int) int {
	base := 0.0
	if lostNodes > 0 {
		base = f.cumulativeWeight[lostNodes-1]
	}
	x := base + f.random.Float64()*(f.cumulativeWeight[len(f.cumulativeWeight)-1]-base)
	low, high := lostNodes, len(f.cumulativeWeight)-1
	for low < high {
		if mid := (low + high) / 2; f.cumulativeWeight[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// maximumGroups is the number of relays that add up the demand of their nodes. Up to
// this number of nodes, each one reports to the others directly.
const maximumGroups = 20

// exchange sends the reports of each group once a second and delivers those that are due.
func (f *simulation) exchange(now time.Time, ticks, lostNodes int) {
	groups := min(len(f.nodes), maximumGroups)
	for g := range groups {
		if ticks%100 != g*5 {
			continue
		}
		r := delayedReport{group: g, arrivesAt: now.Add(reportLag)}
		for i := g; i < len(f.nodes); i += groups {
			demand := 0.0
			if i >= lostNodes {
				demand, _ = f.nodes[i].Rates(now)
			}
			r.demand = append(r.demand, demand)
		}
		f.pendingReports = append(f.pendingReports, r)
	}
	for len(f.pendingReports) > 0 && !f.pendingReports[0].arrivesAt.After(now) {
		f.deliver(now, f.pendingReports[0], groups, lostNodes)
		f.pendingReports = f.pendingReports[1:]
	}
}

// deliver gives each node the demand of a group without the node's own.
func (f *simulation) deliver(now time.Time, r delayedReport, groups, lostNodes int) {
	sum := 0.0
	for _, d := range r.demand {
		sum += d
	}
	for i := lostNodes; i < len(f.nodes); i++ {
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

// central is a single limit for all nodes.
func central(f *simulation, now time.Time, _ int) bool { return f.nodes[0].Allow(now, rate, 1, 1) }

// refillFixedShare refills a token bucket at a fixed share of the limit.
func (l *Limit) refillFixedShare(now time.Time, share float64) {
	if l.refilledAt.IsZero() {
		l.tokens, l.refilledAt = max(share, 1), now
	}
	l.tokens = min(max(share, 1), l.tokens+share*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
}

// even gives each node the same fixed share.
func even(f *simulation, now time.Time, node int) bool {
	l := &f.nodes[node]
	l.refillFixedShare(now, rate/float64(len(f.nodes)))
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// lent is the policy of this package: shares follow demand, so that the unused share of
// a node is lent to the others.
func lent(f *simulation, now time.Time, node int) bool {
	return f.nodes[node].Allow(now, rate, len(f.nodes), 1)
}

// measure returns the requests allowed in the worst second and on average, relative to
// the limit. Offered is the number of requests per second.
func measure(nodes int, offered float64, admit policy, exchange bool) (worst, mean float64) {
	f := newSimulation(nodes)
	total, second, due := 0, 0, 0.0
	for ticks := range int(duration / step) {
		now := start.Add(time.Duration(ticks) * step)
		lostNodes := 0
		if ticks >= int(duration/step/2) {
			lostNodes = max(1, nodes/10)
		}
		if exchange {
			f.exchange(now, ticks, lostNodes)
		}
		for due += offered * step.Seconds(); due >= 1; due-- {
			if admit(f, now, f.pick(lostNodes)) {
				total++
				second++
			}
		}
		if ticks%int(time.Second/step) == 0 {
			worst = max(worst, float64(second)/rate)
			second = 0
		}
	}
	return worst, float64(total) / (rate * duration.Seconds())
}

// TestLentSharesNeitherOvershootNorStarve runs a minute at twice the limit and at half
// of it, in which a tenth of the nodes fail.
func TestLentSharesNeitherOvershootNorStarve(t *testing.T) {
	for _, nodes := range []int{7, 940} {
		for _, offered := range []float64{rate / 2, 2 * rate} {
			for _, w := range []struct {
				name     string
				policy   policy
				exchange bool
			}{{"central", central, false}, {"even", even, false}, {"lent", lent, true}} {
				t.Run(fmt.Sprintf("%d nodes, %.0f offered, %s", nodes, offered, w.name), func(t *testing.T) {
					worst, mean := measure(nodes, offered, w.policy, w.exchange)
					fair := min(offered, rate) / rate
					t.Logf("worst second %.2f of the limit, whole minute %.3f, fair is %.3f", worst, mean, fair)
					if w.name != "lent" {
						return
					}
					if mean > 1.1 {
						t.Errorf("got %.3f of the limit over a minute, want at most 1.1", mean)
					}
					if mean < 0.9*fair {
						t.Errorf("got %.3f of the limit over a minute, want at least %.3f", mean, 0.9*fair)
					}
				})
			}
		}
	}
}

// TestSharesNeverPassTheLimit checks that the shares of all nodes add up to at most the
// limit, as long as all nodes know the same demands.
func TestSharesNeverPassTheLimit(t *testing.T) {
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
