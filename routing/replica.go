// Package routing chooses a replica for a request. It is pure: it is given load
// reports and the time, and has no input or output.
package routing

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Replica is one loaded copy of a model as a node sees it.
type Replica struct {
	Server  domain.ServerID
	Address string
	Region  domain.Region
	Zone    domain.Zone
	// Running and Waiting are the last reported counts; ReportedAt is when the
	// report came, which may be late.
	Running, Waiting int
	ReportedAt       time.Time
	// Concurrency is how many requests the replica batches at once.
	Concurrency int
	// Adapters are loaded on the replica.
	Adapters []domain.AdapterName
	// LoadedAt is when the replica was first seen, for slow start.
	LoadedAt time.Time
}
