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
// returns its offset. It does not repeat an append with an unknown outcome, because
// a second copy of the record could revert a later change. Instead it searches the
// stream for the record. Errors are *verdict.Error: NotRun means that the record is not
// in the stream and never will be, MayHaveRun that it may be.
func (r *Replica) AppendConfiguration(ctx context.Context, raw []byte) (domain.Offset, error) {
	if len(raw) > MaximumConfigurationRecordBytes {
		return 0, verdict.Refuse(verdict.BodyTooLarge, "the record is too long")
	}
	next, err := r.nextConfigurationOffset(ctx)
	if err != nil {
		return 0, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the log cannot be read", Cause: err}
	}
	var b backoff
	for {
		callCtx, cancel := context.WithTimeout(ctx, CallTimeout)
		o, err := r.options.Log.Append(callCtx, fold.ConfigurationStream, [][]byte{raw})
		cancel()
		if err == nil {
			return o, nil
		}
		if FailureOf(err) != NotAppended {
			return r.findConfigurationRecord(ctx, next, raw, err)
		}
		if !pause.For(ctx, b.nextDelay(), nil) {
			return 0, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.LogUnavailable, Message: "the log took no record in time", Cause: err}
		}
	}
}

// nextConfigurationOffset returns a lower bound for the offset of the next operator
// record that is appended.
func (r *Replica) nextConfigurationOffset(ctx context.Context) (domain.Offset, error) {
	from := r.configurationOffset() + 1
	page, err := r.readPage(ctx, fold.ConfigurationStream, from, 1, 0)
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention {
		return max(e.Next, from), nil
	}
	if err != nil {
		return 0, err
	}
	return max(page.Next, from), nil
}

// findConfigurationRecord reads the configuration stream, starting at offset from, until
// it finds a record equal to raw or ctx ends. cause is the error of the append.
func (r *Replica) findConfigurationRecord(ctx context.Context, from domain.Offset, raw []byte, cause error) (domain.Offset, error) {
	var b backoff
	for ctx.Err() == nil {
		page, err := r.readPage(ctx, fold.ConfigurationStream, from, maximumImportRecords, ReadWait)
		if err != nil {
			pause.For(ctx, b.nextDelay(), nil)
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
