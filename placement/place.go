package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// lastReplicaCost is the eviction cost of a model's last replica, or of all its
	// required replicas together, in seconds per unit of the model's request rate.
	lastReplicaCost = 8.0
	// spareReplicaCost is the eviction cost of a replica that the demand does not
	// require, in seconds per unit of the request rate of each replica.
	spareReplicaCost = 1.0
	// waitingRequestCost is the eviction cost, in seconds, of each request that waits for the model.
	waitingRequestCost = 10.0
	// unobservedReplicaCost is the eviction cost, in seconds, of a model without requests so far,
	// for each of its replicas: the platform has placed popular models on more servers.
	unobservedReplicaCost = 0.05
	// busyReplicaCost is the eviction cost, in seconds, that is added for a last replica
	// whose model has running or waiting requests, for any other replica if its model
	// is overloaded or needs all its replicas, and for a spare replica that probably runs a
	// request: the unload waits for the running requests.
	busyReplicaCost = 3.0
	// maxCostWithoutWaiters is the highest eviction cost, in seconds, at which a model is
	// loaded that no request waits for.
	maxCostWithoutWaiters = 2.5
	// lateResponseCost is the eviction cost, in seconds, that each late response a second of a
	// model justifies for another replica, up to maxCostForLateResponses.
	lateResponseCost        = 2.0
	maxCostForLateResponses = 8.0
	// maxCostPerWaiter is the highest eviction cost, in seconds, for each waiting request, to which
	// maxCostPerSecondWaited is added for each second that the oldest has waited.
	maxCostPerWaiter       = 10.0
	maxCostPerSecondWaited = 5.0
	// serversPerPrewarm is the number of servers that there must be for each running load
	// from the weight store before another load starts for pre-warming: a load occupies
	// its server.
	serversPerPrewarm = 4
	// utilizationCost is the cost, in seconds, of placing a model on a server that runs
	// as many requests as one replica should. The requests of the new model slow down the
	// requests on that server, and the server loads no adapter during the load of the
	// model.
	utilizationCost = 1.5
	// paceCost is the cost, in seconds, of placing a model that requests use on a server whose work
	// takes twice the usual time. It decides between servers with about equal load times only: a
	// load from another tier takes seconds longer.
	paceCost = 0.3
)

// plan is a way to load a model on one server; victims are the models to evict first.
type plan struct {
	engine      *engineView
	victims     []domain.ModelName
	tier        fleet.Tier
	costSeconds float64
	// delay is the time until the server can probably take the first order.
	delay time.Duration
}

// placeModel issues the next order that leads to one more replica of a model. It issues none if the
// best server is one that cannot take the order yet.
func (p *Planner) placeModel(now time.Time, n need, issue issueFunc) {
	e := p.engineConfig(n.key.Service)
	m := e.Models[n.key.Model]
	best, found := p.bestPlan(now, n, e, m)
	if !found || best.delay > 0 {
		return
	}
	p.startPlan(now, best, m, issue)
}

// startPlan issues the first order of a plan. If that is an eviction, it reserves the
// server for the model, so that the model is not placed on a second server at the same
// time.
func (p *Planner) startPlan(now time.Time, selected plan, m fleet.Model, issue issueFunc) {
	v := selected.engine
	first := selected.firstOrder(m.Name)
	if len(selected.victims) > 0 {
		if v.reservedModel == "" {
			v.reservedModel, v.reservedUntil = m.Name, now.Add(reservationTimeout)
			if selected.tier == fleet.InStore {
				p.plannedStoreLoads++
			}
		}
		issue(v, first)
		return
	}
	v.reservedModel = ""
	if selected.tier == fleet.InStore {
		p.storeLoads.recordStart(now, v.server.ID, m.Name)
	}
	issue(v, first)
}

// firstOrder returns the first order of the plan, for loading a model.
func (l *plan) firstOrder(m domain.ModelName) Order {
	if len(l.victims) > 0 {
		return Order{Operation: Unload, Model: l.victims[0]}
	}
	return Order{Operation: Load, Model: m, tier: l.tier}
}

// continueReservations issues the next order on each reserved server. It removes a
// reservation that has expired, or whose service or model is no longer configured, or whose
// model is loaded or cannot get enough memory.
func (p *Planner) continueReservations(now time.Time, issue issueFunc) {
	for _, v := range p.engines {
		if v.reservedModel == "" {
			continue
		}
		e := p.engineConfig(v.server.Service)
		if e == nil || now.After(v.reservedUntil) {
			v.reservedModel = ""
			continue
		}
		if !v.canAcceptModelOrder() {
			continue
		}
		m, ok := e.Models[v.reservedModel]
		if _, isLoaded := v.state.Find(m.Name); isLoaded || !ok {
			v.reservedModel = ""
			continue
		}
		t := v.state.Tier(m.Name)
		if t == fleet.InStore && !p.canLoadFromStore(now, e) {
			continue
		}
		k := ModelKey{Service: v.server.Service, Model: m.Name}
		victims, _, ok := p.selectVictims(now, v, e, m.Memory-p.freeMemory(v, e), need{key: k, waitingRequests: max(1, p.demands.total(k).waiting), waitingSince: v.reservedUntil.Add(-reservationTimeout)})
		if !ok {
			v.reservedModel = ""
			continue
		}
		next := plan{engine: v, victims: victims, tier: t}
		if p.waitForLateOrders(now, v, e, next.firstOrder(m.Name)) > 0 {
			continue
		}
		p.startPlan(now, next, m, issue)
	}
}

// bestPlan returns the plan with the lowest cost for one more replica of a model, or
// false if there is no plan. The cost is the sum of the eviction cost, the load time,
// the costs of the server's utilization and pace and the delay until the server can take the order.
func (p *Planner) bestPlan(now time.Time, n need, e *fleet.Engine, m fleet.Model) (plan, bool) {
	var best plan
	found := false
	for _, v := range p.engines {
		if v.server.Service != n.key.Service || v.reservedModel != "" {
			continue
		}
		delay, ok := p.orderDelay(now, v)
		if _, isLoaded := v.state.Find(m.Name); isLoaded || !ok {
			continue
		}
		t := v.state.Tier(m.Name)
		if t == fleet.InStore && !p.canPlanStoreLoad(now, e) || n.isPrewarm && !p.canPrewarm(now, e) {
			continue
		}
		victims, cost, ok := p.selectVictims(now, v, e, m.Memory-p.freeMemory(v, e)+p.loadingMemory(v, e), n)
		if !ok || n.isPrewarm && cost > maxCostWithoutWaiters {
			continue
		}
		candidate := plan{engine: v, victims: victims, tier: t}
		candidate.delay = max(delay, p.waitForLateOrders(now, v, e, candidate.firstOrder(m.Name)))
		candidate.costSeconds = cost + m.LoadTime(t).Seconds() + p.utilization(v, e)*utilizationCost + candidate.delay.Seconds() + p.paceCost(v, n)
		if !found || candidate.costSeconds < best.costSeconds || candidate.costSeconds == best.costSeconds && v.server.ID < best.engine.server.ID {
			best = candidate
			found = true
		}
	}
	return best, found
}

// paceCost returns the cost of a server's pace for a model that requests use or wait for.
func (p *Planner) paceCost(v *engineView, n need) float64 {
	if p.Pace == nil || n.isPrewarm {
		return 0
	}
	pace := p.Pace(&v.server)
	if pace <= 0 {
		return 0
	}
	return paceCost * (pace - 1)
}

// orderDelay estimates how long a server will take no order for a model, from its orders and from
// the report that is expected of it. It returns false if that cannot be estimated.
func (p *Planner) orderDelay(now time.Time, v *engineView) (time.Duration, bool) {
	switch {
	case v.canAcceptModelOrder():
		return 0, true
	case len(v.unresolvedOrders) > 0:
		return 0, false
	case v.runningOrder != nil:
		return max(0, v.estimatedEnd.Sub(now)) + pollInterval, true
	case v.pendingOrder != nil:
		return p.estimateDuration(*v.pendingOrder) + pollInterval, true
	case !v.confirmed && !v.state.Busy && v.awaitsReport(now):
		return pollInterval, true
	}
	return 0, false
}

// utilization estimates the number of requests that a server runs, divided by the number
// that one replica should run.
func (p *Planner) utilization(v *engineView, e *fleet.Engine) float64 {
	running := 0.0
	for _, loaded := range v.state.Models {
		k := ModelKey{Service: v.server.Service, Model: loaded.Model}
		running += float64(p.demands.total(k).running) / float64(max(1, p.replicaCount(k)))
	}
	return running / float64(targetRequestsPerReplica(e.Slots))
}

// evictionCandidate is a loaded model that could be evicted.
type evictionCandidate struct {
	model       domain.ModelName
	memory      domain.Bytes
	costSeconds float64
	lastUsedAt  time.Time
	// isUseless is set on a model that the configuration does not list and that runs nothing.
	isUseless bool
}

// selectVictims returns the models to evict from a server to free missingMemory, and the total
// eviction cost in seconds. It selects models that the configuration does not list first, and then
// those with the lowest eviction cost. It returns false if the memory cannot be freed, or if the
// cost exceeds need.maximumEvictionCost.
func (p *Planner) selectVictims(now time.Time, v *engineView, e *fleet.Engine, missingMemory domain.Bytes, n need) ([]domain.ModelName, float64, bool) {
	if missingMemory <= 0 {
		return nil, 0, true
	}
	candidates := make([]evictionCandidate, 0, len(v.state.Models))
	for _, loaded := range v.state.Models {
		if loaded.Model != n.key.Model {
			candidates = append(candidates, p.evictionCandidate(now, v, e, loaded.Model))
		}
	}
	slices.SortFunc(candidates, func(a, b evictionCandidate) int {
		return cmp.Or(-compareBool(a.isUseless, b.isUseless), cmp.Compare(a.costSeconds, b.costSeconds), a.lastUsedAt.Compare(b.lastUsedAt), cmp.Compare(a.model, b.model))
	})
	var victims []domain.ModelName
	cost := 0.0
	for _, c := range candidates {
		if missingMemory <= 0 {
			break
		}
		victims = append(victims, c.model)
		cost += c.costSeconds
		missingMemory -= c.memory
	}
	if missingMemory > 0 {
		return nil, 0, false
	}
	if cost > n.maximumEvictionCost(now) {
		return nil, 0, false
	}
	return victims, cost, true
}

// evictionCandidate returns a loaded model with its eviction cost.
func (p *Planner) evictionCandidate(now time.Time, v *engineView, e *fleet.Engine, m domain.ModelName) evictionCandidate {
	k := ModelKey{Service: v.server.Service, Model: m}
	t := p.demands.total(k)
	replicas := p.replicaCount(k)
	c := evictionCandidate{model: m, memory: p.loadedMemory(v, e, m), lastUsedAt: t.lastUsedAt}
	_, isListed := e.Models[m]
	rate := t.rateAt(now)
	switch {
	case !isListed && t.running == 0:
		c.isUseless = true
	case replicas > 1 && t.lastUsedAt.IsZero():
		c.costSeconds = unobservedReplicaCost * float64(replicas)
	case replicas <= 1:
		c.costSeconds = unobservedReplicaCost + rate*lastReplicaCost
		if t.running+t.waiting > 0 {
			c.costSeconds += busyReplicaCost + waitingRequestCost*float64(t.waiting)
		}
	case t.isOverloaded(now) || p.requiredReplicas(t, e) >= replicas:
		c.costSeconds = busyReplicaCost + rate*lastReplicaCost/float64(replicas)
	default:
		running := float64(t.running) / float64(replicas)
		c.costSeconds = rate*spareReplicaCost/float64(replicas) + busyReplicaCost*min(1, running)
	}
	return c
}

// countReplicas recounts replicaCounts.
func (p *Planner) countReplicas() {
	if p.replicaCounts == nil {
		p.replicaCounts = map[ModelKey]int{}
	}
	clear(p.replicaCounts)
	for _, v := range p.engines {
		for _, loaded := range v.state.Models {
			k := ModelKey{Service: v.server.Service, Model: loaded.Model}
			p.replicaCounts[k]++
			for _, k.Adapter = range loaded.Adapters {
				p.replicaCounts[k]++
			}
		}
	}
}

// replicaCount returns the number of engines that have a model or adapter loaded.
func (p *Planner) replicaCount(k ModelKey) int { return p.replicaCounts[k] }

// canLoadFromStore reports whether the limits of the weight store permit another
// load.
func (p *Planner) canLoadFromStore(now time.Time, e *fleet.Engine) bool {
	return p.storeLoads.canStart(now, e.LoadsPerSecond, p.loadWindow())
}

// canPlanStoreLoad reports whether the limits of the weight store permit another load beside those
// for which a server is reserved. Without this, servers would be emptied for loads that cannot start.
func (p *Planner) canPlanStoreLoad(now time.Time, e *fleet.Engine) bool {
	return p.storeLoads.canStartBeside(now, e.LoadsPerSecond, p.loadWindow(), p.plannedStoreLoads)
}

func (p *Planner) loadWindow() time.Duration {
	if p.LoadWindow <= 0 {
		return defaultLoadWindow
	}
	return p.LoadWindow
}

// countPlannedStoreLoads recounts plannedStoreLoads.
func (p *Planner) countPlannedStoreLoads() {
	p.plannedStoreLoads = 0
	for _, v := range p.engines {
		if v.reservedModel != "" && v.state.Tier(v.reservedModel) == fleet.InStore {
			p.plannedStoreLoads++
		}
	}
}

// canPrewarm reports whether a load from the weight store may start now for pre-warming. Once there
// are requests, it leaves one load to models that they ask for.
func (p *Planner) canPrewarm(now time.Time, e *fleet.Engine) bool {
	loads := len(p.storeLoads.running) + p.plannedStoreLoads
	if !p.demands.observedSince.IsZero() && loads+1 >= p.storeLoads.concurrencyLimit() {
		return false
	}
	return p.canPlanStoreLoad(now, e) && loads < len(p.engines)/serversPerPrewarm
}

// maximumEvictionCost returns the highest eviction cost, in seconds, for one more replica. Without
// waiting requests it rises with the late responses that the replica would relieve. With waiting
// requests it rises with their number, so that a busy model does not make way for a single request,
// and with the time for which they have waited, so that no model is starved.
func (n need) maximumEvictionCost(now time.Time) float64 {
	if n.waitingRequests == 0 {
		return max(maxCostWithoutWaiters, min(maxCostForLateResponses, lateResponseCost*n.lateRate))
	}
	cost := maxCostPerWaiter * float64(n.waitingRequests)
	if !n.waitingSince.IsZero() {
		cost += maxCostPerSecondWaited * now.Sub(n.waitingSince).Seconds()
	}
	return cost
}

// prewarmNeeds lists the models whose checkpoint no server has cached, if pre-warming
// loads may start now. After the load, the first request for a model waits for a load
// from disk at most.
func (p *Planner) prewarmNeeds(now time.Time, replicas map[ModelKey]int) []need {
	var list []need
	for name, s := range p.config.Services {
		if s.Engine == nil || !p.canPrewarm(now, s.Engine) {
			continue
		}
		hasCheckpoint := p.modelsWithCheckpoint(name)
		for _, m := range s.Engine.Models {
			k := ModelKey{Service: name, Model: m.Name}
			if replicas[k] == 0 && !hasCheckpoint[m.Name] {
				list = append(list, need{key: k, isPrewarm: true})
			}
		}
	}
	slices.SortFunc(list, func(a, b need) int { return cmp.Compare(a.key.Model, b.key.Model) })
	return list
}

// modelsWithCheckpoint returns the models of a service whose checkpoint at least one
// server has cached.
func (p *Planner) modelsWithCheckpoint(s domain.ServiceName) map[domain.ModelName]bool {
	hasCheckpoint := map[domain.ModelName]bool{}
	for _, v := range p.engines {
		if v.server.Service != s {
			continue
		}
		for _, names := range [][]domain.ModelName{v.state.InMemory, v.state.OnDisk} {
			for _, m := range names {
				hasCheckpoint[m] = true
			}
		}
	}
	return hasCheckpoint
}
