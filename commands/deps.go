package commands

import "io"

// Deps are the streams that every command reads and writes.
type Deps struct {
	In  io.Reader
	Out io.Writer
	// ErrOut receives error messages and the logs of serve, so that Out holds only the
	// requested output. The front command logs to Out.
	ErrOut io.Writer
}
