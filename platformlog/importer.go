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
	// MaximumConfigurationRecord is the longest operator record, in bytes.
	MaximumConfigurationRecord = 64 << 10

	// roleInterval is how often a node looks whether it is to import.
	roleInterval = 250 * time.Millisecond

	importRecords = 200
	importBytes   = MaximumBatchBytes / 2
)

func (r *Replica) importDelay() time.Duration {
	if r.options.RankDelay == nil {
		return 0
	}
	return r.options.RankDelay()
}

// importLoop copies operator records into the decision stream where no other node
// does.
func (r *Replica) importLoop(ctx context.Context) error {
	var b backoff
	for ctx.Err() == nil {
		if !r.IsReady() {
			pause.For(ctx, ReadWait, r.Changed())
			continue
		}
		if err := r.importOnce(ctx); err != nil {
			pause.For(ctx, b.next(), nil)
			continue
		}
		b.reset()
		r.awaitImport(ctx)
	}
	return ctx.Err()
}

// awaitImport returns when this node is among those that import, and at the
// latest after IdleRead. It reads nothing, so that looking often costs nothing.
func (r *Replica) awaitImport(ctx context.Context) {
	end := time.Now().Add(IdleRead)
	for !r.relay() && r.importDelay() > 0 && time.Now().Before(end) && ctx.Err() == nil {
		pause.For(ctx, roleInterval, nil)
	}
}

// importOnce reads one page of operator records and proposes it.
func (r *Replica) importOnce(ctx context.Context) error {
	after := r.configurationOffset()
	page, err := r.read(ctx, fold.ConfigurationStream, after+1, importRecords, ReadWait)
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention && e.Oldest > after+1 {
		r.options.Logger.Error().Str("Event", "ConfigurationLost").Uint64("After", uint64(after)).Uint64("Oldest", uint64(e.Oldest)).
			Msg("operator records left the log before they were imported")
		return r.proposeImport(ctx, fold.ConfigurationImported{After: after, Through: min(e.Oldest-1, after+fold.MaximumImport)})
	}
	if err != nil || len(page.Records) == 0 {
		return err
	}
	record := r.imported(after, page.Records)
	return r.proposeImport(ctx, record)
}

// imported decodes operator records; those that cannot be decoded are left out.
func (r *Replica) imported(after domain.Offset, entries []Entry) fold.ConfigurationImported {
	record := fold.ConfigurationImported{After: after, Through: after}
	size := 0
	for _, e := range entries {
		size += len(e.Data)
		if size > importBytes && record.Through > after {
			break
		}
		record.Through = e.Offset
		if change, ok := r.decodeChange(e); ok {
			record.Changes = append(record.Changes, change)
		}
	}
	return record
}

// decodeChange decodes an operator record and sees that it can be written again.
func (r *Replica) decodeChange(e Entry) (fold.Change, bool) {
	if len(e.Data) > MaximumConfigurationRecord {
		return fold.Change{}, false
	}
	c, err := r.options.Records.Decode(e.Data)
	if err != nil {
		return fold.Change{}, false
	}
	raw, err := r.options.Records.Encode(c)
	if err != nil || len(raw) > importBytes {
		return fold.Change{}, false
	}
	return fold.Change{Offset: e.Offset, Record: c}, true
}

// proposeImport waits for nodes of a better rank and proposes where none of them
// imported.
func (r *Replica) proposeImport(ctx context.Context, record fold.ConfigurationImported) error {
	until := time.Now().Add(r.importDelay())
	for r.configurationOffset() == record.After {
		left := time.Until(until)
		changed := r.Changed()
		if left <= 0 {
			break
		}
		if !pause.For(ctx, left, changed) {
			return ctx.Err()
		}
	}
	if r.configurationOffset() != record.After {
		return nil
	}
	_, err := r.Propose(ctx, record)
	return err
}
