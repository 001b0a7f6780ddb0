package commands

import "io"

// Deps is what every command is given.
type Deps struct {
	In  io.Reader
	Out io.Writer
	// ErrOut takes logs and errors; Out takes only what was asked for.
	ErrOut io.Writer
}
