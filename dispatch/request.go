// Package dispatch handles single requests in front of backend servers: it selects the
// server, waits for a model or adapter that is being loaded, enforces timeouts, retries at
// other servers, forwards the response and decides which error the caller gets.
//
// Package platform receives the requests and implements Caller and Backend over HTTP;
// package entry publishes the View and reports the demand. Package dispatch opens no
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
	// Model and Adapter are empty for services without models.
	Model   domain.ModelName
	Adapter domain.AdapterName
	// Prefix identifies the shared prefix of the prompt; it may be empty.
	Prefix string
	// Workspace is the workspace of the caller's API key; nil if there is none.
	Workspace *fleet.Workspace
	// Rank orders the request among those of its service, from 0, the most urgent, to 9.
	Rank int
	// Size is the size of the prompt and of the response.
	Size RequestSize
	// PromptParts are the parts of the prompt in their order. Other prompts may share all but the
	// last one.
	PromptParts []PromptPart
	// ArrivedAt is when this node read the request. Deadline is the caller's deadline or
	// the end of the route's timeout, whichever is earlier.
	ArrivedAt, Deadline time.Time
	// LinkDelay is how long the request may have been on its way because of what this node
	// received then. Its caller may have waited that much longer.
	LinkDelay time.Duration
	// CallerTimeout is the time limit of the caller, without that of the route.
	CallerTimeout time.Duration
	// InForce is the configuration in force at the arrival.
	InForce InForce
	// LastEvent is the last event that the caller had received before it sent this
	// request, 0 for none.
	LastEvent EventID
	// Content is the hash of the request's content, which is the same in every retry.
	Content suspects.Content
	// Traits are what the request may have in common with others that are not alike: the
	// parts of its prompt but the last.
	Traits []suspects.Trait
	// Message is the request as package platform received it.
	Message any
}

// RequestSize is the size of a request in tokens, as its caller states it.
type RequestSize struct {
	// Known is false if the caller does not state the size.
	Known bool
	// Prompt is the number of tokens of the prompt, MaximumOutput the largest number of tokens of
	// the response.
	Prompt, MaximumOutput domain.Tokens
}

// Total returns the sum of the prompt tokens and the largest number of output tokens.
func (s RequestSize) Total() domain.Tokens { return s.Prompt + s.MaximumOutput }

// PromptPart is a part of a prompt. Equal parts have equal IDs.
type PromptPart struct {
	ID     uint64
	Tokens domain.Tokens
}

func (r *Request) key() placement.ModelKey {
	return placement.ModelKey{Service: r.Service, Model: r.Model, Adapter: r.Adapter}
}

// maximumAdapterName is the longest name of an adapter in bytes that counts in the demand.
const maximumAdapterName = 256

// demandKey returns what the request counts as in the demand: nothing if the configuration of the
// view lacks its model, or its adapter cannot exist. Callers choose these names, and the demand
// for any number of them would have to be kept and sent to the owner.
func (r *Request) demandKey(v *View) placement.ModelKey {
	if v.Config == nil || len(r.Adapter) > maximumAdapterName {
		return placement.ModelKey{}
	}
	engine := v.Config.Services[r.Service].Engine
	if engine == nil {
		return placement.ModelKey{}
	}
	if _, ok := engine.Models[r.Model]; !ok {
		return placement.ModelKey{}
	}
	return r.key()
}

func (r *Request) durationKey() durationKey {
	return durationKey{route: r.Route.Name, service: r.Service}
}

// EventID numbers the events of a stream in increasing order.
type EventID int64

// Attempt holds the parameters of one attempt.
type Attempt struct {
	// Timeout is the time in which the backend server has to respond.
	Timeout time.Duration
	// LastEvent is the last event that the caller has received; the stream resumes after
	// it.
	LastEvent EventID
	// Rank orders the request in the server's queue, from 0, the most urgent, to 9.
	Rank int
	// OnBreak is called at most once if Send has returned because its context ended and the
	// connection breaks before the server has responded, while it is still open. It may be nil.
	OnBreak func(error)
}

// Refusal is the reason why a backend server did not run a request.
type Refusal int

// The refusals.
const (
	// NotRefused means that the server did not refuse the request.
	NotRefused Refusal = iota
	// Full means that the server has no room now.
	Full
	// Elsewhere means that the server lacks the model or adapter, or that the request was
	// addressed to another server.
	Elsewhere
)

// Load is the load that a server reported with a response: the numbers of its running and
// waiting requests and of its slots. Known is false if the response had no valid report.
type Load struct {
	Known                   bool
	Running, Waiting, Slots int
	// Pace is how long work takes at the server at present, relative to the usual time: 1 is
	// usual, 2 is twice as long. It is 0 if the server did not report it.
	Pace float64
}

// Response is the response of a backend server.
type Response struct {
	Status int
	// Refusal is set if the server stated that it did not run the request.
	Refusal Refusal
	// Verified is true if the headers of the response show that it responds to this
	// request. An unverified response is never forwarded.
	Verified bool
	Load     Load
	// Body is nil for a successful stream. BodyLength is the length that the server has
	// declared for it in bytes, 0 or less if it is unknown.
	Body       io.ReadCloser
	BodyLength int64
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
	// IsComment is true if there are only comments or nothing before the empty line. Such
	// bytes keep a connection open and are no part of the stream.
	IsComment bool
}

// Events reads the events of a stream. Next returns io.EOF at the end of a complete
// stream and another error if the stream broke. The bytes of an event are valid until the next
// call of Next or Close.
type Events interface {
	Next() (Event, error)
	// IsWaiting reports, while Next runs, whether it waits for memory and does not read.
	IsWaiting() bool
	Close()
}

// Backend sends requests to backend servers.
type Backend interface {
	// Send makes one attempt. It returns soon after ctx has ended, and so do reads of the
	// body and the events of the response. An error that is not a *verdict.Error counts as one with an
	// unknown outcome. The verdict is NotRun only if no byte of the request was sent.
	Send(ctx context.Context, s *fleet.Server, r *Request, a Attempt) (*Response, error)
	// Reach returns nil if the server accepts connections.
	Reach(ctx context.Context, s *fleet.Server) error
}

// Caller writes the response to the caller of a request. Exactly one of WriteResponse,
// StartResponse, StartStream and WriteError is called. StartResponse is followed by calls of
// WritePart, StartStream by calls of WriteEvent, and both by Abort if the rest is lost.
type Caller interface {
	// WriteResponse writes a complete response, whose body is given in parts.
	WriteResponse(r *Response, body [][]byte) error
	// StartResponse writes the head of a response whose body has the length that its server
	// has declared.
	StartResponse(r *Response) error
	// WritePart writes part of such a body.
	WritePart(part []byte) error
	// StartStream writes the head of a stream.
	StartStream(r *Response) error
	// WriteEvent writes one event of a stream. Nil bytes mark the end of a complete
	// stream.
	WriteEvent(raw []byte) error
	// WriteError writes the error of a request that has no response to forward.
	WriteError(e *verdict.Error)
	// Abort ends a response in such a way that it does not look complete.
	Abort()
}
