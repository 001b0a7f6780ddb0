package transfer

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// slowBody returns one byte each step, and then nothing until the request is cancelled.
type slowBody struct {
	request *http.Request
	left    int
	step    time.Duration
	stops   bool
}

func (b *slowBody) Read(buffer []byte) (int, error) {
	if b.left == 0 && b.stops {
		<-b.request.Context().Done()
		return 0, b.request.Context().Err()
	}
	if b.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.step):
	case <-b.request.Context().Done():
		return 0, b.request.Context().Err()
	}
	b.left--
	buffer[0] = 'x'
	return 1, nil
}

func (b *slowBody) Close() error { return nil }

// slowTransport begins its response after headerDelay.
type slowTransport struct {
	headerDelay time.Duration
	body        slowBody
}

func (t *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(t.headerDelay):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	body := t.body
	body.request = r
	return &http.Response{StatusCode: http.StatusOK, Body: &body, Request: r}, nil
}

// Guards against transfers that are ended while bytes arrive, and against calls that are
// never ended.
func TestDoEndsOnlyACallWithoutProgress(t *testing.T) {
	limits := Limits{Response: 2 * time.Second, Stall: time.Second, Bytes: 100}
	for _, c := range []struct {
		name      string
		transport slowTransport
		want      error
		took      time.Duration
		bytes     int64
	}{
		{"progress", slowTransport{time.Second, slowBody{left: 100, step: 900 * time.Millisecond}}, nil, 91 * time.Second, 100},
		{"no response", slowTransport{headerDelay: 3 * time.Second}, ErrNoResponse, 2 * time.Second, 0},
		{"slow byte", slowTransport{time.Second, slowBody{left: 1, step: 2 * time.Second}}, ErrStalled, 2 * time.Second, 0},
		{"stops", slowTransport{time.Second, slowBody{left: 5, step: 100 * time.Millisecond, stops: true}}, ErrStalled, 2500 * time.Millisecond, 5},
		{"too long", slowTransport{0, slowBody{left: 1000, step: time.Millisecond}}, ErrTooLong, 101 * time.Millisecond, 101},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://store", strings.NewReader(""))
				if err != nil {
					t.Fatal(err)
				}
				var p Progress
				start := time.Now()
				_, data, err := Do(&http.Client{Transport: &c.transport}, r, limits, &p)
				if !errors.Is(err, c.want) || err != nil && c.want == nil {
					t.Errorf("got error %v, want %v", err, c.want)
				}
				if got, want := time.Since(start), c.took; got != want {
					t.Errorf("took %v, want %v", got, want)
				}
				if got, want := p.State().Bytes, c.bytes; got != want {
					t.Errorf("bytes in the progress: got %d, want %d", got, want)
				}
				if c.want == nil && len(data) != int(c.bytes) {
					t.Errorf("bytes: got %d, want %d", len(data), c.bytes)
				}
			})
		})
	}
}
