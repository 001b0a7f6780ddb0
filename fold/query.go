package fold

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// values returns the objects of a map, sorted by name.
func values[K cmp.Ordered, V any](m map[K]object[V]) []V {
	all := make([]V, 0, len(m))
	for _, o := range sorted(m) {
		all = append(all, o.value)
	}
	return all
}

// Model returns the model with a name.
func (s *State) Model(n domain.ModelName) (configuration.Model, bool) {
	o, ok := s.objects.models[n]
	return o.value, ok
}

// Models returns all models, sorted by name.
func (s *State) Models() []configuration.Model { return values(s.objects.models) }

// Adapter returns the adapter n of model m.
func (s *State) Adapter(m domain.ModelName, n domain.AdapterName) (configuration.Adapter, bool) {
	o, ok := s.objects.adapters[adapterKey{m, n}]
	return o.value, ok
}

// Adapters returns all adapters, sorted by model and name.
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

// Service returns the service with a name.
func (s *State) Service(n domain.ServiceName) (configuration.Service, bool) {
	o, ok := s.objects.services[n]
	return o.value, ok
}

// Services returns all services, sorted by name.
func (s *State) Services() []configuration.Service { return values(s.objects.services) }

// Team returns the team with a name.
func (s *State) Team(n domain.TeamName) (configuration.Team, bool) {
	o, ok := s.objects.teams[n]
	return o.value, ok
}

// Teams returns all teams, sorted by name.
func (s *State) Teams() []configuration.Team { return values(s.objects.teams) }

// Deployment returns the settings of the whole installation.
func (s *State) Deployment() configuration.Deployment { return s.objects.deployment.value }

// Drains returns the drained servers, nodes and zones in a fixed order.
func (s *State) Drains() []configuration.Drain {
	return slices.SortedFunc(maps.Keys(s.objects.drains), compareDrains)
}

func compareDrains(a, b configuration.Drain) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Zone, b.Zone))
}

// IsServerDrained reports whether operators drained a server or its zone.
func (s *State) IsServerDrained(n domain.ServerID, z domain.Zone) bool {
	_, serverDrained := s.objects.drains[configuration.Drain{Server: n}]
	_, zoneDrained := s.objects.drains[configuration.Drain{Zone: z}]
	return serverDrained || zoneDrained
}

// IsNodeDrained reports whether operators drained a node or its zone.
func (s *State) IsNodeDrained(n domain.NodeID, z domain.Zone) bool {
	_, nodeDrained := s.objects.drains[configuration.Drain{Node: n}]
	_, zoneDrained := s.objects.drains[configuration.Drain{Zone: z}]
	return nodeDrained || zoneDrained
}

// IsQuarantined reports whether operators block requests whose content has the given hash.
func (s *State) IsQuarantined(contentHash [32]byte) bool {
	_, ok := s.objects.quarantine[contentHash]
	return ok
}

// QuarantinedContents returns the hashes of all blocked contents, sorted.
func (s *State) QuarantinedContents() [][32]byte {
	return slices.SortedFunc(maps.Keys(s.objects.quarantine), compareHashes)
}

func compareHashes(a, b [32]byte) int { return bytes.Compare(a[:], b[:]) }
