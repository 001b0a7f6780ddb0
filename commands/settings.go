package commands

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/parsleylug/parsleylug/settings"
)

// SettingsCommand prints the settings that serve would start with, the source of each and
// every fault in them.
type SettingsCommand struct {
	settings.Settings `embed:""`
	Output            string `short:"o" help:"Form of the output: table or json." enum:"table,json" default:"table"`
}

// settingRow is one setting in the output.
type settingRow struct {
	Flag        string
	Environment string
	Value       string
	// Source is Flag, Environment or Default.
	Source  string
	Default string
	Fault   string `json:",omitempty"`
}

// Run prints every setting and then returns an error if any has a fault.
func (c *SettingsCommand) Run(d *Deps, k *kong.Context) error {
	_, err := c.Parse()
	faults, _ := settings.AsFaults(err)
	all := listSettings(k, faults)
	if err := c.print(d, all); err != nil {
		return err
	}
	if err != nil {
		return &UsageError{Err: err}
	}
	return nil
}

func (c *SettingsCommand) print(d *Deps, all []settingRow) error {
	if c.Output == "json" {
		return writeJSON(d.Out, all)
	}
	var rows [][]string
	for _, s := range all {
		rows = append(rows, []string{"--" + s.Flag, s.Environment, orDash(s.Value), s.Source, orDash(s.Default), s.Fault})
	}
	return writeTable(d.Out, []string{"FLAG", "ENVIRONMENT", "VALUE", "SOURCE", "DEFAULT", "FAULT"}, rows)
}

// listSettings lists the flags of the selected command without help and output.
func listSettings(k *kong.Context, faults settings.Faults) []settingRow {
	givenFlags := map[string]bool{}
	for _, p := range k.Path {
		if p.Flag != nil && !p.Resolved {
			givenFlags[p.Flag.Name] = true
		}
	}
	var all []settingRow
	for _, f := range k.Selected().Flags {
		if f.Name == "help" || f.Name == "output" {
			continue
		}
		s := settingRow{Flag: f.Name, Environment: settings.EnvironmentName(f.Name), Value: f.Target.String(), Source: "Default", Default: f.Default}
		if text, ok := os.LookupEnv(s.Environment); ok && text == s.Value {
			s.Source = "Environment"
		}
		if givenFlags[f.Name] {
			s.Source = "Flag"
		}
		for _, fault := range faults {
			if fault.Flag == f.Name {
				s.Fault = fault.Message
			}
		}
		all = append(all, s)
	}
	return all
}
