package buffers

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
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
		if err := b.ReadAll(t.Context(), iotest.DataErrReader(bytes.NewReader(want)), domain.Mebibyte, declared); err != nil {
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
		if got := b.ReadAll(t.Context(), io.LimitReader(endlessReader{}, c.size), FreeSize, c.declared); !errors.Is(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
		b.Release()
	}
}

// A message within its limit is read by a pool that is too small for it, if it is alone.
func TestMessageAloneMayBeLargerThanThePool(t *testing.T) {
	p := Pool{Size: chunkSize}
	for _, declared := range []int64{-1, 20 * int64(chunkSize)} {
		b := p.NewBuffer(nil)
		if err := b.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", int(20*chunkSize))), 20*chunkSize, declared); err != nil {
			t.Errorf("declared %d: got %v, want none", declared, err)
		}
		other := p.NewBuffer(nil)
		other.Wait = time.Millisecond
		if got := other.Reserve(t.Context(), FreeSize+1); !errors.Is(got, ErrFull) {
			t.Errorf("another message: got %v, want %v", got, ErrFull)
		}
		b.Release()
	}
}

// A short message is read however full the pool is.
func TestShortMessageNeedsNoRoom(t *testing.T) {
	p := Pool{Size: chunkSize}
	full := p.NewBuffer(nil)
	if err := full.Reserve(t.Context(), FreeSize+chunkSize); err != nil {
		t.Fatal(err)
	}
	if err := p.NewBuffer(nil).ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", int(FreeSize)-1)), domain.Mebibyte, -1); err != nil {
		t.Errorf("got %v for a short message, want none", err)
	}
}
