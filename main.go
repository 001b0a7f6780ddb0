// Command parsleylug serves a large catalogue of rarely used models.
package main

import (
	"os"

	"github.com/parsleylug/parsleylug/commands"
)

func main() {
	os.Exit(commands.Execute(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
