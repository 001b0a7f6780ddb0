package platformlog

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// chunkBytes is the size of a snapshot chunk; the last one may be smaller.
	chunkBytes = 256 << 10
	// maximumChunks is the largest number of chunks of a snapshot that an assembler
	// accepts.
	maximumChunks = 1024
	// snapshotCheckInterval is how often a node checks whether a snapshot is due.
	snapshotCheckInterval = time.Second
)

// snapshotAssembler assembles snapshots from their chunks. The zero
// snapshotAssembler is ready to use.
type snapshotAssembler struct {
	// through is the last offset that the newest snapshot covers.
	through domain.Offset
	// chunks are those of the newest snapshot, by index; nil ones are missing.
	chunks        [][]byte
	missingChunks int
}

// add adds a chunk. It returns the data of the snapshot if the chunk completes it.
// A chunk of a newer snapshot discards those added before; invalid chunks,
// duplicates and chunks of an older snapshot are ignored.
func (a *snapshotAssembler) add(chunk fold.SnapshotChunk) ([]byte, bool) {
	if chunk.Count < 1 || chunk.Count > maximumChunks || chunk.Index < 0 || chunk.Index >= chunk.Count || len(chunk.Data) == 0 || chunk.Through < a.through {
		return nil, false
	}
	if chunk.Through > a.through {
		*a = snapshotAssembler{through: chunk.Through, chunks: make([][]byte, chunk.Count), missingChunks: chunk.Count}
	}
	if chunk.Count != len(a.chunks) || a.chunks[chunk.Index] != nil {
		return nil, false
	}
	a.chunks[chunk.Index] = chunk.Data
	a.missingChunks--
	if a.missingChunks > 0 {
		return nil, false
	}
	var data []byte
	for _, part := range a.chunks {
		data = append(data, part...)
	}
	return data, true
}

// EncodedSnapshot returns the offset of the state and the state as an encoded
// snapshot.
func (r *Replica) EncodedSnapshot() (domain.Offset, []byte, error) {
	r.mu.RLock()
	snapshot := r.state.Snapshot()
	r.mu.RUnlock()
	data, err := r.codec.EncodeSnapshot(snapshot)
	return snapshot.Offset, data, err
}

// snapshotLoop writes a snapshot if one is due and is still due after this node's rank
// delay. During this delay a node of better rank may write it.
func (r *Replica) snapshotLoop(ctx context.Context) error {
	for pause.For(ctx, snapshotCheckInterval, nil) {
		if !r.isSnapshotDue() || !pause.For(ctx, r.rankDelay(), nil) || !r.isSnapshotDue() {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.Warn().Str("Event", "SnapshotNotWritten").Err(err).Msg("could not write a snapshot")
		}
	}
	return ctx.Err()
}

// isSnapshotDue reports whether the newest complete snapshot in the decision stream is
// too old, by batches or by time. No snapshot is due before the replica is ready.
func (r *Replica) isSnapshotDue() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.ready || r.state.Offset() == 0 {
		return false
	}
	return r.state.Offset()-r.snapshotOffset >= domain.Offset(r.options.BatchesPerSnapshot) || time.Since(r.snapshotAt) >= r.options.SnapshotInterval
}

// writeSnapshot encodes the current state as a snapshot and proposes its chunks one at a
// time.
func (r *Replica) writeSnapshot(ctx context.Context) error {
	through, data, err := r.EncodedSnapshot()
	if err != nil {
		return err
	}
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		_, err := r.Propose(ctx, fold.SnapshotChunk{Through: through, Index: i, Count: count, Data: part})
		if err != nil {
			return err
		}
	}
	r.scope.Counter("snapshots").Inc(1)
	return nil
}
