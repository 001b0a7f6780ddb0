// Package operator speaks to operators: an administration API over HTTP with
// PascalCase JSON, and the client that the command line uses.
package operator

import (
	"context"

	"github.com/parsleylug/parsleylug/decisions"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/objective"
)

// Result is what became of an operator record.
type Result int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Result,Reason,Action,Severity -output=operator_string.go

// The results.
const (
	// Forgotten results are too old to be known.
	Forgotten Result = iota
	// Applied records took effect.
	Applied
	// LostRace records expected another version of their object.
	LostRace
	// Unreadable records could not be decoded or made no sense.
	Unreadable
	// UnknownName records remove an object that was not configured.
	UnknownName
	// Pending records are in the log and not yet in force here.
	Pending
	// Checked records were not written, because a dry run was asked for.
	Checked
	// InDoubt records may be in the log.
	InDoubt
)

// StoredRecord is one record of the configuration stream.
type StoredRecord struct {
	Offset domain.Offset
	Data   []byte
}

// System is what the administration API needs of the node.
type System interface {
	// View calls read with the agreed state, which does not change meanwhile.
	View(read func(*fold.State))
	// Append writes records to the configuration stream in one append and returns
	// the offset of the first. Its errors carry a verdict: MayHaveRun where the
	// answer was lost.
	Append(ctx context.Context, records [][]byte) (domain.Offset, error)
	// ReadRecords returns records of the configuration stream from an offset, or from
	// the oldest one kept where that is newer.
	ReadRecords(ctx context.Context, from domain.Offset, most int) ([]StoredRecord, error)
	// AppliedOffsets returns the configuration offset in force at each live node.
	AppliedOffsets(ctx context.Context) (map[domain.NodeID]domain.Offset, error)
	// Status returns the status of the whole system as this node sees it.
	Status(ctx context.Context) (Status, error)
	// ReleaseContent clears a request content of the suspicion that nodes have of it by
	// themselves, at every live node.
	ReleaseContent(content [32]byte)
	// BurnSnapshot returns the service-level counts of all live nodes, added up.
	BurnSnapshot(ctx context.Context) (objective.Snapshot, error)
	// Decisions returns what all live nodes decided for a request; the entry has no
	// steps where none remembers it.
	Decisions(ctx context.Context, id domain.RequestID) (decisions.Entry, error)
}

// resultOf tells what the fold made of the operator record at an offset.
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
