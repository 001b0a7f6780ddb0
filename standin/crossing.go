package standin

import (
	"io"
	"net/http"

	"github.com/parsleylug/parsleylug/domain"
)

// countCrossRegionBytes counts the bytes of request and response bodies that cross
// regions: those of requests whose X-Region differs from the region of the server.
func countCrossRegionBytes(region domain.Region, ob *observer, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		callerRegion := r.Header.Get("X-Region")
		if callerRegion == "" || callerRegion == string(region) {
			next.ServeHTTP(w, r)
			return
		}
		r.Body = countingBody{r.Body, ob}
		next.ServeHTTP(countingWriter{w, ob}, r)
	})
}

type countingBody struct {
	io.ReadCloser
	observer *observer
}

func (b countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.observer.addCrossRegionBytes(int64(n))
	return n, err
}

type countingWriter struct {
	http.ResponseWriter
	observer *observer
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.ResponseWriter.Write(p)
	w.observer.addCrossRegionBytes(int64(n))
	return n, err
}

// Unwrap lets http.ResponseController flush the underlying writer.
func (w countingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
