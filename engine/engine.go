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

// The kinds of order. These names are sent to engines.
const (
	// Barrier loads and unloads nothing. An engine that checks fencing tokens refuses orders
	// with an older token than the barrier's afterwards.
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
	// Model is set for all kinds but Barrier, Adapter only for LoadAdapter and UnloadAdapter.
	Model   domain.ModelName
	Adapter domain.AdapterName
	// Version is the version of the checkpoint to load, Memory the memory that it needs. Only
	// orders to load set them.
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
	// Memory is the engine's total memory for replicas and adapters; Used is the part in use.
	Memory     domain.Bytes
	UsedMemory domain.Bytes
	Replicas   []Replica
	// DiskCache and MemoryCache list the models whose checkpoints the server has cached on disk
	// and in main memory, so that they load faster.
	DiskCache   []domain.ModelName
	MemoryCache []domain.ModelName
}

// Replica is one loaded or loading model.
type Replica struct {
	Model   domain.ModelName
	Version domain.VersionName
	Memory  domain.Bytes
	Loading bool
	// Running and Waiting are numbers of requests on the replica.
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
	// ResumeIndex is the number of tokens that the caller already has, and so the index of the
	// next token that the engine sends.
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
