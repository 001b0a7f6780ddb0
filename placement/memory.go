package placement

import (
	"maps"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// modelSize is the memory that a model needs, and that of each of its adapters.
type modelSize struct {
	model, adapter domain.Bytes
}

// recordSizes records the sizes of the models in a new configuration. Of the models that it does
// not list, it keeps the largest known sizes while a server has them loaded.
func (p *Planner) recordSizes(c *fleet.Configuration) {
	if p.formerSizes == nil {
		p.formerSizes = map[ModelKey]modelSize{}
	}
	loaded := map[ModelKey]bool{}
	for _, v := range p.engines {
		for k := range v.usedModels() {
			loaded[k] = true
		}
	}
	maps.DeleteFunc(p.formerSizes, func(k ModelKey, _ modelSize) bool { return !loaded[k] })
	if c == nil {
		return
	}
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		for _, m := range s.Engine.Models {
			k := ModelKey{Service: name, Model: m.Name}
			former := p.formerSizes[k]
			p.formerSizes[k] = modelSize{max(former.model, m.Memory), max(former.adapter, m.AdapterMemory)}
		}
	}
}

// usedModels returns the models that take memory on a server, or will.
func (v *engineView) usedModels() map[ModelKey]bool {
	models := map[ModelKey]bool{}
	add := func(m domain.ModelName) { models[ModelKey{Service: v.server.Service, Model: m}] = true }
	for _, loaded := range v.state.Models {
		add(loaded.Model)
	}
	for _, o := range []*Order{v.pendingOrder, v.runningOrder} {
		if o != nil {
			add(o.Model)
		}
	}
	for _, u := range v.unresolvedOrders {
		add(u.order.Model)
	}
	return models
}

// sizeOf returns the size of a model, and whether the configuration or a former one lists it.
func (p *Planner) sizeOf(e *fleet.Engine, k ModelKey) (modelSize, bool) {
	if m, ok := e.Models[k.Model]; ok {
		return modelSize{m.Memory, m.AdapterMemory}, true
	}
	s, ok := p.formerSizes[k]
	return s, ok
}

// loadedMemory returns the memory that a loaded model takes on a server. Nothing is known of models
// that no configuration listed which this node has read. Together they take at most what the
// others leave; loadedMemory returns this for the first of them, and 0 for the others.
func (p *Planner) loadedMemory(v *engineView, e *fleet.Engine, m domain.ModelName) domain.Bytes {
	rest := e.Memory
	var firstUnknown domain.ModelName
	for _, loaded := range v.state.Models {
		s, ok := p.sizeOf(e, ModelKey{Service: v.server.Service, Model: loaded.Model})
		switch {
		case ok && loaded.Model == m:
			return s.model
		case ok:
			rest -= s.model
		case firstUnknown == "":
			firstUnknown = loaded.Model
		}
	}
	if m != firstUnknown {
		return 0
	}
	return max(0, rest)
}

// loadingMemory returns the memory of the model that a server is ordered to load.
func (p *Planner) loadingMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	o := v.runningOrder
	if o == nil {
		o = v.pendingOrder
	}
	if o == nil || o.Operation != Load || o.Adapter != "" {
		return 0
	}
	return p.orderedMemory(*o, e)
}

// orderedMemory returns the memory of the model of an order.
func (p *Planner) orderedMemory(o Order, e *fleet.Engine) domain.Bytes {
	s, _ := p.sizeOf(e, ModelKey{Service: o.Server.Service, Model: o.Model})
	return s.model
}

// freeMemory returns the memory of an engine that is not used by the loaded models, by
// model loads with an unknown outcome or by the adapter reserve. Adapters of models that are not
// listed any more may take more than the reserve.
func (p *Planner) freeMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	return p.memoryWithoutModels(v, e) - max(e.AdapterReserve, p.usedAdapterMemory(v, e))
}

// freeAdapterMemory returns the memory of an engine that is not used by models or by adapters.
func (p *Planner) freeAdapterMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	return p.memoryWithoutModels(v, e) - p.usedAdapterMemory(v, e)
}

// usedAdapterMemory returns the memory of the adapters that are loaded or being loaded. What the
// adapters of an unknown model take is part of its loadedMemory.
func (p *Planner) usedAdapterMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	var used domain.Bytes
	for _, loaded := range v.state.Models {
		s, _ := p.sizeOf(e, ModelKey{Service: v.server.Service, Model: loaded.Model})
		used += domain.Bytes(usedAdapterSlots(loaded)) * s.adapter
	}
	return used
}

// memoryWithoutModels returns the memory of an engine that is not used by the loaded models or by
// model loads with an unknown outcome.
func (p *Planner) memoryWithoutModels(v *engineView, e *fleet.Engine) domain.Bytes {
	free := e.Memory
	for _, loaded := range v.state.Models {
		free -= p.loadedMemory(v, e, loaded.Model)
	}
	for _, u := range v.unresolvedOrders {
		if u.order.Operation == Load && u.order.Adapter == "" {
			free -= p.orderedMemory(u.order, e)
		}
	}
	return free
}
