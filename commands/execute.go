// Package commands is the command line: each command is a thin layer over plain
// packages.
package commands

import (
	stderrors "errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	// exitUsage is for a command line, setting or file that cannot be understood.
	exitUsage = 2
)

// UsageError is a fault in what the user gave: a flag, a setting or a file.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the fault.
func (e *UsageError) Unwrap() error { return e.Err }

// root is the whole command line.
type root struct {
	Serve   ServeCommand   `cmd:"" help:"Run one node. Without settings it brings its own stand-ins on loopback."`
	Front   FrontCommand   `cmd:"" help:"Run one node on the users' platform, by its settings file."`
	Explain ExplainCommand `cmd:"" help:"Tell from the nodes' logs what became of one request."`
	Standin StandinCommand `cmd:"" help:"Run the stand-ins for the platform and the backend servers."`
	Replay  ReplayCommand  `cmd:"" help:"Replay recorded traces and print each difference."`

	OperatorCommands `embed:""`
}

// exitPanic carries an exit code that kong asked for out of the parser.
type exitPanic int

// Execute runs one command line and returns the exit code: 0 for success, 1 for
// a failure, 2 for a command line or file that cannot be understood.
func Execute(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		r := recover()
		if e, ok := r.(exitPanic); ok {
			code = int(e)
			return
		}
		if r != nil {
			panic(r)
		}
	}()
	d := &Deps{In: in, Out: out, ErrOut: errOut}
	parser, err := newParser(&root{}, d)
	if err != nil {
		return reportError(errOut, err)
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		return reportError(errOut, &UsageError{Err: err})
	}
	return reportError(errOut, command.Run(d))
}

func newParser(r *root, d *Deps) (*kong.Kong, error) {
	return kong.New(r,
		kong.Name("parsleylug"),
		kong.Description("Serves a large catalogue of rarely used models."),
		kong.DefaultEnvars("PARSLEYLUG"),
		kong.Writers(d.Out, d.ErrOut),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.UsageOnError(),
	)
}

// reportError writes an error for a person and returns the exit code it stands for.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(w, "parsleylug: "+err.Error())
	var u *UsageError
	if stderrors.As(err, &u) {
		return exitUsage
	}
	return exitFailure
}
