package commands

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog/diode"
)

const (
	// maximumQueuedLines is the number of log lines that are buffered for a slow output.
	maximumQueuedLines = 1000
	// flushTimeout limits the wait for a slow output when the process exits.
	flushTimeout = 150 * time.Millisecond
)

// logWriter is a rate-limited, non-blocking writer of log lines. It drops the lines beyond
// the limit per second or the buffer, and logs their number as a line of its own in the
// next second in which a line is written.
type logWriter struct {
	out               diode.Writer
	linesPerSecond    int64
	currentSecond     atomic.Int64
	writtenThisSecond atomic.Int64
	dropped           atomic.Int64
}

func newLogWriter(out io.Writer, linesPerSecond int) *logWriter {
	w := &logWriter{linesPerSecond: int64(linesPerSecond)}
	w.out = diode.NewWriter(out, maximumQueuedLines, 0, func(lost int) { w.dropped.Add(int64(lost)) })
	return w
}

// Write implements io.Writer; each call must write one whole line.
func (w *logWriter) Write(line []byte) (int, error) {
	second := time.Now().Unix()
	if w.currentSecond.Swap(second) != second {
		w.writtenThisSecond.Store(0)
		if n := w.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w.out, "{\"level\":\"warn\",\"Event\":\"LinesDropped\",\"Lines\":%d}\n", n)
		}
	}
	if w.writtenThisSecond.Add(1) > w.linesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	return w.out.Write(line)
}

// close flushes the buffered lines, waiting at most flushTimeout.
func (w *logWriter) close() {
	done := make(chan struct{})
	go func() {
		// Close fails only if the output is gone, and then no one can read the error.
		_ = w.out.Close()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
