package commands

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/operator"
)

// WhyCommand shows the decisions that the nodes recorded for one request.
type WhyCommand struct {
	Connection `embed:""`
	Request    string `arg:"" help:"Request id, as the answer's X-Request-Id header gave it."`
}

// Run prints one decision per line, oldest first.
func (c *WhyCommand) Run(d *Deps) error {
	var response operator.Why
	if err := c.get(&response, "why", c.Request); err != nil {
		return err
	}
	var rows [][]string
	for _, step := range response.Steps {
		rows = append(rows, []string{step.At, step.Kind, step.Node, step.Server, step.Model, step.Detail})
	}
	if err := c.show(d, response, []string{"AT", "DECISION", "NODE", "SERVER", "MODEL", "DETAIL"}, rows); err != nil {
		return err
	}
	if response.Dropped == 0 || c.Output == "json" {
		return nil
	}
	_, err := fmt.Fprintf(d.Out, "%d steps in the middle were dropped\n", response.Dropped)
	return errors.Wrap(err, "print")
}
