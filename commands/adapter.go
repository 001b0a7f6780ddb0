package commands

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
)

// AdapterCommand shows and changes adapters.
type AdapterCommand struct {
	Connection `embed:""`
	List       AdapterListCommand   `cmd:"" help:"List the adapters."`
	Set        AdapterSetCommand    `cmd:"" help:"Add or replace an adapter."`
	Remove     AdapterRemoveCommand `cmd:"" help:"Remove an adapter."`
}

// AdapterListCommand lists the adapters.
type AdapterListCommand struct{}

// Run prints one adapter per line.
func (c *AdapterListCommand) Run(d *Deps, conn *Connection) error {
	return conn.list(d, "adapters", []string{"ADAPTER", "VERSION", "MEMORY", "CHANGED"}, func(r configuration.Record, v uint64) []string {
		a := r.Adapter
		return []string{a.FullName(), string(a.Version), configuration.FormatBytes(a.Memory), formatVersion(v)}
	})
}

// AdapterSetCommand adds or replaces an adapter.
type AdapterSetCommand struct {
	ChangeFlags       `embed:""`
	Name              string `arg:"" help:"Base model and name, as MODEL:ADAPTER."`
	CheckpointVersion string `help:"Version of the checkpoint." default:"v1" env:"-"`
	Memory            string `help:"Memory beside the base model, for example 128MiB." default:"0" env:"-"`
}

// Run writes the adapter.
func (c *AdapterSetCommand) Run(d *Deps, conn *Connection) error {
	memory, err := configuration.ParseBytes(c.Memory)
	if err != nil {
		return &UsageError{Err: errors.WithMessage(err, "--memory")}
	}
	model, name, ok := configuration.ParseAdapter(c.Name)
	if !ok {
		return &UsageError{Err: errors.Errorf("%q is not MODEL:ADAPTER", c.Name)}
	}
	adapter := &configuration.Adapter{
		Name:    name,
		Model:   model,
		Version: domain.VersionName(c.CheckpointVersion),
		Memory:  memory,
	}
	return conn.edit(d, []string{"adapters", c.Name}, c.ChangeFlags, configuration.Record{}, true, func(r *configuration.Record) error {
		*r = configuration.Record{Adapter: adapter}
		return nil
	})
}

// AdapterRemoveCommand removes an adapter.
type AdapterRemoveCommand struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"Base model and name, as MODEL:ADAPTER."`
}

// Run removes the adapter.
func (c *AdapterRemoveCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodDelete, nil, "adapters", c.Name)
}
