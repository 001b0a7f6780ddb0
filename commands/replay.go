package commands

import (
	stderrors "errors"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/trace"
)

// ReplayCommand replays recorded traces through the code that decides about requests.
type ReplayCommand struct {
	Files []string `arg:"" name:"file" help:"Traces to replay; see docs/traces.md."`
}

// Run prints each difference between the outcome that a trace states and the outcome of the
// replay, and fails if there is any.
func (c *ReplayCommand) Run(d *Deps) error {
	total := 0
	for _, name := range c.Files {
		n, err := replayFile(d.Out, name)
		if err != nil {
			return err
		}
		total += n
	}
	if total > 0 {
		return errors.Errorf("%d differences", total)
	}
	_, err := fmt.Fprintf(d.Out, "%d traces, no difference\n", len(c.Files))
	return errors.Wrap(err, "print")
}

// replayFile prints the differences of one trace and returns their number.
func replayFile(out io.Writer, name string) (int, error) {
	f, err := os.Open(name)
	if err != nil {
		return 0, &UsageError{Err: errors.WithStack(err)}
	}
	defer func() { _ = f.Close() }()
	differences, err := trace.Replay(f)
	var formatErr *trace.FormatError
	if stderrors.As(err, &formatErr) {
		return 0, &UsageError{Err: errors.WithMessage(err, name)}
	}
	if err != nil {
		return 0, errors.WithMessage(err, name)
	}
	for _, difference := range differences {
		if _, err := fmt.Fprintf(out, "%s: %s\n", name, difference); err != nil {
			return 0, errors.Wrap(err, "print")
		}
	}
	return len(differences), nil
}
