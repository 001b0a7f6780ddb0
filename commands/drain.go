package commands

import (
	"net/http"

	"github.com/parsleylug/parsleylug/configuration"
)

// DrainCommand takes servers, nodes and availability zones out of use.
type DrainCommand struct {
	Connection `embed:""`
	List       DrainListCommand   `cmd:"" help:"List what is drained."`
	Server     DrainServerCommand `cmd:"" help:"Drain a backend server."`
	Node       DrainNodeCommand   `cmd:"" help:"Drain a node."`
	Zone       DrainZoneCommand   `cmd:"" help:"Drain an availability zone."`
}

// DrainListCommand lists the drains.
type DrainListCommand struct{}

// Run prints one drain per line.
func (c *DrainListCommand) Run(d *Deps, conn *Connection) error {
	return conn.list(d, "drains", []string{"SERVER", "NODE", "ZONE", "CHANGED"}, func(r configuration.Record, v uint64) []string {
		return []string{string(r.Drain.Server), string(r.Drain.Node), string(r.Drain.Zone), formatVersion(v)}
	})
}

// DrainFlags are the flags of each drain.
type DrainFlags struct {
	ChangeFlags `embed:""`
	Name        string `arg:"" help:"What to drain."`
	Off         bool   `help:"End the drain." env:"-"`
}

func (f DrainFlags) run(d *Deps, conn *Connection, collection string) error {
	method := http.MethodPut
	if f.Off {
		method = http.MethodDelete
	}
	return conn.change(d, f.ChangeFlags, method, nil, "drains", collection, f.Name)
}

// DrainServerCommand drains a backend server.
type DrainServerCommand struct {
	DrainFlags `embed:""`
}

// Run starts or ends the drain.
func (c *DrainServerCommand) Run(d *Deps, conn *Connection) error { return c.run(d, conn, "servers") }

// DrainNodeCommand drains a node.
type DrainNodeCommand struct {
	DrainFlags `embed:""`
}

// Run starts or ends the drain.
func (c *DrainNodeCommand) Run(d *Deps, conn *Connection) error { return c.run(d, conn, "nodes") }

// DrainZoneCommand drains an availability zone.
type DrainZoneCommand struct {
	DrainFlags `embed:""`
}

// Run starts or ends the drain.
func (c *DrainZoneCommand) Run(d *Deps, conn *Connection) error { return c.run(d, conn, "zones") }
