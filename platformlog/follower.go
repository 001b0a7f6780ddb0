package platformlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
)

// follow reads the decision stream until ctx ends.
func (r *Replica) follow(ctx context.Context) error {
	var b backoff
	for ctx.Err() == nil {
		more, err := r.readOnce(ctx)
		if err != nil {
			r.readFailed(ctx, err)
			pause.For(ctx, b.next(), nil)
			continue
		}
		b.reset()
		if !more && !r.relay() {
			pause.For(ctx, IdleRead, r.kick)
		}
	}
	return ctx.Err()
}

func (r *Replica) relay() bool { return r.options.ReadsLog == nil || r.options.ReadsLog() }

// read reads a page with a bound on the whole call.
func (r *Replica) read(ctx context.Context, stream string, from domain.Offset, most int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+CallTimeout)
	defer cancel()
	page, err := r.options.Log.Read(ctx, stream, from, most, wait)
	r.scope.Counter("reads").Inc(1)
	return page, err
}

// readOnce reads and applies one page; it tells whether the log has more.
func (r *Replica) readOnce(ctx context.Context) (bool, error) {
	wait := ReadWait
	if !r.relay() {
		wait = 0
	}
	from := r.offset() + 1
	page, err := r.read(ctx, fold.DecisionStream, from, readRecords, wait)
	if err != nil {
		return false, err
	}
	r.readUp.Store(true)
	r.seen(page.Next)
	if len(page.Records) > 0 {
		records := make([][]byte, 0, len(page.Records))
		for _, e := range page.Records {
			records = append(records, e.Data)
		}
		r.apply(from, records)
		if r.options.OnRecords != nil {
			r.options.OnRecords(from, records)
		}
	}
	return r.noteProgress(page.Next), nil
}

// seen keeps what the log had when it was first seen.
func (r *Replica) seen(next domain.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targeted || next == 0 {
		return
	}
	r.target, r.targeted = next-1, true
	if r.state.Offset() >= r.target && !r.ready {
		r.noteChange()
	}
}

// noteProgress tells whether the log has records that the state lacks.
func (r *Replica) noteProgress(next domain.Offset) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Offset()+1 < next {
		return true
	}
	r.caughtUp = time.Now()
	return false
}

// readFailed finds another source after a failed read.
func (r *Replica) readFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention {
		r.readUp.Store(true)
		if recovered := r.recoverFromLog(ctx, e.Oldest, e.Next); recovered != nil {
			r.options.Logger.Error().Str("Event", "SnapshotMissing").Err(recovered).Msg("no snapshot in the log")
			r.recoverFromPeer(ctx, e.Oldest-1)
		}
		return
	}
	r.readUp.Store(false)
	r.scope.Counter("read_failures").Inc(1)
	r.options.Logger.Warn().Str("Event", "LogReadFailed").Err(err).Msg("read of the log failed")
	if !r.IsReady() {
		r.recoverFromPeer(ctx, 0)
	}
}

// recoverFromLog restores the newest whole snapshot in the log.
func (r *Replica) recoverFromLog(ctx context.Context, oldest, next domain.Offset) error {
	var c collector
	var newest []byte
	var through domain.Offset
	for from := oldest; from < next; {
		page, err := r.read(ctx, fold.DecisionStream, from, readRecords, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, e := range page.Records {
			if data, o := r.collect(&c, e); data != nil && o > through && o+1 >= oldest {
				newest, through = data, o
			}
		}
		from += domain.Offset(len(page.Records))
	}
	if newest == nil {
		return errors.Errorf("no whole snapshot in offsets %d to %d", oldest, next)
	}
	return r.restore(through, newest)
}

// collect adds the chunks of one log record; it returns a snapshot that became
// whole.
func (r *Replica) collect(c *collector, e Entry) ([]byte, domain.Offset) {
	batch, err := r.codec.DecodeBatch(e.Data)
	if err != nil {
		return nil, 0
	}
	for _, record := range batch.Records {
		chunk, ok := record.(fold.SnapshotChunk)
		if !ok {
			continue
		}
		if data, whole := c.add(chunk); whole {
			return data, chunk.Through
		}
	}
	return nil, 0
}

// recoverFromPeer restores the state of a peer that covers an offset.
func (r *Replica) recoverFromPeer(ctx context.Context, atLeast domain.Offset) {
	if r.options.PeerSnapshot == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	through, data, err := r.options.PeerSnapshot(ctx, max(atLeast, r.offset()))
	if err != nil {
		r.options.Logger.Warn().Str("Event", "PeerSnapshotMissing").Err(err).Msg("no snapshot from a peer")
		return
	}
	if err := r.restore(through, data); err != nil {
		r.options.Logger.Error().Str("Event", "PeerSnapshotUnusable").Err(err).Msg("snapshot of a peer is not usable")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.readUp.Load() && !r.ready {
		r.ready = true
		r.noteChange()
	}
}

// restore replaces the state by an encoded snapshot, never by an older one.
func (r *Replica) restore(through domain.Offset, data []byte) error {
	snapshot, err := r.codec.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	if snapshot.Offset != through {
		return errors.Errorf("snapshot through %d covers %d", through, snapshot.Offset)
	}
	state, err := fold.Restore(snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if through < r.state.Offset() || state.ConfigurationOffset() < r.state.ConfigurationOffset() {
		return errors.Errorf("snapshot through %d is older than the state at %d", through, r.state.Offset())
	}
	r.state = state
	r.append.skipTo(state.Sequence(r.options.Node))
	r.noteChange()
	return nil
}
