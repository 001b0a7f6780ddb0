// Package configuration defines the operators' configuration: which models, adapters,
// services and teams exist and what they may use. It decodes, validates and encodes its
// records in every supported schema version. The commands read and write configuration
// files with it; the administration API and the replicated state machine (package fold)
// decode the records of the platform's log. The package does no I/O besides the given
// readers and writers, and it never decides whether a record applies.
package configuration

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Record is one operator record, the unit of a change. Exactly one of the pointers from Model
// to Remove is set.
type Record struct {
	// SchemaVersion is the version of the format in which the record is encoded.
	SchemaVersion int
	// Expect is a precondition (compare-and-set): the version of the object that the
	// operator read. A record whose Expect differs from the object's current version is
	// skipped. Nil means no precondition.
	Expect *domain.Offset
	// Author identifies the operator who made the change, for the history.
	Author string
	// ID identifies the change. After an append with an unknown outcome the operator can
	// find out with it whether the record is in the log. It may be empty.
	ID string

	Model      *Model
	Adapter    *Adapter
	Service    *Service
	Team       *Team
	Deployment *Deployment
	Drain      *Drain
	Quarantine *Quarantine
	Remove     *Remove
}

// Model is a base model that callers can request.
type Model struct {
	Name domain.ModelName
	// Version identifies the checkpoint to load.
	Version domain.VersionName
	// Memory is the memory of one loaded replica, without adapters.
	Memory domain.Bytes
	// Copies is the maximum number of replicas loaded at once, in all regions together.
	Copies domain.ReplicaCount
	// Regions are the regions in which replicas may be loaded; empty means all.
	Regions []domain.Region
	// Paused makes nodes reject requests for the model and unload its replicas.
	Paused bool
	// Concurrency is the number of requests that one replica batches at once; 0 means
	// DefaultConcurrency.
	Concurrency int
	// RequestsPerSecond limits the rate of requests for the model at all nodes together; 0
	// means no limit.
	RequestsPerSecond float64
}

// DefaultConcurrency is the batch size of a model whose Concurrency is 0.
const DefaultConcurrency = 16

// Adapter is a small set of weights on top of one base model.
type Adapter struct {
	Name    domain.AdapterName
	Model   domain.ModelName
	Version domain.VersionName
	// Memory is the memory of the loaded adapter, in addition to its base model.
	Memory domain.Bytes
}

// Service is a service other than a model, to which requests are forwarded.
type Service struct {
	Name domain.ServiceName
	// IdempotentMethods are the HTTP methods whose requests may be retried; empty means
	// GET, HEAD and OPTIONS.
	IdempotentMethods []string
}

// Team is one tenant of the shared platform.
type Team struct {
	Name domain.TeamName
	// Keys authenticate the team's callers and operators.
	Keys []Key
	// RequestsPerSecond, TokensPerMinute and Concurrency limit the team at all nodes
	// together; 0 means no limit.
	RequestsPerSecond float64
	TokensPerMinute   domain.Tokens
	Concurrency       int
	// Priority orders waiting requests; a larger one goes first.
	Priority domain.Priority
	// Share is the team's weight among waiting requests; 0 means 1.
	Share float64
	// Models are the models that the team may call; empty means all.
	Models []domain.ModelName
	// Objectives are the team's service-level objectives that differ from the defaults.
	Objectives []Objective
}

// Role is the set of permissions of a key.
type Role int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Role -output=role_string.go

const (
	// ReadOnly permits reading status, configuration and reports.
	ReadOnly Role = iota
	// Caller permits calling models and services.
	Caller
	// Operator permits all of this and changing the configuration.
	Operator
)

// Key describes an access key of a team. Only a hash of the key itself is stored.
type Key struct {
	// Name identifies the key in logs and in the history.
	Name string
	// Hash is the SHA-256 of the key.
	Hash [32]byte
	Role Role
	// Expires is the time at which the key becomes invalid; the zero time means never.
	Expires time.Time
}

// Deployment holds the settings of the whole installation.
type Deployment struct {
	// ColdStartWeight is the cost of a second of cold-start wait and IdleWeight that of an
	// idle accelerator hour. Imnar sets a high ColdStartWeight, Coral a high IdleWeight.
	ColdStartWeight float64
	IdleWeight      float64
	// DefaultTimeout applies to requests without Request-Timeout, and MaximumTimeout limits
	// that header; 0 means the constant of the same name.
	DefaultTimeout time.Duration
	MaximumTimeout time.Duration
	// RequireKeys makes nodes reject callers and operators without a key.
	RequireKeys bool
}

// Timeouts of a deployment that sets none.
const (
	DefaultTimeout = 30 * time.Second
	MaximumTimeout = 10 * time.Minute
)

// Drain takes a backend server, a node or an availability zone out of use.
type Drain struct {
	// Exactly one of Server, Node and Zone is set.
	Server domain.ServerID
	Node   domain.NodeID
	Zone   domain.Zone
	// Off ends the drain.
	Off bool
}

// Quarantine blocks requests with one content or ends the block.
type Quarantine struct {
	// Content is the SHA-256 of the request's content.
	Content [32]byte
	// Release ends the block.
	Release bool
}

// Kind is the kind of a named object.
type Kind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind -output=kind_string.go

// The kinds of objects that Remove can name.
const (
	KindModel Kind = iota
	KindAdapter
	KindService
	KindTeam
)

// Remove removes the named object. Name is MODEL:ADAPTER for an adapter.
type Remove struct {
	Kind Kind
	Name string
}
