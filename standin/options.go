// Package standin simulates the external systems that a node talks to: the platform's log,
// weight store and VM list, model engines and booking services. The serve and standins
// commands start it, as do tests of other packages.
//
// Faults are injected at run time (Group.Inject, POST /Faults), and GET /Observed reports
// the requests, commands, replicas and memory that the simulated systems saw, so that a
// test can check the guarantees of nodes from outside. The package never calls a node and
// never reads its state. docs/protocols.md describes the API.
package standin

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Options configures the stand-ins. The zero value of a field selects its default.
type Options struct {
	// ListenIP is the IP that every server listens on; default 127.0.0.1.
	ListenIP string
	// Engines and Services are the numbers of servers to start; default 2 and 1.
	Engines  int
	Services int
	// Seed makes random choices reproducible: lost responses and cache events, adapter
	// load times.
	Seed uint64
	// ConfigurationRecords are appended to the configuration stream at start.
	ConfigurationRecords [][]byte
	// DecodeCopies decodes the copy limit of a model from an operator record; ok is false for
	// other records. If it is nil, Observed reports no Copies.
	DecodeCopies func(raw []byte) (model string, copies int, ok bool)
	// LoadTime is the time to transfer 16 GiB from the weight store at full speed; default
	// 1.5 s.
	LoadTime time.Duration
	// TokenInterval is the time between two tokens of a response; default 10 ms.
	TokenInterval time.Duration
	// EngineMemory is the memory of each engine; default 64 GiB.
	EngineMemory domain.Bytes
	// ChecksFences sets for each engine whether it refuses orders with a stale fencing
	// token. The list is repeated over the engines; if it is empty, all engines refuse.
	ChecksFences []bool
	// EnforceMemory makes engines refuse loads that exceed their memory.
	EnforceMemory bool
	// Concurrency is the number of requests that a replica runs at once; default 16.
	Concurrency int
	// Regions are assigned round-robin to engines and to services; default brisbane,
	// townsville and toowoomba.
	Regions []domain.Region
	// RestartTime is the delay before a crashed engine or service restarts; default 1 s.
	RestartTime time.Duration
	// VMListLag is the age of the state that the VM list returns; default 1 s.
	VMListLag time.Duration
	// AppendsPerSecond is the rate limit on appends to the log; default 500.
	AppendsPerSecond float64
	// LogRetention is the number of records that a stream keeps; default 100000.
	LogRetention int
}

const (
	defaultListenIP         = "127.0.0.1"
	defaultEngines          = 2
	defaultServices         = 1
	defaultLoadTime         = 1500 * time.Millisecond
	defaultTokenInterval    = 10 * time.Millisecond
	defaultEngineMemory     = 64 * domain.Gibibyte
	defaultConcurrency      = 16
	defaultRestartTime      = time.Second
	defaultVMListLag        = time.Second
	defaultAppendsPerSecond = 500
	defaultLogRetention     = 100_000
)

func (o Options) withDefaults() Options {
	o.ListenIP = valueOr(o.ListenIP, defaultListenIP)
	o.Engines = valueOr(o.Engines, defaultEngines)
	o.Services = valueOr(o.Services, defaultServices)
	o.LoadTime = valueOr(o.LoadTime, defaultLoadTime)
	o.TokenInterval = valueOr(o.TokenInterval, defaultTokenInterval)
	o.EngineMemory = valueOr(o.EngineMemory, defaultEngineMemory)
	o.Concurrency = valueOr(o.Concurrency, defaultConcurrency)
	o.RestartTime = valueOr(o.RestartTime, defaultRestartTime)
	o.VMListLag = valueOr(o.VMListLag, defaultVMListLag)
	o.AppendsPerSecond = valueOr(o.AppendsPerSecond, defaultAppendsPerSecond)
	o.LogRetention = valueOr(o.LogRetention, defaultLogRetention)
	if len(o.Regions) == 0 {
		o.Regions = []domain.Region{"brisbane", "townsville", "toowoomba"}
	}
	if len(o.ChecksFences) == 0 {
		o.ChecksFences = []bool{true}
	}
	return o
}

func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// location returns the region and availability zone of the i-th engine or service: regions
// round-robin, with three zones in each.
func (o Options) location(i int) (domain.Region, domain.Zone) {
	const zones = "abc"
	region := o.Regions[i%len(o.Regions)]
	letter := zones[i/len(o.Regions)%len(zones)]
	return region, domain.Zone(string(region) + "-" + string(letter))
}
