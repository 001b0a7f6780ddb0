package engine

import "context"

// ControlClient issues orders to engines at an address (HOST:PORT) and reads their state.
// *Client implements it.
type ControlClient interface {
	Order(ctx context.Context, address string, o Order) (OrderStatus, error)
	State(ctx context.Context, address string) (State, error)
}

// Stream is the response to one chat attempt. Next returns io.EOF only after a token with
// FinishReason; a broken stream returns another error.
type Stream interface {
	Next() (Token, error)
	Close() error
}

// ChatClient starts chat attempts at an engine. *Client implements it.
type ChatClient interface {
	Chat(ctx context.Context, address string, r ChatRequest) (Stream, error)
}
