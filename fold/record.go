package fold

import (
	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// Stream names of the platform's log.
const (
	// ConfigurationStream carries operator records, one a log record.
	ConfigurationStream = "configuration"
	// DecisionStream carries Batches, the system's own records.
	DecisionStream = "decisions"
)

// Batch is what one append to the decision stream holds. A batch whose answer
// was lost is appended again unchanged.
type Batch struct {
	// Node is the process that proposes the records.
	Node domain.NodeID
	// First is the sequence of Records[0]; the others follow it without a gap.
	// A fold ignores every sequence that it has already seen from Node.
	First domain.Sequence
	// Started is the decision offset that Node had folded before its first
	// proposal. It never changes while Node runs, and lets a fold forget nodes
	// without ever taking an old batch of theirs for new.
	Started domain.Offset
	// Records are the proposals, in order.
	Records []Record
}

// Record is one proposal. Whether it is valid is decided by the fold alone, from
// the records before it.
type Record interface{ record() }

// ConfigurationImported copies operator records from the configuration stream
// into the decision stream, which gives both one common order.
type ConfigurationImported struct {
	// After is the configuration offset that was in force before; the record is
	// valid only where that is still so.
	After domain.Offset
	// Through is the configuration offset in force afterwards.
	Through domain.Offset
	// Changes are the operator records in (After, Through], in order, with those
	// that could not be decoded left out and counted in Skipped.
	Changes []Change
}

// Change is one operator record with the offset that it has in the configuration
// stream. The offset becomes the version of the object that it sets.
type Change struct {
	Offset domain.Offset
	Record configuration.Record
}

// LeaseTaken makes a node the owner of a backend server. It is a compare and
// swap: it is valid only where the server's fence still is Expect.
type LeaseTaken struct {
	Server domain.ServerID
	Owner  domain.NodeID
	// Expect is the fence that the proposer saw; zero for a server without one.
	Expect domain.Fence
	// Facts are what the platform's list says of the server.
	Facts ServerFacts
}

// ServerFacts are what the platform's list says of a backend server.
type ServerFacts struct {
	Memory domain.Bytes
	// ChecksFences is true only where the server refuses an order with a fence
	// older than the newest one it has seen, also from before its last restart.
	ChecksFences bool
	Region       domain.Region
	Zone         domain.Zone
}

// DoubtCleared says that no order of an owner with a fence older than Fence can
// take effect any more.
type DoubtCleared struct {
	Server domain.ServerID
	// Fence is the proposer's own, which must be in force.
	Fence domain.Fence
	Proof DoubtProof
	// Earlier is the doubted owner's fence.
	Earlier domain.Fence
}

// DoubtProof tells why no old order can take effect any more.
type DoubtProof int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=DoubtProof,Rejection -output=fold_string.go

// The proofs.
const (
	// BarrierPassed means that the server checks fences and confirmed an order
	// with the newer fence. Valid only for servers whose facts say so.
	BarrierPassed DoubtProof = iota
	// OwnerAcknowledged means that the doubted owner itself saw that it lost the
	// lease and has no order in flight. Valid only when the doubted owner
	// proposes it; Fence is not checked then.
	OwnerAcknowledged
	// ServerRestarted means that the server lost every connection and order from
	// before, as a new incarnation of it shows. It is no proof by itself, because
	// the doubted owner may still send another order: the fold rejects it.
	ServerRestarted
	// OwnerVMGone means that the doubted owner's VM left the platform's list and
	// the stated time for its last packets has passed.
	OwnerVMGone
)

// PermitAttached lets the owner of a server load one replica of a model there,
// now or later, without a further record.
type PermitAttached struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Fence is the proposer's own, which must be in force.
	Fence domain.Fence
}

// PermitReleased gives a permit back after the server confirmed that the replica
// is unloaded.
type PermitReleased struct {
	Model  domain.ModelName
	Server domain.ServerID
	// Fence is the proposer's own, which must be in force.
	Fence domain.Fence
}

// ServerGone says that the platform's list no longer has a backend server. Its
// lease and permits end.
type ServerGone struct {
	Server domain.ServerID
	// Fence is the one that the proposer saw in force; the record is valid only
	// where it still is.
	Fence domain.Fence
}

// CommandClaimed reserves an idempotency key for the proposing node, which alone
// may then forward the command, once.
type CommandClaimed struct {
	Key CommandKey
	// Request is a hash of method, path and body; a resend must have the same.
	Request [32]byte
}

// CommandKey is the hash of team, service and idempotency key. The key itself
// stays out of the log.
type CommandKey [32]byte

// CommandFinished records the outcome of a claimed command. Valid only from the
// node that holds the claim.
type CommandFinished struct {
	Key CommandKey
	// Status is the service's HTTP status.
	Status int
	// ContentType and Body are the service's answer; a Body over
	// MaximumOutcomeBody is left out and Truncated set.
	ContentType string
	Body        []byte
	Truncated   bool
}

// MaximumOutcomeBody is the largest answer of a command that is kept for
// resends.
const MaximumOutcomeBody = 2 * domain.Kibibyte

// CommandAbandoned gives a claim back. Valid only from the node that holds it,
// which proposes it only where no byte of the command was sent.
type CommandAbandoned struct {
	Key CommandKey
}

// SnapshotChunk is a part of an encoded State, so that a node can start after
// the oldest records have left the log.
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

// RecordResult is what the fold made of one record.
type RecordResult struct {
	// Offset is where the record's batch stands in the decision stream.
	Offset domain.Offset
	// Rejection is Accepted where the record took effect.
	Rejection Rejection
}

// Rejection says why a record had no effect.
type Rejection int

// The rejections.
const (
	Accepted Rejection = iota
	// Duplicate records were applied before.
	Duplicate
	// StaleFence records come from a node that lost the lease.
	StaleFence
	// LostRace records expected a state that has changed.
	LostRace
	// OverCopies permits would pass the operators' limit.
	OverCopies
	// OverMemory permits would pass the memory of a server that does not check
	// fences.
	OverMemory
	// StillInDoubt releases must wait for DoubtCleared.
	StillInDoubt
	// NotHeld records name a permit or claim that the proposer does not hold.
	NotHeld
	// AlreadyClaimed commands belong to another node or an earlier request.
	AlreadyClaimed
	// UnknownObject records name a model or server that the fold does not have.
	UnknownObject
	// Malformed records cannot be valid in any state.
	Malformed
	// AlreadyAttached permits exist for the same model and server.
	AlreadyAttached
	// OutsideRegions permits name a server where the model may not be loaded.
	OutsideRegions
	// ServerDrained permits name a server that takes no new work.
	ServerDrained
	// ModelPaused permits name a model that an operator paused.
	ModelPaused
	// WeakProof records do not prove that old orders are without effect.
	WeakProof
	// NodeForgotten batches come from a node that the fold no longer remembers;
	// its process must start again.
	NodeForgotten
)
