package transfer

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoResponse means that no response began within Limits.Response.
	ErrNoResponse = errors.New("no response began in time")
	// ErrStalled means that no byte of the body arrived for Limits.Stall.
	ErrStalled = errors.New("the response stopped arriving")
	// ErrTooLong means that the body is longer than Limits.Bytes.
	ErrTooLong = errors.New("the response is too long")
)

// Limits bound one call. None bounds the time of a whole transfer: a call that is ended while
// bytes arrive has to start over, and on a slow link it may then never end.
type Limits struct {
	// Response is the longest time until the response header has arrived.
	Response time.Duration
	// Stall is the longest time between two parts of the body.
	Stall time.Duration
	// Bytes is the largest body.
	Bytes int64
}

// Response is what has arrived of a response. Its Status is 0 and its Header nil if none began.
type Response struct {
	Status int
	Header http.Header
	// Body is nil unless it has arrived whole.
	Body []byte
}

// Do is Fetch without the header of the response.
func Do(client *http.Client, r *http.Request, l Limits, p *Progress) (int, []byte, error) {
	response, err := Fetch(client, r, l, p)
	return response.Status, response.Body, err
}

// Fetch sends a request, reads the whole response and records its progress in p, which may be
// nil. Its errors wrap ErrNoResponse, ErrStalled or ErrTooLong, or are those of the client.
func Fetch(client *http.Client, r *http.Request, l Limits, p *Progress) (Response, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	responseTimer := time.AfterFunc(l.Response, func() { cancel(ErrNoResponse) })
	defer responseTimer.Stop()
	p.RecordSent()
	response, err := client.Do(r.WithContext(ctx))
	if err != nil {
		return Response{}, withCause(ctx, err)
	}
	result := Response{Status: response.StatusCode, Header: response.Header}
	defer func() { _ = response.Body.Close() }()
	responseTimer.Stop()
	p.RecordBegun(response.StatusCode)
	stallTimer := time.AfterFunc(l.Stall, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()
	body := &bodyReader{body: response.Body, progress: p, extend: func() { stallTimer.Reset(l.Stall) }}
	data, err := io.ReadAll(io.LimitReader(body, l.Bytes+1))
	if err != nil {
		return result, withCause(ctx, err)
	}
	if int64(len(data)) > l.Bytes {
		return result, errors.Wrapf(ErrTooLong, "more than %d bytes", l.Bytes)
	}
	result.Body = data
	return result, nil
}

// withCause returns the reason for which Do ended the call, or err if Do did not end it.
func withCause(ctx context.Context, err error) error {
	cause := context.Cause(ctx)
	if errors.Is(cause, ErrNoResponse) || errors.Is(cause, ErrStalled) {
		return errors.WithStack(cause)
	}
	return errors.WithStack(err)
}

// bodyReader reads a body, records what arrives and calls extend with each part.
type bodyReader struct {
	body     io.Reader
	progress *Progress
	extend   func()
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	n, err := r.body.Read(buffer)
	if n > 0 {
		r.progress.RecordBytes(n)
		r.extend()
	}
	return n, err
}
