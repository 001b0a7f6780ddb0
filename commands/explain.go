package commands

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// longestLine bounds a log line in bytes.
	longestLine = 1 << 20
	// beforeRequest is how long before a request's first line the orders for its
	// model are shown: a load may have begun for another caller.
	beforeRequest = 8 * time.Second
)

// ExplainCommand tells from the nodes' logs what became of one request.
type ExplainCommand struct {
	Request string   `arg:"" help:"Request id, as the caller sent it."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; standard input without one."`
}

// logLine is one line of a node's log. Text before the JSON object is kept off.
type logLine struct {
	raw map[string]any
	at  time.Time
}

func (l logLine) text(name string) string {
	s, _ := l.raw[name].(string)
	return s
}

// orders tells whether the line is about an order for a model itself or for an
// adapter of it.
func (l logLine) orders(model, adapter string) bool {
	return model != "" && l.text("Event") == "Ordered" && l.text("Model") == model && (l.text("Adapter") == "" || l.text("Adapter") == adapter)
}

// Run prints the request's lines in order, with the orders for its model.
func (c *ExplainCommand) Run(d *Deps) error {
	lines, err := c.read(d)
	if err != nil {
		return err
	}
	mine := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.text("Request") != c.Request })
	if len(mine) == 0 {
		return &UsageError{Err: errors.Errorf("no line of the logs is about request %s", c.Request)}
	}
	model, adapter := "", ""
	for _, l := range mine {
		model, adapter = max(model, l.text("Model")), max(adapter, l.text("Adapter"))
	}
	first, last := mine[0].at.Add(-beforeRequest), mine[len(mine)-1].at
	for _, l := range lines {
		order := l.orders(model, adapter) && !l.at.Before(first) && !l.at.After(last)
		if l.text("Request") != c.Request && !order {
			continue
		}
		if err := printLine(d.Out, l); err != nil {
			return err
		}
	}
	return nil
}

func (c *ExplainCommand) read(d *Deps) ([]logLine, error) {
	if len(c.Logs) == 0 {
		return readLog(d.In, nil)
	}
	var lines []logLine
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, &UsageError{Err: errors.WithStack(err)}
		}
		lines, err = readLog(f, lines)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

func readLog(r io.Reader, lines []logLine) ([]logLine, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, longestLine)
	for scan.Scan() {
		i := strings.IndexByte(scan.Text(), '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(scan.Text()[i:]), &l.raw) != nil {
			// Output of other programs may stand between the lines.
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
			l.at = at
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scan.Err(), "read the logs")
}

// printLine prints a line for a person: time, node, event and the other fields
// by name.
func printLine(w io.Writer, l logLine) error {
	var fields []string
	for name, value := range l.raw {
		switch name {
		case "level", "time", "Node", "Event", "Request", "message":
			continue
		}
		if value == "" {
			continue
		}
		if number, ok := value.(float64); ok {
			value = strconv.FormatFloat(number, 'f', -1, 64)
		}
		fields = append(fields, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(fields)
	_, err := fmt.Fprintf(w, "%s %s %s: %s %s\n", l.at.Format("15:04:05.000"), l.text("Node"), l.text("Event"), l.text("message"), strings.Join(fields, " "))
	return errors.Wrap(err, "print")
}
