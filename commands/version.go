package commands

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/operator"
)

// VersionCommand prints the version of this program.
type VersionCommand struct {
	Output string `short:"o" help:"Form of the output: table or json." enum:"table,json" default:"table" env:"PARSLEYLUG_OUTPUT"`
}

// Run prints the versions of the program, of Go and of the configuration schema.
func (c *VersionCommand) Run(d *Deps) error {
	v := operator.BuildVersion()
	if c.Output == "json" {
		return writeJSON(d.Out, v)
	}
	_, err := fmt.Fprintf(d.Out, "parsleylug %s, %s, configuration schema version %d\n", v.Version, v.GoVersion, v.SchemaVersion)
	return errors.Wrap(err, "print")
}
