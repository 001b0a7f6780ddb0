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
	// maximumLineBytes is the length of the longest log line that can be read.
	maximumLineBytes = 1 << 20
	// orderLookback is the time before a request's first line in which orders for its
	// model are shown, since the load may have started for another caller.
	orderLookback = 8 * time.Second
)

// ExplainCommand shows from the nodes' logs how one request was handled.
type ExplainCommand struct {
	Request string   `arg:"" help:"Request id, as the caller sent it."`
	Logs    []string `arg:"" optional:"" type:"existingfile" help:"Log files of the nodes; standard input without one."`
}

// logLine is the JSON object of one log line, without any text before it.
type logLine struct {
	fields map[string]any
	time   time.Time
}

func (l logLine) text(name string) string {
	s, _ := l.fields[name].(string)
	return s
}

// isOrderFor reports whether the line logs an order for the model without an adapter or with
// the given one.
func (l logLine) isOrderFor(model, adapter string) bool {
	return model != "" && l.text("Event") == "Ordered" && l.text("Model") == model && (l.text("Adapter") == "" || l.text("Adapter") == adapter)
}

// Run prints the log lines of the request and the orders for its model. Lines from files are
// sorted by time; those from standard input keep their order.
func (c *ExplainCommand) Run(d *Deps) error {
	lines, err := c.readLogs(d)
	if err != nil {
		return err
	}
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.text("Request") != c.Request })
	if len(requestLines) == 0 {
		return &UsageError{Err: errors.Errorf("no line of the logs is about request %s", c.Request)}
	}
	model, adapter := "", ""
	for _, l := range requestLines {
		model, adapter = max(model, l.text("Model")), max(adapter, l.text("Adapter"))
	}
	begin, end := requestLines[0].time.Add(-orderLookback), requestLines[len(requestLines)-1].time
	for _, l := range lines {
		isOrder := l.isOrderFor(model, adapter) && !l.time.Before(begin) && !l.time.After(end)
		if l.text("Request") != c.Request && !isOrder {
			continue
		}
		if err := printLine(d.Out, l); err != nil {
			return err
		}
	}
	return nil
}

func (c *ExplainCommand) readLogs(d *Deps) ([]logLine, error) {
	if len(c.Logs) == 0 {
		return appendLogLines(d.In, nil)
	}
	var lines []logLine
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, &UsageError{Err: errors.WithStack(err)}
		}
		lines, err = appendLogLines(f, lines)
		_ = f.Close()
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	return lines, nil
}

func appendLogLines(r io.Reader, lines []logLine) ([]logLine, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maximumLineBytes)
	for scanner.Scan() {
		jsonStart := strings.IndexByte(scanner.Text(), '{')
		if jsonStart < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(scanner.Text()[jsonStart:]), &l.fields) != nil {
			// Output of other programs may be mixed into the logs.
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, l.text("time")); err == nil {
			l.time = at
		}
		lines = append(lines, l)
	}
	return lines, errors.Wrap(scanner.Err(), "read the logs")
}

// printLine prints the time, node, event and message of a line and then its other fields,
// sorted by name.
func printLine(w io.Writer, l logLine) error {
	var fields []string
	for name, value := range l.fields {
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
	_, err := fmt.Fprintf(w, "%s %s %s: %s %s\n", l.time.Format("15:04:05.000"), l.text("Node"), l.text("Event"), l.text("message"), strings.Join(fields, " "))
	return errors.Wrap(err, "print")
}
