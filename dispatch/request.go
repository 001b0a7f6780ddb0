// Package dispatch handles single requests in front of backend servers: it selects the
// server, waits for a model or adapter that is being loaded, enforces timeouts, retries at
// other servers, forwards the response and decides which error the caller gets.
//
// Package platform receives the requests and implements Caller and Backend over HTTP;
// package entry publishes the View and reports the Demand. Package dispatch opens no
// connection itself and never loads a model.
package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fleet"
	"github.com/parsleylug/parsleylug/placement"
	"github.com/parsleylug/parsleylug/suspects"
	"github.com/parsleylug/parsleylug/verdict"
)

// Request is one request of a caller.
type Request struct {
	ID      domain.RequestID
	Route   *fleet.Route
	Service domain.ServiceName
	// Model and Adapter are empty for plain services.
	Model   domain.ModelName
	Adapter domain.AdapterName
	// Prefix identifies the shared prefix of the prompt; it may be empty.
	Prefix string
	// ArrivedAt is when the request was read. Deadline is when the caller's deadline or the
	// route's timeout ends, whichever is earlier.
	ArrivedAt, Deadline time.Time
	// LastEvent is the last event that the caller has received, 0 for none.
	LastEvent EventID
	// Content is the hash of the request's content, which is the same in every retry.
	Content suspects.Content
	// Message is the request as the platform received it.
	Message any
}

func (r *Request) key() placement.ModelKey {
	return placement.ModelKey{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
}

// EventID numbers the events of a stream in increasing order.
type EventID int64

// Attempt holds the parameters of one attempt to send a request.
type Attempt struct {
	// Timeout is the time left for the backend server to respond.
	Timeout time.Duration
	// LastEvent is the last event that the caller has received; the stream resumes after
	// it.
	LastEvent EventID
	// Priority ranks the request in the server's queue, 0 first.
	Priority int
}

// Refusal is the reason why a backend server did not run a request.
type Refusal int

// The refusals.
const (
	// NotRefused means that the server did not refuse the request.
	NotRefused Refusal = iota
	// Full means that the server has no room now.
	Full
	// Elsewhere means that the request reached another server than the intended one, or
	// that the server lacks the model or adapter.
	Elsewhere
)

// Load is the load that a server reported with a response. Known is false if there was no
// valid report.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Response is the response of a backend server.
type Response struct {
	Status int
	// Refusal is set if the server stated that it did not run the request.
	Refusal Refusal
	// Verified is true if the response is marked as one to this request. A response that
	// is not verified is never forwarded.
	Verified bool
	Load     Load
	// Body is nil for a successful stream.
	Body io.ReadCloser
	// Events is set for a successful stream only.
	Events Events
	// Message is the response as the platform received it.
	Message any
}

// IsSuccess reports whether the status is in the range 200 to 299.
func (r *Response) IsSuccess() bool { return r.Status >= 200 && r.Status < 300 }

// Event is one event of a stream, as the bytes to forward.
type Event struct {
	ID  EventID
	Raw []byte
}

// Events reads a stream. Next returns io.EOF at the end of a complete stream and another
// error if the stream broke.
type Events interface {
	Next() (Event, error)
	Close()
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send makes one attempt. An error is a *verdict.Error, or is treated as one with an
	// unknown outcome; its verdict is NotRun only if no byte was sent.
	Send(ctx context.Context, s *fleet.Server, r *Request, a Attempt) (*Response, error)
	// Reach returns nil if a server accepts connections.
	Reach(ctx context.Context, s *fleet.Server) error
}

// Caller writes the response to the caller of a request. One of WriteResponse, StartStream
// and WriteError is called first, and only once.
type Caller interface {
	// WriteResponse writes a complete response.
	WriteResponse(a *Response, body []byte) error
	// StartStream writes the head of a stream.
	StartStream(a *Response) error
	// WriteEvent writes one event of a stream; bytes is nil at the end of a complete
	// stream.
	WriteEvent(bytes []byte) error
	// WriteError writes the error of a request without a response.
	WriteError(e *verdict.Error)
	// Abort ends a stream so that it does not look complete.
	Abort()
}
