// Package fleet is what a node knows of the users' platform: the operator's
// configuration and the backend servers. It has no input, output or clock.
package fleet

import (
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind,State,Tier -output=names_string.go

// Version numbers the operator's configurations; a larger one is newer.
type Version int64

// RouteName names a route of one configuration.
type RouteName string

// Kind says what may be repeated of a request.
type Kind int

// The kinds. The zero Kind is the one that allows the least.
const (
	// NonIdempotent requests run once at most.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by events. They run once at most, unless
	// their route is resumable.
	Streaming
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service domain.ServiceName
	// Weight is relative to the other targets of the route; it is positive.
	Weight int
}

// Route leads requests of a host and path to a service.
type Route struct {
	Name RouteName
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest that a caller is kept waiting for its whole answer.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or to a stream's first event.
	LatencyGoal time.Duration
	// EventGapGoal is the longest pause between events; zero where there are none.
	EventGapGoal time.Duration
	// Priority ranks routes, 0 first.
	Priority int
	// Targets is not empty.
	Targets []Target
	// MaxAttempts is how many backend servers may run one request, at least 1.
	MaxAttempts int
	// Resumable streams may go on at another backend server.
	Resumable bool
}

// IsRetryable tells whether a request may be sent again after it may have run.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickTarget returns the service for a request; random is in [0,1).
func (r *Route) PickTarget(random float64) domain.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := random * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model is one base model that an engine may load.
type Model struct {
	Name   domain.ModelName
	Memory domain.Bytes
	// FromStore, FromDisk and FromMemory are how long a load takes by where the
	// checkpoint lies.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	AdapterMemory                               domain.Bytes
}

// LoadTime is how long a load takes from a tier.
func (m Model) LoadTime(t Tier) time.Duration {
	switch t {
	case InMemory:
		return m.MemoryLoadTime
	case OnDisk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// Memory holds models and adapters together.
	Memory domain.Bytes
	// AdapterSlots is how many adapters one backend server holds.
	AdapterSlots int
	// LoadsPerSecond bounds the loads from the weight store over all servers.
	LoadsPerSecond float64
	Models         map[domain.ModelName]Model
	// AdapterReserve is the memory that a full set of the largest adapters takes. Index
	// sets it.
	AdapterReserve domain.Bytes
}

// Service is a group of backend servers that serve the same.
type Service struct {
	Name domain.ServiceName
	// MaxConnections bounds the connections to one server from all nodes.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// ClientLimits bound what a caller may send and how long it may take.
type ClientLimits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Configuration is one version of what the operator wrote. It is not changed
// after it was decoded.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[domain.ServiceName]Service
	Limits   ClientLimits
	byHost   map[string][]*Route
}

// Index prepares the configuration for use. It must be called once, before the
// configuration is handed on.
func (c *Configuration) Index() {
	for _, s := range c.Services {
		if s.Engine != nil {
			s.Engine.reserve()
		}
	}
	c.byHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
}

func (e *Engine) reserve() {
	var largest domain.Bytes
	for _, m := range e.Models {
		largest = max(largest, m.AdapterMemory)
	}
	e.AdapterReserve = largest * domain.Bytes(e.AdapterSlots)
}

// Match returns the route with the longest prefix of path on a host, or nil.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}
