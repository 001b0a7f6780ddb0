// Package placement decides, for the owner of a shard of model engines, which
// models and adapters are loaded where: for callers that wait, for models whose
// replicas are too few, and ahead of callers while the weight store is idle. It
// has no input, output or clock.
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

// Planner keeps the accounts of the shard's model engines. The zero Planner is
// ready for use. It is not safe for concurrent use.
type Planner struct {
	// LoadWindow is the span over which the weight store's pace holds; five seconds
	// where it is zero.
	LoadWindow time.Duration

	config   *fleet.Configuration
	accounts map[domain.ServerID]*account
	demands  demands
	// replicas counts where each model and adapter is loaded, as of the plan at hand.
	replicas map[ModelKey]int
	store    storePace
}

// Configure sets the configuration in force.
func (p *Planner) Configure(c *fleet.Configuration) { p.config = c }

// BeginTerm starts a term as owner: what earlier owners ordered is unknown until the
// servers were asked.
func (p *Planner) BeginTerm(now time.Time) {
	for _, a := range p.accounts {
		a.known, a.pending, a.work = false, nil, nil
		a.ask = now
	}
	p.store.reset(now)
}

// EndTerm ends a term as owner: what the nodes need is told to the next one.
func (p *Planner) EndTerm() { p.demands = demands{} }

// RecordDemand takes in what a node needs.
func (p *Planner) RecordDemand(now time.Time, n domain.NodeID, changed []Demand) {
	p.demands.report(now, n, changed)
}

// SetServers sets the servers that may be used. Servers that are not listed are
// gone or leave.
func (p *Planner) SetServers(now time.Time, usable []*fleet.Server) {
	if p.accounts == nil {
		p.accounts = map[domain.ServerID]*account{}
	}
	listed := make(map[domain.ServerID]bool, len(usable))
	for _, s := range usable {
		if p.engine(s.Service) == nil {
			continue
		}
		listed[s.ID] = true
		a := p.accounts[s.ID]
		if a == nil {
			a = &account{ask: now}
			p.accounts[s.ID] = a
		}
		a.server = *s
		a.observe(now, now.Add(-2*time.Second), s.EngineState, false)
	}
	for id := range p.accounts {
		if !listed[id] {
			delete(p.accounts, id)
		}
	}
}

// RecordReport takes in a server's own report, requested at asked. An error means
// that there was none.
func (p *Planner) RecordReport(now, asked time.Time, id domain.ServerID, h fleet.EngineState, err error) {
	a := p.accounts[id]
	if a == nil {
		return
	}
	a.asking = false
	if err != nil {
		a.ask = now.Add(time.Second)
		return
	}
	a.ask = time.Time{}
	finished := a.work
	a.observe(now, asked, h, true)
	if a.work != nil || a.holdings.Busy || !a.known {
		a.ask = now.Add(pollInterval)
		return
	}
	if finished != nil {
		p.store.finished(now, *finished, now.Sub(a.began), p.model(a.server.Service, finished.Model))
	}
}

// RequestPoll has a server asked what it holds, since it lacked something.
func (p *Planner) RequestPoll(now time.Time, id domain.ServerID) {
	a := p.accounts[id]
	if a == nil || a.pending != nil || now.Sub(a.rechecked) < recheckInterval {
		return
	}
	a.rechecked = now
	if a.ask.IsZero() {
		a.ask = now
	}
}

// DuePolls returns the servers that are to be asked for a report now.
func (p *Planner) DuePolls(now time.Time) []fleet.Server {
	var asks []fleet.Server
	for _, a := range p.accounts {
		if a.asking || a.ask.IsZero() || now.Before(a.ask) {
			continue
		}
		a.asking = true
		asks = append(asks, a.server)
	}
	return asks
}

// RecordOutcome takes in what became of an order that was sent at a time.
func (p *Planner) RecordOutcome(now, sent time.Time, o Order, out Outcome) {
	a := p.accounts[o.Server.ID]
	if a == nil {
		return
	}
	fromStore := o.Operation == Load && o.Adapter == "" && o.tier == fleet.InStore
	if fromStore && out != Accepted && out != Unknown {
		p.store.cancelled(o)
	}
	if out == Unneeded && o.Adapter != "" && o.Operation == Unload {
		// An adapter that is not in use is dropped at once.
		out = Accepted
	}
	a.finish(now, sent, o, out, p.estimate(o))
}

func (p *Planner) estimate(o Order) time.Duration {
	if o.Operation == Unload {
		return unloadTime
	}
	return p.model(o.Server.Service, o.Model).LoadTime(o.tier)
}

func (p *Planner) engine(s domain.ServiceName) *fleet.Engine {
	if p.config == nil {
		return nil
	}
	return p.config.Services[s].Engine
}

func (p *Planner) model(s domain.ServiceName, m domain.ModelName) fleet.Model {
	e := p.engine(s)
	if e == nil {
		return fleet.Model{}
	}
	return e.Models[m]
}

// PlanOrders returns the orders to give now, one for each server at most. The caller
// must tell what became of each by Ordered.
func (p *Planner) PlanOrders(now time.Time) []Order {
	if p.config == nil {
		return nil
	}
	p.demands.expire(now)
	p.store.expire(now)
	var orders []Order
	give := func(a *account, o Order) {
		o.Server, o.ExpectedSequence = a.server, a.holdings.Sequence
		a.pending = &o
		orders = append(orders, o)
	}
	for _, a := range p.accounts {
		a.arrived(now)
	}
	p.assumeUnloaded(now)
	p.countReplicas()
	p.repeatDoubtful(give)
	p.continueReserved(now, give)
	for _, n := range p.needs(now) {
		if n.key.Adapter != "" {
			p.placeAdapter(now, n, give)
			continue
		}
		p.placeModel(now, n, give)
	}
	return orders
}

// assumeUnloaded takes idle models as dropped after unloadTime, without a report.
// A server that is not done yet refuses the next order.
func (p *Planner) assumeUnloaded(now time.Time) {
	for _, a := range p.accounts {
		if a.work == nil || a.work.Operation != Unload || a.asking || now.Before(a.ends) {
			continue
		}
		i := p.demands.of(ModelKey{Service: a.server.Service, Model: a.work.Model})
		if i.running > 0 {
			continue
		}
		a.work, a.holdings.Busy, a.ask = nil, false, time.Time{}
	}
}

type giver func(*account, Order)

// repeatDoubtful gives an order again whose answer was lost. If the new one is
// accepted the old one can no longer be: both expect the same sequence.
func (p *Planner) repeatDoubtful(give giver) {
	for _, a := range p.accounts {
		if len(a.doubts) == 0 || !a.known || a.pending != nil || a.holdings.Busy {
			continue
		}
		o := a.doubts[0].order
		if o.ExpectedSequence == a.holdings.Sequence {
			give(a, o)
		}
	}
}

// need is a model or adapter that should be loaded once more.
type need struct {
	key ModelKey
	// waiting requests have waited since.
	waiting int
	since   time.Time
	rate    float64
	// ahead needs have no caller yet.
	ahead bool
	// copies are the replicas that are loaded or on their way.
	copies int
}

// needs lists what should be loaded, the most urgent first.
func (p *Planner) needs(now time.Time) []need {
	var list []need
	copies := p.copies()
	for k, i := range p.demands.totals {
		e := p.engine(k.Service)
		if e == nil {
			continue
		}
		if _, ok := e.Models[k.Model]; !ok {
			continue
		}
		n := need{key: k, waiting: i.waiting, since: i.since, rate: i.rateAt(now), copies: copies[k]}
		if k.Adapter != "" {
			if i.waiting > 0 && copies[k] == 0 {
				list = append(list, n)
			}
			continue
		}
		if p.wanted(i, e) > copies[k] || p.spreads(now, k, i, copies[k]) {
			list = append(list, n)
		}
	}
	slices.SortFunc(list, func(a, b need) int {
		return cmp.Or(
			-boolCompare(a.key.Adapter != "", b.key.Adapter != ""),
			-boolCompare(a.copies == 0 && a.waiting > 0, b.copies == 0 && b.waiting > 0),
			a.since.Compare(b.since),
			cmp.Compare(a.key.Model, b.key.Model), cmp.Compare(a.key.Adapter, b.key.Adapter))
	})
	return append(list, p.ahead(now, copies)...)
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// wanted returns how many replicas a model's demand asks for.
func (p *Planner) wanted(i *interest, e *fleet.Engine) int {
	busy := i.running + i.waiting
	if busy == 0 {
		return 0
	}
	return (busy + runningPerReplica(e.Slots) - 1) / runningPerReplica(e.Slots)
}

// spreads tells whether a model needs one more replica since its requests are
// answered late. It waits until the latest one has taken its share.
func (p *Planner) spreads(now time.Time, k ModelKey, i *interest, copies int) bool {
	if copies == 0 || copies > p.loaded(k) || !i.crowded(now) || now.Sub(i.spread) < spreadInterval {
		return false
	}
	i.spread = now
	return true
}

// spreadInterval is the least time between two replicas that are added for late
// answers.
const spreadInterval = 700 * time.Millisecond

// runningPerReplica is how many requests a replica runs at once before another
// replica of the model is loaded: a full batch makes each token slow.
func runningPerReplica(slots int) int {
	return max(1, slots/4)
}

// copies counts the replicas of each key that are loaded or on their way.
func (p *Planner) copies() map[ModelKey]int {
	n := maps.Clone(p.replicas)
	for _, a := range p.accounts {
		if a.work != nil && a.work.Operation == Load {
			n[ModelKey{Service: a.server.Service, Model: a.work.Model}]++
		}
		if o := a.pending; o != nil && o.Operation == Load {
			n[ModelKey{Service: a.server.Service, Model: o.Model, Adapter: o.Adapter}]++
		}
		if a.reserved != "" {
			n[ModelKey{Service: a.server.Service, Model: a.reserved}]++
		}
		for _, d := range a.doubts {
			if d.order.Operation == Load {
				n[ModelKey{Service: a.server.Service, Model: d.order.Model, Adapter: d.order.Adapter}]++
			}
		}
	}
	return n
}

// Snapshot returns what the engines hold as the owner knows it, by server.
func (p *Planner) Snapshot() map[domain.ServerID]fleet.EngineState {
	held := make(map[domain.ServerID]fleet.EngineState, len(p.accounts))
	for id, a := range p.accounts {
		if a.known || a.work != nil || a.pending != nil {
			held[id] = a.holdings
		}
	}
	return held
}
