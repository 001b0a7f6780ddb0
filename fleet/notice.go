package fleet

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Incarnation identifies one run of a backend server's process.
type Incarnation struct {
	ID domain.ServerID
	// StartedAtMs is the start of the process in Unix milliseconds, 0 if it is not known.
	StartedAtMs int64
}

// Incarnation returns the incarnation that registered.
func (s *Server) Incarnation() Incarnation {
	return Incarnation{ID: s.ID, StartedAtMs: s.EngineState.StartedAtMs}
}

// Notice is what a backend server says of itself in a response. The zero Notice says
// nothing.
type Notice struct {
	// Leaving means that the server is going to shut down and takes no new requests.
	Leaving bool
	// RetryAfter is the time for which the server wants no requests, 0 for none.
	RetryAfter time.Duration
	// Invalid describes a statement of the server that could not be used; empty for none.
	Invalid string
}

// NoticeSource is where a notice came from.
type NoticeSource int

// The sources.
const (
	// FromRequest is the response to a caller's request.
	FromRequest NoticeSource = iota
	// FromControl is the response to an order or a report call.
	FromControl
	// FromNode is the report of another node.
	FromNode
)

// Restriction is the reason why a server gets no requests.
type Restriction int

// The restrictions.
const (
	Unrestricted Restriction = iota
	// Leaving servers have said that they shut down.
	Leaving
	// RetryLater servers have asked for no requests for a time.
	RetryLater
)

// RestrictedServer is a server that has a restriction.
type RestrictedServer struct {
	Server *Server
	Restriction
	// Since is when the server was first known to leave; it is set for Leaving.
	Since time.Time
	// Until is the end of the time that the server asked for; it is set for RetryLater.
	Until time.Time
}

// Selection divides servers by whether they may be sent one request.
type Selection struct {
	// Open servers have no restriction.
	Open []*Server
	// LastResort servers are leaving. They may be sent the request if no other server can
	// take it.
	LastResort []RestrictedServer
	// Restricted servers must not be sent the request.
	Restricted []RestrictedServer
}

// NoticeChange is what a notice has changed.
type NoticeChange struct {
	// BeganLeaving means that the server was not known to leave before.
	BeganLeaving bool
	// BeganRetryLater means that no earlier request of the server for time was in force.
	BeganRetryLater bool
	// RetryAt is the end of the time that the server has asked for.
	RetryAt time.Time
	// BeganInvalid means that the notice is invalid in part, and that there was no other
	// such notice of the server within invalidNoticeInterval.
	BeganInvalid bool
}

// LeavingServer is an incarnation that said that it leaves, and when it was first known.
type LeavingServer struct {
	Incarnation
	Since time.Time
}
