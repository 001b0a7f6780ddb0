// Package arrivals makes and keeps traces of requests for rarely used models: when
// they come, for which model, and which backend servers and caches there are. A generated
// trace depends on its name and seed alone.
package arrivals

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Trace is a recorded or generated stretch of requests.
type Trace struct {
	Name string
	Seed uint64
	// Start is the time of the first request's zero offset. Its zone is that of the callers.
	Start time.Time
	// Length is how long the trace runs. Figures are taken from Measured to
	// Length; what comes before is history.
	Length       time.Duration
	MeasuredFrom time.Duration
	// ColdStartWeight and IdleWeight are the deployment's prices.
	ColdStartWeight float64
	IdleWeight      float64
	Models          []Model
	Servers         []Server
	// Requests are in order of their times.
	Requests []Request
}

// Model is a model of the catalogue.
type Model struct {
	Name domain.ModelName
	Size domain.Bytes
	// Region has most of the model's callers.
	Region domain.Region
}

// Server is a backend server with its caches of checkpoints.
type Server struct {
	ID     domain.ServerID
	Region domain.Region
	Memory domain.Bytes
	// DiskSlots and MemorySlots are how many checkpoints its caches hold.
	DiskSlots   int
	MemorySlots int
	// OnDisk are the checkpoints, by index of the model, that its disk holds at the start.
	OnDisk []int
}

// Request is one caller's request.
type Request struct {
	// At is the time since the trace's Start.
	At time.Duration
	// Model is the index of the model.
	Model int
	// ResponseTime is how long the answer takes once the model is loaded.
	ResponseTime time.Duration
	// Timeout is how long the caller waits for its first token.
	Timeout time.Duration
}
