package wakereplay

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// strategy makes the decisions of one replay.
type strategy interface {
	// recordArrival is called for each request before it is handled.
	recordArrival(m int)
	// keepAlive returns how long a replica that has just become idle stays loaded: zero to
	// unload it now, forever to keep it until it is evicted.
	keepAlive(m int) time.Duration
	// modelsToPrewarm returns the models to load before their next request.
	modelsToPrewarm() []int
	// prewarmTime reports whether to load a model now that is not loaded. If not, it returns
	// the time to ask again, or forever to be asked after its next unload only.
	prewarmTime(m int) (at time.Duration, load bool)
	// place selects a server and the replicas to evict there so that m fits; ok is false if
	// there is none.
	place(m int) (server int, victims []int, ok bool)
	// nextLoad returns the index of the load in the weight store's queue to start next.
	nextLoad(queue []int) int
}

// Strategy is a named strategy for Run.
type Strategy struct {
	Name  string
	build func(*replay) strategy
}

// Strategies returns the policy first, then the baselines and the oracles.
func Strategies() []Strategy {
	return []Strategy{
		Policy(),
		FixedWithPlacement(10 * time.Minute), FixedWithPermits(10 * time.Minute),
		Fixed(5 * time.Minute), Fixed(10 * time.Minute), Fixed(30 * time.Minute),
		NeverUnload(), Fixed(0),
		Oracle(false), Oracle(true),
	}
}

// Fixed returns a strategy that keeps each idle replica for d. It places and evicts as nodes
// did before package waking, and does not pre-warm.
func Fixed(d time.Duration) Strategy {
	name := "fixed " + d.String()
	if d == 0 {
		name = "unload at once"
	}
	return Strategy{name, func(r *replay) strategy { return &fixedStrategy{replay: r, fixedKeepAlive: d} }}
}

// FixedWithPermits returns Fixed for backend servers that check fencing tokens: a model keeps
// its permit at the server that loaded it last and is loaded there again if there is room.
func FixedWithPermits(d time.Duration) Strategy {
	return Strategy{"fixed " + d.String() + ", permits rest", func(r *replay) strategy {
		return &fixedStrategy{replay: r, fixedKeepAlive: d, keepsPermits: true}
	}}
}

// NeverUnload returns a strategy that unloads replicas only to make room for others.
func NeverUnload() Strategy {
	return Strategy{"never unload", func(r *replay) strategy { return &fixedStrategy{replay: r, fixedKeepAlive: forever} }}
}

type fixedStrategy struct {
	*replay
	fixedKeepAlive time.Duration
	// keepsPermits is set if a model returns to its last server, where its permit is attached.
	keepsPermits bool
}

func (f *fixedStrategy) recordArrival(int) {}

func (f *fixedStrategy) keepAlive(int) time.Duration { return f.fixedKeepAlive }

func (f *fixedStrategy) modelsToPrewarm() []int { return nil }

func (f *fixedStrategy) prewarmTime(int) (time.Duration, bool) { return forever, false }

// place prefers, in this order, the server with the model's permit, room without an eviction,
// the region of the callers, few replicas and much free memory. It evicts the least recently
// used replicas.
func (f *fixedStrategy) place(m int) (server int, victims []int, ok bool) {
	ranked := make([]int, len(f.servers))
	for i := range ranked {
		ranked[i] = i
	}
	size, region := f.size(m), f.trace.Models[m].Region
	slices.SortStableFunc(ranked, func(a, b int) int {
		x, y := &f.servers[a], &f.servers[b]
		return cmp.Or(
			compareBools(!f.hasPermit(m, a), !f.hasPermit(m, b)),
			compareBools(x.freeMemory < size, y.freeMemory < size),
			compareBools(f.trace.Servers[a].Region != region, f.trace.Servers[b].Region != region),
			cmp.Compare(x.loadedModels, y.loadedModels),
			cmp.Compare(y.freeMemory, x.freeMemory),
		)
	})
	for _, s := range ranked {
		if victims, ok = f.lruVictims(s, size-f.servers[s].freeMemory); ok {
			return s, victims, true
		}
	}
	return 0, nil, false
}

// hasPermit reports whether the model's permit is attached to a server.
func (f *fixedStrategy) hasPermit(m, s int) bool {
	return f.keepsPermits && f.models[m].meanColdStart > 0 && f.models[m].server == s
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// idleReplicas returns the models with an idle replica on a server, which can be evicted.
func (r *replay) idleReplicas(s int) []int {
	var out []int
	for m := range r.models {
		x := &r.models[m]
		if x.phase == ready && x.server == s && x.running == 0 {
			out = append(out, m)
		}
	}
	return out
}

// lruVictims selects the least recently used replicas of a server until need bytes are free.
func (f *fixedStrategy) lruVictims(s int, need domain.Bytes) (victims []int, ok bool) {
	if need <= 0 {
		return nil, true
	}
	idle := f.idleReplicas(s)
	slices.SortStableFunc(idle, func(a, b int) int { return cmp.Compare(f.models[a].idleSince, f.models[b].idleSince) })
	for _, m := range idle {
		victims = append(victims, m)
		if need -= f.size(m); need <= 0 {
			return victims, true
		}
	}
	return nil, false
}

// nextLoad returns the load with the most waiting requests.
func (f *fixedStrategy) nextLoad(queue []int) int {
	best := 0
	for i, m := range queue {
		if len(f.models[m].waiting) > len(f.models[queue[best]].waiting) {
			best = i
		}
	}
	return best
}
