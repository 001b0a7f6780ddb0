// Package operator implements the administration API: HTTP handlers that read the
// status and the configuration of the installation and append configuration records,
// and the client that the command line uses. The JSON fields are PascalCase.
//
// The node mounts API.Handler and implements System. The package never changes
// configuration by itself: each change is a record in the configuration stream of the
// platform's log, which the replicated state machine applies or rejects.
package operator

import (
	"context"

	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
)

// Result is the outcome of an operator record.
type Result int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Result,Reason,Action,Severity -output=operator_string.go

// The results.
const (
	// Forgotten means that the node no longer stores the outcome of a record this old.
	Forgotten Result = iota
	// Applied records are in force.
	Applied
	// LostRace records were rejected, because the object no longer had the expected
	// version.
	LostRace
	// Unreadable records could not be decoded or were invalid.
	Unreadable
	// UnknownName records were to remove an object that was not configured.
	UnknownName
	// Pending records are in the log, but this node has not applied them yet.
	Pending
	// Checked records were validated in a dry run and not written.
	Checked
	// InDoubt records have an unknown outcome: they may be in the log.
	InDoubt
)

// StoredRecord is one record of the configuration stream.
type StoredRecord struct {
	Offset domain.Offset
	Data   []byte
}

// System gives the administration API access to the node.
type System interface {
	// View calls read with the replicated state, which does not change during the call.
	View(read func(*fold.State))
	// Append writes records to the configuration stream in one append and returns
	// the offset of the first. Its errors carry a verdict: MayHaveRun where the
	// response was lost.
	Append(ctx context.Context, records [][]byte) (domain.Offset, error)
	// ReadRecords returns at most limit records of the configuration stream. It starts at the
	// offset from, or at the oldest retained record where that is newer.
	ReadRecords(ctx context.Context, from domain.Offset, limit int) ([]StoredRecord, error)
	// AppliedOffsets returns the configuration offset that each live node has applied.
	AppliedOffsets(ctx context.Context) (map[domain.NodeID]domain.Offset, error)
	// Status returns the status of the whole system as this node sees it.
	Status(ctx context.Context) (Status, error)
	// ReleaseContent makes every live node drop its own suspect entry for a request
	// content.
	ReleaseContent(content [32]byte)
	// BurnSnapshot returns the merged service-level counts of all live nodes.
	BurnSnapshot(ctx context.Context) (objective.Snapshot, error)
	// Decisions returns the merged decision journal entries of all live nodes for a
	// request. The entry has no steps where no node has one.
	Decisions(ctx context.Context, id domain.RequestID) (decisions.Entry, error)
}

// resultOf returns the outcome of the operator record at an offset.
func resultOf(s *fold.State, o domain.Offset) Result {
	if o > s.ConfigurationOffset() {
		return Pending
	}
	rejection, ok := s.ConfigurationResult(o)
	switch {
	case !ok:
		return Forgotten
	case rejection == fold.Accepted:
		return Applied
	case rejection == fold.LostRace:
		return LostRace
	case rejection == fold.UnknownObject:
		return UnknownName
	}
	return Unreadable
}
