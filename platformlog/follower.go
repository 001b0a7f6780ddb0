package platformlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
)

// follow reads the decision stream until ctx ends. If this node reads the log itself, it
// makes one long poll after the other. Otherwise it reads on request and every
// RelayedReadInterval.
func (r *Replica) follow(ctx context.Context) error {
	var b backoff
	for ctx.Err() == nil {
		more, err := r.readAndApplyPage(ctx)
		if err != nil {
			r.handleReadError(ctx, err)
			pause.For(ctx, b.nextDelay(), nil)
			continue
		}
		b.reset()
		if !more && !r.readsLog() {
			pause.For(ctx, RelayedReadInterval, r.readRequested)
		}
	}
	return ctx.Err()
}

// readsLog reports whether this node reads the log itself now, rather than getting
// records from a relay.
func (r *Replica) readsLog() bool { return r.options.ReadsLog == nil || r.options.ReadsLog() }

// readPage reads at most limit records of a stream, and fewer after a page that was too long
// for a response.
func (r *Replica) readPage(ctx context.Context, stream string, from domain.Offset, limit int, wait time.Duration) (Page, error) {
	page, err := r.options.Log.Read(ctx, stream, from, min(limit, r.pageRecords.get()), wait)
	r.scope.Counter("reads").Inc(1)
	if err != nil && FailureOf(err) == PageTooLong {
		r.pageRecords.halve()
	}
	if err == nil {
		r.pageRecords.grow()
	}
	return page, err
}

// readAndApplyPage reads and applies one page of the decision stream. It reports
// whether the log has more records.
func (r *Replica) readAndApplyPage(ctx context.Context) (bool, error) {
	wait := ReadWait
	if !r.readsLog() {
		wait = 0
	}
	from := r.offset() + 1
	page, err := r.readPage(ctx, fold.DecisionStream, from, recordsPerRead, wait)
	if err != nil {
		return false, err
	}
	r.lastReadReachedLog.Store(true)
	r.recordReadyOffset(page.Next)
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
	return r.updateCaughtUp(page.Next), nil
}

// recordReadyOffset sets readyOffset at the first successful read. next is the offset
// that the next appended record gets. The replica becomes ready at once if the state
// already covers readyOffset.
func (r *Replica) recordReadyOffset(next domain.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasReadyOffset || next == 0 {
		return
	}
	r.readyOffset, r.hasReadyOffset = next-1, true
	if r.state.Offset() >= r.readyOffset && !r.ready {
		r.publishChange()
	}
}

// updateCaughtUp reports whether the log has records that the state does not cover. If
// it has none, updateCaughtUp sets caughtUpAt.
func (r *Replica) updateCaughtUp(next domain.Offset) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state.Offset()+1 < next {
		return true
	}
	r.caughtUpAt = time.Now()
	return false
}

// handleReadError handles a failed read of the decision stream. If the log no longer has
// the next record, it restores a snapshot from the log, or from a peer if that fails. If
// the log is unreachable and the replica is not ready, it restores one from a peer.
func (r *Replica) handleReadError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var e *Error
	if errors.As(err, &e) && e.Failure == OutOfRetention {
		r.lastReadReachedLog.Store(true)
		if recoveryErr := r.recoverFromLog(ctx, e.Oldest, e.Next); recoveryErr != nil {
			r.options.Logger.Error().Str("Event", "SnapshotMissing").Err(recoveryErr).Msg("could not restore a snapshot from the log")
			r.recoverFromPeer(ctx, e.Oldest-1)
		}
		return
	}
	r.lastReadReachedLog.Store(false)
	r.scope.Counter("read_failures").Inc(1)
	r.options.Logger.Warn().Str("Event", "LogReadFailed").Err(err).Msg("read of the log failed")
	if !r.IsReady() {
		r.recoverFromPeer(ctx, 0)
	}
}

// recoverFromLog restores the newest complete snapshot in the log. It uses only snapshots
// that cover all deleted records, so that the retained records [oldest, next) follow
// without a gap.
func (r *Replica) recoverFromLog(ctx context.Context, oldest, next domain.Offset) error {
	var assembler snapshotAssembler
	var newestSnapshot []byte
	var through domain.Offset
	for from := oldest; from < next; {
		page, err := r.readPage(ctx, fold.DecisionStream, from, recordsPerRead, 0)
		if err != nil {
			return err
		}
		if len(page.Records) == 0 {
			break
		}
		for _, e := range page.Records {
			if data, o := r.addChunks(&assembler, e); data != nil && o > through && o+1 >= oldest {
				newestSnapshot, through = data, o
			}
		}
		from += domain.Offset(len(page.Records))
	}
	if newestSnapshot == nil {
		return errors.Errorf("no complete snapshot in offsets [%d, %d)", oldest, next)
	}
	return r.restore(through, newestSnapshot)
}

// addChunks adds the snapshot chunks of one log record to assembler. If one of them
// completes a snapshot, addChunks returns its data and the last offset that it covers.
// Otherwise it returns nil.
func (r *Replica) addChunks(assembler *snapshotAssembler, e Entry) ([]byte, domain.Offset) {
	batch, err := r.codec.DecodeBatch(e.Data)
	if err != nil {
		return nil, 0
	}
	for _, record := range batch.Records {
		chunk, ok := record.(fold.SnapshotChunk)
		if !ok {
			continue
		}
		if data, complete := assembler.add(chunk); complete {
			return data, chunk.Through
		}
	}
	return nil, 0
}

// recoverFromPeer restores a snapshot from a peer. The snapshot must cover minimumOffset.
// If the last read did not reach the log, the replica becomes ready.
func (r *Replica) recoverFromPeer(ctx context.Context, minimumOffset domain.Offset) {
	if r.options.PeerSnapshot == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	through, data, err := r.options.PeerSnapshot(ctx, max(minimumOffset, r.offset()))
	if err != nil {
		r.options.Logger.Warn().Str("Event", "PeerSnapshotMissing").Err(err).Msg("could not get a snapshot from a peer")
		return
	}
	if err := r.restore(through, data); err != nil {
		r.options.Logger.Error().Str("Event", "PeerSnapshotUnusable").Err(err).Msg("could not restore the snapshot from a peer")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastReadReachedLog.Load() && !r.ready {
		r.ready = true
		r.publishChange()
	}
}

// restore replaces the state by that of an encoded snapshot. The last offset of the
// snapshot must be through, and the snapshot must not be older than the state. restore
// fails the in-flight proposals of this node that the snapshot covers.
func (r *Replica) restore(through domain.Offset, data []byte) error {
	snapshot, err := r.codec.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	if snapshot.Offset != through {
		return errors.Errorf("snapshot announced as covering offset %d covers %d", through, snapshot.Offset)
	}
	state, err := fold.Restore(snapshot)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if through < r.state.Offset() || state.ConfigurationOffset() < r.state.ConfigurationOffset() {
		return errors.Errorf("snapshot covering offset %d is older than the state at offset %d", through, r.state.Offset())
	}
	r.state = state
	r.appender.failCoveredBySnapshot(state.Sequence(r.options.Node))
	r.publishChange()
	return nil
}
