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
	// First is the sequence of Records[0]. Each further record has the next sequence. The
	// state machine ignores every sequence that it has already applied from Node.
	First domain.Sequence
	// StartOffset is the decision offset that Node had applied before its first proposal. It
	// does not change while Node runs. It allows the state machine to evict a node and
	// still reject old batches of that node.
	StartOffset domain.Offset
	// Records are the proposals, in order.
	Records []Record
}

// Record is one proposal. The state machine decides whether it is valid, from the records
// before it alone.
type Record interface{ record() }

// ConfigurationImported copies operator records from the configuration stream into the
// decision stream, which gives the records of both streams one order.
type ConfigurationImported struct {
	// After is the last configuration offset imported before this record. The record is
	// valid only if no other import was applied since it was proposed.
	After domain.Offset
	// Through is the last configuration offset that this record imports.
	Through domain.Offset
	// Changes are the operator records in (After, Through], in order. An offset without a
	// change gets the result Malformed: its record could not be decoded.
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
	// ChecksFences is true only if the server rejects every order with a fencing token
	// older than the newest one that it has seen, and still does after a restart.
	ChecksFences bool
	Region       domain.Region
	Zone         domain.Zone
}

// DoubtCleared states that no order of an earlier owner can take effect any more.
type DoubtCleared struct {
	Server domain.ServerID
	// Fence is the fencing token of the proposer, which must be in force. It is ignored
	// if Proof is OwnerAcknowledged.
	Fence domain.Fence
	Proof DoubtProof
	// EarlierFence is the fencing token of the earlier owner.
	EarlierFence domain.Fence
}

// DoubtProof is the reason why no order of an earlier owner can take effect any more.
type DoubtProof int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=DoubtProof,Rejection -output=fold_string.go

// The values of DoubtProof. All but ServerRestarted can clear a Doubt.
const (
	// BarrierPassed: the server has confirmed an order with a newer fencing token. Valid
	// only if the facts of the server say that it checks fencing tokens.
	BarrierPassed DoubtProof = iota
	// OwnerAcknowledged: the earlier owner knows that it lost the lease and has no order
	// in flight. Valid only if the earlier owner proposes the record.
	OwnerAcknowledged
	// ServerRestarted is always rejected as WeakProof. A new incarnation shows that the
	// server lost all earlier connections and orders, but the earlier owner may still send
	// another order.
	ServerRestarted
	// OwnerVMGone: the VM of the earlier owner has left the platform's list so long ago
	// that none of its packets can still arrive.
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
	// Fence is the fencing token that was in force when the record was proposed. The
	// record is valid only if this token still is in force.
	Fence domain.Fence
}

// CommandClaimed claims an idempotency key for the proposing node. Only that node may
// then forward the command, once.
type CommandClaimed struct {
	Key CommandKey
	// Request is a hash of method, path and body. A retry must have the same hash.
	Request [32]byte
}

// CommandKey is the hash of team, service and idempotency key. The idempotency key itself
// is not written to the log.
type CommandKey [32]byte

// CommandFinished records the outcome of a claimed command. It is valid only from the node
// that holds the claim.
type CommandFinished struct {
	Key CommandKey
	// Status is the HTTP status of the service's response.
	Status int
	// ContentType and Body are from the service's response. If its body is longer than
	// MaximumOutcomeBody, Body is empty and Truncated is true.
	ContentType string
	Body        []byte
	Truncated   bool
}

// MaximumOutcomeBody is the largest response body that is stored for retries of a
// command.
const MaximumOutcomeBody = 2 * domain.Kibibyte

// CommandAbandoned releases a claim. It is valid only from the node that holds the claim,
// which proposes it only if it has sent no byte of the command.
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
	// Duplicate: the state machine has already processed the sequence of the record.
	Duplicate
	// StaleFence: the proposer does not own the server under that fencing token, for
	// example because it lost the lease.
	StaleFence
	// LostRace: the fencing token, offset or version that the record expects is not the
	// current one.
	LostRace
	// OverCopies: the permit would exceed the number of copies that operators allow.
	OverCopies
	// OverMemory: the permit would exceed the memory of the server, or the adapters of a
	// model would exceed the limit on their sum.
	OverMemory
	// StillInDoubt: an earlier owner may still load under the permit. The permit can be
	// released only after DoubtCleared.
	StillInDoubt
	// NotHeld: the proposer does not hold the permit, claim or doubt that the record
	// names.
	NotHeld
	// AlreadyClaimed: the deduplication window has a claim of the key.
	AlreadyClaimed
	// UnknownObject: the record names an object that the State does not have.
	UnknownObject
	// Malformed: the record or its batch is invalid in every state or cannot be decoded.
	Malformed
	// AlreadyAttached: the model has a permit at the server already.
	AlreadyAttached
	// OutsideRegions: the model must not be loaded in the region of the server.
	OutsideRegions
	// ServerDrained: operators drained the server or its zone.
	ServerDrained
	// ModelPaused: operators paused the model.
	ModelPaused
	// WeakProof: the Proof of DoubtCleared does not rule out that orders of the earlier
	// owner take effect.
	WeakProof
	// NodeForgotten: the State has evicted the sequences of the proposing node. Its
	// process must restart before it can propose again.
	NodeForgotten
)
