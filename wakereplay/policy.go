package wakereplay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/waking"
)

// distance is what a server in another region adds to an answer's first token.
const distance = 24 * time.Millisecond

// horizon is how far ahead the need of a checkpoint counts.
const horizon = 24 * time.Hour

// Policy decides by package waking.
func Policy() Strategy {
	return Strategy{"policy", func(r *replay) strategy { return newLearned(r) }}
}

// Placed keeps each idle replica for one time and loads none ahead, but places and
// evicts by package waking: it shows what placement alone is worth.
func Placed(d time.Duration) Strategy {
	return Strategy{"fixed " + d.String() + ", placed", func(r *replay) strategy {
		l := newLearned(r)
		l.stay = d
		return l
	}}
}

type learned struct {
	*replay
	policy waking.Policy
	index  map[domain.ModelName]int
	// stay replaces the policy's keep-alive and loads ahead unless it is zero.
	stay time.Duration
}

func newLearned(r *replay) *learned {
	l := &learned{replay: r, index: make(map[domain.ModelName]int)}
	l.policy.Weights = r.result.Weights
	for i, m := range r.trace.Models {
		l.index[m.Name] = i
	}
	return l
}

func (l *learned) name(m int) domain.ModelName { return l.trace.Models[m].Name }

func (l *learned) arrived(m int) { l.policy.RecordArrivals(l.name(m), l.time(), 1) }

func (l *learned) keep(m int) time.Duration {
	if l.stay > 0 {
		return l.stay
	}
	return max(time.Second, l.policy.KeepAlive(l.name(m), l.coldStart(m), l.policy.Weights, l.time()))
}

// coldStart is how long waking the model takes, as far as was seen. What is taken down
// leaves its checkpoint on the server's disk at least, so that a slow first load doesn't count.
func (l *learned) coldStart(m int) time.Duration {
	disk := l.transfer(m, onDisk)
	if d := l.models[m].took; d > 0 {
		return min(d, disk)
	}
	return disk
}

func (l *learned) due() []int {
	if l.stay > 0 {
		return nil
	}
	var out []int
	for _, m := range l.policy.ModelsToPrewarm(l.time(), func(m domain.ModelName) time.Duration { return l.coldStart(l.index[m]) }) {
		out = append(out, l.index[m])
	}
	return out
}

func (l *learned) review(int) (time.Duration, bool) { return forever, false }

func (l *learned) place(m int) (server int, victims []int, ok bool) {
	idle := make([][]waking.EvictionCandidate, len(l.servers))
	for v := range l.models {
		if x := &l.models[v]; x.phase == ready && x.busy == 0 {
			idle[x.server] = append(idle[x.server], l.candidate(v))
		}
	}
	var all []waking.Server
	for i := range l.servers {
		all = append(all, waking.Server{
			ID: l.trace.Servers[i].ID, Region: l.trace.Servers[i].Region, Free: l.servers[i].free,
			IdleReplicas: idle[i], ColdStart: l.estimate(m, i), DisplacementCost: l.displaces(m, i),
		})
	}
	order := waking.RankServers(all, waking.PlacementRequest{
		Model: l.name(m), Size: l.size(m), Waiters: l.policy.ExpectedWaiters(l.name(m), l.coldStart(m)),
		CallerRegion: l.trace.Models[m].Region, CrossRegionLatency: distance,
	})
	if len(order) == 0 {
		return 0, nil, false
	}
	at := slices.IndexFunc(l.trace.Servers, func(s arrivals.Server) bool { return s.ID == order[0] })
	for _, v := range waking.ChooseEvictions(idle[at], l.size(m)-l.servers[at].free) {
		victims = append(victims, l.index[v])
	}
	return at, victims, true
}

func (l *learned) candidate(v int) waking.EvictionCandidate {
	return waking.EvictionCandidate{
		Model: l.name(v), Size: l.size(v), ColdStart: l.coldStart(v),
		ReuseProbability: l.policy.ArrivalProbability(l.name(v), l.time()), Waiters: l.policy.ExpectedWaiters(l.name(v), l.coldStart(v)),
		IdleFor: l.now - l.models[v].since,
	}
}

// displaces is the time that the checkpoint used longest ago on a full disk would take longer from
// the weight store, if no other server has it and it is needed within a day.
func (l *learned) displaces(m, s int) float64 {
	x := &l.servers[s]
	if x.tier(m) != remote || len(x.disk) < x.diskSlots {
		return 0
	}
	oldest := x.disk[0]
	if l.copiesOnDisk(oldest) > 1 {
		return 0
	}
	lost := l.transfer(oldest, remote) - l.transfer(oldest, onDisk)
	return lost.Seconds() * l.policy.ArrivalProbabilityWithin(l.name(oldest), l.time(), horizon) * l.policy.ExpectedWaiters(l.name(oldest), lost)
}

func (l *learned) copiesOnDisk(m int) int {
	var n int
	for i := range l.servers {
		if slices.Contains(l.servers[i].disk, m) {
			n++
		}
	}
	return n
}

// estimate is how long a load of m on a server is expected to take from now.
func (l *learned) estimate(m, s int) time.Duration {
	t := l.servers[s].tier(m)
	if t != remote {
		return l.transfer(m, t)
	}
	var ahead []time.Duration
	for _, q := range l.store.queue {
		ahead = append(ahead, l.transfer(q, remote))
	}
	return waking.EstimateColdStart(l.transfer(m, remote), 0, ahead, l.store.options.Slots)
}

func (l *learned) next(queue []int) int {
	loads := make([]waking.QueuedLoad, 0, len(queue))
	for _, m := range queue {
		loads = append(loads, l.load(m))
	}
	return waking.NextLoad(loads, l.time())
}

func (l *learned) load(m int) waking.QueuedLoad {
	x := &l.models[m]
	d := waking.QueuedLoad{
		Model: l.name(m), Waiters: len(x.waiting), TransferTime: l.transfer(m, remote),
		QueuedAt: l.trace.Start.Add(x.asked),
	}
	if len(x.waiting) > 0 {
		q := l.trace.Requests[x.waiting[0]]
		d.Deadline.At = l.trace.Start.Add(q.At + q.Timeout)
	}
	return d
}
