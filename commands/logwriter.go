package commands

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// maximumQueuedLines is how many log lines may wait for a reader that is slow.
	maximumQueuedLines = 1000
	// flushTimeout bounds how long a process that ends waits for that reader.
	flushTimeout = 300 * time.Millisecond
)

// logWriter passes on so many lines a second and never waits for whoever reads
// them. What it leaves out it counts, and says so in a line of its own.
type logWriter struct {
	out            diode.Writer
	linesPerSecond int64
	second         atomic.Int64
	written        atomic.Int64
	dropped        atomic.Int64
}

func newLogWriter(out io.Writer, linesPerSecond int) *logWriter {
	w := &logWriter{linesPerSecond: int64(linesPerSecond)}
	w.out = diode.NewWriter(out, maximumQueuedLines, 0, func(lost int) { w.dropped.Add(int64(lost)) })
	return w
}

// Write implements io.Writer for one line.
func (w *logWriter) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if w.second.Swap(second) != second {
		w.written.Store(0)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"Event\":\"LinesDropped\",\"Lines\":%d}\n", n)
		}
	}
	if w.written.Add(1) > w.linesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	return w.out.Write(line)
}

// close waits a moment until what was written is with the reader.
func (w *logWriter) close() {
	done := make(chan struct{})
	go func() {
		// The queue has no other way to fail than a reader that is gone.
		_ = w.out.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
