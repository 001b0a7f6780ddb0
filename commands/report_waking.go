package commands

import (
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/arrivals"
	"github.com/parsleylug/parsleylug/wakereplay"
)

// ReportWakingCommand replays traces of arrivals through the pre-warming and keep-alive
// policy and through baseline strategies, and compares the results.
type ReportWakingCommand struct {
	Traces   []string `arg:"" optional:"" name:"trace" help:"Files of traces." type:"existingfile"`
	Generate []string `help:"Replay a generated trace as well: coral, imnar or planned, and a seed, as in imnar:7." placeholder:"NAME:SEED" env:"-"`
	Write    string   `help:"Write the one generated trace to this file instead of replaying it." placeholder:"FILE" env:"-"`
	PNG      string   `name:"png" help:"Draw waits over idle hours into this file." placeholder:"FILE" env:"-"`
}

// Run prints the comparison, or with --write only writes the generated trace.
func (c *ReportWakingCommand) Run(d *Deps) error {
	traces, err := c.traces()
	if err != nil {
		return &UsageError{Err: err}
	}
	if c.Write != "" {
		if len(traces) != 1 || len(c.Generate) != 1 {
			return &UsageError{Err: errors.New("--write takes exactly one --generate")}
		}
		return writeFile(c.Write, traces[0].Write)
	}
	if len(traces) == 0 {
		return &UsageError{Err: errors.New("name a trace, or generate one with --generate")}
	}
	var results []wakereplay.Result
	for _, t := range traces {
		for _, s := range wakereplay.Strategies() {
			results = append(results, wakereplay.Run(t, s))
		}
	}
	if c.PNG != "" {
		if err := writeFile(c.PNG, func(w io.Writer) error { return wakereplay.WritePNG(w, results) }); err != nil {
			return err
		}
	}
	return wakereplay.WriteText(d.Out, results)
}

func (c *ReportWakingCommand) traces() ([]*arrivals.Trace, error) {
	var out []*arrivals.Trace
	for _, name := range c.Traces {
		t, err := readTrace(name)
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		out = append(out, t)
	}
	for _, nameAndSeed := range c.Generate {
		name, seed, _ := strings.Cut(nameAndSeed, ":")
		n, err := strconv.ParseUint(seed, 10, 64)
		if err != nil {
			return nil, errors.Errorf("--generate=%s has no seed: want NAME:SEED", nameAndSeed)
		}
		t, err := arrivals.Generate(name, n)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

func readTrace(name string) (*arrivals.Trace, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = f.Close() }()
	return arrivals.Read(f)
}

// writeFile creates a file and calls write with it.
func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return &UsageError{Err: errors.WithStack(err)}
	}
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = errors.WithStack(closeErr)
	}
	return err
}
