package commands

import (
	"bytes"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
)

// ConfigDiffCommand compares a file with the configuration in force.
type ConfigDiffCommand struct {
	Connection `embed:""`
	File       string `arg:"" help:"Configuration file; - for standard input."`
	All        bool   `help:"Also list objects in force that the file does not mention." env:"-"`
	ExitCode   bool   `help:"Exit with 1 where there is a difference." env:"-"`
}

// difference is one object that applying the file would change, or that the file does not
// mention.
type difference struct {
	Subject string
	// Change is Set, Change, Remove or NotInFile.
	Change string
	// InForce and InFile are the object's records, if any.
	InForce json.RawMessage `json:",omitempty"`
	InFile  json.RawMessage `json:",omitempty"`
}

// Run prints each difference.
func (c *ConfigDiffCommand) Run(d *Deps) error {
	_, file, err := decodeInput(d, c.File)
	if err != nil {
		return err
	}
	inForce, err := c.fetchInForce()
	if err != nil {
		return err
	}
	differences, err := diff(inForce, file, c.All)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, change := range differences {
		rows = append(rows, []string{change.Change, change.Subject, string(change.InForce), string(change.InFile)})
	}
	if err := c.show(d, differences, []string{"CHANGE", "SUBJECT", "IN FORCE", "IN FILE"}, rows); err != nil {
		return err
	}
	if c.ExitCode && len(differences) > 0 {
		return errors.Errorf("%d differences", len(differences))
	}
	return nil
}

// diff compares the records with the same subject, regardless of their schema versions. With
// all it also returns the objects in force that the file does not mention.
func diff(inForce, file []configuration.Record, all bool) ([]difference, error) {
	differences := []difference{}
	for _, fileRecord := range file {
		inForceIndex := slices.IndexFunc(inForce, func(r configuration.Record) bool { return r.Subject() == fileRecord.Subject() })
		change := difference{Subject: fileRecord.Subject(), Change: "Set"}
		var err error
		if change.InFile, err = encodeContent(fileRecord); err != nil {
			return nil, err
		}
		if inForceIndex >= 0 {
			change.Change = "Change"
			if change.InForce, err = encodeContent(inForce[inForceIndex]); err != nil {
				return nil, err
			}
		}
		removes := fileRecord.Remove != nil || fileRecord.Drain != nil && fileRecord.Drain.Off || fileRecord.Quarantine != nil && fileRecord.Quarantine.Release
		switch {
		case removes && inForceIndex < 0, bytes.Equal(change.InForce, change.InFile):
			continue
		case removes:
			change.Change, change.InFile = "Remove", nil
		}
		differences = append(differences, change)
	}
	if !all {
		return differences, nil
	}
	return appendNotInFile(differences, inForce, file)
}

func appendNotInFile(differences []difference, inForce, file []configuration.Record) ([]difference, error) {
	for _, r := range inForce {
		if slices.ContainsFunc(file, func(f configuration.Record) bool { return f.Subject() == r.Subject() }) {
			continue
		}
		raw, err := encodeContent(r)
		if err != nil {
			return nil, err
		}
		differences = append(differences, difference{Subject: r.Subject(), Change: "NotInFile", InForce: raw})
	}
	return differences, nil
}

// encodeContent encodes a record in the newest schema version, without its author, ID and
// precondition, so that only differences in content count.
func encodeContent(r configuration.Record) ([]byte, error) {
	r = configuration.Upgrade(r)
	r.Author, r.ID, r.Expect = "", "", nil
	return configuration.Encode(r)
}
