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
	rate     = 100.0
	step     = 10 * time.Millisecond
	duration = 60 * time.Second
	lag      = 300 * time.Millisecond
)

// fleet is nodes under one limit with uneven traffic: node i gets a part of the
// requests in proportion to 1/(i+1). A tenth of the nodes, the busiest among
// them, is lost after half the time and its callers go to the others.
type fleet struct {
	nodes  []Limit
	random *rand.Rand
	weight []float64
	queue  []late
}

// late is a report on its way.
type late struct {
	group  int
	demand []float64
	at     time.Time
}

func newFleet(n int) *fleet {
	f := &fleet{nodes: make([]Limit, n), random: rand.New(rand.NewPCG(1, 2)), weight: make([]float64, n)}
	sum := 0.0
	for i := range f.weight {
		sum += 1 / float64(i+1)
		f.weight[i] = sum
	}
	return f
}

// pick draws the node of one request among those from lost on.
func (f *fleet) pick(lost int) int {
	base := 0.0
	if lost > 0 {
		base = f.weight[lost-1]
	}
	x := base + f.random.Float64()*(f.weight[len(f.weight)-1]-base)
	low, high := lost, len(f.weight)-1
	for low < high {
		if mid := (low + high) / 2; f.weight[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// mostGroups is how many relays add up the demand of their nodes; up to as many
// nodes tell each other directly.
const mostGroups = 20

// exchange sends the reports of each group once a second.
func (f *fleet) exchange(now time.Time, ticks, lost int) {
	groups := min(len(f.nodes), mostGroups)
	for g := range groups {
		if ticks%100 != g*5 {
			continue
		}
		r := late{group: g, at: now.Add(lag)}
		for i := g; i < len(f.nodes); i += groups {
			demand := 0.0
			if i >= lost {
				demand, _ = f.nodes[i].Report(now)
			}
			r.demand = append(r.demand, demand)
		}
		f.queue = append(f.queue, r)
	}
	for len(f.queue) > 0 && !f.queue[0].at.After(now) {
		f.deliver(now, f.queue[0], groups, lost)
		f.queue = f.queue[1:]
	}
}

// deliver tells each node the demand of a group without its own.
func (f *fleet) deliver(now time.Time, r late, groups, lost int) {
	sum := 0.0
	for _, d := range r.demand {
		sum += d
	}
	for i := lost; i < len(f.nodes); i++ {
		demand := sum
		if i%groups == r.group {
			demand -= r.demand[i/groups]
		}
		f.nodes[i].ApplyReport(now, name(r.group), demand)
	}
}

func name(i int) domain.NodeID { return domain.NodeID(strconv.Itoa(i)) }

// way decides on one request at a node.
type way func(f *fleet, now time.Time, node int) bool

func central(f *fleet, now time.Time, _ int) bool { return f.nodes[0].Allow(now, rate, 1, 1) }

// refillEven is a token bucket of a fixed share.
func (l *Limit) refillEven(now time.Time, share float64) {
	if l.filled.IsZero() {
		l.tokens, l.filled = max(share, 1), now
	}
	l.tokens = min(max(share, 1), l.tokens+share*now.Sub(l.filled).Seconds())
	l.filled = now
}

func even(f *fleet, now time.Time, node int) bool {
	l := &f.nodes[node]
	l.refillEven(now, rate/float64(len(f.nodes)))
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

func lent(f *fleet, now time.Time, node int) bool {
	return f.nodes[node].Allow(now, rate, len(f.nodes), 1)
}

// measure returns the most admitted in a second and in all, against the limit.
// Offered is the number of requests a second.
func measure(nodes int, offered float64, w way, exchange bool) (worst, mean float64) {
	f := newFleet(nodes)
	total, second, due := 0, 0, 0.0
	for ticks := range int(duration / step) {
		now := start.Add(time.Duration(ticks) * step)
		lost := 0
		if ticks >= int(duration/step/2) {
			lost = max(1, nodes/10)
		}
		if exchange {
			f.exchange(now, ticks, lost)
		}
		for due += offered * step.Seconds(); due >= 1; due-- {
			if w(f, now, f.pick(lost)) {
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

// TestLentSharesNeitherOvershootNorStarve: over a minute at twice the limit, and
// at half of it, a tenth of the nodes being lost.
func TestLentSharesNeitherOvershootNorStarve(t *testing.T) {
	for _, nodes := range []int{7, 940} {
		for _, offered := range []float64{rate / 2, 2 * rate} {
			for _, w := range []struct {
				name     string
				way      way
				exchange bool
			}{{"central", central, false}, {"even", even, false}, {"lent", lent, true}} {
				t.Run(fmt.Sprintf("%d nodes, %.0f offered, %s", nodes, offered, w.name), func(t *testing.T) {
					worst, mean := measure(nodes, offered, w.way, w.exchange)
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

// TestSharesNeverPassTheLimit: where all nodes know the same demands, and demand
// is above the limit, shares add up to no more than it.
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
			rt.Fatalf("got shares of %v in all, want at most %v", sum, limit)
		}
	})
}

func TestIdleLimitsAreForgotten(t *testing.T) {
	var s Registry
	s.Limit(start, "team/coral/requests").Allow(start, 10, 1, 1)
	if got := len(s.Counters(start.Add(window))); got != 1 {
		t.Errorf("got %d counters, want 1", got)
	}
	s.Counters(start.Add(2 * idle))
	if got := len(s.limits); got != 0 {
		t.Errorf("got %d limits kept, want 0", got)
	}
}

func BenchmarkAllow(b *testing.B) {
	var l Limit
	for i := range 940 {
		l.ApplyReport(start, name(i), 1)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Allow(start.Add(time.Duration(i)), 100, 940, 1)
	}
}
