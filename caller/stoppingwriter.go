package caller

import "net/http"

// stoppingWriter is a ResponseWriter that announces the end of the connection if the node is
// stopping when the head of the response is written.
type stoppingWriter struct {
	http.ResponseWriter
	isStopping  func() bool
	headWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *stoppingWriter) WriteHeader(status int) {
	w.announceEnd()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *stoppingWriter) Write(b []byte) (int, error) {
	w.announceEnd()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *stoppingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// announceEnd sets the header before the head is written, which the first write does.
func (w *stoppingWriter) announceEnd() {
	if w.headWritten {
		return
	}
	w.headWritten = true
	if w.isStopping() {
		w.Header().Set("Connection", "close")
	}
}
