package placement

import (
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
)

// loadingMemory returns the memory of the model that a server is ordered to load.
func (p *Planner) loadingMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	o := v.runningOrder
	if o == nil {
		o = v.pendingOrder
	}
	if o == nil || o.Operation != Load || o.Adapter != "" {
		return 0
	}
	return e.Models[o.Model].Memory
}

// freeMemory returns the memory of an engine that is not used by the loaded models, by
// model loads with an unknown outcome or by the adapter reserve.
func (p *Planner) freeMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	return p.memoryWithoutModels(v, e) - e.AdapterReserve
}

// freeAdapterMemory returns the memory of an engine that is not used by models or by adapters.
func (p *Planner) freeAdapterMemory(v *engineView, e *fleet.Engine) domain.Bytes {
	free := p.memoryWithoutModels(v, e)
	for _, loaded := range v.state.Models {
		free -= domain.Bytes(usedAdapterSlots(loaded)) * e.Models[loaded.Model].AdapterMemory
	}
	return free
}

// memoryWithoutModels returns the memory of an engine that is not used by the loaded models or by
// model loads with an unknown outcome.
func (p *Planner) memoryWithoutModels(v *engineView, e *fleet.Engine) domain.Bytes {
	free := e.Memory
	for _, loaded := range v.state.Models {
		free -= e.Models[loaded.Model].Memory
	}
	for _, u := range v.unresolvedOrders {
		if u.order.Operation == Load && u.order.Adapter == "" {
			free -= e.Models[u.order.Model].Memory
		}
	}
	return free
}
