package caller

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// deadlineWriter records the write deadline that is in force when a body is written.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline, atWrite time.Time
}

// SetWriteDeadline is called by http.ResponseController.
func (w *deadlineWriter) SetWriteDeadline(t time.Time) error {
	w.deadline = t
	return nil
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	w.atWrite = w.deadline
	return w.ResponseRecorder.Write(b)
}

// Guards against requests without end: a caller that did not read its response held the space of
// its body and its share of the limits of its team for as long as it liked. A response that is cut
// must not look complete.
func TestWritesOfWholeResponsesAreLimited(t *testing.T) {
	const size = 1 << 20
	slowest := time.Duration(size) * time.Second / time.Duration(slowestCallerRate)
	for name, c := range map[string]struct {
		write func(w http.ResponseWriter) error
		want  time.Duration
	}{
		"service": {func(w http.ResponseWriter) error {
			return encodeServiceResponse(t.Context(), w, Outcome{Status: http.StatusOK, Body: make([]byte, size)})
		}, slowest},
		"collected chat": {func(w http.ResponseWriter) error {
			body := strings.Replace(helloBody, `"stream":true`, `"stream":false`, 1)
			newFixture(respond).handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
			return nil
		}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
			start := time.Now()
			if err := c.write(w); err != nil {
				t.Fatal(err)
			}
			if got, want := w.Code, http.StatusOK; got != want {
				t.Fatalf("got status %d, want %d: %s", got, want, w.Body)
			}
			if got, want := w.Header().Get("Content-Length"), strconv.Itoa(w.Body.Len()); got != want {
				t.Errorf("got the declared length %q, want %q", got, want)
			}
			if w.atWrite.IsZero() {
				t.Fatal("got a write without a limit, want one")
			}
			if got := w.atWrite.Sub(start); got < c.want {
				t.Errorf("got a limit of %v, want at least the %v of a slow caller", got, c.want)
			}
		})
	}
}
