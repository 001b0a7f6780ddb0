// Package fleet holds a node's view of the platform: the operator's configuration
// (routes, services, engines and models) and the directory of registered backend
// servers. Packages platform and hub decode into its types, entry keeps the
// Directory up to date, dispatch and placement read both. The package does no I/O
// and reads no clock.
package fleet

import (
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind,State,Tier,NoticeSource,Restriction -output=names_string.go

// Version is the version number of an operator's configuration. A larger Version is newer.
type Version int64

// RouteName identifies a route within one configuration.
type RouteName string

// Kind classifies requests by how they may be retried.
type Kind int

// The kinds. The zero Kind is the most restrictive one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests get a stream of events as the response. They run at most once,
	// unless their route is resumable.
	Streaming
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service domain.ServiceName
	// Weight is the share of the target relative to the other targets of the route. It is
	// positive.
	Weight int
}

// Route maps requests with a host and path prefix to services.
type Route struct {
	Name RouteName
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind says how the route's requests may be retried.
	Kind Kind
	// Timeout limits the time from the arrival of a request until the caller has the
	// whole response.
	Timeout time.Duration
	// LatencyGoal is the goal for the time to the response or, for a stream, to its first
	// event.
	LatencyGoal time.Duration
	// EventGapGoal is the goal for the longest pause between events; zero for no goal.
	EventGapGoal time.Duration
	// Priority ranks the requests of the route in the queues of the servers; 0 is the
	// highest.
	Priority int
	// Targets are the services that share the requests of the route. There is at least
	// one.
	Targets []Target
	// MaxAttempts is the maximum number of attempts that may run one request; at least 1.
	MaxAttempts int
	// Resumable means that another backend server may continue a broken stream.
	Resumable bool
	// Public means that requests need no API key.
	Public bool
}

// IsRetryable reports whether a request of the route may be sent again even if an earlier
// attempt may have run.
func (r *Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickTarget returns the service for a request, in proportion to the weights of the
// targets; random is a random number in [0,1).
func (r *Route) PickTarget(random float64) domain.ServiceName {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := random * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Model describes a base model that an engine may load.
type Model struct {
	Name domain.ModelName
	// Memory is the memory that the loaded model occupies, without adapters.
	Memory domain.Bytes
	// StoreLoadTime, DiskLoadTime and MemoryLoadTime are the load times from each tier
	// that can hold the checkpoint.
	StoreLoadTime, DiskLoadTime, MemoryLoadTime time.Duration
	// AdapterMemory is the memory that one adapter of the model occupies.
	AdapterMemory domain.Bytes
}

// LoadTime returns the load time from a tier.
func (m Model) LoadTime(t Tier) time.Duration {
	switch t {
	case InMemory:
		return m.MemoryLoadTime
	case OnDisk:
		return m.DiskLoadTime
	}
	return m.StoreLoadTime
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// Memory is the memory of one engine for models and adapters together.
	Memory domain.Bytes
	// AdapterSlots is the number of adapters that one engine can have loaded.
	AdapterSlots int
	// CacheTokens is the memory of one engine for running requests and cached parts of prompts
	// together (KV cache); 0 if unknown.
	CacheTokens domain.Tokens
	// LoadsPerSecond is the rate of loads from the weight store that the store permits,
	// over all servers.
	LoadsPerSecond float64
	Models         map[domain.ModelName]Model
	// AdapterReserve is the memory reserved for adapters: AdapterSlots times the memory
	// of the largest one. Index sets it.
	AdapterReserve domain.Bytes
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name domain.ServiceName
	// MaxConnections is the largest number of connections from all nodes to one server.
	MaxConnections int
	// Engine is nil for services without models.
	Engine *Engine
}

// ClientLimits are the limits for the size and the duration of callers' requests.
type ClientLimits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Configuration is one version of the operator's configuration. It is immutable
// after Index.
type Configuration struct {
	Version  Version
	Routes   []Route
	Services map[domain.ServiceName]Service
	Limits   ClientLimits
	// Workspaces is empty if requests need no API key.
	Workspaces   []Workspace
	routesByHost map[string][]*Route
	// workspacesByKey holds the workspaces by the hashes of their keys. The priorities are sorted
	// and distinct.
	workspacesByKey                      map[KeyHash]*Workspace
	workspacePriorities, routePriorities []int
}

// Index computes the derived fields. It must be called once, before the configuration is
// shared between goroutines.
func (c *Configuration) Index() {
	for _, s := range c.Services {
		if s.Engine != nil {
			s.Engine.setAdapterReserve()
		}
	}
	c.routesByHost = make(map[string][]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	c.indexWorkspaces()
}

func (e *Engine) setAdapterReserve() {
	var largest domain.Bytes
	for _, m := range e.Models {
		largest = max(largest, m.AdapterMemory)
	}
	e.AdapterReserve = largest * domain.Bytes(e.AdapterSlots)
}

// Match returns the route with the given host whose PathPrefix is the longest prefix of
// path, or nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	var best *Route
	for _, r := range c.routesByHost[host] {
		if !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best
}
