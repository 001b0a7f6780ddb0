package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

const (
	// lastCopyCost is the price, in seconds, of dropping a model's last replica, for
	// each request a second that asks for it.
	lastCopyCost = 8.0
	// spareCopyCost is the same for a replica beside others.
	spareCopyCost = 1.0
	// runningCost is the price of dropping a replica that has requests running: the
	// unload waits for them.
	runningCost = 3.0
	// aheadCost is the highest price of evictions at which a model is loaded ahead
	// of callers.
	aheadCost = 2.5
	// aheadServers is how many servers there must be for each load from the weight
	// store before one is made ahead of callers: it keeps its server from others.
	aheadServers = 4
	// crowdCost is the price, in seconds, of a server that runs as much as a replica
	// should: its requests and those of the new model slow each other down, and no
	// adapter can be loaded there meanwhile.
	crowdCost = 1.5
	// adapterQuiet is how long an adapter stays after its last request before
	// another may take its place.
	adapterQuiet = 500 * time.Millisecond
)

// plan is a way to make room for a model on one server.
type plan struct {
	account *account
	victims []domain.ModelName
	tier    fleet.Tier
	// cost is in seconds.
	cost float64
}

// placeModel orders the next step towards one more replica of a model.
func (p *Planner) placeModel(now time.Time, n need, give giver) {
	e := p.engine(n.key.Service)
	m := e.Models[n.key.Model]
	best, found := p.bestPlan(now, n, e, m)
	if !found {
		return
	}
	p.carryOut(now, best, m, give)
}

// carryOut gives the first order of a plan. While room is made the server is
// reserved, so that the model is not placed a second time.
func (p *Planner) carryOut(now time.Time, best plan, m fleet.Model, give giver) {
	a := best.account
	if len(best.victims) > 0 {
		if a.reserved == "" {
			a.reserved, a.reservedUntil = m.Name, now.Add(reservationTime)
		}
		give(a, Order{Operation: Unload, Model: best.victims[0]})
		return
	}
	a.reserved = ""
	if best.tier == fleet.InStore {
		p.store.started(now, a.server.ID, m.Name)
	}
	give(a, Order{Operation: Load, Model: m.Name, tier: best.tier})
}

// continueReserved goes on where room was made for a model.
func (p *Planner) continueReserved(now time.Time, give giver) {
	for _, a := range p.accounts {
		if a.reserved == "" {
			continue
		}
		if now.After(a.reservedUntil) {
			a.reserved = ""
			continue
		}
		if !a.ready() {
			continue
		}
		e := p.engine(a.server.Service)
		m, ok := e.Models[a.reserved]
		if _, held := a.holdings.Find(m.Name); held || !ok {
			a.reserved = ""
			continue
		}
		t := a.holdings.Tier(m.Name)
		if t == fleet.InStore && !p.room(now, e) {
			continue
		}
		k := ModelKey{Service: a.server.Service, Model: m.Name}
		victims, _, ok := p.victims(now, a, e, m.Memory-a.free(e), need{key: k, waiting: max(1, p.demands.of(k).waiting)})
		if !ok {
			a.reserved = ""
			continue
		}
		p.carryOut(now, plan{account: a, victims: victims, tier: t}, m, give)
	}
}

func (p *Planner) bestPlan(now time.Time, n need, e *fleet.Engine, m fleet.Model) (plan, bool) {
	var best plan
	found := false
	for _, a := range p.accounts {
		if a.server.Service != n.key.Service || !a.ready() || a.reserved != "" {
			continue
		}
		if _, held := a.holdings.Find(m.Name); held {
			continue
		}
		t := a.holdings.Tier(m.Name)
		if t == fleet.InStore && !p.room(now, e) || n.ahead && !p.roomAhead(now, e) {
			continue
		}
		victims, cost, ok := p.victims(now, a, e, m.Memory-a.free(e), n)
		if !ok || n.ahead && cost > aheadCost {
			continue
		}
		cost += m.LoadTime(t).Seconds() + p.crowd(a, e)*crowdCost
		if !found || cost < best.cost || cost == best.cost && a.server.ID < best.account.server.ID {
			best = plan{account: a, victims: victims, tier: t, cost: cost}
			found = true
		}
	}
	return best, found
}

// crowd estimates how busy a server is, as a share of what a replica should run.
func (p *Planner) crowd(a *account, e *fleet.Engine) float64 {
	running := 0.0
	for _, h := range a.holdings.Models {
		k := ModelKey{Service: a.server.Service, Model: h.Model}
		running += float64(p.demands.of(k).running) / float64(max(1, p.loaded(k)))
	}
	return running / float64(runningPerReplica(e.Slots))
}

// victim is a replica that may be dropped.
type victim struct {
	model  domain.ModelName
	memory domain.Bytes
	cost   float64
	used   time.Time
}

// victims returns the models to drop from a server for so much memory, and the
// price in seconds.
func (p *Planner) victims(now time.Time, a *account, e *fleet.Engine, short domain.Bytes, n need) ([]domain.ModelName, float64, bool) {
	if short <= 0 {
		return nil, 0, true
	}
	candidates := make([]victim, 0, len(a.holdings.Models))
	for _, h := range a.holdings.Models {
		candidates = append(candidates, p.victim(now, a, e, h.Model))
	}
	slices.SortFunc(candidates, func(x, y victim) int {
		return cmp.Or(cmp.Compare(x.cost, y.cost), x.used.Compare(y.used), cmp.Compare(x.model, y.model))
	})
	var names []domain.ModelName
	cost := 0.0
	for _, v := range candidates {
		if short <= 0 {
			break
		}
		names = append(names, v.model)
		cost += v.cost
		short -= v.memory
	}
	if short > 0 {
		return nil, 0, false
	}
	if n.waiting == 0 && cost > aheadCost {
		return nil, 0, false
	}
	return names, cost, true
}

func (p *Planner) victim(now time.Time, a *account, e *fleet.Engine, m domain.ModelName) victim {
	k := ModelKey{Service: a.server.Service, Model: m}
	i := p.demands.of(k)
	copies := p.loaded(k)
	v := victim{model: m, memory: e.Models[m].Memory, used: i.used}
	rate := i.rateAt(now)
	switch {
	case copies <= 1:
		v.cost = 0.05 + rate*lastCopyCost
		if i.running+i.waiting > 0 {
			v.cost += runningCost + 10*float64(i.waiting)
		}
	case i.crowded(now) || p.wanted(i, e) >= copies:
		v.cost = runningCost + rate*lastCopyCost/float64(copies)
	default:
		v.cost = rate * spareCopyCost / float64(copies)
	}
	return v
}

// countReplicas counts the loaded models and adapters for the plan at hand.
func (p *Planner) countReplicas() {
	if p.replicas == nil {
		p.replicas = map[ModelKey]int{}
	}
	clear(p.replicas)
	for _, a := range p.accounts {
		for _, h := range a.holdings.Models {
			k := ModelKey{Service: a.server.Service, Model: h.Model}
			p.replicas[k]++
			for _, k.Adapter = range h.Adapters {
				p.replicas[k]++
			}
		}
	}
}

func (p *Planner) loaded(k ModelKey) int { return p.replicas[k] }

// room tells whether a load from the weight store may begin.
func (p *Planner) room(now time.Time, e *fleet.Engine) bool {
	window := p.LoadWindow
	if window <= 0 {
		window = defaultWindow
	}
	return p.store.room(now, e.LoadsPerSecond, window)
}

// roomAhead tells whether a load ahead of callers may begin.
func (p *Planner) roomAhead(now time.Time, e *fleet.Engine) bool {
	return p.room(now, e) && len(p.store.running) < len(p.accounts)/aheadServers
}

// ahead lists models that no server has a checkpoint of, to be loaded while the
// weight store has nothing else to do: their first callers then wait for a disk
// at most.
func (p *Planner) ahead(now time.Time, copies map[ModelKey]int) []need {
	var list []need
	for name, s := range p.config.Services {
		if s.Engine == nil || !p.roomAhead(now, s.Engine) {
			continue
		}
		at := p.atHand(name)
		for _, m := range s.Engine.Models {
			k := ModelKey{Service: name, Model: m.Name}
			if copies[k] == 0 && !at[m.Name] {
				list = append(list, need{key: k, ahead: true})
			}
		}
	}
	slices.SortFunc(list, func(a, b need) int { return cmp.Compare(a.key.Model, b.key.Model) })
	return list
}

// atHand returns the models of a service of which some server has a checkpoint.
func (p *Planner) atHand(s domain.ServiceName) map[domain.ModelName]bool {
	at := map[domain.ModelName]bool{}
	for _, a := range p.accounts {
		if a.server.Service != s {
			continue
		}
		for _, names := range [][]domain.ModelName{a.holdings.InMemory, a.holdings.OnDisk} {
			for _, m := range names {
				at[m] = true
			}
		}
	}
	return at
}

// placeAdapter orders the next step towards an adapter on one of the servers
// that hold its model.
func (p *Planner) placeAdapter(now time.Time, n need, give giver) {
	var best *account
	e := p.engine(n.key.Service)
	for _, a := range p.accounts {
		if a.server.Service != n.key.Service || !a.ready() || len(a.coming) >= adaptersInTransit {
			continue
		}
		if _, ok := a.holdings.Find(n.key.Model); !ok {
			continue
		}
		if best == nil || a.adapterPlaces() < best.adapterPlaces() ||
			a.adapterPlaces() == best.adapterPlaces() && a.server.ID < best.server.ID {
			best = a
		}
	}
	if best == nil {
		return
	}
	if best.adapterPlaces() < e.AdapterSlots {
		give(best, Order{Operation: Load, Model: n.key.Model, Adapter: n.key.Adapter})
		return
	}
	if k, ok := p.idleAdapter(now, best); ok {
		give(best, Order{Operation: Unload, Model: k.Model, Adapter: k.Adapter})
	}
}

// idleAdapter returns the adapter on a server that was needed longest ago.
func (p *Planner) idleAdapter(now time.Time, a *account) (ModelKey, bool) {
	var oldest ModelKey
	var used time.Time
	found := false
	for _, h := range a.holdings.Models {
		for _, ad := range h.Adapters {
			k := ModelKey{Service: a.server.Service, Model: h.Model, Adapter: ad}
			if _, coming := a.coming[k]; coming {
				continue
			}
			i := p.demands.of(k)
			if i.waiting > 0 || i.running > 0 || now.Sub(i.used) < adapterQuiet {
				continue
			}
			if !found || i.used.Before(used) {
				oldest, used, found = k, i.used, true
			}
		}
	}
	return oldest, found
}
