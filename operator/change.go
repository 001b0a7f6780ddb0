package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/verdict"
)

// ChangeResult is the outcome of one record of a change.
type ChangeResult struct {
	// Subject is the kind and name of the object, for example "Model coral-summary-7b".
	Subject string
	// Result is the name of a Result.
	Result string
	// Version is the offset of the record. Where the record was applied, it is the
	// object's new version.
	Version uint64
	// CurrentVersion is the version of the object in force.
	CurrentVersion uint64
	// Effects is what the record would do; only a dry run sets it.
	Effects []Effect `json:",omitempty"`
}

// Change is the response to a change.
type Change struct {
	DryRun  bool
	Results []ChangeResult
	// Nodes has the configuration offset of each live node; it is set where the request
	// has the query parameter wait.
	Nodes []NodeVersion `json:",omitempty"`
}

// NodeVersion is the configuration offset that one node has applied.
type NodeVersion struct {
	Node          string
	Configuration uint64
}

// Timeouts and intervals of a change.
const (
	// outcomeTimeout bounds the wait for the outcome of a change, and for other nodes to
	// apply it.
	outcomeTimeout = 10 * time.Second
	// pollInterval is the interval between checks of the local replicated state.
	pollInterval = 5 * time.Millisecond
	// nodesPollInterval is the interval between queries to other nodes or the log.
	nodesPollInterval = 50 * time.Millisecond
)

// options are the query parameters of a change.
type options struct {
	dryRun bool
	wait   bool
}

// change validates records, appends them and waits for their outcome. A dry run ends
// before the append.
func (a *API) change(ctx context.Context, who identity, records []configuration.Record, o options) (Change, error) {
	if err := a.checkVersions(records); err != nil {
		return Change{}, err
	}
	if err := a.checkLockout(records); err != nil {
		return Change{}, err
	}
	if o.dryRun {
		return a.dryRun(ctx, records)
	}
	encoded, err := encodeAll(records, who)
	if err != nil {
		return Change{}, err
	}
	if len(encoded) == 0 {
		return Change{Results: []ChangeResult{}}, nil
	}
	firstOffset, err := a.append(ctx, encoded)
	if err != nil {
		return Change{}, err
	}
	return a.awaitOutcome(ctx, records, firstOffset, o)
}

// encodeAll sets the author and a unique ID of each record and encodes it.
func encodeAll(records []configuration.Record, who identity) ([][]byte, error) {
	var encoded [][]byte
	for i := range records {
		r := records[i]
		if who.team != "" || r.Author == "" {
			r.Author = who.author()
		}
		r.ID = rand.Text()
		raw, err := configuration.Encode(r)
		if err != nil {
			return nil, &Error{Reason: BadRequest, Verdict: verdict.NotRun, Message: err.Error()}
		}
		encoded = append(encoded, raw)
	}
	return encoded, nil
}

// checkVersions returns an error where a record expects another version than the one
// in force at this node. The state machine checks versions again when it applies the
// records; this check only avoids an append that is known to fail.
func (a *API) checkVersions(records []configuration.Record) error {
	var conflict *Error
	a.deps.System.View(func(s *fold.State) {
		for _, r := range records {
			current := s.VersionOf(r)
			if r.Expect == nil || *r.Expect == current {
				continue
			}
			conflict = refuse(VersionConflict, r.Subject()+" has changed since it was read")
			conflict.Status = http.StatusPreconditionFailed
			conflict.CurrentVersion = current
			return
		}
	})
	if conflict != nil {
		return conflict
	}
	return nil
}

// append writes records and returns the offset of the first. Where the log's response is
// lost, it looks for the records in the stream: a second append could undo a later change
// of another operator.
func (a *API) append(ctx context.Context, encoded [][]byte) (domain.Offset, error) {
	var before domain.Offset
	a.deps.System.View(func(s *fold.State) { before = s.ConfigurationOffset() })
	firstOffset, err := a.deps.System.Append(ctx, encoded)
	if err == nil {
		return firstOffset, nil
	}
	if verdict.Of(err).Verdict == verdict.NotRun {
		return 0, refuse(LogUnavailable, "the platform's log did not take the change; nothing was changed")
	}
	if offset, ok := a.findRecord(ctx, before+1, encoded[0]); ok {
		return offset, nil
	}
	return 0, &Error{
		Reason:  OutcomeUnknown,
		Verdict: verdict.MayHaveRun,
		Message: "the platform's log did not say whether it took the change; read the object before trying again",
	}
}

// findRecord polls the stream for a record until ctx or outcomeTimeout ends. The unique
// ID in the record makes the comparison of bytes sufficient.
func (a *API) findRecord(ctx context.Context, from domain.Offset, raw []byte) (domain.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		stored, err := a.deps.System.ReadRecords(ctx, from, historyPageRecords)
		for _, s := range stored {
			if bytes.Equal(s.Data, raw) {
				return s.Offset, true
			}
			from = max(from, s.Offset+1)
		}
		pageFull := err == nil && len(stored) == historyPageRecords
		if !pageFull && !pause.For(ctx, nodesPollInterval, nil) {
			return 0, false
		}
	}
}

// awaitOutcome waits until the node has applied the records, and with the option wait
// until every live node has. After outcomeTimeout it returns the results so far.
func (a *API) awaitOutcome(ctx context.Context, records []configuration.Record, firstOffset domain.Offset, o options) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	last := firstOffset + domain.Offset(len(records)) - 1
	for !a.hasApplied(last) && pause.For(ctx, pollInterval, nil) {
	}
	change := Change{Results: a.results(records, firstOffset)}
	if o.wait {
		change.Nodes = a.waitForNodes(ctx, last)
	}
	a.releaseContents(records, change.Results)
	if e := notAppliedError(change.Results); e != nil {
		return Change{}, e
	}
	return change, nil
}

// releaseContents makes the nodes drop their own suspect entries for contents that the
// records released from quarantine.
func (a *API) releaseContents(records []configuration.Record, results []ChangeResult) {
	for i, r := range records {
		if r.Quarantine != nil && r.Quarantine.Release && results[i].Result == Applied.String() {
			a.deps.System.ReleaseContent(r.Quarantine.Content)
		}
	}
}

func (a *API) hasApplied(o domain.Offset) bool {
	var at domain.Offset
	a.deps.System.View(func(s *fold.State) { at = s.ConfigurationOffset() })
	return at >= o
}

func (a *API) results(records []configuration.Record, firstOffset domain.Offset) []ChangeResult {
	results := make([]ChangeResult, 0, len(records))
	a.deps.System.View(func(s *fold.State) {
		for i, r := range records {
			offset := firstOffset + domain.Offset(i)
			results = append(results, ChangeResult{
				Subject:        r.Subject(),
				Result:         resultOf(s, offset).String(),
				Version:        uint64(offset),
				CurrentVersion: uint64(s.VersionOf(r)),
			})
		}
	})
	return results
}

// notAppliedError returns an error for the first record that was rejected, or nil.
func notAppliedError(results []ChangeResult) *Error {
	for _, r := range results {
		switch r.Result {
		case LostRace.String(), Unreadable.String(), UnknownName.String():
		default:
			continue
		}
		e := refuse(VersionConflict, r.Subject+" was not changed: "+r.Result)
		e.CurrentVersion = domain.Offset(r.CurrentVersion)
		e.Results = results
		if len(results) > 1 {
			// Other records of the change may have been applied.
			e.Verdict = verdict.Ran
			e.Message += "; see Results for the others"
		}
		return e
	}
	return nil
}

// waitForNodes waits until every live node has applied the configuration at an offset,
// or ctx ends, and returns the offset of each node.
func (a *API) waitForNodes(ctx context.Context, o domain.Offset) []NodeVersion {
	for {
		applied, err := a.deps.System.AppliedOffsets(ctx)
		behind := err != nil
		for _, at := range applied {
			behind = behind || at < o
		}
		if !behind || !pause.For(ctx, nodesPollInterval, nil) {
			return nodeVersions(applied)
		}
	}
}
