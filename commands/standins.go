package commands

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/standin"
)

// startStandins runs the stand-ins in this process with the operators' file, or
// the sample configuration without one.
func (c *ServeCommand) startStandins(ctx context.Context) (*standin.Group, error) {
	records, err := initialRecords(c.Config)
	if err != nil {
		return nil, err
	}
	return standin.Start(ctx, standin.Options{ConfigurationRecords: records, DecodeCopies: copiesOf})
}

// initialRecords reads an operator configuration file; an empty path stands for
// the sample configuration.
func initialRecords(path string) ([][]byte, error) {
	parsed := configuration.Sample()
	if path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &UsageError{Err: errors.Wrap(err, "open the configuration")}
		}
		defer func() { _ = f.Close() }()
		var faults []configuration.Fault
		parsed, faults = configuration.DecodeFile(path, f)
		if len(faults) > 0 {
			return nil, &UsageError{Err: errors.Errorf("the configuration has %d faults, the first: %s", len(faults), faults[0])}
		}
	}
	out := make([][]byte, 0, len(parsed))
	for _, r := range parsed {
		raw, err := configuration.Encode(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode the configuration")
		}
		out = append(out, raw)
	}
	return out, nil
}

// copiesOf reads a model's copy limit from an operator record.
func copiesOf(raw []byte) (model string, copies int, ok bool) {
	r, err := configuration.Decode(raw)
	if err != nil || r.Model == nil {
		return "", 0, false
	}
	return string(r.Model.Name), int(r.Model.Copies), true
}
