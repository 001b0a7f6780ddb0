package commands

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/operator"
)

// ModelCommand shows and changes models.
type ModelCommand struct {
	Connection `embed:""`
	List       ModelListCommand   `cmd:"" help:"List the models."`
	Set        ModelSetCommand    `cmd:"" help:"Add a model or change the given fields of one."`
	Pause      ModelPauseCommand  `cmd:"" help:"Refuse a model's callers and take its replicas down."`
	Resume     ModelResumeCommand `cmd:"" help:"End a pause."`
	Remove     ModelRemoveCommand `cmd:"" help:"Remove a model and take its replicas down."`
}

// ModelListCommand lists the models.
type ModelListCommand struct{}

// Run prints one model per line.
func (c *ModelListCommand) Run(d *Deps, conn *Connection) error {
	return conn.list(d, "models", []string{"MODEL", "VERSION", "MEMORY", "COPIES", "REGIONS", "PAUSED", "CHANGED"}, func(r configuration.Record, v uint64) []string {
		m := r.Model
		return []string{
			string(m.Name), string(m.Version), configuration.FormatBytes(m.Memory), strconv.Itoa(int(m.Copies)),
			orAll(joinNames(m.Regions)), strconv.FormatBool(m.Paused), formatVersion(v),
		}
	})
}

// list requests the objects of a collection and prints one row per object.
func (c *Connection) list(d *Deps, collection string, header []string, row func(configuration.Record, uint64) []string) error {
	var response operator.Objects
	if err := c.get(&response, collection); err != nil {
		return err
	}
	records, err := decodeObjects(response)
	if err != nil {
		return err
	}
	rows := make([][]string, 0, len(records))
	for i, r := range records {
		rows = append(rows, row(r, response.Objects[i].Version))
	}
	return c.show(d, response, header, rows)
}

func joinNames[T ~string](list []T) string {
	parts := make([]string, 0, len(list))
	for _, s := range list {
		parts = append(parts, string(s))
	}
	return strings.Join(parts, ",")
}

func orAll(s string) string {
	if s == "" {
		return "all"
	}
	return s
}

// ModelSetCommand adds or changes a model.
type ModelSetCommand struct {
	ChangeFlags       `embed:""`
	Name              string    `arg:"" help:"Name of the model."`
	CheckpointVersion *string   `help:"Version of the checkpoint." env:"-"`
	Memory            *string   `help:"Memory of one loaded replica, for example 16GiB." env:"-"`
	Copies            *int      `help:"Most replicas loaded at once, over all regions." env:"-"`
	Regions           *[]string `help:"Regions where replicas may be loaded; an empty value means all." env:"-"`
	Concurrency       *int      `help:"Requests that one replica batches at once." env:"-"`
	RequestsPerSecond *float64  `help:"Limit over all nodes." env:"-"`
}

// Run reads the model, changes it and writes it back, on the precondition that its version
// has not changed in between.
func (c *ModelSetCommand) Run(d *Deps, conn *Connection) error {
	return conn.editModel(d, c.Name, c.ChangeFlags, true, func(m *configuration.Model) error {
		if c.Memory != nil {
			memory, err := configuration.ParseBytes(*c.Memory)
			if err != nil {
				return &UsageError{Err: errors.WithMessage(err, "--memory")}
			}
			m.Memory = memory
		}
		if c.Regions != nil {
			m.Regions = nil
			for _, r := range *c.Regions {
				m.Regions = append(m.Regions, domain.Region(r))
			}
		}
		if c.CheckpointVersion != nil {
			m.Version = domain.VersionName(*c.CheckpointVersion)
		}
		if c.Copies != nil {
			m.Copies = domain.ReplicaCount(*c.Copies)
		}
		if c.Concurrency != nil {
			m.Concurrency = *c.Concurrency
		}
		if c.RequestsPerSecond != nil {
			m.RequestsPerSecond = *c.RequestsPerSecond
		}
		return nil
	})
}

// ModelPauseCommand pauses a model.
type ModelPauseCommand struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"Name of the model."`
}

// Run sets Paused.
func (c *ModelPauseCommand) Run(d *Deps, conn *Connection) error {
	return conn.editModel(d, c.Name, c.ChangeFlags, false, func(m *configuration.Model) error {
		m.Paused = true
		return nil
	})
}

// ModelResumeCommand ends a pause.
type ModelResumeCommand struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"Name of the model."`
}

// Run clears Paused.
func (c *ModelResumeCommand) Run(d *Deps, conn *Connection) error {
	return conn.editModel(d, c.Name, c.ChangeFlags, false, func(m *configuration.Model) error {
		m.Paused = false
		return nil
	})
}

// ModelRemoveCommand removes a model.
type ModelRemoveCommand struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"Name of the model."`
}

// Run removes the model.
func (c *ModelRemoveCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodDelete, nil, "models", c.Name)
}

// editModel is edit for a model.
func (c *Connection) editModel(d *Deps, name string, f ChangeFlags, create bool, edit func(*configuration.Model) error) error {
	empty := configuration.Record{Model: &configuration.Model{Name: domain.ModelName(name)}}
	return c.edit(d, []string{"models", name}, f, empty, create, func(r *configuration.Record) error {
		if r.Model == nil {
			return errors.New("the node's response contains no model")
		}
		return edit(r.Model)
	})
}

// edit reads the object at a path, changes it and writes it back, on the precondition that
// it still has the version that was read, unless the user named another version. If create
// is set, an unknown object starts as empty; otherwise it is an error.
func (c *Connection) edit(d *Deps, path []string, f ChangeFlags, empty configuration.Record, create bool, change func(*configuration.Record) error) error {
	record := empty
	var object operator.Object
	err := c.get(&object, path...)
	var refusal *operator.Error
	isUnknown := errors.As(err, &refusal) && refusal.Reason == operator.UnknownObject
	switch {
	case err != nil && (!isUnknown || !create):
		return err
	case err == nil:
		if record, err = configuration.Decode(object.Record); err != nil {
			return errors.Wrap(err, "decode the node's response")
		}
	}
	if err := change(&record); err != nil {
		return err
	}
	if f.Expect == nil {
		f.Expect = &object.Version
	}
	raw, err := configuration.Encode(record)
	if err != nil {
		return &UsageError{Err: err}
	}
	return c.change(d, f, http.MethodPut, raw, path...)
}
