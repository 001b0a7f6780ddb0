package commands

import (
	"encoding/hex"
	"net/http"

	"github.com/parsleylug/parsleylug/configuration"
)

// QuarantineCommand shows and changes which request contents are refused.
type QuarantineCommand struct {
	Connection `embed:""`
	List       QuarantineListCommand    `cmd:"" help:"List the contents that operators block."`
	Add        QuarantineAddCommand     `cmd:"" help:"Refuse requests with a content."`
	Release    QuarantineReleaseCommand `cmd:"" help:"Serve requests with a content again."`
}

// QuarantineListCommand lists the contents that operators have blocked.
type QuarantineListCommand struct{}

// Run prints one content hash per line.
func (c *QuarantineListCommand) Run(d *Deps, conn *Connection) error {
	return conn.list(d, "quarantine", []string{"CONTENT", "CHANGED"}, func(r configuration.Record, v uint64) []string {
		return []string{hex.EncodeToString(r.Quarantine.Content[:]), formatVersion(v)}
	})
}

// QuarantineAddCommand blocks requests with a content.
type QuarantineAddCommand struct {
	ChangeFlags `embed:""`
	Content     string `arg:"" help:"SHA-256 of the content in hexadecimal, as logs give it."`
}

// Run blocks the content.
func (c *QuarantineAddCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodPut, nil, "quarantine", c.Content)
}

// QuarantineReleaseCommand ends the block of a content.
type QuarantineReleaseCommand struct {
	ChangeFlags `embed:""`
	Content     string `arg:"" help:"SHA-256 of the content in hexadecimal."`
}

// Run releases the content.
func (c *QuarantineReleaseCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodDelete, nil, "quarantine", c.Content)
}
