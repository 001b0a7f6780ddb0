package httponce

import (
	"io"
	"net/http"
	"strings"
)

// replayHeaders are the headers with which the transport of net/http may send a request without a
// body again. It knows their canonical spelling only, and servers ignore the case.
var replayHeaders = [...]string{"Idempotency-Key", "X-Idempotency-Key"}

// singleUse returns a copy of r that the transport cannot send twice.
func singleUse(r *http.Request) *http.Request {
	c := r.Clone(r.Context())
	for _, name := range replayHeaders {
		if keys, ok := c.Header[name]; ok {
			delete(c.Header, name)
			c.Header[strings.ToLower(name)] = keys
		}
	}
	c.GetBody = nil
	if c.Body == nil || c.Body == http.NoBody {
		setEmptyBody(c)
		return c
	}
	c.Body = opaqueBody{c.Body}
	return c
}

// setEmptyBody gives r a body without content. The transport may send a GET, HEAD, OPTIONS or
// TRACE request with http.NoBody again. For these methods setEmptyBody sets a body of another type:
// the transport detects that it is empty, but does not send the request again.
func setEmptyBody(r *http.Request) {
	r.Body, r.ContentLength = http.NoBody, 0
	switch r.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		r.Body = opaqueBody{http.NoBody}
	case http.MethodTrace:
		// The transport expects a body here. The identity encoding keeps it from sending an empty
		// one in chunks.
		r.Body, r.TransferEncoding = opaqueBody{http.NoBody}, []string{"identity"}
	}
}

// opaqueBody hides the type of a body from the transport.
type opaqueBody struct{ io.ReadCloser }
