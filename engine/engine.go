// Package engine speaks to model engines: chat requests, orders with a fencing
// number, and their state.
package engine

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// OrderKind tells the orders apart.
type OrderKind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=OrderKind -output=orderkind_string.go

// The orders.
const (
	// Barrier changes nothing; an engine that checks fences refuses older orders
	// afterwards.
	Barrier OrderKind = iota
	LoadModel
	// UnloadModel is refused as Busy while requests run or wait on the replica.
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order is one command to an engine.
type Order struct {
	Kind  OrderKind
	Fence domain.Fence
	// Model is set for all but Barrier; Adapter for the adapter orders.
	Model   domain.ModelName
	Adapter domain.AdapterName
	Version domain.VersionName
	Memory  domain.Bytes
}

// OrderStatus is what an engine made of an order.
type OrderStatus int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=OrderStatus -output=orderstatus_string.go

// The outcomes of an order.
const (
	// Unclear means that no answer came: the order may still take effect.
	Unclear OrderStatus = iota
	// Done orders have taken effect; a load answers when the replica is ready.
	Done
	// RefusedStale orders had an old fence.
	RefusedStale
	// RefusedBusy unloads found requests on the replica.
	RefusedBusy
	// RefusedMemory loads did not fit.
	RefusedMemory
	// FailedLoad loads broke off; the replica is not loaded.
	FailedLoad
)

// State is what an engine reports of itself; it may lag.
type State struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	Memory      domain.Bytes
	Used        domain.Bytes
	Replicas    []Replica
	// DiskCache and MemoryCache are checkpoints that load faster.
	DiskCache   []domain.ModelName
	MemoryCache []domain.ModelName
}

// Replica is one loaded or loading model.
type Replica struct {
	Model   domain.ModelName
	Version domain.VersionName
	Memory  domain.Bytes
	Loading bool
	Running int
	Waiting int
	// Served counts requests taken since the replica was loaded.
	Served   uint64
	Adapters []domain.AdapterName
}

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	Request  domain.RequestID
	Attempt  domain.AttemptID
	Model    domain.ModelName
	Adapter  domain.AdapterName
	Priority domain.Priority
	// Within is what is left of the caller's deadline.
	Within time.Duration
	// Body is the caller's OpenAI-compatible body, unchanged.
	Body []byte
	// Resume is how many tokens the caller already has; the engine goes on with
	// the next one.
	Resume domain.Tokens
}

// Token is one streamed part of an answer.
type Token struct {
	// Attempt is the attempt that made it.
	Attempt domain.AttemptID
	// Index counts tokens from 0 over all attempts of the request.
	Index domain.Tokens
	Text  string
	// Finish is set on the last part, with "stop" or "length".
	Finish string
	// Usage is set on the last part.
	PromptTokens     domain.Tokens
	CompletionTokens domain.Tokens
}
