// Package commands is the command line of parsleylug. Package main calls Execute, which
// parses the arguments and runs one command. The commands of a node (serve, front) build
// it from its settings and run it; the commands for operators send requests to a node's
// administration API and print the response. The package makes no decisions about
// requests, replicas or leases; those are in the packages that it calls.
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
	// exitUsage reports an invalid command line, setting or file.
	exitUsage = 2
)

// UsageError is an error in the user's input: a flag, a setting or a file. Execute
// returns 2 for it.
type UsageError struct{ Err error }

// Error implements error.
func (e *UsageError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *UsageError) Unwrap() error { return e.Err }

// commandTree is the root of the command tree, which kong parses.
type commandTree struct {
	Serve   ServeCommand   `cmd:"" help:"Run one node. Without settings it brings its own stand-ins on loopback."`
	Front   FrontCommand   `cmd:"" help:"Run one node on the users' platform, by its settings file."`
	Explain ExplainCommand `cmd:"" help:"Tell from the nodes' logs what became of one request."`
	Standin StandinCommand `cmd:"" help:"Run the stand-ins for the platform and the backend servers."`
	Replay  ReplayCommand  `cmd:"" help:"Replay recorded traces and print each difference."`

	OperatorCommands `embed:""`
}

// exitPanic is the value that kong's exit hook panics with, so that Execute can return the
// exit code, for example after --help, instead of ending the process.
type exitPanic int

// Execute runs one command line and returns the exit code: 0 for success, 1 for
// a failure, 2 for an invalid command line, setting or file.
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
	parser, err := newParser(&commandTree{}, d)
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

func newParser(r *commandTree, d *Deps) (*kong.Kong, error) {
	return kong.New(r,
		kong.Name("parsleylug"),
		kong.Description("Serves a large catalogue of rarely used models."),
		kong.DefaultEnvars("PARSLEYLUG"),
		kong.Writers(d.Out, d.ErrOut),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.UsageOnError(),
	)
}

// reportError writes err, if it is not nil, to w and returns the exit code for it.
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
