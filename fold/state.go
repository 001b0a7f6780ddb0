package fold

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// MaximumNodes is how many nodes' sequences a State remembers. The node that
// proposed least recently is forgotten first. A forgotten node cannot propose
// again, and no old batch of it is taken for new: see Batch.Started.
const MaximumNodes = 4096

// State is the agreed state after a prefix of the decision stream. The zero State
// is the one before every record. It is not safe for concurrent use.
type State struct {
	// offset is the last batch that was applied.
	offset domain.Offset
	// configuration is the last operator record that was imported; it never goes
	// down.
	configuration domain.Offset
	objects       objects
	results       []ConfigurationResult
	servers       map[domain.ServerID]*server
	// permits are in the order in which they were attached.
	permits map[domain.ModelName][]*permit
	// attached counts permits ever attached, which orders them.
	attached uint64
	commands commands
	nodes    map[domain.NodeID]*node
	// forgotten is the newest offset of a node that was forgotten.
	forgotten domain.Offset
	// rejected counts records and operator changes that had no effect.
	rejected [NodeForgotten + 1]uint64
}

// node is what a State remembers of a proposer.
type node struct {
	// last is the highest sequence applied.
	last domain.Sequence
	// seen is the offset of its last batch.
	seen domain.Offset
}

// Offset returns the offset of the last batch that was applied.
func (s *State) Offset() domain.Offset { return s.offset }

// ConfigurationOffset returns the offset of the last operator record in force.
func (s *State) ConfigurationOffset() domain.Offset { return s.configuration }

// Rejected counts the records and operator changes that had no effect for a
// reason.
func (s *State) Rejected(r Rejection) uint64 { return s.rejected[r] }

// Sequence returns the highest sequence applied from a node, or 0.
func (s *State) Sequence(n domain.NodeID) domain.Sequence {
	if k := s.nodes[n]; k != nil {
		return k.last
	}
	return 0
}

// Apply folds the batch at offset o and returns what became of each record. A
// batch at or below Offset changes nothing.
func (s *State) Apply(o domain.Offset, b Batch) []RecordResult {
	outcomes := make([]RecordResult, len(b.Records))
	if o <= s.offset {
		return rejectAll(outcomes, o, Duplicate)
	}
	s.offset = o
	n, rejection := s.proposer(o, b)
	if rejection != Accepted {
		s.rejected[rejection] += uint64(len(outcomes))
		return rejectAll(outcomes, o, rejection)
	}
	for i, r := range b.Records {
		outcomes[i] = RecordResult{Offset: o, Rejection: s.once(o, b, n, i, r)}
		if outcomes[i].Rejection != Accepted {
			s.rejected[outcomes[i].Rejection]++
		}
	}
	return outcomes
}

// Skip moves past an offset whose record could not be decoded, which every node
// does alike.
func (s *State) Skip(o domain.Offset) {
	if o <= s.offset {
		return
	}
	s.offset = o
	s.rejected[Malformed]++
}

func rejectAll(outcomes []RecordResult, o domain.Offset, r Rejection) []RecordResult {
	for i := range outcomes {
		outcomes[i] = RecordResult{Offset: o, Rejection: r}
	}
	return outcomes
}

// proposer finds or remembers the node of a batch.
func (s *State) proposer(o domain.Offset, b Batch) (*node, Rejection) {
	if b.Node == "" || b.First == 0 || b.Started >= o {
		return nil, Malformed
	}
	n := s.nodes[b.Node]
	if n == nil {
		if b.Started < s.forgotten {
			return nil, NodeForgotten
		}
		s.forgetOldest()
		n = &node{}
		if s.nodes == nil {
			s.nodes = make(map[domain.NodeID]*node)
		}
		s.nodes[b.Node] = n
	}
	n.seen = o
	return n, Accepted
}

// forgetOldest makes room for one more node.
func (s *State) forgetOldest() {
	if len(s.nodes) < MaximumNodes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.nodes)), func(a, b domain.NodeID) int {
		return cmp.Compare(s.nodes[a].seen, s.nodes[b].seen)
	})
	s.forgotten = max(s.forgotten, s.nodes[oldest].seen)
	delete(s.nodes, oldest)
}

// once applies the record at index i unless its sequence was applied before.
func (s *State) once(o domain.Offset, b Batch, n *node, i int, r Record) Rejection {
	sequence := b.First + domain.Sequence(i)
	if sequence <= n.last {
		return Duplicate
	}
	n.last = sequence
	switch r := r.(type) {
	case ConfigurationImported:
		return s.importConfiguration(r)
	case LeaseTaken:
		return s.takeLease(o, r)
	case DoubtCleared:
		return s.clearDoubt(b.Node, r)
	case PermitAttached:
		return s.attach(o, b.Node, r)
	case PermitReleased:
		return s.release(b.Node, r)
	case ServerGone:
		return s.serverGone(r)
	case CommandClaimed:
		return s.commands.claim(o, b.Node, r)
	case CommandFinished:
		return s.commands.finish(b.Node, r)
	case CommandAbandoned:
		return s.commands.abandon(b.Node, r)
	case SnapshotChunk:
		return Accepted
	}
	return Malformed
}

// sorted returns the values of m in the order of their keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// object is a configured thing with the configuration offset that set it.
type object[T any] struct {
	version domain.Offset
	value   T
}

// adapterKey names an adapter; names are unique within a model only.
type adapterKey struct {
	model domain.ModelName
	name  domain.AdapterName
}

// objects is the configuration in force.
type objects struct {
	models     map[domain.ModelName]object[configuration.Model]
	adapters   map[adapterKey]object[configuration.Adapter]
	services   map[domain.ServiceName]object[configuration.Service]
	teams      map[domain.TeamName]object[configuration.Team]
	deployment object[configuration.Deployment]
	drains     map[configuration.Drain]domain.Offset
	quarantine map[[32]byte]domain.Offset
	// adapterMemory is the sum over the adapters of a model.
	adapterMemory map[domain.ModelName]domain.Bytes
}
