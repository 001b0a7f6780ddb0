// Command parsleylug runs and operates the nodes that serve a large catalogue of rarely
// used models. Package commands defines its subcommands.
package main

import (
	"os"

	"github.com/parsleylug/parsleylug/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
