// Package engine is the HTTP client of model engines: chat attempts with their token
// streams, orders that load and unload models under a fencing token, and the engine's state.
// Package caller starts the chat attempts; package node issues the orders and polls the state.
// The client never retries a request; its errors say whether a request may have run.
package engine

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// OrderKind is the kind of an order.
type OrderKind int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=OrderKind -output=orderkind_string.go

// The kinds of order, which are sent to engines by these names.
const (
	// Barrier changes nothing, but an engine that checks fencing tokens refuses orders with an
	// older one afterwards.
	Barrier OrderKind = iota
	LoadModel
	// UnloadModel is refused with RefusedBusy while requests run or wait on the replica.
	UnloadModel
	LoadAdapter
	UnloadAdapter
)

// Order is one order to an engine: a load, an unload or a barrier.
type Order struct {
	Kind  OrderKind
	Fence domain.Fence
	// Model is set for all but Barrier; Adapter for the adapter orders.
	Model   domain.ModelName
	Adapter domain.AdapterName
	Version domain.VersionName
	Memory  domain.Bytes
}

// OrderStatus is the outcome of an order.
type OrderStatus int

//go:generate go run golang.org/x/tools/cmd/stringer@v0.52.0 -type=OrderStatus -output=orderstatus_string.go

// The outcomes of an order. Engines respond with these names, except Unclear.
const (
	// Unclear means that no response arrived: the order may still take effect.
	Unclear OrderStatus = iota
	// Done means that the order has taken effect. A load is done when its replica accepts
	// requests.
	Done
	// RefusedStale means that the engine has seen a newer fencing token.
	RefusedStale
	// RefusedBusy means that an unload found requests on the replica.
	RefusedBusy
	// RefusedMemory means that a load did not fit into memory.
	RefusedMemory
	// FailedLoad means that a load was aborted; the replica is not loaded.
	FailedLoad
)

// State is the state that an engine reports about itself; it may be out of date.
type State struct {
	// Incarnation changes when the engine restarts.
	Incarnation string
	Memory      domain.Bytes
	Used        domain.Bytes
	Replicas    []Replica
	// DiskCache and MemoryCache are the models whose checkpoints are cached, so that they load
	// faster.
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
	// Served is the number of requests accepted since the replica was loaded.
	Served   uint64
	Adapters []domain.AdapterName
}

// ChatRequest is one attempt at a chat completion.
type ChatRequest struct {
	RequestID domain.RequestID
	AttemptID domain.AttemptID
	Model     domain.ModelName
	Adapter   domain.AdapterName
	Priority  domain.Priority
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Body is the caller's OpenAI-compatible request body, unchanged.
	Body []byte
	// ResumeIndex is the number of tokens that the caller already has; the engine continues with
	// the token of that index.
	ResumeIndex domain.Tokens
}

// Token is one streamed part of a response.
type Token struct {
	// AttemptID is the attempt that generated the token.
	AttemptID domain.AttemptID
	// Index counts tokens from 0 across all attempts of the request.
	Index domain.Tokens
	Text  string
	// FinishReason is set on the last part, to "stop" or "length".
	FinishReason string
	// PromptTokens and CompletionTokens are set on the last part.
	PromptTokens     domain.Tokens
	CompletionTokens domain.Tokens
}
