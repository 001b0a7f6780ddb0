package caller

import (
	"io"
	"net/http"
	"time"
)

// limitBodyRead makes reads of a request's body fail once the deadline of the request has
// passed. A caller that sends a byte now and then would hold the space for its body otherwise.
func (a *API) limitBodyRead(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// The decoder refuses a request with an invalid timeout.
	deadline, err := parseDeadline(time.Now(), r.Header.Get(requestTimeoutHeader), a.Catalogue.Deployment())
	if err != nil {
		return
	}
	c := http.NewResponseController(w)
	if c.SetReadDeadline(deadline.At) == nil {
		r.Body = &limitedBody{ReadCloser: r.Body, controller: c}
	}
}

// limitedBody is a body whose reads have a deadline, which ends with the body: it would end the
// request later.
type limitedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // A reader returns io.EOF itself.
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}
