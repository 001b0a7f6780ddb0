package buffers

import (
	"io"
	"net/http/httputil"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/parsleylug/parsleylug/domain"
)

// countedReader counts the reads of all readers of a crowd.
type countedReader struct {
	io.Reader
	reads *atomic.Int64
}

func (r countedReader) Read(p []byte) (int, error) {
	r.reads.Add(1)
	return r.Reader.Read(p)
}

// Guards against a node that serves nobody: a crowd had sent bodies in chunks of one byte and left. On one core, each
// step of an ordinary request, and of a call to the store, waited until all of them had used up their turns.
func TestManySmallChunksLeaveTurnsToOthers(t *testing.T) {
	const (
		crowd, chunks = 120, 256 << 10
		// steps are those of a request or call, after each of which its goroutine waits for its turn.
		// Meanwhile a member of the crowd may make maximumReads.
		steps, maximumReads = 20, 4
	)
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)
	pool := Pool{Size: crowd * domain.Mebibyte}
	var reads atomic.Int64
	var readers sync.WaitGroup
	body := strings.Repeat("1\r\nx\r\n", chunks)
	for range crowd {
		readers.Go(func() {
			b := pool.NewBuffer(nil)
			defer b.Release()
			r := countedReader{httputil.NewChunkedReader(strings.NewReader(body)), &reads}
			_ = b.ReadAll(t.Context(), r, domain.Mebibyte, 0)
		})
	}
	for reads.Load() < crowd {
		runtime.Gosched()
	}
	before := reads.Load()
	for range steps {
		runtime.Gosched()
	}
	got := reads.Load() - before
	readers.Wait()
	if want := int64(steps * crowd * maximumReads); got > want {
		t.Errorf("got %d reads of the crowd in %d steps, want %d at most", got, steps, want)
	}
	t.Logf("%d reads in %d steps, %d in all", got, steps, reads.Load())
}
