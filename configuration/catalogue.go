// Package configuration holds the operators' configuration: which models,
// adapters, versions, services and teams exist and what they may use. The types
// here are plain domain types; codecs for each schema version map them by hand.
package configuration

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Record is one operator record. Exactly one of the pointers is set; Remove
// names a removed object instead.
type Record struct {
	// SchemaVersion is the version of the format that the record was written in.
	SchemaVersion int
	// Expect is the Version of the object that the operator read. A record whose
	// Expect differs from the object's version loses the race and is skipped.
	// Nil means that the operator set no precondition.
	Expect *domain.Offset
	// Author is who made the change, for the history.
	Author string
	// ID names the change, so that an operator whose append was left without an
	// answer can find out whether it is in the log. It may be empty.
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

// Model is a base model that callers may ask for.
type Model struct {
	Name domain.ModelName
	// Version names the checkpoint to load.
	Version domain.VersionName
	// Memory is what one loaded replica takes, without adapters.
	Memory domain.Bytes
	// Copies is the most replicas loaded at once, over all regions.
	Copies domain.ReplicaCount
	// Regions are where replicas may be loaded; empty means everywhere.
	Regions []domain.Region
	// Paused models are refused and taken down.
	Paused bool
	// Concurrency is how many requests one replica batches at once; zero means
	// DefaultConcurrency.
	Concurrency int
	// RequestsPerSecond limits callers of the model over all nodes; zero means
	// no limit.
	RequestsPerSecond float64
}

// DefaultConcurrency is the batch size assumed for a model that names none.
const DefaultConcurrency = 16

// Adapter is a small set of weights on top of one base model.
type Adapter struct {
	Name    domain.AdapterName
	Model   domain.ModelName
	Version domain.VersionName
	// Memory is what the adapter takes beside its base model.
	Memory domain.Bytes
}

// Service is a plain service that requests are forwarded to.
type Service struct {
	Name domain.ServiceName
	// IdempotentMethods are the HTTP methods whose calls may be repeated; empty
	// means GET, HEAD and OPTIONS.
	IdempotentMethods []string
}

// Team is one user of the shared platform.
type Team struct {
	Name domain.TeamName
	// Keys authenticate the team's callers and operators.
	Keys []Key
	// RequestsPerSecond, TokensPerMinute and Concurrency limit the team over all
	// nodes; zero means no limit.
	RequestsPerSecond float64
	TokensPerMinute   domain.Tokens
	Concurrency       int
	// Priority orders the team's waiting requests among others.
	Priority domain.Priority
	// Share weighs the team where requests wait; zero means 1.
	Share float64
	// Models the team may call; empty means all.
	Models []domain.ModelName
	// Objectives are the promises to the team that differ from the defaults.
	Objectives []Objective
}

// Role is what a key allows.
type Role int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Role -output=role_string.go

// The roles.
const (
	// ReadOnly may read status, configuration and reports.
	ReadOnly Role = iota
	// Caller may call models and services.
	Caller
	// Operator may change configuration as well.
	Operator
)

// Key is an access key of a team. The key itself is never stored.
type Key struct {
	// Name tells keys apart in logs.
	Name string
	// Hash is the SHA-256 of the key.
	Hash [32]byte
	Role Role
	// Expires is when the key stops working; zero means never.
	Expires time.Time
}

// Deployment holds what holds for a whole installation.
type Deployment struct {
	// ColdStartWeight and IdleWeight weigh a second of cold-start wait against
	// an idle accelerator hour. Imnar sets the first high, Coral the second.
	ColdStartWeight float64
	IdleWeight      float64
	// DefaultTimeout and MaximumTimeout bound a caller's Request-Timeout; zero
	// means the defaults below.
	DefaultTimeout time.Duration
	MaximumTimeout time.Duration
	// RequireKeys refuses callers and operators without a key.
	RequireKeys bool
}

// Timeouts where the deployment names none.
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

// Quarantine blocks or releases one request content.
type Quarantine struct {
	// Content is the hash of the request's content.
	Content [32]byte
	// Release takes the content off the list.
	Release bool
}

// Kind tells the kinds of named objects apart.
type Kind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=Kind -output=kind_string.go

// The kinds of named objects.
const (
	KindModel Kind = iota
	KindAdapter
	KindService
	KindTeam
)

// Remove names an object that is no longer configured.
type Remove struct {
	Kind Kind
	Name string
}
