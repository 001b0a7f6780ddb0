// Package buffers bounds the memory of messages that are held whole. The peer decides how long
// a message is, so that a limit for each message does not bound what a node holds for all of
// them together.
//
// Packages dispatch and platform read the responses of backend servers and the requests of
// callers with it.
package buffers

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// DefaultSize is the size of a Pool without one.
	DefaultSize = 12 * domain.Mebibyte
	// FreeSize is the size up to which a Buffer takes nothing from its Pool, so that short
	// messages are read however full the Pool is.
	FreeSize = 64 * domain.Kibibyte
	// firstCapacity is the capacity of a Buffer for a message of unknown length.
	firstCapacity = 4 * domain.Kibibyte
	// chunkSize is the size of the parts in which the rest of a long message is read. A message
	// that grows in one piece leaves its earlier pieces to the garbage collector.
	chunkSize = FreeSize
	// releaseTimeout bounds the wait for the memory of messages that were given up.
	releaseTimeout = 100 * time.Millisecond
)

// The errors of reads. They come with the stack of the read.
var (
	ErrTooLong = errors.New("the message is too long")
	ErrFull    = errors.New("there is no memory for the message beside others")
)

// Pool bounds the sum of the sizes of its buffers. If it is full, the largest message is given
// up, whoever asks for more memory. A message that is alone may be larger than the pool.
//
// The zero Pool is ready for use. It is safe for concurrent use and must not be copied.
type Pool struct {
	// Size is the largest sum, without the first FreeSize of each buffer; 0 means DefaultSize.
	Size domain.Bytes

	mu sync.Mutex
	// used is what all buffers take, and ending what those of them take that were given up.
	used, ending domain.Bytes
	// released is closed when memory is returned; nil if nobody waits for that.
	released chan struct{}
	// filling are the buffers that may be given up.
	filling map[*Buffer]bool
	// unused are chunks for further use, as many as Size holds beside what is used.
	unused [][]byte
}

// Buffer holds one message. Its data is valid until Release.
type Buffer struct {
	pool *Pool
	// data is the beginning of the message, and the whole of it once it is read. chunks are the
	// rest of a message of unknown length meanwhile; all of them are full but the last.
	data   []byte
	chunks [][]byte
	// end ends the read that fills the buffer; nil if it must not be ended.
	end func()
	// reserved is what the buffer takes from the pool. isGivenUp is set when the pool has ended
	// the read. The mutex of the pool guards both.
	reserved  domain.Bytes
	isGivenUp bool
}

// NewBuffer returns an empty buffer. The pool calls end, in a goroutine of its own, if it gives
// the message up; a message without end is never given up for others, and its reads fail instead.
func (p *Pool) NewBuffer(end func()) *Buffer {
	b := &Buffer{pool: p, end: end}
	if end != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.filling == nil {
			p.filling = map[*Buffer]bool{}
		}
		p.filling[b] = true
	}
	return b
}

// Used returns what the buffers take from the pool.
func (p *Pool) Used() domain.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

// Bytes returns the message.
func (b *Buffer) Bytes() []byte { return b.data }

// ReadAll reads a message of at most limit bytes. The parameter declared is the length that its
// sender has declared, 0 or less if it is unknown. After ReadAll the message is not given up any
// more.
func (b *Buffer) ReadAll(r io.Reader, limit domain.Bytes, declared int64) error {
	defer b.seal()
	if declared > int64(limit) {
		return errors.WithStack(ErrTooLong)
	}
	whole := domain.Bytes(max(0, declared)) + 1
	capacity := firstCapacity
	if declared > 0 {
		capacity = min(whole, FreeSize)
	}
	b.data = make([]byte, 0, capacity)
	size := domain.Bytes(0)
	for {
		room, err := b.room(whole)
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
			return b.join(size)
		case err != nil:
			return errors.WithStack(err)
		}
	}
}

// room returns the memory for the next part of the message. It takes more if there is none
// left: all that a message of a known length needs once its first FreeSize has arrived, and a
// chunk at a time for others.
func (b *Buffer) room(whole domain.Bytes) ([]byte, error) {
	switch n, length := len(b.chunks), domain.Bytes(len(b.data)); {
	case n > 0 && len(b.chunks[n-1]) < cap(b.chunks[n-1]):
		last := b.chunks[n-1]
		return last[len(last):cap(last)], nil
	case n == 0 && length < FreeSize:
		b.enlarge(FreeSize)
		return b.data[length:cap(b.data)], nil
	case n == 0 && length < whole:
		if err := b.Reserve(whole); err != nil {
			return nil, err
		}
		b.enlarge(whole)
		return b.data[length:cap(b.data)], nil
	}
	if err := b.Reserve(domain.Bytes(len(b.data)) + chunkSize*domain.Bytes(len(b.chunks)+1)); err != nil {
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
		return
	}
	b.data = b.data[:len(b.data)+n]
}

// join makes data the whole message. For a moment it takes twice its size.
func (b *Buffer) join(size domain.Bytes) error {
	if len(b.chunks) == 0 {
		return nil
	}
	if err := b.Reserve(2 * size); err != nil {
		return err
	}
	b.data = append(make([]byte, 0, size), b.data...)
	for _, chunk := range b.chunks {
		b.data = append(b.data, chunk...)
	}
	if err := b.Reserve(size); err != nil {
		return err
	}
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	b.returnChunks()
	return nil
}

// returnChunks gives the chunks back to the pool, which keeps as many as it has room for. The
// caller holds the mutex of the pool.
func (b *Buffer) returnChunks() {
	p := b.pool
	for _, chunk := range b.chunks {
		if p.used+domain.Bytes(len(p.unused)+1)*chunkSize <= p.size() {
			p.unused = append(p.unused, chunk[:0])
		}
	}
	b.chunks = nil
}

// takeChunk returns an empty chunk.
func (p *Pool) takeChunk() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := len(p.unused) - 1
	if last < 0 {
		return make([]byte, 0, chunkSize)
	}
	chunk := p.unused[last]
	p.unused = p.unused[:last]
	return chunk
}

// seal keeps the pool from giving up the message.
func (b *Buffer) seal() {
	b.pool.mu.Lock()
	defer b.pool.mu.Unlock()
	delete(b.pool.filling, b)
}

// Reserve makes the buffer take its size, beyond FreeSize, from the pool. If the pool is full, it
// gives up larger messages and waits until they have returned their memory.
func (b *Buffer) Reserve(size domain.Bytes) error {
	var timeout <-chan time.Time
	for {
		released, err := b.tryReserve(size)
		if err != nil || released == nil {
			return err
		}
		if timeout == nil {
			timeout = time.After(releaseTimeout)
		}
		select {
		case <-released:
		case <-timeout:
			return errors.WithStack(ErrFull)
		}
	}
}

// tryReserve is Reserve without the wait. If it has to wait, it returns a channel that is closed
// when memory is returned.
func (b *Buffer) tryReserve(size domain.Bytes) (released <-chan struct{}, err error) {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.isGivenUp {
		return nil, errors.WithStack(ErrFull)
	}
	more := max(0, size-FreeSize) - b.reserved
	missing := p.used + more - p.size()
	isAlone := p.used == b.reserved
	if more <= 0 || missing <= 0 || isAlone {
		b.reserved += more
		p.used += more
		p.announceRelease(more)
		return nil, nil
	}
	for p.ending < missing {
		largest := p.largest()
		if largest == nil || largest == b || largest.reserved < b.reserved+more {
			return nil, errors.WithStack(ErrFull)
		}
		p.giveUp(largest)
	}
	if p.released == nil {
		p.released = make(chan struct{})
	}
	return p.released, nil
}

// announceRelease wakes those that wait for memory if the change of what is used is negative. The
// caller holds mu.
func (p *Pool) announceRelease(change domain.Bytes) {
	if change < 0 && p.released != nil {
		close(p.released)
		p.released = nil
	}
}

func (p *Pool) size() domain.Bytes {
	if p.Size == 0 {
		return DefaultSize
	}
	return p.Size
}

// largest returns the largest buffer that may be given up, or nil. The caller holds mu.
func (p *Pool) largest() *Buffer {
	var largest *Buffer
	for b := range p.filling {
		if largest == nil || b.reserved > largest.reserved {
			largest = b
		}
	}
	return largest
}

// giveUp ends the read of a buffer. The caller holds mu.
func (p *Pool) giveUp(b *Buffer) {
	b.isGivenUp = true
	p.ending += b.reserved
	delete(p.filling, b)
	go b.end()
}

// Release returns what the buffer has taken to the pool. Further calls do nothing.
func (b *Buffer) Release() {
	p := b.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used -= b.reserved
	if b.isGivenUp {
		p.ending -= b.reserved
	}
	p.announceRelease(-b.reserved)
	b.reserved = 0
	b.returnChunks()
	delete(p.filling, b)
	b.data = nil
}
