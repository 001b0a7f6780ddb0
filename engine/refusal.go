package engine

import "github.com/pkg/errors"

// Refusals of a chat attempt; nothing of it ran. An error of Chat or of
// Stream.Next that is none of these came from a broken connection.
var (
	ErrModelNotLoaded   = errors.New("model is not loaded on the engine")
	ErrAdapterNotLoaded = errors.New("adapter is not loaded on the engine")
	ErrOverloaded       = errors.New("engine is overloaded")
)
