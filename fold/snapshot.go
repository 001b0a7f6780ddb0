package fold

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// Snapshot is a State as plain data. Two equal states have equal snapshots: every
// slice has a fixed order.
type Snapshot struct {
	Offset        domain.Offset
	Configuration domain.Offset
	// Objects are the configuration in force, each with its version.
	Objects []Change
	Results []ConfigurationResult
	Servers []ServerSnapshot
	// Permits are in the order in which they were attached.
	Permits []PermitSnapshot
	// Commands are in the order of their numbers.
	Commands []Command
	Claims   uint64
	// Nodes are in the order of their names.
	Nodes     []NodeSnapshot
	Forgotten domain.Offset
}

// ServerSnapshot is a lease, or what is remembered of a server that is gone.
type ServerSnapshot struct {
	Lease Lease
	// Gone is the offset of ServerGone, or 0.
	Gone domain.Offset
}

// PermitSnapshot is an attached permit.
type PermitSnapshot struct {
	Model      domain.ModelName
	Server     domain.ServerID
	AttachedAt domain.Offset
	// Memory and Adapters add up to the permit's size.
	Memory, Adapters domain.Bytes
	Outgrown         bool
}

// NodeSnapshot is what a State remembers of a proposer.
type NodeSnapshot struct {
	Node domain.NodeID
	Last domain.Sequence
	Seen domain.Offset
}

// Snapshot returns the state as plain data. It shares the objects' slices, which
// nobody changes.
func (s *State) Snapshot() Snapshot {
	n := Snapshot{Offset: s.offset, Configuration: s.configuration, Objects: s.objects.changes(),
		Results: slices.Clone(s.latestResults()), Claims: s.commands.claims, Forgotten: s.forgotten}
	for _, v := range sorted(s.servers) {
		n.Servers = append(n.Servers, ServerSnapshot{Lease: v.lease(), Gone: v.gone})
	}
	for _, p := range s.allPermits() {
		n.Permits = append(n.Permits, PermitSnapshot{Model: p.model, Server: p.server.Server,
			AttachedAt: p.attachedAt, Memory: p.memory, Adapters: p.adapters, Outgrown: p.outgrown})
	}
	for _, c := range s.commands.byKey {
		n.Commands = append(n.Commands, *c)
	}
	slices.SortFunc(n.Commands, func(a, b Command) int { return cmp.Compare(a.Number, b.Number) })
	for _, k := range slices.Sorted(maps.Keys(s.nodes)) {
		n.Nodes = append(n.Nodes, NodeSnapshot{Node: k, Last: s.nodes[k].last, Seen: s.nodes[k].seen})
	}
	return n
}

// allPermits returns every permit, earliest first.
func (s *State) allPermits() []*permit {
	var all []*permit
	for _, permits := range s.permits {
		all = append(all, permits...)
	}
	slices.SortFunc(all, func(a, b *permit) int { return cmp.Compare(a.number, b.number) })
	return all
}

// changes returns the objects as operator records, by kind and name.
func (j *objects) changes() []Change {
	var all []Change
	for _, o := range sorted(j.models) {
		all = append(all, Change{o.version, configuration.Record{Model: &o.value}})
	}
	for _, k := range j.adapterKeys() {
		o := j.adapters[k]
		all = append(all, Change{o.version, configuration.Record{Adapter: &o.value}})
	}
	for _, o := range sorted(j.services) {
		all = append(all, Change{o.version, configuration.Record{Service: &o.value}})
	}
	for _, o := range sorted(j.teams) {
		all = append(all, Change{o.version, configuration.Record{Team: &o.value}})
	}
	if j.deployment.version != 0 {
		deployment := j.deployment.value
		all = append(all, Change{j.deployment.version, configuration.Record{Deployment: &deployment}})
	}
	for _, d := range slices.SortedFunc(maps.Keys(j.drains), compareDrains) {
		all = append(all, Change{j.drains[d], configuration.Record{Drain: &d}})
	}
	for _, content := range slices.SortedFunc(maps.Keys(j.quarantine), compareHashes) {
		all = append(all, Change{j.quarantine[content],
			configuration.Record{Quarantine: &configuration.Quarantine{Content: content}}})
	}
	return all
}

// Restore returns the state of a snapshot. Counts of rejected records start at
// zero. An error means that the snapshot was not taken from a State.
func Restore(n Snapshot) (*State, error) {
	s := &State{offset: n.Offset, configuration: n.Configuration, results: slices.Clone(n.Results), forgotten: n.Forgotten}
	for _, c := range n.Objects {
		if rejection := s.change(c.Offset, c.Record); rejection != Accepted {
			return nil, errors.Errorf("object at offset %d: %s", c.Offset, rejection)
		}
	}
	for _, v := range n.Servers {
		put(&s.servers, v.Lease.Server, &server{Lease: v.Lease, gone: v.Gone})
		s.servers[v.Lease.Server].Doubts = slices.Clone(v.Lease.Doubts)
	}
	for _, p := range n.Permits {
		if err := s.restorePermit(p); err != nil {
			return nil, err
		}
	}
	for n := range s.permits {
		s.review(n)
	}
	for _, k := range n.Nodes {
		put(&s.nodes, k.Node, &node{last: k.Last, seen: k.Seen})
	}
	return s, s.commands.restore(n)
}

func (s *State) restorePermit(p PermitSnapshot) error {
	v := s.servers[p.Server]
	if v == nil || v.gone != 0 {
		return errors.Errorf("permit of %s at unknown server %s", p.Model, p.Server)
	}
	s.attached++
	s.insert(&permit{model: p.Model, server: v, attachedAt: p.AttachedAt, number: s.attached,
		memory: p.Memory, adapters: p.Adapters, outgrown: p.Outgrown})
	return nil
}

func (c *commands) restore(n Snapshot) error {
	last := uint64(0)
	for _, m := range n.Commands {
		if m.Number <= last || m.Number > n.Claims || m.Number+MaximumCommands <= n.Claims || c.byKey[m.Key] != nil {
			return errors.Errorf("command number %d of %d", m.Number, n.Claims)
		}
		last = m.Number
		c.add(&m)
	}
	c.claims = n.Claims
	return nil
}
