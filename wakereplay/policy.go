package wakereplay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/waking"
)

// crossRegionLatency is the time that a backend server in another region adds to the first
// token of a response.
const crossRegionLatency = 24 * time.Millisecond

// displacementHorizon is the period in which an arrival counts for the cost of displacing a
// checkpoint.
const displacementHorizon = 24 * time.Hour

// Policy returns the strategy that applies package waking to all decisions.
func Policy() Strategy {
	return Strategy{"policy", func(r *replay) strategy { return newPolicyStrategy(r) }}
}

// FixedWithPlacement returns a strategy with a fixed keep-alive and without pre-warming that
// places and evicts by package waking. It isolates the effect of placement.
func FixedWithPlacement(d time.Duration) Strategy {
	return Strategy{"fixed " + d.String() + ", placed", func(r *replay) strategy {
		p := newPolicyStrategy(r)
		p.fixedKeepAlive = d
		return p
	}}
}

// policyStrategy passes the state of the replay to package waking.
type policyStrategy struct {
	*replay
	policy     waking.Policy
	modelIndex map[domain.ModelName]int
	// fixedKeepAlive replaces the policy's keep-alive and disables pre-warming if it is not
	// zero.
	fixedKeepAlive time.Duration
}

func newPolicyStrategy(r *replay) *policyStrategy {
	p := &policyStrategy{replay: r, modelIndex: make(map[domain.ModelName]int)}
	p.policy.Weights = r.result.Weights
	for i, m := range r.trace.Models {
		p.modelIndex[m.Name] = i
	}
	return p
}

func (p *policyStrategy) name(m int) domain.ModelName { return p.trace.Models[m].Name }

func (p *policyStrategy) recordArrival(m int) { p.policy.RecordArrivals(p.name(m), p.wallTime(), 1) }

func (p *policyStrategy) keepAlive(m int) time.Duration {
	if p.fixedKeepAlive > 0 {
		return p.fixedKeepAlive
	}
	return max(time.Second, p.policy.KeepAlive(p.name(m), p.expectedColdStart(m), p.policy.Weights, p.wallTime()))
}

// expectedColdStart returns the smoothed mean duration of the model's past cold starts, but at most
// the duration of a load from disk. An eviction leaves the checkpoint on the server's disk, so a
// slower first load from the weight store does not raise the result.
func (p *policyStrategy) expectedColdStart(m int) time.Duration {
	disk := p.transferTime(m, onDisk)
	if d := p.models[m].meanColdStart; d > 0 {
		return min(d, disk)
	}
	return disk
}

func (p *policyStrategy) modelsToPrewarm() []int {
	if p.fixedKeepAlive > 0 {
		return nil
	}
	var out []int
	for _, m := range p.policy.ModelsToPrewarm(p.wallTime(), func(m domain.ModelName) time.Duration { return p.expectedColdStart(p.modelIndex[m]) }) {
		out = append(out, p.modelIndex[m])
	}
	return out
}

func (p *policyStrategy) prewarmTime(int) (time.Duration, bool) { return forever, false }

func (p *policyStrategy) place(m int) (server int, victims []int, ok bool) {
	idle := make([][]waking.EvictionCandidate, len(p.servers))
	for v := range p.models {
		if x := &p.models[v]; x.phase == ready && x.running == 0 {
			idle[x.server] = append(idle[x.server], p.candidate(v))
		}
	}
	var servers []waking.Server
	for i := range p.servers {
		servers = append(servers, waking.Server{
			ID: p.trace.Servers[i].ID, Region: p.trace.Servers[i].Region, Free: p.servers[i].freeMemory,
			IdleReplicas: idle[i], ColdStart: p.estimateColdStart(m, i), DisplacementCost: p.displacementCost(m, i),
		})
	}
	order := waking.RankServers(servers, waking.PlacementRequest{
		Model: p.name(m), Size: p.size(m), Waiters: p.policy.ExpectedWaiters(p.name(m), p.expectedColdStart(m)),
		CallerRegion: p.trace.Models[m].Region, CrossRegionLatency: crossRegionLatency,
	})
	if len(order) == 0 {
		return 0, nil, false
	}
	at := slices.IndexFunc(p.trace.Servers, func(s arrivals.Server) bool { return s.ID == order[0] })
	for _, v := range waking.ChooseEvictions(idle[at], p.size(m)-p.servers[at].freeMemory) {
		victims = append(victims, p.modelIndex[v])
	}
	return at, victims, true
}

func (p *policyStrategy) candidate(v int) waking.EvictionCandidate {
	return waking.EvictionCandidate{
		Model: p.name(v), Size: p.size(v), ColdStart: p.expectedColdStart(v),
		ReuseProbability: p.policy.ArrivalProbability(p.name(v), p.wallTime()), Waiters: p.policy.ExpectedWaiters(p.name(v), p.expectedColdStart(v)),
		IdleFor: p.now - p.models[v].idleSince,
	}
}

// displacementCost returns the expected wait, in seconds, that a load of m causes by displacing
// the least recently used checkpoint from a full disk. Arrivals within displacementHorizon
// count. The cost is zero if another server has that checkpoint on disk too.
func (p *policyStrategy) displacementCost(m, s int) float64 {
	x := &p.servers[s]
	if x.tier(m) != inStore || len(x.disk) < x.diskSlots {
		return 0
	}
	oldest := x.disk[0]
	if p.copiesOnDisk(oldest) > 1 {
		return 0
	}
	lost := p.transferTime(oldest, inStore) - p.transferTime(oldest, onDisk)
	return lost.Seconds() * p.policy.ArrivalProbabilityWithin(p.name(oldest), p.wallTime(), displacementHorizon) * p.policy.ExpectedWaiters(p.name(oldest), lost)
}

func (p *policyStrategy) copiesOnDisk(m int) int {
	var n int
	for i := range p.servers {
		if slices.Contains(p.servers[i].disk, m) {
			n++
		}
	}
	return n
}

// estimateColdStart returns the expected duration of a load of m on a server that starts now,
// including the queue at the weight store.
func (p *policyStrategy) estimateColdStart(m, s int) time.Duration {
	t := p.servers[s].tier(m)
	if t != inStore {
		return p.transferTime(m, t)
	}
	var queued []time.Duration
	for _, q := range p.store.queue {
		queued = append(queued, p.transferTime(q, inStore))
	}
	return waking.EstimateColdStart(p.transferTime(m, inStore), 0, queued, p.store.options.Slots)
}

func (p *policyStrategy) nextLoad(queue []int) int {
	loads := make([]waking.QueuedLoad, 0, len(queue))
	for _, m := range queue {
		loads = append(loads, p.queuedLoad(m))
	}
	return waking.NextLoad(loads, p.wallTime())
}

func (p *policyStrategy) queuedLoad(m int) waking.QueuedLoad {
	x := &p.models[m]
	d := waking.QueuedLoad{
		Model: p.name(m), Waiters: len(x.waiting), TransferTime: p.transferTime(m, inStore),
		QueuedAt: p.trace.Start.Add(x.loadRequestedAt),
	}
	if len(x.waiting) > 0 {
		q := p.trace.Requests[x.waiting[0]]
		d.Deadline.At = p.trace.Start.Add(q.At + q.Timeout)
	}
	return d
}
