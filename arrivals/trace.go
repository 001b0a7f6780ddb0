// Package arrivals generates, reads and writes traces of requests for rarely used models: when
// each request arrives and for which model, and the backend servers with their cached
// checkpoints. Package wakereplay replays the traces; the command "report waking" generates and
// stores them. The package decides nothing about models and reads no clock: a generated trace
// depends on its name and seed alone.
package arrivals

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Trace is a recorded or generated sequence of requests and the system that they are sent to.
type Trace struct {
	Name string
	Seed uint64
	// Start is the time of offset zero, in the time zone of the callers.
	Start time.Time
	// Length is the duration of the trace. Figures are taken from MeasuredFrom on; the requests
	// before it are history for the policy.
	Length       time.Duration
	MeasuredFrom time.Duration
	// ColdStartWeight is the cost of one second that a request waits for a cold start,
	// IdleWeight that of one hour in which a loaded replica serves no request.
	ColdStartWeight float64
	IdleWeight      float64
	Models          []Model
	Servers         []Server
	// Requests are sorted by time.
	Requests []Request
}

// Model is a model with its size and its main region.
type Model struct {
	Name domain.ModelName
	Size domain.Bytes
	// Region is where most of the model's callers are.
	Region domain.Region
}

// Server is a backend server with its caches of checkpoints.
type Server struct {
	ID     domain.ServerID
	Region domain.Region
	Memory domain.Bytes
	// DiskSlots and MemorySlots are the numbers of checkpoints that its caches hold.
	DiskSlots   int
	MemorySlots int
	// OnDisk are the checkpoints on its disk at the start, by index of the model.
	OnDisk []int
}

// Request is a request for a model at one time of the trace.
type Request struct {
	// At is the time since the Start of the trace.
	At time.Duration
	// Model is the index of the model.
	Model int
	// ResponseTime is the duration of the response once the model is loaded.
	ResponseTime time.Duration
	// Timeout is how long the caller waits for the first token.
	Timeout time.Duration
}
