package fold

import (
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// Names of the streams in the platform's log.
const (
	// ConfigurationStream carries operator records, one in each log record.
	ConfigurationStream = "configuration"
	// DecisionStream carries Batches: the records that nodes propose.
	DecisionStream = "decisions"
)

// Batch is the content of one append to the decision stream. If the response to the
// append is lost, the batch is appended again unchanged.
type Batch struct {
	// Node is the process that proposes the records.
	Node domain.NodeID
	// First is the sequence of Records[0]; the others follow without a gap. The state
	// machine ignores every sequence that it has already applied from Node.
	First domain.Sequence
	// Started is the decision offset that Node had applied before its first proposal. It
	// does not change while Node runs. It allows the state machine to evict a node and
	// still reject old batches of that node.
	Started domain.Offset
	// Records are the proposals, in order.
	Records []Record
}

// Record is one proposal. The state machine alone decides from the records before it
// whether it is valid.
type Record interface{ record() }

// ConfigurationImported copies operator records from the configuration stream into the
// decision stream, which gives the records of both streams one order.
type ConfigurationImported struct {
	// After is the configuration offset that was in force before. The record is valid
	// only if it still is.
	After domain.Offset
	// Through is the configuration offset in force afterwards.
	Through domain.Offset
	// Changes are the operator records in (After, Through], in order. Records that could
	// not be decoded are left out and get the result Malformed.
	Changes []Change
}

// Change is one operator record with its offset in the configuration stream. The offset
// becomes the version of the object that the record sets.
type Change struct {
	Offset domain.Offset
	Record configuration.Record
}

// LeaseTaken makes a node the owner of a backend server. It is a compare-and-swap: it is
// valid only if the fencing token of the server still is Expect.
type LeaseTaken struct {
	Server domain.ServerID
	Owner  domain.NodeID
	// Expect is the fencing token that the proposer saw, or 0 for a server that never had
	// one.
	Expect domain.Fence
	// Facts are the properties of the server in the platform's list.
	Facts ServerFacts
}

// ServerFacts are the properties of a backend server in the platform's list.
type ServerFacts struct {
	Memory domain.Bytes
	// ChecksFences is true only if the server refuses an order whose fencing token is
	// older than the newest one it has seen, even if that was before its last restart.
	ChecksFences bool
	Region       domain.Region
	Zone         domain.Zone
}

// DoubtCleared states that no order of an earlier owner can take effect any more.
type DoubtCleared struct {
	Server domain.ServerID
	// Fence is the fencing token of the proposer, which must be in force.
	Fence domain.Fence
	Proof DoubtProof
	// Earlier is the fencing token of the earlier owner.
	Earlier domain.Fence
}

// DoubtProof is the reason why no order of an earlier owner can take effect any more.
type DoubtProof int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=DoubtProof,Rejection -output=fold_string.go

// The proofs that clear a Doubt.
const (
	// BarrierPassed: the server checks fencing tokens and has confirmed an order with the
	// newer token. Valid only if the facts of the server say that it checks them.
	BarrierPassed DoubtProof = iota
	// OwnerAcknowledged: the earlier owner knows that it lost the lease and has no order
	// in flight. Valid only if the earlier owner proposes it; Fence is not checked.
	OwnerAcknowledged
	// ServerRestarted: a new incarnation shows that the server lost every connection and
	// order from before. The state machine rejects this proof, because the earlier owner
	// may still send another order.
	ServerRestarted
	// OwnerVMGone: the VM of the earlier owner has left the platform's list, and the time
	// has passed in which its last packets may arrive.
	OwnerVMGone
)

// PermitAttached allows the owner of a server to load one replica of a model there at any
// time, without a further record.
type PermitAttached struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Fence is the fencing token of the proposer, which must be in force.
	Fence domain.Fence
}

// PermitReleased releases a permit after the server has confirmed that the replica is
// unloaded.
type PermitReleased struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Fence is the fencing token of the proposer, which must be in force.
	Fence domain.Fence
}

// ServerGone states that a backend server has left the platform's list. Its lease and
// permits end.
type ServerGone struct {
	Server domain.ServerID
	// Fence is the fencing token that the proposer saw in force. The record is valid only
	// if it still is.
	Fence domain.Fence
}

// CommandClaimed claims an idempotency key for the proposing node. Only that node may
// then forward the command, once.
type CommandClaimed struct {
	Key CommandKey
	// Request is a hash of method, path and body; a retry must have the same.
	Request [32]byte
}

// CommandKey is the hash of team, service and idempotency key. The idempotency key itself
// is not written to the log.
type CommandKey [32]byte

// CommandFinished records the outcome of a claimed command. Valid only from the node that
// holds the claim.
type CommandFinished struct {
	Key CommandKey
	// Status is the HTTP status of the service's response.
	Status int
	// ContentType and Body are from the service's response. A Body over
	// MaximumOutcomeBody is left out and Truncated is set.
	ContentType string
	Body        []byte
	Truncated   bool
}

// MaximumOutcomeBody is the largest response body that is stored for retries of a
// command.
const MaximumOutcomeBody = 2 * domain.Kibibyte

// CommandAbandoned releases a claim. Valid only from the node that holds it. A node
// proposes it only if it sent no byte of the command.
type CommandAbandoned struct {
	Key CommandKey
}

// SnapshotChunk is a part of an encoded State. It allows a node to start after the oldest
// records have been deleted from the log.
type SnapshotChunk struct {
	// Through is the offset of the last batch that the snapshot covers.
	Through domain.Offset
	// Index counts from 0 to Count-1.
	Index, Count int
	Data         []byte
}

func (ConfigurationImported) record() {}
func (LeaseTaken) record()            {}
func (DoubtCleared) record()          {}
func (PermitAttached) record()        {}
func (PermitReleased) record()        {}
func (ServerGone) record()            {}
func (CommandClaimed) record()        {}
func (CommandFinished) record()       {}
func (CommandAbandoned) record()      {}
func (SnapshotChunk) record()         {}

// RecordResult is the result of one record.
type RecordResult struct {
	// Offset is the position of the record's batch in the decision stream.
	Offset domain.Offset
	// Rejection is Accepted if the record took effect.
	Rejection Rejection
}

// Rejection is the reason why a record had no effect.
type Rejection int

// The values of Rejection. Accepted records took effect.
const (
	Accepted Rejection = iota
	// Duplicate: the record was applied before.
	Duplicate
	// StaleFence: the proposer does not own the server under that fencing token, for
	// example because it lost the lease.
	StaleFence
	// LostRace: the state has changed from the one that the record expects.
	LostRace
	// OverCopies: the permit would exceed the number of copies that operators allow.
	OverCopies
	// OverMemory: the permit would exceed the memory of the server.
	OverMemory
	// StillInDoubt: an earlier owner may still load under the permit; its release must
	// wait for DoubtCleared.
	StillInDoubt
	// NotHeld: the proposer does not hold the permit, claim or doubt that the record
	// names.
	NotHeld
	// AlreadyClaimed: another node or an earlier request has claimed the key.
	AlreadyClaimed
	// UnknownObject: the record names an object that the State does not have.
	UnknownObject
	// Malformed: the record is invalid in every state.
	Malformed
	// AlreadyAttached: the model has a permit at the server already.
	AlreadyAttached
	// OutsideRegions: the model must not be loaded in the region of the server.
	OutsideRegions
	// ServerDrained: operators drained the server or its zone.
	ServerDrained
	// ModelPaused: operators paused the model.
	ModelPaused
	// WeakProof: the record does not prove that old orders have no effect any more.
	WeakProof
	// NodeForgotten: the State has evicted the proposing node, whose process must
	// restart.
	NodeForgotten
)
