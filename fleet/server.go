package fleet

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// State is what a backend server says of its own availability.
type State int

// The states. The zero State takes no new work.
const (
	Draining State = iota
	Ready
)

// LoadedModel is a model that a backend server has loaded.
type LoadedModel struct {
	Model domain.ModelName
	// Adapters are loaded; Coming ones are on their way.
	Adapters, LoadingAdapters []domain.AdapterName
}

// HasAdapter tells whether an adapter is loaded. The empty adapter always is.
func (h LoadedModel) HasAdapter(a domain.AdapterName) bool {
	return a == "" || slices.Contains(h.Adapters, a)
}

// EngineState is what an engine holds at one moment of its life.
type EngineState struct {
	// StartedAtMs is the start of the process in Unix milliseconds. A server that starts
	// again under its id holds nothing.
	StartedAtMs int64
	// Sequence counts the orders accepted since Born; 0 where it is not known.
	Sequence uint64
	// Busy means that an order is being carried out.
	Busy   bool
	Models []LoadedModel
	// InMemory and OnDisk are the checkpoints that need no load from the weight
	// store.
	InMemory, OnDisk []domain.ModelName
}

// Find returns the entry of a loaded model.
func (h *EngineState) Find(m domain.ModelName) (LoadedModel, bool) {
	for _, e := range h.Models {
		if e.Model == m {
			return e, true
		}
	}
	return LoadedModel{}, false
}

// Tier is where a checkpoint lies for a server.
type Tier int

// The tiers, the slowest first.
const (
	InStore Tier = iota
	OnDisk
	InMemory
)

// Tier returns from where a model would be loaded.
func (h *EngineState) Tier(m domain.ModelName) Tier {
	switch {
	case slices.Contains(h.InMemory, m):
		return InMemory
	case slices.Contains(h.OnDisk, m):
		return OnDisk
	}
	return InStore
}

// Server is one backend server as it registered itself.
type Server struct {
	ID      domain.ServerID
	Service domain.ServiceName
	// Address is IP:PORT.
	Address string
	Zone    domain.Zone
	Slots   int
	State   State
	// WarmUpRemaining is how much longer it is slow after its start.
	WarmUpRemaining time.Duration
	EngineState     EngineState
}

// Change is a new state of one server's registration.
type Change struct {
	ID domain.ServerID
	// Offset orders the changes of one server.
	Offset domain.Offset
	// Server is nil where the registration is gone or cannot be used.
	Server *Server
}
