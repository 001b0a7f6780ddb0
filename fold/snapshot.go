package fold

import (
	"cmp"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// Snapshot is a State as plain data. Equal States have equal Snapshots: every slice has a
// fixed order.
type Snapshot struct {
	// Offset and Configuration are the decision offset and the configuration offset that
	// the State covers.
	Offset        domain.Offset
	Configuration domain.Offset
	// Objects are the configuration in force, each object with its version.
	Objects []Change
	// Results are those of the latest operator records, oldest first.
	Results []ConfigurationResult
	Servers []ServerSnapshot
	// Permits are all attached permits, earliest first.
	Permits []PermitSnapshot
	// Commands are sorted by number.
	Commands []Command
	// AcceptedClaims counts the claims accepted so far, including abandoned and evicted
	// ones.
	AcceptedClaims uint64
	// Nodes are sorted by name.
	Nodes []NodeSnapshot
	// NewestEvicted is the highest decision offset of a batch from an evicted node, or 0.
	NewestEvicted domain.Offset
}

// ServerSnapshot is a lease, or the last lease of a server that is gone.
type ServerSnapshot struct {
	Lease Lease
	// GoneAt is the decision offset of ServerGone, or 0 if the server is not gone.
	GoneAt domain.Offset
}

// PermitSnapshot is an attached permit.
type PermitSnapshot struct {
	Model      domain.ModelName
	Server     domain.ServerID
	AttachedAt domain.Offset
	// Memory and AdapterMemory add up to the size of the permit.
	Memory, AdapterMemory domain.Bytes
	// Outgrown is true if the permit no longer fitted its server at some time.
	Outgrown bool
}

// NodeSnapshot is the deduplication state of a proposing node.
type NodeSnapshot struct {
	Node domain.NodeID
	// LastSequence is the highest sequence applied from the node.
	LastSequence domain.Sequence
	// LastBatchAt is the decision offset of the node's last batch.
	LastBatchAt domain.Offset
}

// Snapshot returns the state as plain data. The configured objects in it share their
// slices with the State, which never changes them.
func (s *State) Snapshot() Snapshot {
	n := Snapshot{Offset: s.offset, Configuration: s.configurationOffset, Objects: s.objects.toChanges(),
		Results: slices.Clone(s.latestResults()), AcceptedClaims: s.commands.acceptedClaims, NewestEvicted: s.newestEvicted}
	for _, v := range sorted(s.servers) {
		n.Servers = append(n.Servers, ServerSnapshot{Lease: v.lease(), GoneAt: v.goneAt})
	}
	for _, p := range s.allPermits() {
		n.Permits = append(n.Permits, PermitSnapshot{Model: p.model, Server: p.server.Server,
			AttachedAt: p.attachedAt, Memory: p.memory, AdapterMemory: p.adapterMemory, Outgrown: p.outgrown})
	}
	for _, c := range s.commands.byKey {
		n.Commands = append(n.Commands, *c)
	}
	slices.SortFunc(n.Commands, func(a, b Command) int { return cmp.Compare(a.Number, b.Number) })
	for _, k := range slices.Sorted(maps.Keys(s.proposers)) {
		n.Nodes = append(n.Nodes, NodeSnapshot{Node: k, LastSequence: s.proposers[k].lastSequence, LastBatchAt: s.proposers[k].lastBatchAt})
	}
	return n
}

// allPermits returns every permit, earliest first.
func (s *State) allPermits() []*permit {
	var all []*permit
	for _, permits := range s.permits {
		all = append(all, permits...)
	}
	slices.SortFunc(all, func(a, b *permit) int { return cmp.Compare(a.attachNumber, b.attachNumber) })
	return all
}

// toChanges returns the objects as operator records, sorted by kind and name.
func (j *objects) toChanges() []Change {
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

// Restore returns the State of a Snapshot, with all counts of rejected records at 0. It
// returns an error if an object, permit or command of the Snapshot is not valid.
func Restore(n Snapshot) (*State, error) {
	s := &State{offset: n.Offset, configurationOffset: n.Configuration, results: slices.Clone(n.Results), newestEvicted: n.NewestEvicted}
	for _, c := range n.Objects {
		if rejection := s.applyOperatorRecord(c.Offset, c.Record); rejection != Accepted {
			return nil, errors.Errorf("snapshot: object at offset %d: %s", c.Offset, rejection)
		}
	}
	for _, v := range n.Servers {
		put(&s.servers, v.Lease.Server, &server{Lease: v.Lease, goneAt: v.GoneAt})
		s.servers[v.Lease.Server].Doubts = slices.Clone(v.Lease.Doubts)
	}
	for _, p := range n.Permits {
		if err := s.restorePermit(p); err != nil {
			return nil, err
		}
	}
	for n := range s.permits {
		s.updateSurplus(n)
	}
	for _, k := range n.Nodes {
		put(&s.proposers, k.Node, &proposer{lastSequence: k.LastSequence, lastBatchAt: k.LastBatchAt})
	}
	return s, s.commands.restore(n)
}

// restorePermit inserts a permit. Snapshots have the earliest permit first.
func (s *State) restorePermit(p PermitSnapshot) error {
	v := s.servers[p.Server]
	if v == nil || v.goneAt != 0 {
		return errors.Errorf("permit of %s at unknown server %s", p.Model, p.Server)
	}
	s.attachCount++
	s.insert(&permit{model: p.Model, server: v, attachedAt: p.AttachedAt, attachNumber: s.attachCount,
		memory: p.Memory, adapterMemory: p.AdapterMemory, outgrown: p.Outgrown})
	return nil
}

func (c *commands) restore(n Snapshot) error {
	last := uint64(0)
	for _, m := range n.Commands {
		if m.Number <= last || m.Number > n.AcceptedClaims || m.Number+MaximumCommands <= n.AcceptedClaims || c.byKey[m.Key] != nil {
			return errors.Errorf("snapshot: command number %d of %d is repeated, out of order or outside the window", m.Number, n.AcceptedClaims)
		}
		last = m.Number
		c.add(&m)
	}
	c.acceptedClaims = n.AcceptedClaims
	return nil
}
