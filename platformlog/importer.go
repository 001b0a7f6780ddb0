package platformlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// MaximumConfigurationRecordBytes is the largest length of an encoded operator record.
	MaximumConfigurationRecordBytes = 64 << 10

	// roleCheckInterval is how often a node checks whether it has become the importer.
	roleCheckInterval = 250 * time.Millisecond

	// maximumImportRecords and maximumImportBytes limit the operator records of one
	// import and their total length.
	maximumImportRecords = 200
	maximumImportBytes   = MaximumBatchBytes / 2
)

// rankDelay returns the time for which this node leaves an import or a snapshot to nodes
// of better rank. See Options.RankDelay.
func (r *Replica) rankDelay() time.Duration {
	if r.options.RankDelay == nil {
		return 0
	}
	return r.options.RankDelay()
}

// importLoop copies operator records from the configuration stream into the decision
// stream, unless a node of better rank does.
func (r *Replica) importLoop(ctx context.Context) error {
	var b backoff
	for ctx.Err() == nil {
		if !r.IsReady() {
			pause.For(ctx, ReadWait, r.Changed())
			continue
		}
		if err := r.importOnce(ctx); err != nil {
			pause.For(ctx, b.nextDelay(), nil)
			continue
		}
		b.reset()
		r.waitForImporterRole(ctx)
	}
	return ctx.Err()
}

// waitForImporterRole waits until this node reads the log itself or is first in rank, but
// at most for RelayedReadInterval. It makes no call to the log.
func (r *Replica) waitForImporterRole(ctx context.Context) {
	deadline := time.Now().Add(RelayedReadInterval)
	for !r.readsLog() && r.rankDelay() > 0 && time.Now().Before(deadline) && ctx.Err() == nil {
		pause.For(ctx, roleCheckInterval, nil)
	}
}

// importOnce reads one page of operator records and proposes their import. If the
// next operator records have left the log, it proposes to skip them.
func (r *Replica) importOnce(ctx context.Context) error {
	after := r.configurationOffset()
	page, err := r.readPage(ctx, fold.ConfigurationStream, after+1, maximumImportRecords, ReadWait)
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention && e.Oldest > after+1 {
		r.options.Logger.Error().Str("Event", "ConfigurationLost").Uint64("After", uint64(after)).Uint64("Oldest", uint64(e.Oldest)).
			Msg("operator records left the log before they were imported")
		return r.proposeImport(ctx, fold.ConfigurationImported{After: after, Through: min(e.Oldest-1, after+fold.MaximumImport)})
	}
	if err != nil || len(page.Records) == 0 {
		return err
	}
	record := r.buildImport(after, page.Records)
	return r.proposeImport(ctx, record)
}

// buildImport returns an import of the first entries, up to maximumImportBytes but at
// least one. The import covers records that cannot be decoded, too, but has no changes
// for them, so that the state machine skips them.
func (r *Replica) buildImport(after domain.Offset, entries []Entry) fold.ConfigurationImported {
	record := fold.ConfigurationImported{After: after, Through: after}
	size := 0
	for _, e := range entries {
		size += len(e.Data)
		if size > maximumImportBytes && record.Through > after {
			break
		}
		record.Through = e.Offset
		if change, ok := r.decodeChange(e); ok {
			record.Changes = append(record.Changes, change)
		}
	}
	return record
}

// decodeChange decodes an operator record. It returns false if the record is too
// long, cannot be decoded, or cannot be encoded again for the decision stream.
func (r *Replica) decodeChange(e Entry) (fold.Change, bool) {
	if len(e.Data) > MaximumConfigurationRecordBytes {
		return fold.Change{}, false
	}
	record, err := r.options.Records.Decode(e.Data)
	if err != nil {
		return fold.Change{}, false
	}
	raw, err := r.options.Records.Encode(record)
	if err != nil || len(raw) > maximumImportBytes {
		return fold.Change{}, false
	}
	return fold.Change{Offset: e.Offset, Record: record}, true
}

// proposeImport proposes an import unless this node applies an import of another node
// within its rank delay.
func (r *Replica) proposeImport(ctx context.Context, record fold.ConfigurationImported) error {
	deadline := time.Now().Add(r.rankDelay())
	for r.configurationOffset() == record.After {
		remaining := time.Until(deadline)
		changed := r.Changed()
		if remaining <= 0 {
			break
		}
		if !pause.For(ctx, remaining, changed) {
			return ctx.Err()
		}
	}
	if r.configurationOffset() != record.After {
		return nil
	}
	_, err := r.Propose(ctx, record)
	return err
}
