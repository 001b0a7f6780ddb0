// Package buffers bounds the memory of messages that are held whole. The peer decides how long
// a message is, so that a limit for each message does not bound what a node holds for all of
// them together.
//
// Packages dispatch and platform read the responses of backend servers and the requests of
// callers with it.
package buffers

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// DefaultSize is the size of a Pool without one.
	DefaultSize = 12 * domain.Mebibyte
	// FreeSize is the size up to which a Buffer takes nothing from a Pool without a Free size, so
	// that short messages are read however full the Pool is.
	FreeSize = 64 * domain.Kibibyte
	// stallTimeout is how long the sender of a message may be silent while the message holds
	// memory that others wait for. A sound peer may be silent for a second or so.
	stallTimeout = 3 * time.Second
	// stallCheckInterval is how often those that wait for memory look for stalled messages.
	stallCheckInterval = 500 * time.Millisecond
)

// The errors of reads. They come with the stack of the read.
var (
	ErrTooLong = errors.New("the message is too long")
	ErrFull    = errors.New("there is no memory for the message beside others")
	ErrStalled = errors.New("the sender of the message is silent while others wait for its memory")
)

// Pool bounds the sum of the sizes of its buffers. Buffers that find no room wait for it, those
// that hold memory before others and these in the order of their arrival. A message that is alone
// may be larger than the pool.
//
// A buffer may take more memory while it holds some, and several that wait for each other must
// not do so for ever. As in the banker's algorithm, the pool therefore keeps free what one of
// them, the assured one, may still take, so that it does not wait and returns its memory to the
// others in the end.
//
// The zero Pool is ready for use. It is safe for concurrent use and must not be copied.
type Pool struct {
	// Size is the largest sum, without the first Free of each buffer; 0 means DefaultSize.
	Size domain.Bytes
	// Free is the size up to which a buffer takes nothing from the pool; 0 means FreeSize.
	Free domain.Bytes

	mu sync.Mutex
	// used is what all buffers take.
	used domain.Bytes
	// largestClaim is the largest claim of all buffers so far, at most Size.
	largestClaim domain.Bytes
	// assured is the buffer for which the pool keeps room; nil if there is none.
	assured *Buffer
	// waiting are the buffers that wait for room, the oldest first.
	waiting []*waiter
	// filling are the buffers that hold memory while their messages are read, and may be given
	// up.
	filling map[*Buffer]bool
	// unused are chunks for further use, as many as Size holds beside what is used.
	unused [][]byte
}

// waiter is a buffer that waits until it may take size from the pool, in all.
type waiter struct {
	buffer *Buffer
	size   domain.Bytes
	// granted is closed when the buffer has got its memory.
	granted chan struct{}
}

// Used returns what the buffers take from the pool.
func (p *Pool) Used() domain.Bytes {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used
}

func (p *Pool) size() domain.Bytes {
	if p.Size == 0 {
		return DefaultSize
	}
	return p.Size
}

func (p *Pool) free() domain.Bytes {
	if p.Free == 0 {
		return FreeSize
	}
	return p.Free
}

// reserve makes a buffer take its size from the pool, and waits for room. The wait ends with an
// error after the Wait of the buffer and with the context.
func (p *Pool) reserve(ctx context.Context, b *Buffer, size domain.Bytes) error {
	w, err := p.tryReserve(b, size)
	if w == nil {
		return err
	}
	check := time.NewTicker(stallCheckInterval)
	defer check.Stop()
	var timeout <-chan time.Time
	if b.Wait > 0 {
		timeout = time.After(b.Wait)
	}
	for {
		select {
		case <-w.granted:
			return nil
		case now := <-check.C:
			p.giveUpStalled(now)
			continue
		case <-timeout:
		case <-ctx.Done():
		}
		return p.leave(w)
	}
}

// tryReserve is reserve without the wait. If the buffer has to wait, it returns its place in
// the queue.
func (p *Pool) tryReserve(b *Buffer, size domain.Bytes) (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.isGivenUp {
		return nil, errors.WithStack(ErrStalled)
	}
	if size <= b.reserved {
		return nil, nil
	}
	p.largestClaim = max(p.largestClaim, min(b.claim, p.size()))
	// One that holds memory goes before those that wait.
	isFirst := len(p.waiting) == 0 || b.reserved > 0
	if isFirst && p.hasRoom(b, size) {
		p.grant(b, size)
		return nil, nil
	}
	w := &waiter{buffer: b, size: size, granted: make(chan struct{})}
	p.waiting = append(p.waiting, w)
	b.isWaiting = true
	return w, nil
}

// hasRoom reports whether a buffer may take its size from the pool, so that one of the buffers
// that may grow still finds room for all that it may need. The caller holds mu.
func (p *Pool) hasRoom(b *Buffer, size domain.Bytes) bool {
	if b == p.assured || p.used == b.reserved {
		return true
	}
	free := p.size() - p.used - (size - b.reserved)
	needed := domain.Bytes(0)
	switch {
	case p.assured != nil:
		needed = p.largestClaim - p.assured.reserved
	case size < b.claim:
		needed = min(b.claim, p.size()) - size
	}
	return free >= max(0, needed)
}

// grant gives a buffer its size. The caller holds mu.
func (p *Pool) grant(b *Buffer, size domain.Bytes) {
	p.used += size - b.reserved
	b.reserved = size
	b.lastProgress = time.Now()
	if p.assured == nil && size < b.claim {
		p.assured = b
	}
	if p.filling == nil {
		p.filling = map[*Buffer]bool{}
	}
	p.filling[b] = b.end != nil
	for len(p.unused) > 0 && p.used+domain.Bytes(len(p.unused))*chunkSize > p.size() {
		p.unused = p.unused[:len(p.unused)-1]
	}
}

// shrink makes a buffer whose message is read return what it takes beyond a size. The caller
// holds mu.
func (p *Pool) shrink(b *Buffer, size domain.Bytes) {
	delete(p.filling, b)
	if size < b.reserved {
		p.used -= b.reserved - size
		b.reserved = size
	}
	if p.assured == b {
		p.assured = nil
	}
	p.serveWaiting()
}

// serveWaiting grants the requests of those that wait, as far as there is room. The caller
// holds mu.
func (p *Pool) serveWaiting() {
	for {
		i := p.nextWaiting()
		if i < 0 {
			return
		}
		w := p.waiting[i]
		p.waiting = slices.Delete(p.waiting, i, i+1)
		w.buffer.isWaiting = false
		p.grant(w.buffer, w.size)
		close(w.granted)
	}
}

// nextWaiting returns the index of the next that gets its memory, or -1. Those that hold memory
// go first, since they return it then. The caller holds mu.
func (p *Pool) nextWaiting() int {
	for i, w := range p.waiting {
		if w.buffer.reserved > 0 && p.hasRoom(w.buffer, w.size) {
			return i
		}
	}
	if len(p.waiting) > 0 && p.hasRoom(p.waiting[0].buffer, p.waiting[0].size) {
		return 0
	}
	return -1
}

// leave ends a wait. It returns an error unless the buffer has got its memory meanwhile.
func (p *Pool) leave(w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiting, w)
	if i < 0 {
		return nil
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	w.buffer.isWaiting = false
	p.serveWaiting()
	return errors.WithStack(ErrFull)
}

// giveUpStalled ends the reads of messages that hold memory and whose senders are silent.
func (p *Pool) giveUpStalled(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for b, canEnd := range p.filling {
		if canEnd && !b.isWaiting && now.Sub(b.lastProgress) > stallTimeout {
			b.isGivenUp = true
			delete(p.filling, b)
			b.ending.Go(b.end)
		}
	}
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
