package commands

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/operator"
)

// ConfigCommand checks, writes and shows the operators' configuration.
type ConfigCommand struct {
	Check ConfigCheckCommand `cmd:"" help:"Check a configuration file and report every fault."`
	Apply ConfigApplyCommand `cmd:"" help:"Write the records of a configuration file."`
	Show  ConfigShowCommand  `cmd:"" help:"Print the configuration in force as a configuration file."`
	Diff  ConfigDiffCommand  `cmd:"" help:"Compare a configuration file with the configuration in force."`
}

// ConfigCheckCommand checks a file without contacting a node.
type ConfigCheckCommand struct {
	File   string `arg:"" help:"Configuration file; - for standard input."`
	Output string `short:"o" help:"Form of the output: table or json." enum:"table,json" default:"table" env:"PARSLEYLUG_OUTPUT"`
}

// checkResult is the JSON form of a check.
type checkResult struct {
	Records int
	Faults  []configuration.Fault
}

// Run prints every fault of the file.
func (c *ConfigCheckCommand) Run(d *Deps) error {
	raw, err := readInput(d, c.File)
	if err != nil {
		return err
	}
	records, faults := configuration.DecodeFile(c.File, bytes.NewReader(raw))
	if c.Output == "json" {
		if faults == nil {
			faults = []configuration.Fault{}
		}
		if err := writeJSON(d.Out, checkResult{Records: len(records), Faults: faults}); err != nil {
			return err
		}
	} else {
		for _, f := range faults {
			if _, err := fmt.Fprintln(d.Out, f); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	if len(faults) > 0 {
		return &UsageError{Err: errors.Errorf("%s has %d faults", c.File, len(faults))}
	}
	if c.Output == "json" {
		return nil
	}
	_, err = fmt.Fprintf(d.Out, "%s: %d records, no faults\n", c.File, len(records))
	return errors.Wrap(err, "print")
}

// readInput reads a file or, for "-", the standard input, up to one byte beyond the maximum
// size of a configuration file, so that decoding detects one that is too large.
func readInput(d *Deps, name string) ([]byte, error) {
	if name == "-" {
		raw, err := io.ReadAll(io.LimitReader(d.In, configuration.MaximumFileSize+1))
		return raw, errors.Wrap(err, "read standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, &UsageError{Err: errors.WithStack(err)}
	}
	defer func() { _ = f.Close() }()
	raw, err := io.ReadAll(io.LimitReader(f, configuration.MaximumFileSize+1))
	if err != nil {
		return nil, &UsageError{Err: errors.Wrap(err, "read "+name)}
	}
	return raw, nil
}

// decodeInput reads a configuration file and returns its bytes and records. Faults in it
// are a UsageError.
func decodeInput(d *Deps, name string) ([]byte, []configuration.Record, error) {
	raw, err := readInput(d, name)
	if err != nil {
		return nil, nil, err
	}
	records, faults := configuration.DecodeFile(name, bytes.NewReader(raw))
	if len(faults) > 0 {
		return nil, nil, &UsageError{Err: configuration.Faults(faults)}
	}
	return raw, records, nil
}

// ConfigApplyCommand writes the records of a file to the configuration.
type ConfigApplyCommand struct {
	Connection `embed:""`
	File       string `arg:"" help:"Configuration file; - for standard input."`
	DryRun     bool   `help:"Only show what would be loaded, taken down or refused." env:"-"`
	Wait       bool   `help:"Wait until the change is in force at every node." env:"-"`
}

// Run checks the file before sending it, so that faults contain the file's name.
func (c *ConfigApplyCommand) Run(d *Deps) error {
	raw, _, err := decodeInput(d, c.File)
	if err != nil {
		return err
	}
	return c.change(d, ChangeFlags{DryRun: c.DryRun, Wait: c.Wait}, http.MethodPost, raw, "configuration")
}

// ConfigShowCommand prints the configuration in force.
type ConfigShowCommand struct {
	Connection    `embed:""`
	SchemaVersion int `help:"Schema version to print." default:"2" env:"-"`
}

// Run prints the configuration as a file that config apply accepts.
func (c *ConfigShowCommand) Run(d *Deps) error {
	if c.SchemaVersion < configuration.SchemaVersion1 || c.SchemaVersion > configuration.CurrentSchemaVersion {
		return &UsageError{Err: errors.Errorf("--schema-version must be from %d to %d", configuration.SchemaVersion1, configuration.CurrentSchemaVersion)}
	}
	records, err := c.fetchInForce()
	if err != nil {
		return err
	}
	for i := range records {
		records[i].SchemaVersion = c.SchemaVersion
	}
	return configuration.EncodeFile(d.Out, records)
}

// fetchInForce requests the records of the configuration in force from the node.
func (c *Connection) fetchInForce() ([]configuration.Record, error) {
	var response operator.Objects
	if err := c.get(&response, "configuration"); err != nil {
		return nil, err
	}
	return decodeObjects(response)
}

func decodeObjects(response operator.Objects) ([]configuration.Record, error) {
	records := make([]configuration.Record, 0, len(response.Objects))
	for _, o := range response.Objects {
		r, err := configuration.Decode(o.Record)
		if err != nil {
			return nil, errors.Wrap(err, "decode the node's response")
		}
		records = append(records, r)
	}
	return records, nil
}

// formatVersion formats the version of an object; version 0, of an object that was never
// set, becomes a dash.
func formatVersion(v uint64) string {
	if v == 0 {
		return "-"
	}
	return strconv.FormatUint(v, 10)
}
