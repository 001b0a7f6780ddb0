package platformlog

import (
	"context"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/pause"
)

const (
	// chunkBytes is the size of one chunk of a snapshot.
	chunkBytes = 256 << 10
	// maximumChunks bounds a snapshot that is being collected.
	maximumChunks = 1024
	// snapshotCheck is how often a node looks whether a snapshot is due.
	snapshotCheck = time.Second
)

// collector puts the chunks of snapshots together. The zero collector works.
type collector struct {
	through domain.Offset
	chunks  [][]byte
	missing int
}

// add takes one chunk; it returns the data where the snapshot became whole. Chunks
// of a snapshot that is older than the one being collected are ignored.
func (c *collector) add(k fold.SnapshotChunk) ([]byte, bool) {
	if k.Count < 1 || k.Count > maximumChunks || k.Index < 0 || k.Index >= k.Count || len(k.Data) == 0 || k.Through < c.through {
		return nil, false
	}
	if k.Through > c.through {
		*c = collector{through: k.Through, chunks: make([][]byte, k.Count), missing: k.Count}
	}
	if k.Count != len(c.chunks) || c.chunks[k.Index] != nil {
		return nil, false
	}
	c.chunks[k.Index] = k.Data
	c.missing--
	if c.missing > 0 {
		return nil, false
	}
	var data []byte
	for _, part := range c.chunks {
		data = append(data, part...)
	}
	return data, true
}

// EncodedSnapshot returns the state and the offset that it covers.
func (r *Replica) EncodedSnapshot() (domain.Offset, []byte, error) {
	r.mu.RLock()
	snapshot := r.state.Snapshot()
	r.mu.RUnlock()
	data, err := r.codec.EncodeSnapshot(snapshot)
	return snapshot.Offset, data, err
}

// snapshotLoop writes a snapshot where one is due and nobody before this node in
// rank has written it.
func (r *Replica) snapshotLoop(ctx context.Context) error {
	for pause.For(ctx, snapshotCheck, nil) {
		if !r.snapshotDue() || !pause.For(ctx, r.importDelay(), nil) || !r.snapshotDue() {
			continue
		}
		if err := r.writeSnapshot(ctx); err != nil && ctx.Err() == nil {
			r.options.Logger.Warn().Str("Event", "SnapshotNotWritten").Err(err).Msg("snapshot was not written")
		}
	}
	return ctx.Err()
}

func (r *Replica) snapshotDue() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.ready || r.state.Offset() == 0 {
		return false
	}
	return r.state.Offset()-r.whole >= domain.Offset(r.options.SnapshotEvery) || time.Since(r.wholeAt) >= r.options.SnapshotInterval
}

// writeSnapshot proposes the chunks one after the other.
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
