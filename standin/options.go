// Package standin runs small stand-ins for what is outside the system: the
// platform's log, weight store and VM list, model engines and booking services.
// They take faults at run time and tell what they saw, so that a check outside a
// node can tell whether it kept its promises. docs/protocols.md has their API.
package standin

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Options say what to start. The zero value of each field means its default.
type Options struct {
	// ListenIP is where everything listens; default 127.0.0.1.
	ListenIP string
	// Engines and Services are how many to run; default 2 and 1.
	Engines  int
	Services int
	// Seed makes the random choices (lost answers, adapter load times) repeat.
	Seed uint64
	// ConfigurationRecords are appended to the configuration stream at the start.
	ConfigurationRecords [][]byte
	// DecodeCopies reads a model's copy limit from an operator record; ok is false for
	// other records. Nil leaves Copies out of Observed.
	DecodeCopies func(raw []byte) (model string, copies int, ok bool)
	// LoadTime is how long 16 GiB take from the weight store at full speed;
	// default 1.5 s.
	LoadTime time.Duration
	// TokenInterval is the time between two tokens of an answer; default 10 ms.
	TokenInterval time.Duration
	// EngineMemory is the size of each engine; default 64 GiB.
	EngineMemory domain.Bytes
	// ChecksFences tells for each engine whether it refuses old fencing numbers;
	// it is repeated over the engines. Empty means that all do.
	ChecksFences []bool
	// EnforceMemory lets engines refuse loads that do not fit.
	EnforceMemory bool
	// Concurrency is how many requests a replica batches at once; default 16.
	Concurrency int
	// Regions are given to engines and services in turn; default brisbane,
	// townsville and toowoomba.
	Regions []domain.Region
	// RestartTime is how long a crashed engine or service is away; default 1 s.
	RestartTime time.Duration
	// VMListLag is how far the VM list is behind; default 1 s.
	VMListLag time.Duration
	// AppendsPerSecond caps appends to the log; default 500.
	AppendsPerSecond float64
	// LogRetention is how many records a stream keeps; default 100000.
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

// place returns the region and availability zone of the i-th engine or service:
// regions in turn, and three zones in each.
func (o Options) place(i int) (domain.Region, domain.Zone) {
	const zones = "abc"
	region := o.Regions[i%len(o.Regions)]
	letter := zones[i/len(o.Regions)%len(zones)]
	return region, domain.Zone(string(region) + "-" + string(letter))
}
