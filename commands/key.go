package commands

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/operator"
)

// KeyCommand shows and changes access keys.
type KeyCommand struct {
	Connection `embed:""`
	List       KeyListCommand   `cmd:"" help:"List the access keys of every team."`
	Create     KeyCreateCommand `cmd:"" help:"Make an access key and print it, once."`
	Remove     KeyRemoveCommand `cmd:"" help:"End an access key."`
}

// KeyListCommand lists the access keys of every team.
type KeyListCommand struct{}

// Run prints one key per line, without its hash.
func (c *KeyListCommand) Run(d *Deps, conn *Connection) error {
	var response operator.AccessKeys
	if err := conn.get(&response, "keys"); err != nil {
		return err
	}
	var rows [][]string
	for _, k := range response.Keys {
		expires := k.Expires
		if expires == "" {
			expires = "never"
		}
		rows = append(rows, []string{k.Team, k.Name, k.Role, expires, strconv.FormatBool(k.Expired)})
	}
	return conn.show(d, response, []string{"TEAM", "KEY", "ROLE", "EXPIRES", "EXPIRED"}, rows)
}

// KeyCreateCommand creates an access key.
type KeyCreateCommand struct {
	ChangeFlags `embed:""`
	Team        string        `arg:"" help:"Team that the key is for."`
	Name        string        `arg:"" help:"Name of the key, for logs and history."`
	Role        string        `help:"What the key allows: ReadOnly, Caller or Operator." enum:"ReadOnly,Caller,Operator" default:"Caller" env:"-"`
	For         time.Duration `help:"Time after which the key expires; 0 for never." default:"2160h" env:"-"`
}

// Run generates the key locally and sends only its hash to the node. The change is printed
// to ErrOut, so that Out holds only the key.
func (c *KeyCreateCommand) Run(d *Deps, conn *Connection) error {
	if c.For < 0 {
		return &UsageError{Err: errors.New("--for must not be negative")}
	}
	key := "plug-" + rand.Text()
	hash := sha256.Sum256([]byte(key))
	newKey := operator.NewKey{Hash: hex.EncodeToString(hash[:]), Role: c.Role}
	if c.For > 0 {
		newKey.Expires = time.Now().Add(c.For).UTC().Format(time.RFC3339)
	}
	raw, err := json.Marshal(newKey)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := conn.change(&Deps{In: d.In, Out: d.ErrOut, ErrOut: d.ErrOut}, c.ChangeFlags, http.MethodPut, raw, "teams", c.Team, "keys", c.Name); err != nil {
		return err
	}
	if c.DryRun {
		return nil
	}
	_, err = fmt.Fprintln(d.Out, key)
	return errors.Wrap(err, "print")
}

// KeyRemoveCommand removes an access key.
type KeyRemoveCommand struct {
	ChangeFlags `embed:""`
	Team        string `arg:"" help:"Team that the key is for."`
	Name        string `arg:"" help:"Name of the key."`
}

// Run removes the key.
func (c *KeyRemoveCommand) Run(d *Deps, conn *Connection) error {
	return conn.change(d, c.ChangeFlags, http.MethodDelete, nil, "teams", c.Team, "keys", c.Name)
}
