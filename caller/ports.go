// Package caller serves the requests of callers: the OpenAI-compatible chat API and the
// plain HTTP services. For each request it decides on admission, rate limits, the
// deadline, the backend server of each attempt, retries, hedged requests and the verdict
// that the caller receives.
//
// Package node creates one API, serves its Handler on the listener for callers and passes
// it the messages of other nodes. Package caller never loads a model or appends to the
// platform's log itself: it calls a Placer for replicas and a CommandRunner for commands
// that must run at most once.
package caller

import (
	"context"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/routing"
)

// Catalogue reads the current configuration. The node implements it over its replicated
// state.
type Catalogue interface {
	Model(n domain.ModelName) (configuration.Model, bool)
	Adapter(m domain.ModelName, n domain.AdapterName) (configuration.Adapter, bool)
	Service(n domain.ServiceName) (configuration.Service, bool)
	Models() []configuration.Model
	Adapters() []configuration.Adapter
	Deployment() configuration.Deployment
	// TeamByKey returns the team and the key that has the hash h.
	TeamByKey(h [32]byte) (configuration.Team, configuration.Key, bool)
	// IsQuarantined reports whether operators or the replicated state block a content hash.
	IsQuarantined(content [32]byte) bool
}

// PlacementRequest is a request for replicas that can serve a call.
type PlacementRequest struct {
	Request  domain.RequestID
	Model    domain.ModelName
	Adapter  domain.AdapterName
	Team     domain.TeamName
	Priority domain.Priority
	Deadline domain.Deadline
	// Exclude lists servers on which an attempt of this request just failed.
	Exclude []domain.ServerID
}

// Placer finds the loaded replicas of a model, or loads the model on demand if there are
// none. It waits until the deadline at most. Its errors carry the verdict NotRun.
type Placer interface {
	Place(ctx context.Context, n PlacementRequest) ([]routing.Replica, error)
	// MarkUnloaded reports that a server responded that the model is not loaded, so that the
	// placer removes it from its cached state.
	MarkUnloaded(s domain.ServerID, m domain.ModelName)
}

// Command is one non-idempotent call with an idempotency key.
type Command struct {
	Key fold.CommandKey
	// Request is a hash of the method, path, query and body.
	Request [32]byte
	// Deadline is the time at which the caller stops waiting for the response.
	Deadline domain.Deadline
}

// Outcome is the response to a command. It is recorded, and a retry with the same key gets it
// again.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is true if the command ran but its response was too large to store for
	// retries.
	Truncated bool
}

// CommandRunner runs a command at most once over all nodes. Run calls forward only after the
// claim is in the log, and at most once; a retry with the same key gets the recorded
// outcome. An error of forward must carry NotRun if no byte was sent.
type CommandRunner interface {
	Run(ctx context.Context, c Command, forward func(context.Context) (Outcome, error)) (Outcome, error)
}

// Backends lists the servers of a plain service that accept new work.
type Backends interface {
	Service(n domain.ServiceName) []routing.Replica
}
