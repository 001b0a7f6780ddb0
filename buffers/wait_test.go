package buffers

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// reserve makes a buffer take memory at once.
func reserve(t *testing.T, b *Buffer, size domain.Bytes) {
	t.Helper()
	start := time.Now()
	if err := b.Reserve(t.Context(), FreeSize+size); err != nil {
		t.Fatal(err)
	}
	if got, want := time.Since(start), time.Duration(0); got != want {
		t.Fatalf("waited %v, want %v", got, want)
	}
}

// steadyReader returns parts of a message, each after a pause.
type steadyReader struct {
	left, part int
	pause      time.Duration
}

func (r *steadyReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := min(len(p), r.part, r.left)
	r.left -= n
	return n, nil
}

// message is one that is sent to a node.
type message struct {
	size       int
	isDeclared bool
	start      time.Duration
	reader     steadyReader
}

func drawMessage(rt *rapid.T) message {
	m := message{
		size:       rapid.IntRange(0, 40).Draw(rt, "chunks")*int(chunkSize)/2 + rapid.IntRange(0, 9).Draw(rt, "rest"),
		isDeclared: rapid.Bool().Draw(rt, "declared"),
		start:      time.Duration(rapid.IntRange(0, 3000).Draw(rt, "start")) * time.Millisecond,
	}
	m.reader = steadyReader{
		left: m.size, part: rapid.SampledFrom([]int{1 << 10, 100 << 10}).Draw(rt, "part"),
		pause: time.Duration(rapid.IntRange(0, 1500).Draw(rt, "pause")) * time.Millisecond,
	}
	return m
}

// A pool that is full must neither give up a sound message nor let messages wait for each other
// for ever, and must keep its bound.
func TestSoundMessagesAreAllReadWithinTheBound(t *testing.T) {
	const size, limit = 30 * chunkSize, 20*chunkSize + 9
	rapid.Check(t, func(rt *rapid.T) {
		messages := rapid.SliceOfN(rapid.Custom(drawMessage), 1, 12).Draw(rt, "messages")
		synctest.Test(t, func(t *testing.T) {
			p := Pool{Size: size}
			var readers sync.WaitGroup
			for _, m := range messages {
				readers.Go(func() {
					time.Sleep(m.start)
					b := p.NewBuffer(func() { t.Error("a sound message is given up") })
					defer b.Release()
					declared := int64(-1)
					if m.isDeclared {
						declared = int64(m.size)
					}
					if err := b.ReadAll(t.Context(), &m.reader, limit, declared); err != nil {
						t.Errorf("got %v for a sound message, want none", err)
					}
					if got, want := len(b.Bytes()), m.size; got != want {
						t.Errorf("got %d bytes, want %d", got, want)
					}
					if got := p.Used(); got > size {
						t.Errorf("used: got %d, want %d at most", got, size)
					}
					// The message is sent on.
					time.Sleep(m.reader.pause)
				})
			}
			readers.Wait()
			if got, want := p.Used(), domain.Bytes(0); got != want {
				t.Errorf("used at the end: got %d, want %d", got, want)
			}
		})
		if t.Failed() {
			rt.Fatal("see above")
		}
	})
}

// A message without end that goes on sending must not take more than the pool has, nor keep
// others from being read for longer than its own read lasts.
func TestEndlessMessagesStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 30 * chunkSize}
		var readers sync.WaitGroup
		for range 40 {
			readers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				b := p.NewBuffer(func() { t.Error("a message that goes on is given up") })
				defer b.Release()
				r := &steadyReader{left: 1 << 40, part: 64 << 10, pause: 10 * time.Millisecond}
				if err := b.ReadAll(ctx, r, 20*chunkSize, -1); !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrFull) {
					t.Errorf("got %v, want %v or %v", err, ErrTooLong, ErrFull)
				}
				if got, limit := p.Used(), p.Size; got > limit {
					t.Errorf("used: got %d, want %d at most", got, limit)
				}
			})
		}
		readers.Wait()
		if got := domain.Bytes(len(p.unused)) * chunkSize; got > p.Size {
			t.Errorf("kept for further use: got %d, want %d at most", got, p.Size)
		}
	})
}

// Those that wait get memory in the order of their arrival, also small ones behind large ones.
func TestWaitersGetMemoryInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		holder := p.NewBuffer(nil)
		reserve(t, holder, 8*chunkSize)
		var waiters sync.WaitGroup
		begin := time.Now()
		for _, c := range []struct {
			size domain.Bytes
			want time.Duration
		}{{9, 0}, {2, time.Second}, {1, time.Second}, {8, 2 * time.Second}} {
			waiters.Go(func() {
				b := p.NewBuffer(nil)
				defer b.Release()
				if err := b.Reserve(t.Context(), FreeSize+c.size*chunkSize); err != nil {
					t.Error(err)
				}
				if got := time.Since(begin); got != c.want {
					t.Errorf("size %d: got memory after %v, want %v", c.size, got, c.want)
				}
				time.Sleep(time.Second)
			})
			synctest.Wait()
		}
		holder.Release()
		waiters.Wait()
	})
}

// The wait for memory ends with the time that it may take and with its request, and one that
// leaves the queue must not hold up those behind it.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		holder := p.NewBuffer(nil)
		reserve(t, holder, 8*chunkSize)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for name, b := range map[string]*Buffer{"wait": p.NewBuffer(nil), "context": p.NewBuffer(nil)} {
			want := time.Second
			if name == "wait" {
				want, b.Wait = 300*time.Millisecond, 300*time.Millisecond
			}
			go func() {
				start := time.Now()
				if got := b.Reserve(ctx, FreeSize+9*chunkSize); !errors.Is(got, ErrFull) {
					t.Errorf("%s: got %v, want %v", name, got, ErrFull)
				}
				if got := time.Since(start); got != want {
					t.Errorf("%s: waited %v, want %v", name, got, want)
				}
			}()
		}
		synctest.Wait()
		start := time.Now()
		if err := p.NewBuffer(nil).Reserve(t.Context(), FreeSize+chunkSize); err != nil {
			t.Error(err)
		}
		if got, want := time.Since(start), time.Second; got != want {
			t.Errorf("the one behind them waited %v, want %v", got, want)
		}
	})
}

// A message is given up only if it holds memory that others wait for and its sender is silent
// for longer than a sound one.
func TestStalledMessageIsGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		pause         time.Duration
		othersWait    bool
		wantsGiveUp   bool
		isDeclaration bool
	}{
		"silent":                   {time.Minute, true, true, true},
		"silent, no length":        {time.Minute, true, true, false},
		"silent, nobody waits":     {time.Minute, false, false, true},
		"slow but sound":           {2500 * time.Millisecond, true, false, true},
		"slow but sound, chunks":   {2500 * time.Millisecond, true, false, false},
		"as fast as others expect": {time.Millisecond, true, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := Pool{Size: 10 * chunkSize}
				r, w := io.Pipe()
				b := p.NewBuffer(func() { _ = r.CloseWithError(errors.New("closed")) })
				declared := int64(-1)
				if c.isDeclaration {
					declared = int64(10 * chunkSize)
				}
				var others sync.WaitGroup
				others.Go(func() {
					defer func() { _ = w.Close() }()
					for range 10 {
						if _, err := io.Copy(w, strings.NewReader(strings.Repeat("x", int(chunkSize)))); err != nil {
							return
						}
						time.Sleep(c.pause)
					}
				})
				if c.othersWait {
					others.Go(func() {
						time.Sleep(c.pause + time.Millisecond)
						other := p.NewBuffer(nil)
						defer other.Release()
						if err := other.Reserve(t.Context(), FreeSize+10*chunkSize); err != nil {
							t.Error(err)
						}
					})
				}
				err := b.ReadAll(t.Context(), r, 10*chunkSize, declared)
				b.Release()
				if got, want := errors.Is(err, ErrStalled), c.wantsGiveUp; got != want {
					t.Errorf("got %v, want it given up: %v", err, want)
				}
				others.Wait()
				if got, want := p.Used(), domain.Bytes(0); got != want {
					t.Errorf("used at the end: got %d, want %d", got, want)
				}
			})
		})
	}
}

// A message that was read whole is not given up, however long it is kept.
func TestWholeMessageIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		whole := p.NewBuffer(func() { t.Error("a message that was read whole is given up") })
		if err := whole.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", int(5*chunkSize))), 10*chunkSize, -1); err != nil {
			t.Fatal(err)
		}
		other := p.NewBuffer(nil)
		other.Wait = time.Minute
		if got := other.Reserve(t.Context(), FreeSize+9*chunkSize); !errors.Is(got, ErrFull) {
			t.Errorf("got %v, want %v", got, ErrFull)
		}
	})
}

// Guards against a request that is cancelled for the one before it: the call that ends the read
// of a message that is given up came after the read, on a connection that had gone on.
func TestReadOutlastsItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		r, w := io.Pipe()
		hasEnded := false
		b := p.NewBuffer(func() {
			// The sender goes on as its message is given up.
			_ = w.Close()
			time.Sleep(time.Second)
			hasEnded = true
		})
		go func() { _, _ = w.Write(make([]byte, 2*chunkSize)) }()
		var others sync.WaitGroup
		others.Go(func() {
			time.Sleep(time.Millisecond)
			if err := p.NewBuffer(nil).Reserve(t.Context(), FreeSize+10*chunkSize); err != nil {
				t.Error(err)
			}
		})
		err := b.ReadAll(t.Context(), r, 10*chunkSize, int64(10*chunkSize))
		if !errors.Is(err, ErrStalled) {
			t.Errorf("got %v, want %v", err, ErrStalled)
		}
		if !hasEnded {
			t.Error("the read has returned before the call that ends it")
		}
		b.Release()
		others.Wait()
		time.Sleep(time.Minute)
	})
}
