package platformlog

import (
	"bytes"
	"context"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
	"github.com/parsleylug/parsleylug/verdict"
)

// AppendConfiguration appends one operator record to the configuration stream and
// returns its offset. An append whose answer is lost is not sent again, since a
// second copy could undo a later change: the stream is read back for it instead.
// An error is a *verdict.Error: NotRun says that the record is not in the stream and will
// not come to it.
func (r *Replica) AppendConfiguration(ctx context.Context, raw []byte) (domain.Offset, error) {
	if len(raw) > MaximumConfigurationRecord {
		return 0, verdict.Refuse(verdict.BodyTooLarge, "the record is too long")
	}
	next, err := r.nextConfiguration(ctx)
	if err != nil {
		return 0, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the log cannot be read", Cause: err}
	}
	var b backoff
	for {
		call, cancel := context.WithTimeout(ctx, CallTimeout)
		o, err := r.options.Log.Append(call, fold.ConfigurationStream, [][]byte{raw})
		cancel()
		if err == nil {
			return o, nil
		}
		if FailureOf(err) != NotAppended {
			return r.findConfiguration(ctx, next, raw, err)
		}
		if !pause.For(ctx, b.next(), nil) {
			return 0, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the log took no record in time", Cause: err}
		}
	}
}

// nextConfiguration returns the offset that the next operator record gets, or an
// earlier one.
func (r *Replica) nextConfiguration(ctx context.Context) (domain.Offset, error) {
	from := r.configurationOffset() + 1
	page, err := r.read(ctx, fold.ConfigurationStream, from, 1, 0)
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention {
		return max(e.Next, from), nil
	}
	if err != nil {
		return 0, err
	}
	return max(page.Next, from), nil
}

// findConfiguration reads the stream from an offset on until it finds the record
// or ctx ends.
func (r *Replica) findConfiguration(ctx context.Context, from domain.Offset, raw []byte, cause error) (domain.Offset, error) {
	var b backoff
	for ctx.Err() == nil {
		page, err := r.read(ctx, fold.ConfigurationStream, from, importRecords, ReadWait)
		if err != nil {
			pause.For(ctx, b.next(), nil)
			continue
		}
		for _, e := range page.Records {
			if bytes.Equal(e.Data, raw) {
				return e.Offset, nil
			}
			from = e.Offset + 1
		}
	}
	return 0, verdict.UnknownOutcome(verdict.LogUnavailable, "the record may have been accepted", cause)
}
