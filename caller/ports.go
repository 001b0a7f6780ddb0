// Package caller speaks to callers: the OpenAI-compatible API and the plain
// services, with admission, deadlines, retries and verdicts.
package caller

import (
	"context"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/routing"
)

// Catalogue reads the configuration in force. The node implements it over the
// fold.
type Catalogue interface {
	Model(n domain.ModelName) (configuration.Model, bool)
	Adapter(m domain.ModelName, n domain.AdapterName) (configuration.Adapter, bool)
	Service(n domain.ServiceName) (configuration.Service, bool)
	Models() []configuration.Model
	Adapters() []configuration.Adapter
	Deployment() configuration.Deployment
	// TeamByKey finds the team and key whose hash is h.
	TeamByKey(h [32]byte) (configuration.Team, configuration.Key, bool)
	// IsQuarantined tells whether operators or the fold block a content hash.
	IsQuarantined(content [32]byte) bool
}

// PlacementRequest is what a request asks of a replica.
type PlacementRequest struct {
	Request  domain.RequestID
	Model    domain.ModelName
	Adapter  domain.AdapterName
	Team     domain.TeamName
	Priority domain.Priority
	Deadline domain.Deadline
	// Exclude are servers that just failed this request.
	Exclude []domain.ServerID
}

// Placer finds the loaded replicas of a model and wakes one where there is none.
// It waits at most until the deadline; its errors carry a verdict, which always
// is NotRun.
type Placer interface {
	Place(ctx context.Context, n PlacementRequest) ([]routing.Replica, error)
	// MarkUnloaded tells the placer that a server answered that it does not have the
	// model, so that what it remembers is dropped.
	MarkUnloaded(s domain.ServerID, m domain.ModelName)
}

// Command is one non-idempotent call with a key.
type Command struct {
	Key fold.CommandKey
	// Request is a hash of method, path and body.
	Request [32]byte
	// Deadline is when the caller gives up.
	Deadline domain.Deadline
}

// Outcome is the answer to a command.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// Truncated is true where the command ran and its answer was too large to
	// keep for a resend.
	Truncated bool
}

// CommandRunner runs a command at most once over all nodes. Run calls forward only
// after the claim is agreed, and at most once; a resend gets the recorded
// outcome. Forward's error must carry NotRun where no byte was sent.
type CommandRunner interface {
	Run(ctx context.Context, c Command, forward func(context.Context) (Outcome, error)) (Outcome, error)
}

// Backends lists the servers of a plain service that take new work.
type Backends interface {
	Service(n domain.ServiceName) []routing.Replica
}
