package commands

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// stuckReader takes nothing until it is released.
type stuckReader struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (r *stuckReader) Write(line []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.Write(line)
}

func (r *stuckReader) text() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.got.String()
}

func TestLogNeverWaitsForItsReader(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	w := newLogWriter(reader, 1<<20)
	began := time.Now()
	for range 5 * linesQueued {
		if _, err := w.Write([]byte("{}\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.close()
	if got, limit := time.Since(began), 2*time.Second; got > limit {
		t.Errorf("5000 lines took %v without a reader, want %v at most", got, limit)
	}
	close(reader.release)
}

func TestLogCountsWhatItLeavesOut(t *testing.T) {
	reader := &stuckReader{release: make(chan struct{})}
	close(reader.release)
	w := newLogWriter(reader, 10)
	time.Sleep(time.Until(time.Now().Truncate(time.Second).Add(time.Second + 10*time.Millisecond)))
	for range 30 {
		_, _ = w.Write([]byte("{}\n"))
	}
	time.Sleep(time.Second)
	_, _ = w.Write([]byte("{}\n"))
	w.close()
	if got, want := strings.Count(reader.text(), "\n"), 12; got != want {
		t.Errorf("lines: got %d, want 10, one of what was left out, and one", got)
	}
	if !strings.Contains(reader.text(), `"Lines":20`) {
		t.Errorf("got %s, want the 20 lines that were left out", reader.text())
	}
}
