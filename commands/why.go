package commands

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/operator"
)

// WhyCommand tells what was decided for one request.
type WhyCommand struct {
	Connection `embed:""`
	Request    string `arg:"" help:"Request id, as the answer's X-Request-Id header gave it."`
}

// Run prints one decision a line, oldest first.
func (c *WhyCommand) Run(d *Deps) error {
	var answer operator.Why
	if err := c.get(&answer, "why", c.Request); err != nil {
		return err
	}
	var rows [][]string
	for _, s := range answer.Steps {
		rows = append(rows, []string{s.At, s.Kind, s.Node, s.Server, s.Model, s.Detail})
	}
	if err := c.show(d, answer, []string{"AT", "DECISION", "NODE", "SERVER", "MODEL", "DETAIL"}, rows); err != nil {
		return err
	}
	if answer.Dropped == 0 || c.Output == "json" {
		return nil
	}
	_, err := fmt.Fprintf(d.Out, "%d steps in the middle were dropped\n", answer.Dropped)
	return errors.Wrap(err, "print")
}
