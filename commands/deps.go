package commands

import "io"

// Deps are the streams that every command reads and writes.
type Deps struct {
	In  io.Reader
	Out io.Writer
	// ErrOut receives logs and error messages, so that Out holds only the requested output.
	ErrOut io.Writer
}
