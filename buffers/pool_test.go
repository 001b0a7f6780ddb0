package buffers

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

// endlessReader returns bytes until it is closed.
type endlessReader struct{ closed chan struct{} }

func (r endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.closed:
		return 0, errors.New("closed")
	default:
		clear(p)
		return len(p), nil
	}
}

func TestMessageOfAnyLengthIsReadWhole(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var p Pool
		want := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "part")
		want = bytes.Repeat(want, rapid.IntRange(1, 1000).Draw(rt, "repeats"))
		declared := rapid.SampledFrom([]int64{-1, 0, int64(len(want)), int64(len(want) / 2)}).Draw(rt, "declared")
		b := p.NewBuffer(func() {})
		if err := b.ReadAll(iotest.DataErrReader(bytes.NewReader(want)), domain.Mebibyte, declared); err != nil {
			rt.Fatal(err)
		}
		if got := b.Bytes(); !bytes.Equal(got, want) {
			rt.Fatalf("got %d bytes, want the %d that were sent", len(got), len(want))
		}
		b.Release()
		b.Release()
		if got, want := p.Used(), domain.Bytes(0); got != want {
			rt.Fatalf("used after the release: got %d, want %d", got, want)
		}
	})
}

func TestMessageOverItsLimitIsRejected(t *testing.T) {
	var p Pool
	for name, c := range map[string]struct {
		size, declared int64
		want           error
	}{
		"at the limit":     {int64(FreeSize), -1, nil},
		"over the limit":   {int64(FreeSize) + 1, -1, ErrTooLong},
		"declared over it": {1, int64(FreeSize) + 1, ErrTooLong},
	} {
		b := p.NewBuffer(nil)
		if got := b.ReadAll(io.LimitReader(endlessReader{}, c.size), FreeSize, c.declared); !errors.Is(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
		b.Release()
	}
}

// The largest message is given up, not the one that needs memory now.
func TestLargestMessageIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		endless := endlessReader{make(chan struct{})}
		large := p.NewBuffer(func() { close(endless.closed) })
		if err := large.Reserve(FreeSize + 8*chunkSize); err != nil {
			t.Fatal(err)
		}
		go func() {
			<-endless.closed
			large.Release()
		}()
		small := p.NewBuffer(nil)
		if err := small.Reserve(FreeSize + 4*chunkSize); err != nil {
			t.Errorf("got %v for the smaller message, want none", err)
		}
		if got := large.Reserve(FreeSize + 9*chunkSize); !errors.Is(got, ErrFull) {
			t.Errorf("got %v for the message that was given up, want %v", got, ErrFull)
		}
		if got, want := p.Used(), 4*chunkSize; got != want {
			t.Errorf("used: got %d, want %d", got, want)
		}
	})
}

// A message that was given up may return its memory late, and one that is read whole is not
// given up. The wait for either ends.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := Pool{Size: 10 * chunkSize}
		slow := p.NewBuffer(func() {})
		if err := slow.Reserve(FreeSize + 10*chunkSize); err != nil {
			t.Fatal(err)
		}
		other := p.NewBuffer(nil)
		begin := time.Now()
		if got := other.Reserve(FreeSize + chunkSize); !errors.Is(got, ErrFull) {
			t.Errorf("got %v, want %v", got, ErrFull)
		}
		if got, want := time.Since(begin), releaseTimeout; got != want {
			t.Errorf("waited %v, want %v", got, want)
		}
		slow.Release()
		whole := p.NewBuffer(func() { t.Error("a message that was read whole is given up") })
		if err := whole.ReadAll(strings.NewReader(strings.Repeat("x", int(5*chunkSize))), 10*chunkSize, -1); err != nil {
			t.Fatal(err)
		}
		if got := other.Reserve(FreeSize + 9*chunkSize); !errors.Is(got, ErrFull) {
			t.Errorf("got %v, want %v", got, ErrFull)
		}
	})
}

// A message within its limit is read by a pool that is too small for it, if it is alone.
func TestMessageAloneMayBeLargerThanThePool(t *testing.T) {
	p := Pool{Size: chunkSize}
	for _, declared := range []int64{-1, 20 * int64(chunkSize)} {
		b := p.NewBuffer(nil)
		if err := b.ReadAll(strings.NewReader(strings.Repeat("x", int(20*chunkSize))), 20*chunkSize, declared); err != nil {
			t.Errorf("declared %d: got %v, want none", declared, err)
		}
		if got := p.NewBuffer(nil).Reserve(FreeSize + 1); !errors.Is(got, ErrFull) {
			t.Errorf("another message: got %v, want %v", got, ErrFull)
		}
		b.Release()
	}
}

// A short message is read however full the pool is.
func TestShortMessageNeedsNoRoom(t *testing.T) {
	p := Pool{Size: chunkSize}
	full := p.NewBuffer(nil)
	if err := full.Reserve(FreeSize + chunkSize); err != nil {
		t.Fatal(err)
	}
	if err := p.NewBuffer(nil).ReadAll(strings.NewReader(strings.Repeat("x", int(FreeSize)-1)), domain.Mebibyte, -1); err != nil {
		t.Errorf("got %v for a short message, want none", err)
	}
}
