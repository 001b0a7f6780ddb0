package wakereplay

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// strategy decides about one replay.
type strategy interface {
	// arrived is called for each request, before it is served.
	arrived(m int)
	// keep is how long a replica that has just become idle stays.
	keep(m int) time.Duration
	// due are models to load ahead of their callers.
	due() []int
	// review is called for a model that is not loaded. It returns whether to load it now,
	// and otherwise when to ask again, or forever for not before it was loaded.
	review(m int) (at time.Duration, load bool)
	// place finds a server with room after victims are taken down.
	place(m int) (server int, victims []int, ok bool)
	// next picks one of the loads that wait for the weight store.
	next(queue []int) int
}

// Strategy is a way of deciding.
type Strategy struct {
	Name  string
	build func(*replay) strategy
}

// Strategies returns the policy first, the baselines and the oracles.
func Strategies() []Strategy {
	return []Strategy{
		Policy(),
		Placed(10 * time.Minute), Resting(10 * time.Minute),
		Fixed(5 * time.Minute), Fixed(10 * time.Minute), Fixed(30 * time.Minute),
		NeverUnload(), Fixed(0),
		Oracle(false), Oracle(true),
	}
}

// Fixed keeps each idle replica for one time and decides the rest as nodes did before
// package waking.
func Fixed(d time.Duration) Strategy {
	name := "fixed " + d.String()
	if d == 0 {
		name = "unload at once"
	}
	return Strategy{name, func(r *replay) strategy { return &fixed{replay: r, stay: d} }}
}

// Resting is Fixed where each model's permit rests at the server that loaded it last and brings it
// back there, as on servers that check fences.
func Resting(d time.Duration) Strategy {
	return Strategy{"fixed " + d.String() + ", permits rest", func(r *replay) strategy {
		return &fixed{replay: r, stay: d, rests: true}
	}}
}

// NeverUnload takes replicas down for room only.
func NeverUnload() Strategy {
	return Strategy{"never unload", func(r *replay) strategy { return &fixed{replay: r, stay: forever} }}
}

type fixed struct {
	*replay
	stay time.Duration
	// rests is true where a permit brings a model back to its last server.
	rests bool
}

func (f *fixed) arrived(int) {}

func (f *fixed) keep(int) time.Duration { return f.stay }

func (f *fixed) due() []int { return nil }

func (f *fixed) review(int) (time.Duration, bool) { return forever, false }

// place prefers room without an eviction, the callers' region, few replicas and much
// memory, and evicts what was used longest ago.
func (f *fixed) place(m int) (server int, victims []int, ok bool) {
	order := make([]int, len(f.servers))
	for i := range order {
		order[i] = i
	}
	size, region := f.size(m), f.trace.Models[m].Region
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &f.servers[a], &f.servers[b]
		return cmp.Or(
			falseFirst(!f.holds(m, a), !f.holds(m, b)),
			falseFirst(x.free < size, y.free < size),
			falseFirst(f.trace.Servers[a].Region != region, f.trace.Servers[b].Region != region),
			cmp.Compare(x.loaded, y.loaded),
			cmp.Compare(y.free, x.free),
		)
	})
	for _, s := range order {
		if victims, ok = f.oldest(s, size-f.servers[s].free); ok {
			return s, victims, true
		}
	}
	return 0, nil, false
}

// holds tells whether the model's permit rests at a server.
func (f *fixed) holds(m, s int) bool {
	return f.rests && f.models[m].took > 0 && f.models[m].server == s
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// idleOn lists the replicas on a server that may be taken down.
func (r *replay) idleOn(s int) []int {
	var out []int
	for m := range r.models {
		x := &r.models[m]
		if x.phase == ready && x.server == s && x.busy == 0 {
			out = append(out, m)
		}
	}
	return out
}

func (f *fixed) oldest(s int, need domain.Bytes) (victims []int, ok bool) {
	if need <= 0 {
		return nil, true
	}
	idle := f.idleOn(s)
	slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(f.models[a].since, f.models[b].since) })
	for _, m := range idle {
		victims = append(victims, m)
		if need -= f.size(m); need <= 0 {
			return victims, true
		}
	}
	return nil, false
}

// next is the load with most callers.
func (f *fixed) next(queue []int) int {
	best := 0
	for i, m := range queue {
		if len(f.models[m].waiting) > len(f.models[queue[best]].waiting) {
			best = i
		}
	}
	return best
}
