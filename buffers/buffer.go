package buffers

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// firstCapacity is the capacity of a Buffer for a message of unknown length.
	firstCapacity = 4 * domain.Kibibyte
	// chunkSize is the size of the parts in which the rest of a long message is read. A message
	// that grows in one piece leaves its earlier pieces to the garbage collector.
	chunkSize = FreeSize
)

// Buffer holds one message. Its data is valid until Release.
type Buffer struct {
	// Wait bounds each wait for memory; 0 means that only the context of the read does.
	Wait time.Duration

	pool *Pool
	// data is the beginning of the message and chunks are the rest of one of unknown length. All
	// chunks are full but the last.
	data   []byte
	chunks [][]byte
	// isWhole is set once the message was read. Its chunks are not used again, since a peer may
	// still be reading them after Release.
	isWhole bool
	// end ends the read that fills the buffer; nil if it must not be ended. ending counts its
	// call until it returns.
	end    func()
	ending sync.WaitGroup

	// The mutex of the pool guards the fields below.
	//
	// reserved is what the buffer takes from the pool, and claim the most that it may take.
	reserved, claim domain.Bytes
	// lastProgress is when the buffer last got memory or part of its message.
	lastProgress time.Time
	// isWaiting is set while the buffer waits for memory, and isGivenUp once the pool has ended
	// its read.
	isWaiting, isGivenUp bool
}

// NewBuffer returns an empty buffer. The pool calls end, in a goroutine of its own, if it gives
// the message up, because it holds memory that others wait for and its sender is silent. ReadAll
// does not return before end does: end may act on a connection that others use next. A message
// without end is never given up.
func (p *Pool) NewBuffer(end func()) *Buffer {
	return &Buffer{pool: p, end: end}
}

// IsWaiting reports whether the buffer waits for memory.
func (b *Buffer) IsWaiting() bool {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	return b.isWaiting
}

// Parts returns the message, in parts.
func (b *Buffer) Parts() [][]byte {
	if len(b.data) == 0 && len(b.chunks) == 0 {
		return nil
	}
	return append([][]byte{b.data}, b.chunks...)
}

// Bytes returns the message. It copies a long one of unknown length.
func (b *Buffer) Bytes() []byte {
	if len(b.chunks) == 0 {
		return b.data
	}
	return bytes.Join(b.Parts(), nil)
}

// ReadAll reads a message of at most limit bytes. The parameter declared is the length that its
// sender has declared, 0 or less if it is unknown. Once the first Free size has arrived, ReadAll
// waits until there is memory for all that the sender has declared, or for the next chunk. After
// an error that is ErrFull, nothing that was read is lost: Parts returns the beginning of the
// message, and the reader the rest. After ReadAll the message is not given up any more.
func (b *Buffer) ReadAll(ctx context.Context, r io.Reader, limit domain.Bytes, declared int64) error {
	defer b.seal()
	if declared > int64(limit) {
		return errors.WithStack(ErrTooLong)
	}
	whole := domain.Bytes(max(0, declared)) + 1
	capacity := firstCapacity
	if declared > 0 {
		capacity = min(whole, b.pool.free())
	}
	b.data = make([]byte, 0, capacity)
	r = YieldingReader{r}
	size := domain.Bytes(0)
	for {
		room, err := b.room(ctx, whole, limit)
		if err != nil {
			return err
		}
		n, err := r.Read(room)
		b.extend(n)
		size += domain.Bytes(n)
		switch {
		case size > limit:
			return errors.WithStack(ErrTooLong)
		case errors.Is(err, io.EOF):
			return b.finish()
		case err != nil:
			return b.readError(err)
		}
	}
}

// finish records that the message is whole, unless the pool has begun to give it up.
func (b *Buffer) finish() error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.isGivenUp {
		return errors.WithStack(ErrStalled)
	}
	b.isWhole = true
	return nil
}

// room returns the memory for the next part of the message. It takes more if there is none
// left: all that a message of a known length needs once its first Free size has arrived, and a
// chunk at a time for others.
func (b *Buffer) room(ctx context.Context, whole, limit domain.Bytes) ([]byte, error) {
	switch n, length := len(b.chunks), domain.Bytes(len(b.data)); {
	case n > 0 && len(b.chunks[n-1]) < cap(b.chunks[n-1]):
		last := b.chunks[n-1]
		return last[len(last):cap(last)], nil
	case n == 0 && length < b.pool.free():
		b.enlarge(b.pool.free())
		return b.data[length:cap(b.data)], nil
	case n == 0 && length < whole:
		if err := b.Reserve(ctx, whole); err != nil {
			return nil, err
		}
		b.enlarge(whole)
		return b.data[length:cap(b.data)], nil
	}
	next := domain.Bytes(len(b.data)) + chunkSize*domain.Bytes(len(b.chunks)+1)
	if err := b.reserve(ctx, next, max(next, limit+chunkSize)); err != nil {
		return nil, err
	}
	chunk := b.pool.takeChunk()
	b.chunks = append(b.chunks, chunk)
	return chunk[:cap(chunk)], nil
}

// enlarge makes the capacity of data at least size, unless data has room left.
func (b *Buffer) enlarge(size domain.Bytes) {
	if len(b.data) == cap(b.data) {
		b.data = append(make([]byte, 0, size), b.data...)
	}
}

// extend adds the bytes that were read into room to the message.
func (b *Buffer) extend(n int) {
	if i := len(b.chunks) - 1; i >= 0 {
		b.chunks[i] = b.chunks[i][:len(b.chunks[i])+n]
	} else {
		b.data = b.data[:len(b.data)+n]
	}
	if n > 0 {
		b.RecordProgress()
	}
}

// RecordProgress records that the sender of the message is not silent.
func (b *Buffer) RecordProgress() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.lastProgress = time.Now()
}

// readError returns the error of a failed read, which is ErrStalled if the pool has ended it.
func (b *Buffer) readError(err error) error {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	if b.isGivenUp {
		return errors.WithStack(ErrStalled)
	}
	return errors.WithStack(err)
}

// seal returns what the message does not need to the pool, which does not give it up any more, and
// waits until a call of end has returned.
func (b *Buffer) seal() {
	b.Shrink(domain.Bytes(cap(b.data)) + chunkSize*domain.Bytes(len(b.chunks)))
	b.ending.Wait()
}

// Reserve makes the buffer take its size, beyond the Free size, from the pool. The buffer must not
// take more later, unless it has released this before. Reserve waits until there is room.
func (b *Buffer) Reserve(ctx context.Context, size domain.Bytes) error {
	return b.reserve(ctx, size, size)
}

// reserve is Reserve for a buffer that may take more later, up to the size claim.
func (b *Buffer) reserve(ctx context.Context, size, claim domain.Bytes) error {
	b.setClaim(claim - b.pool.free())
	return b.pool.reserve(ctx, b, size-b.pool.free())
}

func (b *Buffer) setClaim(claim domain.Bytes) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.claim = claim
}

// Shrink returns to the pool what the buffer has taken beyond a size, once the message is read.
func (b *Buffer) Shrink(size domain.Bytes) {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.pool.shrink(b, max(0, size-b.pool.free()))
}

// Release returns what the buffer has taken to the pool. Further calls do nothing.
func (b *Buffer) Release() {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !b.isWhole {
		b.returnChunks()
	}
	b.data, b.chunks = nil, nil
	p.shrink(b, 0)
}

// returnChunks gives the chunks back to the pool, which keeps as many as it has room for. The
// caller holds the mutex of the pool.
func (b *Buffer) returnChunks() {
	p := b.pool
	for _, chunk := range b.chunks {
		if p.used-b.reserved+domain.Bytes(len(p.unused)+1)*chunkSize <= p.size() {
			p.unused = append(p.unused, chunk[:0])
		}
	}
}
