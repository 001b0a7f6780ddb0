package engine

import "context"

// Orderer gives orders to engines at an address (HOST:PORT) and reads their
// state. *Client implements it.
type Orderer interface {
	Order(ctx context.Context, address string, o Order) (OrderStatus, error)
	State(ctx context.Context, address string) (State, error)
}

// Stream is the answer to one chat attempt. Next returns io.EOF only after a part
// with Finish; a broken stream is another error.
type Stream interface {
	Next() (Token, error)
	Close() error
}

// Chatter starts chat attempts at an engine. *Client implements it.
type Chatter interface {
	Chat(ctx context.Context, address string, r ChatRequest) (Stream, error)
}
