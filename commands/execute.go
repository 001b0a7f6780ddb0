// Package commands is the command line: each command is a thin layer over plain
// packages.
package commands

import "io"

// Execute runs one command line and returns the exit code: 0 for success, 1 for
// a failure, 2 for a command line or file that cannot be understood.
func Execute(args []string, in io.Reader, out, errOut io.Writer) int {
	return 2
}
