package buffers

import (
	"io"
	"runtime"
)

// YieldingReader lets other goroutines run after each read. A message in chunks of one byte costs a
// hundred times the processor time of another one, and what has arrived is read without a wait. Where
// many such messages are read on one core, a goroutine that has something else to do would wait for all
// of them each time that it becomes ready.
type YieldingReader struct{ io.Reader }

// Read implements io.Reader.
func (r YieldingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	runtime.Gosched()
	return n, err
}
