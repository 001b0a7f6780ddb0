package fold

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// MaximumProposers is the number of nodes whose sequences a State keeps. The node that
// proposed least recently is evicted first. Batches of an evicted node are rejected, so
// that none is applied twice: see Batch.Started.
const MaximumProposers = 4096

// State is the replicated state after a prefix of the decision stream. The zero State is
// the state before the first record. It is not safe for concurrent use.
type State struct {
	// offset is the decision offset of the last batch that was applied or skipped.
	offset domain.Offset
	// configurationOffset is the configuration offset of the last operator record that was
	// imported. It never decreases.
	configurationOffset domain.Offset
	objects             objects
	results             []ConfigurationResult
	servers             map[domain.ServerID]*server
	// permits are the attached permits of each model, earliest first.
	permits map[domain.ModelName][]*permit
	// attachCount is the attachNumber of the most recently attached permit.
	attachCount uint64
	commands    commands
	proposers   map[domain.NodeID]*proposer
	// newestEvicted is the highest decision offset of a batch from an evicted node, or 0.
	newestEvicted domain.Offset
	// rejected counts the records and operator records that had no effect, by reason.
	rejected [NodeForgotten + 1]uint64
}

// proposer is the deduplication state of a node that proposes records.
type proposer struct {
	// lastSequence is the highest sequence applied from the node.
	lastSequence domain.Sequence
	// lastBatchAt is the decision offset of the node's last batch.
	lastBatchAt domain.Offset
}

// Offset returns the decision offset of the last batch that was applied or skipped.
func (s *State) Offset() domain.Offset { return s.offset }

// ConfigurationOffset returns the configuration offset of the last operator record that
// was imported.
func (s *State) ConfigurationOffset() domain.Offset { return s.configurationOffset }

// Rejected returns how many records and operator records had no effect for the reason r.
func (s *State) Rejected(r Rejection) uint64 { return s.rejected[r] }

// Sequence returns the highest sequence applied from a node, or 0 if the State does not
// have the node.
func (s *State) Sequence(n domain.NodeID) domain.Sequence {
	if k := s.proposers[n]; k != nil {
		return k.lastSequence
	}
	return 0
}

// Apply applies the batch at decision offset o and returns the result of each record. A
// batch at or below Offset changes nothing, and its records get the result Duplicate.
func (s *State) Apply(o domain.Offset, b Batch) []RecordResult {
	results := make([]RecordResult, len(b.Records))
	if o <= s.offset {
		return rejectAll(results, o, Duplicate)
	}
	s.offset = o
	n, rejection := s.registerProposer(o, b)
	if rejection != Accepted {
		s.rejected[rejection] += uint64(len(results))
		return rejectAll(results, o, rejection)
	}
	for i, r := range b.Records {
		results[i] = RecordResult{Offset: o, Rejection: s.applyOnce(o, b, n, i, r)}
		if results[i].Rejection != Accepted {
			s.rejected[results[i].Rejection]++
		}
	}
	return results
}

// Skip advances past the decision offset o, whose batch could not be decoded. Every node
// skips the same offsets.
func (s *State) Skip(o domain.Offset) {
	if o <= s.offset {
		return
	}
	s.offset = o
	s.rejected[Malformed]++
}

func rejectAll(results []RecordResult, o domain.Offset, r Rejection) []RecordResult {
	for i := range results {
		results[i] = RecordResult{Offset: o, Rejection: r}
	}
	return results
}

// registerProposer returns the proposer of a batch, which it adds if it is new, and sets
// its lastBatchAt.
func (s *State) registerProposer(o domain.Offset, b Batch) (*proposer, Rejection) {
	if b.Node == "" || b.First == 0 || b.StartOffset >= o {
		return nil, Malformed
	}
	n := s.proposers[b.Node]
	if n == nil {
		if b.StartOffset < s.newestEvicted {
			return nil, NodeForgotten
		}
		s.evictOldestProposer()
		n = &proposer{}
		if s.proposers == nil {
			s.proposers = make(map[domain.NodeID]*proposer)
		}
		s.proposers[b.Node] = n
	}
	n.lastBatchAt = o
	return n, Accepted
}

// evictOldestProposer evicts the node that proposed least recently if the State has
// MaximumProposers nodes.
func (s *State) evictOldestProposer() {
	if len(s.proposers) < MaximumProposers {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(s.proposers)), func(a, b domain.NodeID) int {
		return cmp.Compare(s.proposers[a].lastBatchAt, s.proposers[b].lastBatchAt)
	})
	s.newestEvicted = max(s.newestEvicted, s.proposers[oldest].lastBatchAt)
	delete(s.proposers, oldest)
}

// applyOnce applies r, which is record i of batch b at decision offset o, unless its
// sequence was applied before. n is the proposer of b.
func (s *State) applyOnce(o domain.Offset, b Batch, n *proposer, i int, r Record) Rejection {
	sequence := b.First + domain.Sequence(i)
	if sequence <= n.lastSequence {
		return Duplicate
	}
	n.lastSequence = sequence
	switch r := r.(type) {
	case ConfigurationImported:
		return s.importConfiguration(r)
	case LeaseTaken:
		return s.acquireLease(o, r)
	case DoubtCleared:
		return s.clearDoubt(b.Node, r)
	case PermitAttached:
		return s.attach(o, b.Node, r)
	case PermitReleased:
		return s.release(b.Node, r)
	case ServerGone:
		return s.removeServer(r)
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

// sorted returns the values of m, sorted by key.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

// object is a configured object with the configuration offset that set it.
type object[T any] struct {
	version domain.Offset
	value   T
}

// adapterKey identifies an adapter. Adapter names are unique only within a model.
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
	// drains and quarantine have the version of each drain and of each blocked content
	// hash.
	drains     map[configuration.Drain]domain.Offset
	quarantine map[[32]byte]domain.Offset
	// adapterMemory is the total memory of all adapters of each model.
	adapterMemory map[domain.ModelName]domain.Bytes
}
