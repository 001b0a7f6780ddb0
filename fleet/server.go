package fleet

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// State is the availability that a backend server registers.
type State int

// The states. The zero State takes no new work.
const (
	Draining State = iota
	Ready
)

// LoadedModel is a model that a backend server has loaded.
type LoadedModel struct {
	Model domain.ModelName
	// Adapters have been loaded; LoadingAdapters are still being loaded.
	Adapters, LoadingAdapters []domain.AdapterName
}

// HasAdapter reports whether an adapter is loaded. It is true for the empty name,
// which stands for the base model.
func (m LoadedModel) HasAdapter(a domain.AdapterName) bool {
	return a == "" || slices.Contains(m.Adapters, a)
}

// EngineState lists the models that one engine has loaded and the checkpoints that it
// has cached, at one point in time.
type EngineState struct {
	// StartedAtMs is the start of the server's process in Unix milliseconds. It
	// distinguishes a restarted server, which has no model loaded, from the earlier
	// process with the same ID.
	StartedAtMs int64
	// Sequence is the number of orders that the server has accepted since the start of
	// its process; 0 if not known.
	Sequence uint64
	// Busy means that the server is executing an order.
	Busy   bool
	Models []LoadedModel
	// InMemory and OnDisk are the models whose checkpoints the server has cached in
	// memory and on disk. Their loads do not use the weight store.
	InMemory, OnDisk []domain.ModelName
}

// Find returns the entry of a loaded model, and whether the model is loaded.
func (s *EngineState) Find(m domain.ModelName) (LoadedModel, bool) {
	for _, e := range s.Models {
		if e.Model == m {
			return e, true
		}
	}
	return LoadedModel{}, false
}

// Tier is the fastest storage tier that holds the checkpoint of a model, for one server.
type Tier int

// The tiers, the slowest first.
const (
	InStore Tier = iota
	OnDisk
	InMemory
)

// Tier returns the fastest tier from which the server can load a model.
func (s *EngineState) Tier(m domain.ModelName) Tier {
	switch {
	case slices.Contains(s.InMemory, m):
		return InMemory
	case slices.Contains(s.OnDisk, m):
		return OnDisk
	}
	return InStore
}

// Server is the registration of one backend server.
type Server struct {
	ID      domain.ServerID
	Service domain.ServiceName
	// Address is IP:PORT.
	Address string
	Zone    domain.Zone
	// Slots is the number of requests that the server runs at once.
	Slots int
	State State
	// WarmUpRemaining is how much longer the server warms up after its start. It is slow
	// until then.
	WarmUpRemaining time.Duration
	EngineState     EngineState
}

// Change is a change of one server's registration.
type Change struct {
	ID domain.ServerID
	// Offset is the position of the change in the log. It orders the changes of one
	// server.
	Offset domain.Offset
	// Server is the new registration; nil if the registration was removed or is invalid.
	Server *Server
}
