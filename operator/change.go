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

// ChangeResult is what became of one record of a change.
type ChangeResult struct {
	// Subject is what the record is about, for example "Model coral-summary-7b".
	Subject string
	// Result is the name of a Result.
	Result string
	// Version is the offset of the record, which is the object's new version
	// where the record was applied.
	Version uint64
	// CurrentVersion is the version of the object that is in force.
	CurrentVersion uint64
	// Effects say what the record would do; they are filled in a dry run.
	Effects []Effect `json:",omitempty"`
}

// Change is the answer to a change.
type Change struct {
	DryRun  bool
	Results []ChangeResult
	// Nodes has the configuration offset in force at each live node, where the
	// change waited for them.
	Nodes []NodeVersion `json:",omitempty"`
}

// NodeVersion is the configuration in force at one node.
type NodeVersion struct {
	Node          string
	Configuration uint64
}

// Times of a change.
const (
	// outcomeTimeout is how long a change waits until the fold has its outcome.
	outcomeTimeout = 10 * time.Second
	// pollInterval is how often the fold is looked at.
	pollInterval = 5 * time.Millisecond
	// nodesPollInterval is how often other nodes are asked.
	nodesPollInterval = 50 * time.Millisecond
)

// options are the query parameters of a change.
type options struct {
	dryRun bool
	wait   bool
}

// change checks, writes and follows records.
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
	raws, err := encodeAll(records, who)
	if err != nil {
		return Change{}, err
	}
	if len(raws) == 0 {
		return Change{Results: []ChangeResult{}}, nil
	}
	first, err := a.append(ctx, raws)
	if err != nil {
		return Change{}, err
	}
	return a.follow(ctx, records, first, o)
}

// encodeAll stamps each record with who made it and a name of its own.
func encodeAll(records []configuration.Record, who identity) ([][]byte, error) {
	var raws [][]byte
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
		raws = append(raws, raw)
	}
	return raws, nil
}

// checkVersions refuses a change whose precondition is known to fail, before
// anything is written.
func (a *API) checkVersions(records []configuration.Record) error {
	var lost *Error
	a.deps.System.View(func(s *fold.State) {
		for _, r := range records {
			current := s.VersionOf(r)
			if r.Expect == nil || *r.Expect == current {
				continue
			}
			lost = refuse(VersionConflict, r.Subject()+" has changed since it was read")
			lost.Status = http.StatusPreconditionFailed
			lost.CurrentVersion = current
			return
		}
	})
	if lost != nil {
		return lost
	}
	return nil
}

// append writes records. Where the answer is lost it looks for them in the
// stream, since writing them again could undo another operator's change.
func (a *API) append(ctx context.Context, raws [][]byte) (domain.Offset, error) {
	var before domain.Offset
	a.deps.System.View(func(s *fold.State) { before = s.ConfigurationOffset() })
	first, err := a.deps.System.Append(ctx, raws)
	if err == nil {
		return first, nil
	}
	if verdict.Of(err).Verdict == verdict.NotRun {
		return 0, refuse(LogUnavailable, "the platform's log did not take the change; nothing was changed")
	}
	if first, ok := a.find(ctx, before+1, raws[0]); ok {
		return first, nil
	}
	return 0, &Error{
		Reason:  OutcomeUnknown,
		Verdict: verdict.MayHaveRun,
		Message: "the platform's log did not say whether it took the change; read the object before trying again",
	}
}

// find looks for a record in the stream until ctx or the timeout ends.
func (a *API) find(ctx context.Context, from domain.Offset, raw []byte) (domain.Offset, bool) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for {
		stored, err := a.deps.System.ReadRecords(ctx, from, historyPage)
		for _, s := range stored {
			if bytes.Equal(s.Data, raw) {
				return s.Offset, true
			}
			from = max(from, s.Offset+1)
		}
		full := err == nil && len(stored) == historyPage
		if !full && !pause.For(ctx, nodesPollInterval, nil) {
			return 0, false
		}
	}
}

// follow waits until the fold has the outcome of every record.
func (a *API) follow(ctx context.Context, records []configuration.Record, first domain.Offset, o options) (Change, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	last := first + domain.Offset(len(records)) - 1
	for !a.folded(last) && pause.For(ctx, pollInterval, nil) {
	}
	change := Change{Results: a.results(records, first)}
	if o.wait {
		change.Nodes = a.waitForNodes(ctx, last)
	}
	a.release(records, change.Results)
	if e := lostError(change.Results); e != nil {
		return Change{}, e
	}
	return change, nil
}

// release ends the nodes' own suspicion of contents that were released.
func (a *API) release(records []configuration.Record, results []ChangeResult) {
	for i, r := range records {
		if r.Quarantine != nil && r.Quarantine.Release && results[i].Result == Applied.String() {
			a.deps.System.ReleaseContent(r.Quarantine.Content)
		}
	}
}

func (a *API) folded(o domain.Offset) bool {
	var at domain.Offset
	a.deps.System.View(func(s *fold.State) { at = s.ConfigurationOffset() })
	return at >= o
}

func (a *API) results(records []configuration.Record, first domain.Offset) []ChangeResult {
	results := make([]ChangeResult, 0, len(records))
	a.deps.System.View(func(s *fold.State) {
		for i, r := range records {
			offset := first + domain.Offset(i)
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

// lostError returns an error where a record was not applied.
func lostError(results []ChangeResult) *Error {
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
			// Others of the records may have been applied.
			e.Verdict = verdict.Ran
			e.Message += "; see Results for the others"
		}
		return e
	}
	return nil
}

// waitForNodes waits until every live node has the configuration in force.
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
