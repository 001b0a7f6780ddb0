// Package service is the HTTP client of plain services: the backend servers that are not model
// engines. Package caller forwards callers' requests through it. It never retries a request
// and follows no redirect; its errors say whether the request may have run.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/httponce"
	"github.com/parsleylug/parsleylug/verdict"
)

// MaximumBody limits the body of a response from a service.
const MaximumBody = 16 * domain.Mebibyte

// maximumStatus is the largest status that HTTP defines a class for.
const maximumStatus = 599

// Request is one call to a service.
type Request struct {
	Method string
	// Path is the escaped path at the service; it starts with a slash.
	Path        string
	RawQuery    string
	Body        []byte
	ContentType string
	RequestID   domain.RequestID
	// IdempotencyKey is sent as a header unless it is empty.
	IdempotencyKey domain.IdempotencyKey
}

// Response is a service's complete response.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client calls services over HTTP. The zero Client is ready to use and opens a new
// connection for each call. A Client must not be copied after first use.
type Client struct {
	// HTTP is used for all calls if it is not nil.
	HTTP *http.Client
	// Region is the region of this process. It is sent to services, which count traffic between
	// regions.
	Region domain.Region

	// sender is used if HTTP is nil.
	sender httponce.Client
}

// Do calls the service at an address (HOST:PORT) once; it never retries a call and follows no
// redirect. Every error is a *verdict.Error: its verdict is NotRun only if no byte was sent, and
// Ran if the service sent a response header but its body is incomplete or too long.
func (c *Client) Do(ctx context.Context, address string, r Request) (Response, error) {
	request, err := c.newRequest(ctx, address, r)
	if err != nil {
		return Response{}, err
	}
	response, err := c.send(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response)
}

func (c *Client) send(r *http.Request) (*http.Response, error) {
	if c.HTTP != nil {
		override := httponce.Client{HTTP: c.HTTP}
		return override.Do(r)
	}
	return c.sender.Do(r)
}

func (c *Client) newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: address, RawQuery: r.RawQuery}
	path, err := url.PathUnescape(r.Path)
	if err != nil {
		return nil, invalidRequest(err)
	}
	target.Path, target.RawPath = path, r.Path
	request, err := http.NewRequestWithContext(ctx, r.Method, target.String(), bytes.NewReader(r.Body))
	if err != nil {
		return nil, invalidRequest(err)
	}
	setHeader(request.Header, "Content-Type", r.ContentType)
	setHeader(request.Header, "X-Request-Id", string(r.RequestID))
	setHeader(request.Header, "Idempotency-Key", string(r.IdempotencyKey))
	setHeader(request.Header, "X-Region", string(c.Region))
	return request, nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func invalidRequest(err error) *verdict.Error {
	e := verdict.Refuse(verdict.BadRequest, "the request to the service is not valid")
	e.Cause = errors.WithStack(err)
	return e
}

// readResponse reads the whole response. The response header shows that the service ran the
// call, so errors have the verdict Ran. A status that HTTP has no class for shows nothing.
func readResponse(r *http.Response) (Response, error) {
	if r.StatusCode < http.StatusOK || r.StatusCode > maximumStatus {
		return Response{}, verdict.UnknownOutcome(verdict.BackendFailed, "the service's answer has no valid status", nil)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(MaximumBody)+1))
	if err != nil {
		return Response{}, responseLost("the service's answer broke off", errors.WithStack(err))
	}
	if len(body) > int(MaximumBody) {
		return Response{}, responseLost("the service's answer is too long", nil)
	}
	return Response{Status: r.StatusCode, ContentType: r.Header.Get("Content-Type"), Body: body}, nil
}

func responseLost(message string, cause error) *verdict.Error {
	return &verdict.Error{Verdict: verdict.Ran, Reason: verdict.BackendFailed, Message: message, Cause: cause}
}
