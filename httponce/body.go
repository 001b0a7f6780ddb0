package httponce

import (
	"io"
	"net/http"
)

const (
	idempotencyHeader = "Idempotency-Key"
	// nonCanonicalIdempotencyHeader is the same header in another case. Servers ignore the
	// case, but the transport of net/http may retry a request with the canonical spelling.
	nonCanonicalIdempotencyHeader = "idempotency-key"
)

// singleUse returns a copy of r that the transport cannot send twice.
func singleUse(r *http.Request) *http.Request {
	c := r.Clone(r.Context())
	if keys, ok := c.Header[idempotencyHeader]; ok {
		delete(c.Header, idempotencyHeader)
		c.Header[nonCanonicalIdempotencyHeader] = keys
	}
	c.GetBody = nil
	if c.Body == nil || c.Body == http.NoBody {
		c.Body = emptyBody(c.Method)
		c.ContentLength = 0
		return c
	}
	c.Body = opaqueBody{c.Body}
	return c
}

// emptyBody returns a body without content. The transport may retry a GET, HEAD or OPTIONS
// request with http.NoBody. For these methods emptyBody returns a body of another type: the
// transport detects that it is empty, but does not retry the request.
func emptyBody(method string) io.ReadCloser {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return opaqueBody{http.NoBody}
	}
	return http.NoBody
}

// opaqueBody hides the type of a body from the transport.
type opaqueBody struct{ io.ReadCloser }
