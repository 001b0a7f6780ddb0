package fold

import (
	"strings"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumResults is the number of latest operator records whose results the State keeps.
	MaximumResults = 1024
	// MaximumImport is the largest number of configuration offsets that one
	// ConfigurationImported may cover. Without the limit, a faulty import could skip all
	// future operator records.
	MaximumImport = 1 << 20
	// MaximumMemory is the largest memory of a model, adapter or server.
	MaximumMemory = configuration.MaximumBytes
	// maximumMemorySum limits the memory reserved on a server and the memory of all
	// adapters of a model, so that the sums cannot overflow.
	maximumMemorySum = 1 << 10 * MaximumMemory
)

// ConfigurationResult is the result of one operator record.
type ConfigurationResult struct {
	// Offset is the position of the record in the configuration stream.
	Offset domain.Offset
	// Rejection is Accepted if the record took effect.
	Rejection Rejection
}

// ConfigurationResult returns the result of the operator record at an offset. It returns
// false if the record has not been imported yet or is not among the latest MaximumResults.
func (s *State) ConfigurationResult(o domain.Offset) (Rejection, bool) {
	for _, r := range s.latestResults() {
		if r.Offset == o {
			return r.Rejection, true
		}
	}
	return Accepted, false
}

// latestResults returns the latest MaximumResults results, oldest first.
func (s *State) latestResults() []ConfigurationResult {
	return s.results[max(0, len(s.results)-MaximumResults):]
}

// importConfiguration applies the operator records of an import and stores a result for
// each. A rejected one does not stop the others.
func (s *State) importConfiguration(r ConfigurationImported) Rejection {
	if !isValidImport(r) {
		return Malformed
	}
	if r.After != s.configurationOffset {
		return LostRace
	}
	next := r.After + 1
	for _, c := range r.Changes {
		s.recordUndecodable(next, c.Offset)
		s.recordResult(c.Offset, s.applyOperatorRecord(c.Offset, c.Record))
		next = c.Offset + 1
	}
	s.recordUndecodable(next, r.Through+1)
	s.configurationOffset = r.Through
	return Accepted
}

// isValidImport reports whether the changes are in ascending order within
// (After, Through], and whether this range holds 1 to MaximumImport offsets.
func isValidImport(r ConfigurationImported) bool {
	last := r.After
	for _, c := range r.Changes {
		if c.Offset <= last {
			return false
		}
		last = c.Offset
	}
	return r.Through > r.After && last <= r.Through && r.Through-r.After <= MaximumImport
}

// recordUndecodable stores the result Malformed for each configuration offset in
// [from, end). The import has no changes for these offsets, because their records could
// not be decoded.
func (s *State) recordUndecodable(from, end domain.Offset) {
	s.rejected[Malformed] += uint64(end - from)
	if end-from > MaximumResults {
		from = end - MaximumResults
	}
	for o := from; o < end; o++ {
		s.storeResult(ConfigurationResult{Offset: o, Rejection: Malformed})
	}
}

// recordResult stores the result of an operator record and counts a rejection.
func (s *State) recordResult(o domain.Offset, r Rejection) {
	if r != Accepted {
		s.rejected[r]++
	}
	s.storeResult(ConfigurationResult{Offset: o, Rejection: r})
}

// storeResult appends a result. It discards results beyond the latest MaximumResults once
// there are twice as many.
func (s *State) storeResult(r ConfigurationResult) {
	s.results = append(s.results, r)
	if len(s.results) > 2*MaximumResults {
		s.results = append(s.results[:0], s.latestResults()...)
	}
}

// applyOperatorRecord applies the operator record at configuration offset o.
func (s *State) applyOperatorRecord(o domain.Offset, r configuration.Record) Rejection {
	if rejection := validateOperatorRecord(r); rejection != Accepted {
		return rejection
	}
	if r.Expect != nil && *r.Expect != s.versionOf(r) {
		return LostRace
	}
	switch {
	case r.Model != nil:
		s.setModel(o, *r.Model)
	case r.Adapter != nil:
		return s.setAdapter(o, *r.Adapter)
	case r.Service != nil:
		put(&s.objects.services, r.Service.Name, object[configuration.Service]{o, *r.Service})
	case r.Team != nil:
		put(&s.objects.teams, r.Team.Name, object[configuration.Team]{o, *r.Team})
	case r.Deployment != nil:
		s.objects.deployment = object[configuration.Deployment]{o, *r.Deployment}
	case r.Drain != nil:
		s.setDrain(o, *r.Drain)
	case r.Quarantine != nil:
		s.setQuarantine(o, *r.Quarantine)
	case r.Remove != nil:
		return s.remove(*r.Remove)
	}
	return Accepted
}

// put sets a key of a map that may be nil.
func put[K comparable, V any](m *map[K]V, k K, v V) {
	if *m == nil {
		*m = make(map[K]V)
	}
	(*m)[k] = v
}

// validateOperatorRecord rejects records that are invalid in every state.
func validateOperatorRecord(r configuration.Record) Rejection {
	objectCount := 0
	for _, present := range []bool{r.Model != nil, r.Adapter != nil, r.Service != nil, r.Team != nil,
		r.Deployment != nil, r.Drain != nil, r.Quarantine != nil, r.Remove != nil} {
		if present {
			objectCount++
		}
	}
	if objectCount != 1 {
		return Malformed
	}
	valid := true
	switch {
	case r.Model != nil:
		valid = r.Model.Name != "" && r.Model.Copies >= 0 && validMemory(r.Model.Memory)
	case r.Adapter != nil:
		valid = r.Adapter.Name != "" && r.Adapter.Model != "" && validMemory(r.Adapter.Memory)
	case r.Service != nil:
		valid = r.Service.Name != ""
	case r.Team != nil:
		valid = r.Team.Name != ""
	case r.Drain != nil:
		valid = validDrain(*r.Drain)
	}
	if !valid {
		return Malformed
	}
	return Accepted
}

func validMemory(b domain.Bytes) bool { return b >= 0 && b <= MaximumMemory }

// validDrain reports whether exactly one of server, node and zone is given.
func validDrain(d configuration.Drain) bool {
	count := 0
	for _, present := range []bool{d.Server != "", d.Node != "", d.Zone != ""} {
		if present {
			count++
		}
	}
	return count == 1
}

func (s *State) setModel(o domain.Offset, m configuration.Model) {
	put(&s.objects.models, m.Name, object[configuration.Model]{o, m})
	for _, p := range s.permits[m.Name] {
		p.grow(max(0, m.Memory-p.memory), 0)
	}
	s.updateSurplus(m.Name)
}

func (s *State) setAdapter(o domain.Offset, a configuration.Adapter) Rejection {
	key := adapterKey{a.Model, a.Name}
	previousMemory := s.objects.adapters[key].value.Memory
	sum := s.objects.adapterMemory[a.Model] - previousMemory + a.Memory
	if sum > maximumMemorySum {
		return OverMemory
	}
	put(&s.objects.adapters, key, object[configuration.Adapter]{o, a})
	put(&s.objects.adapterMemory, a.Model, sum)
	for _, p := range s.permits[a.Model] {
		p.grow(0, max(0, a.Memory-previousMemory))
	}
	s.updateSurplus(a.Model)
	return Accepted
}

func (s *State) removeAdapter(key adapterKey) {
	s.objects.adapterMemory[key.model] -= s.objects.adapters[key].value.Memory
	if s.objects.adapterMemory[key.model] == 0 {
		delete(s.objects.adapterMemory, key.model)
	}
	delete(s.objects.adapters, key)
}

// parseAdapterName splits MODEL:ADAPTER.
func parseAdapterName(name string) adapterKey {
	model, adapter, _ := strings.Cut(name, ":")
	return adapterKey{domain.ModelName(model), domain.AdapterName(adapter)}
}

func (s *State) setDrain(o domain.Offset, d configuration.Drain) {
	key := configuration.Drain{Server: d.Server, Node: d.Node, Zone: d.Zone}
	if d.Off {
		delete(s.objects.drains, key)
		return
	}
	put(&s.objects.drains, key, o)
}

func (s *State) setQuarantine(o domain.Offset, q configuration.Quarantine) {
	if q.Release {
		delete(s.objects.quarantine, q.Content)
		return
	}
	put(&s.objects.quarantine, q.Content, o)
}

func (s *State) remove(r configuration.Remove) Rejection {
	if s.Version(r.Kind, r.Name) == 0 {
		return UnknownObject
	}
	switch r.Kind {
	case configuration.KindModel:
		delete(s.objects.models, domain.ModelName(r.Name))
		s.updateSurplus(domain.ModelName(r.Name))
	case configuration.KindAdapter:
		s.removeAdapter(parseAdapterName(r.Name))
	case configuration.KindService:
		delete(s.objects.services, domain.ServiceName(r.Name))
	case configuration.KindTeam:
		delete(s.objects.teams, domain.TeamName(r.Name))
	}
	return Accepted
}

// versionOf returns the version of the object that a record sets or removes.
func (s *State) versionOf(r configuration.Record) domain.Offset {
	switch {
	case r.Model != nil:
		return s.Version(configuration.KindModel, string(r.Model.Name))
	case r.Adapter != nil:
		return s.objects.adapters[adapterKey{r.Adapter.Model, r.Adapter.Name}].version
	case r.Service != nil:
		return s.Version(configuration.KindService, string(r.Service.Name))
	case r.Team != nil:
		return s.Version(configuration.KindTeam, string(r.Team.Name))
	case r.Deployment != nil:
		return s.objects.deployment.version
	case r.Drain != nil:
		return s.objects.drains[configuration.Drain{Server: r.Drain.Server, Node: r.Drain.Node, Zone: r.Drain.Zone}]
	case r.Quarantine != nil:
		return s.objects.quarantine[r.Quarantine.Content]
	}
	return s.Version(r.Remove.Kind, r.Remove.Name)
}

// Version returns the configuration offset that set a named object, or 0 if there is no
// such object. An adapter is named MODEL:ADAPTER.
func (s *State) Version(k configuration.Kind, name string) domain.Offset {
	switch k {
	case configuration.KindModel:
		return s.objects.models[domain.ModelName(name)].version
	case configuration.KindAdapter:
		return s.objects.adapters[parseAdapterName(name)].version
	case configuration.KindService:
		return s.objects.services[domain.ServiceName(name)].version
	case configuration.KindTeam:
		return s.objects.teams[domain.TeamName(name)].version
	}
	return 0
}
