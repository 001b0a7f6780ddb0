// Package placement plans which models and adapters the model engines of a shard
// load and unload: for waiting requests, for models with too few replicas, and to
// pre-warm models while the weight store is idle. The shard's owner, in package
// entry, passes a Planner the demand of the nodes, the registrations and reports of
// the servers and the outcomes of its orders, and sends the orders that the
// Planner returns. The package does no I/O and reads no clock.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Operation,Outcome -output=names_string.go

// Planner plans the orders for the model engines of one shard. The zero Planner is ready
// for use. It is not safe for concurrent use.
type Planner struct {
	// LoadWindow is the period over which the weight store measures the load rate. If it
	// is zero, defaultLoadWindow applies.
	LoadWindow time.Duration
	// Pace returns how long work takes at a server, relative to the usual time, over the last
	// seconds; 0 if it is unknown. It may be nil.
	Pace func(*fleet.Server) float64
	// ServersCheckFences is set if the servers reject orders with an old fencing token.
	ServersCheckFences bool

	config  *fleet.Configuration
	engines map[domain.ServerID]*engineView
	demands demandTable
	// formerSizes holds the sizes of the listed models, and of loaded ones that a former
	// configuration listed.
	formerSizes map[ModelKey]modelSize
	// replicaCounts is the number of engines that have each model or adapter loaded,
	// recounted for each plan.
	replicaCounts map[ModelKey]int
	storeLoads    storeLimiter
	// plannedStoreLoads is the number of servers that are reserved for a load from the weight
	// store.
	plannedStoreLoads int
	lateOrders        lateOrders
	// foreignOrdersUntil is when the last order of the previous owner can arrive; zero if there
	// was none.
	foreignOrdersUntil time.Time
}

// Configure sets the current configuration.
func (p *Planner) Configure(c *fleet.Configuration) {
	p.recordSizes(c)
	p.config = c
	p.storeLoads.longestLoad = 0
	for _, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			p.storeLoads.longestLoad = max(p.storeLoads.longestLoad, m.StoreLoadTime)
		}
	}
}

// BeginTerm starts a term of this node as owner. The effects of orders from earlier terms
// are unknown until the servers report.
func (p *Planner) BeginTerm(now time.Time) { p.BeginOrders(now, now) }

// BeginOrders begins the time of a term in which this node may issue orders. The previous owner
// issued none after predecessorEnd.
func (p *Planner) BeginOrders(now, predecessorEnd time.Time) {
	for _, v := range p.engines {
		v.confirmed, v.pendingOrder, v.runningOrder = false, nil, nil
		v.nextPoll = now
	}
	p.storeLoads.reset(predecessorEnd)
	p.foreignOrdersUntil = predecessorEnd.Add(unknownOutcomeTimeout)
}

// EndTerm ends the term of this node as owner. It discards the demand, which the nodes
// then report to the next owner.
func (p *Planner) EndTerm() { p.demands = demandTable{} }

// RecordDemand records the changed demand of a node.
func (p *Planner) RecordDemand(now time.Time, n domain.NodeID, changed []Demand) {
	p.demands.record(now, n, changed)
}

// SetServers sets the servers that can get orders. Servers that are not in usable or have
// no engine configuration are removed.
func (p *Planner) SetServers(now time.Time, usable []*fleet.Server) {
	if p.engines == nil {
		p.engines = map[domain.ServerID]*engineView{}
	}
	hasEngine := make(map[domain.ServerID]bool, len(usable))
	for _, s := range usable {
		if p.engineConfig(s.Service) == nil {
			continue
		}
		hasEngine[s.ID] = true
		v := p.engines[s.ID]
		if v == nil {
			v = &engineView{nextPoll: now, mayHaveRestarted: len(s.EngineState.Models) == 0}
			p.engines[s.ID] = v
		}
		if s.EngineState.StartedAtMs < v.server.EngineState.StartedAtMs {
			// The previous registration under this ID was not the server's own.
			v.resetAfterRestart(now)
		}
		v.server = *s
		v.applyState(now, now.Add(-2*time.Second), s.EngineState, false)
	}
	for id := range p.engines {
		if !hasEngine[id] {
			delete(p.engines, id)
		}
	}
}

// RecordReport records the report of a server that was requested at requestedAt, or err
// if the request failed.
func (p *Planner) RecordReport(now, requestedAt time.Time, id domain.ServerID, s fleet.EngineState, err error) {
	v := p.engines[id]
	if v == nil {
		return
	}
	v.pollInFlight = false
	if err != nil {
		v.nextPoll = now.Add(time.Second)
		return
	}
	v.nextPoll = time.Time{}
	previousOrder := v.runningOrder
	v.applyState(now, requestedAt, s, true)
	if v.runningOrder != nil || v.state.Busy || !v.confirmed {
		v.nextPoll = now.Add(pollInterval)
		return
	}
	if previousOrder != nil {
		p.storeLoads.recordFinish(*previousOrder, now.Sub(v.runningSince), p.modelConfig(v.server.Service, previousOrder.Model))
	}
}

// RequestPoll schedules a poll of a server after a node found that the server lacks a model
// or adapter that the owner's view shows as loaded there.
func (p *Planner) RequestPoll(now time.Time, id domain.ServerID) {
	v := p.engines[id]
	if v == nil || v.pendingOrder != nil || now.Sub(v.pollRequestedAt) < minRequestedPollInterval {
		return
	}
	v.pollRequestedAt = now
	if v.nextPoll.IsZero() {
		v.nextPoll = now
	}
}

// DuePolls returns the servers to poll for a report now. The caller must pass each
// report, or the error of the poll, to RecordReport.
func (p *Planner) DuePolls(now time.Time) []fleet.Server {
	var serversToPoll []fleet.Server
	for _, v := range p.engines {
		if v.pollInFlight || v.nextPoll.IsZero() || now.Before(v.nextPoll) {
			continue
		}
		v.pollInFlight = true
		serversToPoll = append(serversToPoll, v.server)
	}
	return serversToPoll
}

// RecordOutcome records the outcome of an order that was sent at sentAt.
func (p *Planner) RecordOutcome(now, sentAt time.Time, o Order, outcome Outcome) {
	if outcome == Unknown {
		if p.lateOrders == nil {
			p.lateOrders = lateOrders{}
		}
		p.lateOrders.add(o, sentAt.Add(unknownOutcomeTimeout))
	}
	v := p.engines[o.Server.ID]
	if v == nil {
		return
	}
	isStoreLoad := o.Operation == Load && o.Adapter == "" && o.tier == fleet.InStore
	if isStoreLoad && outcome != Accepted && outcome != Unknown {
		p.storeLoads.removeLoad(o)
	}
	if o.startedAtMs != v.state.StartedAtMs {
		v.applyOutcomeOfFormerProcess(now)
		return
	}
	if outcome == Unneeded && o.Adapter != "" && o.Operation == Unload {
		// A server unloads an idle adapter at once and then responds as if it had not
		// been loaded.
		outcome = Accepted
	}
	v.applyOutcome(now, sentAt, o, outcome, p.estimateDuration(o))
}

// estimateDuration estimates the execution time of an order for a model.
func (p *Planner) estimateDuration(o Order) time.Duration {
	if o.Operation == Unload {
		return unloadTime
	}
	return p.modelConfig(o.Server.Service, o.Model).LoadTime(o.tier)
}

// engineConfig returns the engine configuration of a service, or nil if there is none.
func (p *Planner) engineConfig(s domain.ServiceName) *fleet.Engine {
	if p.config == nil {
		return nil
	}
	return p.config.Services[s].Engine
}

// modelConfig returns the configuration of a model, or the zero Model if there is none.
func (p *Planner) modelConfig(s domain.ServiceName, m domain.ModelName) fleet.Model {
	e := p.engineConfig(s)
	if e == nil {
		return fleet.Model{}
	}
	return e.Models[m]
}

// PlanOrders returns the orders to issue now, at most one for each server. The caller
// must pass the outcome of each order to RecordOutcome.
func (p *Planner) PlanOrders(now time.Time) []Order {
	if p.config == nil {
		return nil
	}
	p.demands.expire(now)
	p.storeLoads.expire(now)
	p.lateOrders.expire(now)
	var orders []Order
	issue := func(v *engineView, o Order) {
		o.Server, o.ExpectedSequence, o.startedAtMs = v.server, v.state.Sequence, v.state.StartedAtMs
		v.pendingOrder = &o
		orders = append(orders, o)
	}
	for _, v := range p.engines {
		v.expireLoadingAdapters(now)
	}
	p.assumeUnloaded(now)
	p.countReplicas()
	p.retryUnresolvedOrders(now, issue)
	p.continueReservations(now, issue)
	p.countPlannedStoreLoads()
	for _, n := range p.needs(now) {
		if n.key.Adapter != "" {
			p.placeAdapter(now, n, issue)
			continue
		}
		p.placeModel(now, n, issue)
	}
	return orders
}

// assumeUnloaded treats an unload of a model without running requests as finished when
// its estimated end has passed, without waiting for a report. If the server is still
// busy, it rejects the next order.
func (p *Planner) assumeUnloaded(now time.Time) {
	for _, v := range p.engines {
		if v.runningOrder == nil || v.runningOrder.Operation != Unload || v.pollInFlight || now.Before(v.estimatedEnd) {
			continue
		}
		t := p.demands.total(ModelKey{Service: v.server.Service, Model: v.runningOrder.Model})
		if t.running > 0 {
			continue
		}
		v.runningOrder, v.state.Busy, v.nextPoll = nil, false, time.Time{}
	}
}

// issueFunc issues an order to an engine.
type issueFunc func(*engineView, Order)

// retryUnresolvedOrders issues again, at each server, the first order with an unknown
// outcome. Both attempts of the order expect the same sequence, so that the server
// accepts only one of them.
func (p *Planner) retryUnresolvedOrders(now time.Time, issue issueFunc) {
	for _, v := range p.engines {
		if len(v.unresolvedOrders) == 0 || !v.confirmed || v.pendingOrder != nil || v.state.Busy {
			continue
		}
		o := v.unresolvedOrders[0].order
		if o.ExpectedSequence == v.state.Sequence && p.waitForLateOrders(now, v, p.engineConfig(v.server.Service), o) == 0 {
			issue(v, o)
		}
	}
}

// need is a model or adapter that needs one more replica.
type need struct {
	key ModelKey
	// waitingRequests is the number of waiting requests. waitingSince is when the current
	// period with waiting requests started; zero if no request waits.
	waitingRequests int
	waitingSince    time.Time
	// rate is the request rate per second, lateRate that of late responses.
	rate, lateRate float64
	// isPrewarm is true for a pre-warming load, for which no request waits.
	isPrewarm bool
	// replicas is the number of replicas that plannedReplicas returned.
	replicas int
}

// needs lists the models and adapters that need one more replica, the most urgent first,
// and after them the models to pre-warm.
func (p *Planner) needs(now time.Time) []need {
	var list []need
	replicas := p.plannedReplicas()
	for k, t := range p.demands.totals {
		e := p.engineConfig(k.Service)
		if e == nil {
			continue
		}
		if _, ok := e.Models[k.Model]; !ok {
			continue
		}
		n := need{key: k, waitingRequests: t.waiting, waitingSince: t.waitingSince, rate: t.rateAt(now), lateRate: t.lateRateAt(now), replicas: replicas[k]}
		if k.Adapter != "" {
			if t.waiting > 0 && replicas[k] == 0 {
				list = append(list, n)
			}
			continue
		}
		if p.requiredReplicas(t, e) > replicas[k] || p.startScaleOut(now, k, t, replicas[k]) {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b need) int {
		return cmp.Or(
			-compareBool(a.key.Adapter != "", b.key.Adapter != ""),
			-compareBool(a.replicas == 0 && a.waitingRequests > 0, b.replicas == 0 && b.waitingRequests > 0),
			a.waitingSince.Compare(b.waitingSince),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return append(list, p.prewarmNeeds(now, replicas)...)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// requiredReplicas returns the number of replicas that a model needs for its running and
// waiting requests.
func (p *Planner) requiredReplicas(t *totalDemand, e *fleet.Engine) int {
	requests := t.running + t.waiting
	if requests == 0 {
		return 0
	}
	return (requests + targetRequestsPerReplica(e.Slots) - 1) / targetRequestsPerReplica(e.Slots)
}

// startScaleOut reports whether a model gets one more replica because its responses are
// late. If so, it records the time. It returns false until the previous replica is loaded
// and minScaleOutInterval has passed, so that the new replica takes over its share of the
// load first.
func (p *Planner) startScaleOut(now time.Time, k ModelKey, t *totalDemand, replicas int) bool {
	if replicas == 0 || replicas > p.replicaCount(k) || !t.isOverloaded(now) || now.Sub(t.lastScaleOutAt) < minScaleOutInterval {
		return false
	}
	t.lastScaleOutAt = now
	return true
}

// minScaleOutInterval is the shortest time between two replicas that are added because of
// late responses.
const minScaleOutInterval = 700 * time.Millisecond

// targetRequestsPerReplica returns the number of concurrent requests above which another
// replica of a model is loaded: a larger batch slows down every token.
func targetRequestsPerReplica(slots int) int {
	return max(1, slots/4)
}

// plannedReplicas returns, for each key, the number of replicas that are loaded, loading
// or ordered or have a server reserved.
func (p *Planner) plannedReplicas() map[ModelKey]int {
	n := maps.Clone(p.replicaCounts)
	for _, v := range p.engines {
		if v.runningOrder != nil && v.runningOrder.Operation == Load {
			n[ModelKey{Service: v.server.Service, Model: v.runningOrder.Model}]++
		}
		if o := v.pendingOrder; o != nil && o.Operation == Load {
			n[ModelKey{Service: v.server.Service, Model: o.Model, Adapter: o.Adapter}]++
		}
		if v.reservedModel != "" {
			n[ModelKey{Service: v.server.Service, Model: v.reservedModel}]++
		}
		for _, u := range v.unresolvedOrders {
			if u.order.Operation == Load {
				n[ModelKey{Service: v.server.Service, Model: u.order.Model, Adapter: u.order.Adapter}]++
			}
		}
	}
	return n
}

// Snapshot returns the owner's view of the engine states by server. It leaves out a
// server without a confirmed state unless an order is pending or running there.
func (p *Planner) Snapshot() map[domain.ServerID]fleet.EngineState {
	states := make(map[domain.ServerID]fleet.EngineState, len(p.engines))
	for id, v := range p.engines {
		if v.confirmed || v.runningOrder != nil || v.pendingOrder != nil {
			states[id] = v.state
		}
	}
	return states
}

// WaitingNodes returns the nodes with requests that wait for a model or adapter that a server has
// loaded. A node is returned once for each.
func (p *Planner) WaitingNodes(id domain.ServerID) []domain.NodeID {
	v := p.engines[id]
	if v == nil {
		return nil
	}
	return p.demands.nodesWaitingFor(func(k ModelKey) bool {
		loaded, ok := v.state.Find(k.Model)
		return ok && k.Service == v.server.Service && loaded.HasAdapter(k.Adapter)
	})
}
