// Package httponce sends HTTP requests to backend servers at most once and tells
// in its errors whether any byte was sent. The transport of net/http alone may
// send a request again on another connection without saying so.
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
	dialTimeout      = 3 * time.Second
	keepAlivePeriod  = 15 * time.Second
	maximumHeaderLen = 64 << 10
)

// Client sends each request once. The zero Client opens a new connection for
// each request: a connection from a pool may have gone silent, and whether a
// request reached a dead one cannot be told. It follows no redirects. A Client
// must not be copied after first use.
type Client struct {
	// HTTP replaces the client's own connections. Its transport must be an
	// *http.Transport, else every failure counts as one that may have run.
	HTTP *http.Client

	once sync.Once
	own  *http.Client
}

// NewTransport returns a transport with a new connection for each request.
func NewTransport() *http.Transport {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maximumHeaderLen,
	}
}

// Do sends the request once. Its errors are *verdict.Error; the verdict is NotRun
// only where no byte of the request was sent.
func (c *Client) Do(r *http.Request) (*http.Response, error) {
	var progress progress
	sendable := singleUse(r.WithContext(httptrace.WithClientTrace(r.Context(), progress.trace())))
	response, err := c.client().Do(sendable)
	if err != nil {
		return nil, failure(r.Context(), &progress, err)
	}
	return response, nil
}

func (c *Client) client() *http.Client {
	c.once.Do(func() {
		own := http.Client{}
		if c.HTTP != nil {
			own = *c.HTTP
		}
		if own.Transport == nil {
			own.Transport = NewTransport()
		}
		own.CheckRedirect = refuseRedirect
		c.own = &own
	})
	return c.own
}

func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// progress tells how far the transport came with one request.
type progress struct {
	asked, connected atomic.Bool
}

func (p *progress) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { p.asked.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { p.connected.Store(true) },
	}
}

// unsent is true only where the transport looked for a connection and got none,
// so that it cannot have written anything.
func (p *progress) unsent() bool { return p.asked.Load() && !p.connected.Load() }

func failure(ctx context.Context, p *progress, err error) *verdict.Error {
	e := verdict.UnknownOutcome(verdict.BackendFailed, "the backend server did not answer", errors.WithStack(err))
	if p.unsent() {
		e.Verdict = verdict.NotRun
		e.Message = "the backend server cannot be reached"
	}
	if stderrors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.Reason = verdict.DeadlinePassed
	}
	return e
}
