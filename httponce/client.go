// Package httponce sends an HTTP request to a backend server at most once, and its errors say
// whether any byte was sent. The transport of net/http may silently retry a request on another
// connection; this package prevents that. The clients of backend servers and of the VM list use
// it. It never retries and follows no redirects.
package httponce

import (
	"context"
	stderrors "errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/verdict"
)

const (
	dialTimeout        = 3 * time.Second
	keepAlivePeriod    = 15 * time.Second
	maximumHeaderBytes = 64 << 10
)

// Client sends each request once. The zero Client opens a new connection for each request: a
// pooled connection may be dead, and a client cannot find out whether a request sent on it
// reached the server. It follows no redirects. A Client must not be copied after first use.
type Client struct {
	// HTTP sends the requests if it is not nil; otherwise a client with the transport of
	// NewTransport does. The transport of HTTP must be an *http.Transport; otherwise the verdict of every failure is
	// MayHaveRun.
	HTTP *http.Client

	once sync.Once
	// configured is the client that sends all requests; once initializes it.
	configured *http.Client
}

// NewTransport returns a transport that opens a new connection for each request.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:            Dial(&dialer),
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// Do sends the request once. Its errors are of type *verdict.Error; the verdict is NotRun only
// if no byte of the request was sent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	return c.DoObserved(r, &Progress{})
}

// DoObserved is Do, and records in progress, which must be new, how far the sending has come.
func (c *Client) DoObserved(r *http.Request, progress *Progress) (*http.Response, error) {
	sendable := singleUse(r.WithContext(httptrace.WithClientTrace(r.Context(), progress.trace())))
	response, err := c.client().Do(sendable)
	if err != nil {
		return nil, requestError(r.Context(), progress, err)
	}
	response.Body = &body{ReadCloser: response.Body, connection: progress.connection}
	return response, nil
}

// CloseConnection closes the connection of a response that Do returned, so that no later
// request is sent on it. A caller needs it after a response that does not belong to its request:
// the response that does may still arrive. The transport returns the connection of a response
// without a body to its pool at once, so that a request that takes it meanwhile may fail.
func CloseConnection(r *http.Response) {
	if b, ok := r.Body.(*body); ok && b.connection != nil {
		_ = b.connection.Close()
	}
}

// body is the body of a response, with the connection that carries it; nil for a transport that
// does not support tracing.
type body struct {
	io.ReadCloser
	connection net.Conn
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		client := http.Client{}
		if c.HTTP != nil {
			client = *c.HTTP
		}
		if client.Transport == nil {
			client.Transport = NewTransport()
		}
		client.CheckRedirect = refuseRedirect
		c.configured = &client
	})
	return c.configured
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Progress records whether the transport requested and obtained a connection for one request.
// The zero Progress is ready for use.
type Progress struct {
	connectionRequested, connected atomic.Bool
	// connection is the latest connection. It may be read once the transport has returned a
	// response.
	connection net.Conn
}

// HasConnection reports whether the transport has obtained a connection, so that the request
// may have been sent. It may be called while the request is being sent.
func (p *Progress) HasConnection() bool { return p.connected.Load() }

func (p *Progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.connectionRequested.Store(true) },
		GotConn: func(i httptrace.GotConnInfo) {
			p.connected.Store(true)
			p.connection = i.Conn
		},
	}
}

// isUnsent reports whether the transport requested a connection and got none, so that it
// cannot have written anything. It is false for a transport that does not support tracing.
func (p *Progress) isUnsent() bool {
	return p.connectionRequested.Load() && !p.connected.Load()
}

func requestError(ctx context.Context, p *Progress, err error) *verdict.Error {
	e := verdict.UnknownOutcome(verdict.BackendFailed, "the backend server did not answer", errors.WithStack(err))
	if p.isUnsent() {
		e.Verdict = verdict.NotRun
		e.Message = "the backend server cannot be reached"
	}
	if stderrors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = verdict.DeadlinePassed
	}
	return e
}
