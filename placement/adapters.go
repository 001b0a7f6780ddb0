package placement

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// minAdapterIdleTime is how long an adapter stays loaded after its last request
// before another adapter can replace it.
const minAdapterIdleTime = 500 * time.Millisecond

// placeAdapter issues the next order that leads to a loaded adapter. Of the servers that
// have its model loaded, it selects one that has a slot and memory for the adapter, and of
// these the one with the fewest adapter slots in use. If there is none, it makes room first.
func (p *Planner) placeAdapter(now time.Time, n need, issue issueFunc) {
	var best *engineView
	bestFits := false
	e := p.engineConfig(n.key.Service)
	load := Order{Operation: Load, Model: n.key.Model, Adapter: n.key.Adapter}
	for _, v := range p.engines {
		if v.server.Service != n.key.Service || !v.canAcceptModelOrder() || len(v.loadingAdapters) >= maxLoadingAdapters {
			continue
		}
		if _, ok := v.state.Find(n.key.Model); !ok || p.waitForLateOrders(now, v, e, load) > 0 {
			continue
		}
		fits := p.fitsAdapter(v, e, n.key.Model)
		if best == nil || fits && !bestFits || fits == bestFits && hasFewerAdapters(v, best) {
			best, bestFits = v, fits
		}
	}
	switch {
	case best == nil:
	case bestFits:
		issue(best, load)
	default:
		p.makeRoomForAdapter(now, best, n.key.Model, issue)
	}
}

// hasFewerAdapters orders servers by the adapter slots in use, and by their IDs.
func hasFewerAdapters(a, b *engineView) bool {
	used, other := a.usedAdapterSlots(), b.usedAdapterSlots()
	return used < other || used == other && a.server.ID < b.server.ID
}

// fitsAdapter reports whether a server has a slot and memory for one more adapter of a model.
func (p *Planner) fitsAdapter(v *engineView, e *fleet.Engine, m domain.ModelName) bool {
	return v.usedAdapterSlots() < e.AdapterSlots && p.freeAdapterMemory(v, e) >= e.Models[m].AdapterMemory
}

// makeRoomForAdapter unloads the least recently used adapter of a server, or, if no adapter is idle
// and memory is short, a model that is hardly used. Models that the platform placed may leave less
// memory than the adapter reserve.
func (p *Planner) makeRoomForAdapter(now time.Time, v *engineView, m domain.ModelName, issue issueFunc) {
	if k, ok := p.leastRecentlyUsedAdapter(now, v); ok {
		issue(v, Order{Operation: Unload, Model: k.Model, Adapter: k.Adapter})
		return
	}
	e := p.engineConfig(v.server.Service)
	if v.usedAdapterSlots() >= e.AdapterSlots {
		return
	}
	missing := e.Models[m].AdapterMemory - p.freeAdapterMemory(v, e)
	victims, _, ok := p.selectVictims(now, v, e, missing, need{key: ModelKey{Service: v.server.Service, Model: m}})
	if ok && len(victims) > 0 {
		issue(v, Order{Operation: Unload, Model: victims[0]})
	}
}

// leastRecentlyUsedAdapter returns the idle adapter of a server that was not used for the
// longest time, or false if no adapter has been idle for minAdapterIdleTime.
func (p *Planner) leastRecentlyUsedAdapter(now time.Time, v *engineView) (ModelKey, bool) {
	var oldest ModelKey
	var oldestUse time.Time
	found := false
	for _, loaded := range v.state.Models {
		for _, a := range loaded.Adapters {
			k := ModelKey{Service: v.server.Service, Model: loaded.Model, Adapter: a}
			if _, isLoading := v.loadingAdapters[k]; isLoading {
				continue
			}
			t := p.demands.total(k)
			if t.waiting > 0 || t.running > 0 || now.Sub(t.lastUsedAt) < minAdapterIdleTime {
				continue
			}
			if !found || t.lastUsedAt.Before(oldestUse) {
				oldest, oldestUse, found = k, t.lastUsedAt, true
			}
		}
	}
	return oldest, found
}
