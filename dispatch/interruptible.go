package dispatch

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

// errInterrupted is the error of a read that interrupt has ended.
var errInterrupted = errors.New("the read was interrupted")

// interruptibleReader reads from a source whose reads block. One read can be ended without the
// loss of data: later ones go on where it was ended. Create it with newInterruptibleReader.
type interruptibleReader struct {
	source io.Reader
	// interrupted is closed by interrupt; nil once a read was ended.
	interrupted <-chan struct{}
	// results holds the result of the read of the source that runs while isReading is set.
	results   chan sourceRead
	isReading bool
	// latest is the rest of the latest result, and buffer is its memory.
	latest sourceRead
	buffer []byte
}

// sourceRead is the result of a read of the source.
type sourceRead struct {
	data []byte
	err  error
}

// newInterruptibleReader returns a reader of source, and the function that ends its read in
// progress, or else the next one. A read of the source ends with the source.
func newInterruptibleReader(source io.Reader) (reader *interruptibleReader, interrupt func()) {
	ctx, interrupt := context.WithCancel(context.Background())
	return &interruptibleReader{source: source, interrupted: ctx.Done(), results: make(chan sourceRead, 1), buffer: make([]byte, passOnPart)}, interrupt
}

// Read implements io.Reader.
func (r *interruptibleReader) Read(p []byte) (int, error) {
	if len(r.latest.data) == 0 && r.latest.err == nil {
		if err := r.awaitSource(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.latest.data)
	r.latest.data = r.latest.data[n:]
	if len(r.latest.data) > 0 {
		return n, nil
	}
	return n, r.latest.err
}

// awaitSource sets latest to the result of the next read of the source.
func (r *interruptibleReader) awaitSource() error {
	if !r.isReading {
		r.isReading = true
		go func() {
			n, err := r.source.Read(r.buffer)
			r.results <- sourceRead{r.buffer[:n], err}
		}()
	}
	select {
	case r.latest = <-r.results:
		r.isReading = false
		return nil
	case <-r.interrupted:
		r.interrupted = nil
		return errInterrupted
	}
}
