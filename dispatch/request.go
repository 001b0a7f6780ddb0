// Package dispatch decides what becomes of one request in front of backend
// servers: where it goes, whether it waits for a model, whether it is sent again,
// and what its caller is told. It speaks to callers and backend servers through
// small interfaces and opens no connection itself.
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
	// Prefix is the name of the shared beginning of the prompt, or empty.
	Prefix string
	// Arrived is when the request was read; Deadline is when its caller leaves or
	// its route's timeout is over, whichever is first.
	Arrived, Deadline time.Time
	// LastEvent is the last event that the caller has, 0 for none.
	LastEvent EventID
	// Content is the same for every resend of the request.
	Content suspects.Content
	// Message is the request as the adapter received it.
	Message any
}

func (r *Request) key() placement.ModelKey {
	return placement.ModelKey{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
}

// EventID numbers the events of a stream; later events have larger numbers.
type EventID int64

// Attempt is one sending of a request.
type Attempt struct {
	// Timeout is how long the backend server may take.
	Timeout time.Duration
	// LastEvent is the last event that the caller has.
	LastEvent EventID
	// Priority ranks it among the requests of the server, 0 first.
	Priority int
}

// Refusal says why a backend server did not run a request.
type Refusal int

// The refusals.
const (
	// NotRefused answers come from a run.
	NotRefused Refusal = iota
	// Full servers have no room now.
	Full
	// Elsewhere means that this server is not the one that was meant, or lacks the
	// model or adapter.
	Elsewhere
)

// Load is what a server said of its load beside an answer.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
}

// Response is the answer of a backend server.
type Response struct {
	Status int
	// Refusal is set where the server states that it did not run the request.
	Refusal Refusal
	// Verified tells whether the answer has the marks of one that belongs to the
	// request; others are never passed on.
	Verified bool
	Load     Load
	// Body is nil for a successful stream.
	Body io.ReadCloser
	// Events is set for a successful stream.
	Events Events
	// Message is the answer as the adapter received it.
	Message any
}

// Success tells whether the server carried the request out.
func (a *Response) Success() bool { return a.Status >= 200 && a.Status < 300 }

// Event is one event of a stream, with the bytes that carry it.
type Event struct {
	ID  EventID
	Raw []byte
}

// Events reads a stream. Next returns io.EOF after a whole stream and another
// error where it broke off.
type Events interface {
	Next() (Event, error)
	Close()
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send sends a request once. Errors are *verdict.Error: NotRun only where no
	// byte was sent.
	Send(ctx context.Context, s *fleet.Server, r *Request, a Attempt) (*Response, error)
	// Reach tells whether a server takes connections.
	Reach(ctx context.Context, s *fleet.Server) error
}

// Caller is the side of a request that waits for the answer. One of Whole, Begin
// and Refuse is called first, once.
type Caller interface {
	// WriteResponse passes on a complete answer.
	WriteResponse(a *Response, body []byte) error
	// StartStream passes on the head of a stream.
	StartStream(a *Response) error
	// WriteEvent passes on one event; bytes is nil to end the stream as complete.
	WriteEvent(bytes []byte) error
	// WriteError tells why there is no answer.
	WriteError(e *verdict.Error)
	// Abort ends an answer that was begun, so that it does not look complete.
	Abort()
}
