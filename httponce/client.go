// Package httponce sends an HTTP request to a backend server at most once, and its errors say
// whether any byte was sent. The transport of net/http may silently retry a request on another
// connection; this package prevents that. The clients of backend servers and of the VM list use
// it. It never retries and follows no redirects.
package httponce

import (
	"context"
	stderrors "errors"
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
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maximumHeaderBytes,
	}
}

// Do sends the request once. Its errors are of type *verdict.Error; the verdict is NotRun only
// if no byte of the request was sent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var progress connectionProgress
	sendable := singleUse(r.WithContext(httptrace.WithClientTrace(r.Context(), progress.trace())))
	response, err := c.client().Do(sendable)
	if err != nil {
		return nil, requestError(r.Context(), &progress, err)
	}
	return response, nil
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

// connectionProgress records whether the transport requested and obtained a connection for one
// request.
type connectionProgress struct {
	connectionRequested, connected atomic.Bool
}

func (p *connectionProgress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.connectionRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	}
}

// isUnsent reports whether the transport requested a connection and got none, so that it
// cannot have written anything. It is false for a transport that does not support tracing.
func (p *connectionProgress) isUnsent() bool {
	return p.connectionRequested.Load() && !p.connected.Load()
}

func requestError(ctx context.Context, p *connectionProgress, err error) *verdict.Error {
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
