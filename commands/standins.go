package commands

import (
	"context"
	"os"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/standin"
)

// startStandins starts the stand-ins in this process with the configuration file of --config
// or, without one, the sample configuration.
func (c *ServeCommand) startStandins(ctx context.Context) (*standin.Group, error) {
	records, err := initialRecords(c.Config)
	if err != nil {
		return nil, err
	}
	return standin.Start(ctx, standin.Options{ConfigurationRecords: records, DecodeCopies: copyLimit})
}

// initialRecords returns the encoded records of an operator configuration file, or of the
// sample configuration if the path is empty.
func initialRecords(path string) ([][]byte, error) {
	records := configuration.Sample()
	if path != "" {
		f, err := os.Open(path)
		if err != nil {
			return nil, &UsageError{Err: errors.Wrap(err, "open the configuration")}
		}
		defer func() { _ = f.Close() }()
		var faults []configuration.Fault
		records, faults = configuration.DecodeFile(path, f)
		if len(faults) > 0 {
			return nil, &UsageError{Err: errors.Errorf("the configuration has %d faults, the first: %s", len(faults), faults[0])}
		}
	}
	encoded := make([][]byte, 0, len(records))
	for _, r := range records {
		raw, err := configuration.Encode(r)
		if err != nil {
			return nil, errors.Wrap(err, "encode the configuration")
		}
		encoded = append(encoded, raw)
	}
	return encoded, nil
}

// copyLimit returns the copy limit of a model that an operator record sets. Ok is false for
// other records, including one that removes a model.
func copyLimit(raw []byte) (model string, limit int, ok bool) {
	r, err := configuration.Decode(raw)
	if err != nil || r.Model == nil {
		return "", 0, false
	}
	return string(r.Model.Name), int(r.Model.Copies), true
}
