package httponce

import (
	"io"
	"net/http"
)

const (
	idempotencyHeader = "Idempotency-Key"
	// unreplayedHeader is the same header on the wire. The transport takes the
	// canonical spelling as leave to send the request again.
	unreplayedHeader = "idempotency-key"
)

// singleUse returns a copy of r that the transport cannot replay.
func singleUse(r *http.Request) *http.Request {
	c := r.Clone(r.Context())
	if keys, ok := c.Header[idempotencyHeader]; ok {
		delete(c.Header, idempotencyHeader)
		c.Header[unreplayedHeader] = keys
	}
	c.GetBody = nil
	if c.Body == nil || c.Body == http.NoBody {
		c.Body = emptyBody(c.Method)
		c.ContentLength = 0
		return c
	}
	c.Body = body{c.Body}
	return c
}

// emptyBody returns a body without content. For methods that the transport
// replays by themselves it is one of a type that the transport does not know:
// it finds it empty and sends no body, but does not replay the request.
func emptyBody(method string) io.ReadCloser {
	switch method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions:
		return body{http.NoBody}
	}
	return http.NoBody
}

// body hides the type of a reader from the transport.
type body struct{ io.ReadCloser }
