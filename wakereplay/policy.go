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

// Policy decides by package waking.
func Policy() Strategy {
	return Strategy{"policy", func(r *replay) strategy { return newLearned(r) }}
}

type learned struct {
	*replay
	policy waking.Policy
	index  map[domain.ModelName]int
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

func (l *learned) arrived(m int) { l.policy.Arrived(l.name(m), l.time(), 1) }

func (l *learned) keep(m int) time.Duration {
	return max(time.Second, l.policy.KeepFor(l.name(m), l.coldStart(m), l.policy.Weights, l.time()))
}

// coldStart is how long waking the model takes, as far as was seen.
func (l *learned) coldStart(m int) time.Duration {
	if d := l.models[m].took; d > 0 {
		return d
	}
	return l.transfer(m, onDisk)
}

func (l *learned) due() []int {
	var out []int
	for _, m := range l.policy.Due(l.time(), func(m domain.ModelName) time.Duration { return l.coldStart(l.index[m]) }) {
		out = append(out, l.index[m])
	}
	return out
}

func (l *learned) review(int) (time.Duration, bool) { return forever, false }

func (l *learned) place(m int) (server int, victims []int, ok bool) {
	idle := make([][]waking.Candidate, len(l.servers))
	for v := range l.models {
		if x := &l.models[v]; x.phase == ready && x.busy == 0 {
			idle[x.server] = append(idle[x.server], l.candidate(v))
		}
	}
	var all []waking.Server
	for i := range l.servers {
		all = append(all, waking.Server{
			ID: l.trace.Servers[i].ID, Region: l.trace.Servers[i].Region, Free: l.servers[i].free,
			Idle: idle[i], ColdStart: l.estimate(m, i),
		})
	}
	order := waking.Place(all, waking.Need{
		Model: l.name(m), Size: l.size(m), Callers: l.policy.Callers(l.name(m)),
		Region: l.trace.Models[m].Region, Distance: distance,
	})
	if len(order) == 0 {
		return 0, nil, false
	}
	at := slices.IndexFunc(l.trace.Servers, func(s arrivals.Server) bool { return s.ID == order[0] })
	for _, v := range waking.Evict(idle[at], l.size(m)-l.servers[at].free) {
		victims = append(victims, l.index[v])
	}
	return at, victims, true
}

func (l *learned) candidate(v int) waking.Candidate {
	return waking.Candidate{
		Model: l.name(v), Size: l.size(v), ColdStart: l.coldStart(v),
		Chance: l.policy.Chance(l.name(v), l.time()), Callers: l.policy.Callers(l.name(v)),
		IdleFor: l.now - l.models[v].since,
	}
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
	return waking.EstimateWake(l.transfer(m, remote), 0, ahead, l.store.options.Slots)
}

func (l *learned) next(queue []int) int {
	loads := make([]waking.Load, 0, len(queue))
	for _, m := range queue {
		loads = append(loads, l.load(m))
	}
	return waking.Next(loads, l.time())
}

func (l *learned) load(m int) waking.Load {
	x := &l.models[m]
	d := waking.Load{
		Model: l.name(m), Callers: len(x.waiting), Takes: l.transfer(m, remote),
		Since: l.trace.Start.Add(x.asked),
	}
	if len(x.waiting) > 0 {
		q := l.trace.Requests[x.waiting[0]]
		d.Deadline.At = l.trace.Start.Add(q.At + q.Timeout)
	}
	return d
}
