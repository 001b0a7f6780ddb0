package commands

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks in Write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// A log pipe whose reader hangs must not delay requests or the shutdown.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := newLogWriter(out, 1<<20)
	start := time.Now()
	for range 5 * maximumQueuedLines {
		if _, err := w.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.close()
	if got, limit := time.Since(start), 2*time.Second; got > limit {
		t.Errorf("writing 5000 lines to a blocked output took %v, want at most %v", got, limit)
	}
	close(out.release)
}

func TestLogWriterCountsDroppedLines(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := newLogWriter(out, 10)
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second + 10*time.Millisecond)))
	for range 30 {
		_, _ = w.Write([]byte("{}\n"))
	}
	time.Sleep(time.Second)
	_, _ = w.Write([]byte("{}\n"))
	w.close()
	if got, want := strings.Count(out.text(), "\n"), 12; got != want {
		t.Errorf("got %d lines, want 10, one with the number of dropped lines, and one more", got)
	}
	if !strings.Contains(out.text(), `"Lines":20`) {
		t.Errorf("got %s, want 20 dropped lines reported", out.text())
	}
}
