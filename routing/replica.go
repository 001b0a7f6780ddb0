// Package routing chooses the replica that serves a request: the nearest locality
// with a free slot, and within it the least loaded of a sample (power of two
// choices). Package caller calls it for each attempt, hedge and plain service
// request, and reports when the request ends. The package is given load reports and
// the time: it never reads a clock, does no I/O and starts no goroutines.
package routing

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Replica is one loaded copy of a model, or one server of a plain service, as last
// reported to this node.
type Replica struct {
	Server  domain.ServerID
	Address string
	Region  domain.Region
	Zone    domain.Zone
	// Running and Waiting are the numbers of requests of all nodes that the replica
	// runs and queues, as of the last report. ReportedAt identifies that report.
	Running, Waiting int
	ReportedAt       time.Time
	// Concurrency is the number of requests that the replica batches at once: its slots.
	Concurrency int
	// Adapters are the adapters loaded on the replica.
	Adapters []domain.AdapterName
	// LoadedAt is when this node first saw the replica loaded, for slow start; zero
	// means no slow start.
	LoadedAt time.Time
}
