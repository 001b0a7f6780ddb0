package commands

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/operator"
)

// Connection holds the flags that select the node, the access key and the output format of
// a command that calls the administration API.
type Connection struct {
	AdminURL string `name:"admin-url" help:"URL of a node's operator listener." default:"http://127.0.0.1:8081" env:"PARSLEYLUG_ADMIN_URL"`
	Key      string `help:"Access key; better given in the environment." env:"PARSLEYLUG_KEY" placeholder:"KEY"`
	Output   string `short:"o" help:"Form of the output: table or json." enum:"table,json" default:"table" env:"PARSLEYLUG_OUTPUT"`
}

// AfterApply binds the connection, so that kong passes it to the Run of subcommands.
func (c *Connection) AfterApply(k *kong.Context) error {
	k.Bind(c)
	return nil
}

func (c *Connection) client() *operator.Client {
	return &operator.Client{URL: c.AdminURL, Key: c.Key}
}

// do sends a request and decodes the response into out. If the node rejected the user's
// input, the error is a UsageError.
func (c *Connection) do(r operator.Request, out any) error {
	err := c.client().Do(context.Background(), r, out)
	var refusal *operator.Error
	if errors.As(err, &refusal) && (refusal.Reason == operator.BadRequest || refusal.Reason == operator.TooLarge) {
		return &UsageError{Err: err}
	}
	return addReason(err)
}

// addReason adds the reason and verdict of a rejected request to its error.
func addReason(err error) error {
	var refusal *operator.Error
	if !errors.As(err, &refusal) {
		return err
	}
	return errors.WithMessagef(err, "%s (%s)", refusal.Reason, refusal.Verdict)
}

func (c *Connection) get(out any, path ...string) error {
	return c.do(operator.Request{Method: http.MethodGet, Path: path}, out)
}

// show prints v as JSON or as a table.
func (c *Connection) show(d *Deps, v any, header []string, rows [][]string) error {
	if c.Output == "json" {
		return writeJSON(d.Out, v)
	}
	return writeTable(d.Out, header, rows)
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return errors.Wrap(e.Encode(v), "print")
}

// writeTable prints the header and rows in aligned columns, or nothing without rows.
func writeTable(w io.Writer, header []string, rows [][]string) error {
	if len(rows) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := io.WriteString(t, strings.Join(row, "\t")+"\n"); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(t.Flush(), "print")
}

// ChangeFlags are the flags of every command that changes configuration.
type ChangeFlags struct {
	Expect *uint64 `help:"Version that the object must still have." env:"-" placeholder:"VERSION"`
	DryRun bool    `help:"Only show what would be loaded, taken down or refused." env:"-"`
	Wait   bool    `help:"Wait until the change is in force at every node." env:"-"`
}

func (f ChangeFlags) query() url.Values {
	q := url.Values{}
	if f.DryRun {
		q.Set("dryRun", "true")
	}
	if f.Wait {
		q.Set("wait", "true")
	}
	return q
}

// change sends a change and prints its results.
func (c *Connection) change(d *Deps, f ChangeFlags, method string, body []byte, path ...string) error {
	var response operator.Change
	err := c.do(operator.Request{Method: method, Path: path, Query: f.query(), Expect: f.Expect, Body: body}, &response)
	if err != nil {
		return err
	}
	return c.showChange(d, response)
}

func (c *Connection) showChange(d *Deps, response operator.Change) error {
	var rows, nodes [][]string
	for _, r := range response.Results {
		rows = append(rows, []string{r.Subject, r.Result, formatVersion(r.Version)})
		for _, e := range r.Effects {
			rows = append(rows, []string{"  " + e.Action, e.Reason, strings.Trim(e.Model+" "+e.Server, " ")})
		}
	}
	if err := c.show(d, response, []string{"SUBJECT", "RESULT", "VERSION"}, rows); err != nil || c.Output == "json" {
		return err
	}
	for _, n := range response.Nodes {
		nodes = append(nodes, []string{n.Node, formatVersion(n.Configuration)})
	}
	return writeTable(d.Out, []string{"NODE", "CONFIGURATION"}, nodes)
}
