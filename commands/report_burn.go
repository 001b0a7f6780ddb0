package commands

import (
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/objective"
)

// ReportCommand prints reports.
type ReportCommand struct {
	Burn   ReportBurnCommand   `cmd:"" help:"Report how fast the service-level budgets burn."`
	Waking ReportWakingCommand `cmd:"" help:"Replay traces of arrivals and compare ways to wake and idle models."`
}

// ReportBurnCommand prints the service-level burn report.
type ReportBurnCommand struct {
	Connection `embed:""`
	HTML       string `name:"html" help:"Write a page that needs nothing else to this file." placeholder:"FILE" env:"-"`
	FailOn     string `help:"Exit with 1 from this alert on: none, slow or fast." enum:"none,slow,fast" default:"none" env:"-"`
}

// Run prints the report or writes it to a file. With --fail-on it returns an error if an
// objective burns that fast.
func (c *ReportBurnCommand) Run(d *Deps) error {
	var response objective.WireReport
	if err := c.get(&response, "burn"); err != nil {
		return err
	}
	report := response.Value()
	if err := c.write(d, response, report); err != nil {
		return err
	}
	counts := report.Counts()
	burning := counts[objective.FastBurn]
	if c.FailOn == "slow" {
		burning += counts[objective.SlowBurn]
	}
	if c.FailOn != "none" && burning > 0 {
		return errors.Errorf("%d objectives burn", burning)
	}
	return nil
}

func (c *ReportBurnCommand) write(d *Deps, response objective.WireReport, report objective.Report) error {
	switch {
	case c.HTML != "":
		return writeFile(c.HTML, report.WriteHTML)
	case c.Output == "json":
		return writeJSON(d.Out, response)
	}
	return report.WriteText(d.Out)
}
