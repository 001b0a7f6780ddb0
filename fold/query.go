package fold

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// values returns the objects of a map in the order of their names.
func values[K cmp.Ordered, V any](m map[K]object[V]) []V {
	all := make([]V, 0, len(m))
	for _, o := range sorted(m) {
		all = append(all, o.value)
	}
	return all
}

// Model returns the model of a name.
func (s *State) Model(n domain.ModelName) (configuration.Model, bool) {
	o, ok := s.objects.models[n]
	return o.value, ok
}

// Models returns all models by name.
func (s *State) Models() []configuration.Model { return values(s.objects.models) }

// Adapter returns the adapter of a name of model m.
func (s *State) Adapter(m domain.ModelName, n domain.AdapterName) (configuration.Adapter, bool) {
	o, ok := s.objects.adapters[adapterKey{m, n}]
	return o.value, ok
}

// Adapters returns all adapters by model and name.
func (s *State) Adapters() []configuration.Adapter {
	all := make([]configuration.Adapter, 0, len(s.objects.adapters))
	for _, k := range s.objects.adapterKeys() {
		all = append(all, s.objects.adapters[k].value)
	}
	return all
}

func (j *objects) adapterKeys() []adapterKey {
	return slices.SortedFunc(maps.Keys(j.adapters), func(a, b adapterKey) int {
		return cmp.Or(cmp.Compare(a.model, b.model), cmp.Compare(a.name, b.name))
	})
}

// Service returns the service of a name.
func (s *State) Service(n domain.ServiceName) (configuration.Service, bool) {
	o, ok := s.objects.services[n]
	return o.value, ok
}

// Services returns all services by name.
func (s *State) Services() []configuration.Service { return values(s.objects.services) }

// Team returns the team of a name.
func (s *State) Team(n domain.TeamName) (configuration.Team, bool) {
	o, ok := s.objects.teams[n]
	return o.value, ok
}

// Teams returns all teams by name.
func (s *State) Teams() []configuration.Team { return values(s.objects.teams) }

// Deployment returns what holds for the whole installation.
func (s *State) Deployment() configuration.Deployment { return s.objects.deployment.value }

// Drains returns what is out of use, in a fixed order.
func (s *State) Drains() []configuration.Drain {
	return slices.SortedFunc(maps.Keys(s.objects.drains), compareDrains)
}

func compareDrains(a, b configuration.Drain) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Zone, b.Zone))
}

// ServerDrained tells whether operators took a server or its zone out of use.
func (s *State) ServerDrained(n domain.ServerID, z domain.Zone) bool {
	_, server := s.objects.drains[configuration.Drain{Server: n}]
	_, zone := s.objects.drains[configuration.Drain{Zone: z}]
	return server || zone
}

// NodeDrained tells whether operators took a node or its zone out of use.
func (s *State) NodeDrained(n domain.NodeID, z domain.Zone) bool {
	_, node := s.objects.drains[configuration.Drain{Node: n}]
	_, zone := s.objects.drains[configuration.Drain{Zone: z}]
	return node || zone
}

// Quarantined tells whether operators block a request content.
func (s *State) Quarantined(content [32]byte) bool {
	_, ok := s.objects.quarantine[content]
	return ok
}

// QuarantinedContents returns all blocked contents, in order.
func (s *State) QuarantinedContents() [][32]byte {
	return slices.SortedFunc(maps.Keys(s.objects.quarantine), compareHashes)
}

func compareHashes(a, b [32]byte) int { return bytes.Compare(a[:], b[:]) }
