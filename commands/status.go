package commands

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/configuration"
	"github.com/parsleylug/parsleylug/operator"
)

// StatusCommand prints the status of the system.
type StatusCommand struct {
	Connection `embed:""`
}

// Run prints what is wrong first, then everything else.
func (c *StatusCommand) Run(d *Deps) error {
	var answer operator.WireStatus
	if err := c.get(&answer, "status"); err != nil {
		return err
	}
	if c.Output == "json" {
		return writeJSON(d.Out, answer)
	}
	s := answer.Value()
	s.Problems = operator.Diagnose(s)
	if err := writeSummary(d.Out, s); err != nil {
		return err
	}
	for _, t := range statusTables(s) {
		if len(t.rows) == 0 {
			continue
		}
		if _, err := io.WriteString(d.Out, "\n"); err != nil {
			return errors.Wrap(err, "print")
		}
		if err := writeTable(d.Out, t.header, t.rows); err != nil {
			return err
		}
	}
	return nil
}

func writeSummary(w io.Writer, s operator.Status) error {
	var b strings.Builder
	log := "up"
	if !s.Log.Up {
		log = "DOWN"
	}
	fmt.Fprintf(&b, "node %s (%s), ready %t; log %s, %d records behind, configuration %d\n", s.Node, s.Version, s.Ready, log, s.Log.LagRecords, s.Log.Configuration)
	if len(s.Problems) == 0 {
		b.WriteString("no problem found\n")
	}
	for _, p := range s.Problems {
		fmt.Fprintf(&b, "%s: %s (docs/operating/%s)\n", strings.ToUpper(p.Severity.String()), p.Message, p.Page)
	}
	_, err := io.WriteString(w, b.String())
	return errors.Wrap(err, "print")
}

// table is one part of the status.
type table struct {
	header []string
	rows   [][]string
}

func statusTables(s operator.Status) []table {
	return []table{
		nodeTable(s), serverTable(s), permitTable(s), doubtTable(s), queueTable(s), wakeTable(s), breakerTable(s), suspectTable(s),
	}
}

func nodeTable(s operator.Status) table {
	t := table{header: []string{"NODE", "ADDRESS", "REGION", "ZONE", "STATE", "ROLES", "LEASES", "CONFIGURATION"}}
	for _, n := range s.Nodes {
		t.rows = append(t.rows, []string{
			string(n.Node), n.Address, string(n.Region), string(n.Zone), state(n.Alive, n.Leaving, false),
			strings.Join(n.Roles, ","), strconv.Itoa(n.Leases), version(uint64(n.Configuration)),
		})
	}
	return t
}

func state(alive, leaving, drained bool) string {
	switch {
	case !alive:
		return "silent"
	case leaving:
		return "leaving"
	case drained:
		return "drained"
	}
	return "up"
}

func serverTable(s operator.Status) table {
	t := table{header: []string{"SERVER", "KIND", "ZONE", "STATE", "OWNER", "FENCE", "CHECKS", "MEMORY", "RUNNING", "WAITING"}}
	for _, v := range s.Servers {
		memory := "-"
		if v.Memory > 0 {
			memory = gibibytes(v.Used) + "/" + configuration.FormatBytes(v.Memory)
		}
		t.rows = append(t.rows, []string{
			string(v.Server), v.Kind, string(v.Zone), state(v.Alive, v.Leaving, v.Drained), dash(string(v.Owner)),
			version(uint64(v.Fence)), strconv.FormatBool(v.ChecksFences), memory, strconv.Itoa(v.Running), strconv.Itoa(v.Waiting),
		})
	}
	return t
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func gibibytes[B ~int64](b B) string { return fmt.Sprintf("%.1f", float64(b)/(1<<30)) }

func permitTable(s operator.Status) table {
	t := table{header: []string{"MODEL", "PERMIT AT", "REPLICA", "REVOKED"}}
	for _, p := range s.Permits {
		replica := "cold"
		switch {
		case p.Loading:
			replica = "loading"
		case p.Loaded:
			replica = "loaded"
		}
		t.rows = append(t.rows, []string{string(p.Model), string(p.Server), replica, strconv.FormatBool(p.Revoked)})
	}
	return t
}

func doubtTable(s operator.Status) table {
	t := table{header: []string{"IN DOUBT AT", "EARLIER OWNER", "FENCE", "SINCE"}}
	for _, v := range s.UnknownOutcomes {
		t.rows = append(t.rows, []string{string(v.Server), string(v.Owner), version(uint64(v.EarlierFence)), rounded(v.Since)})
	}
	return t
}

func rounded(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }

func queueTable(s operator.Status) table {
	t := table{header: []string{"QUEUE", "WAITING", "RUNNING", "HOLD"}}
	for _, q := range s.Queues {
		t.rows = append(t.rows, []string{string(q.Model), strconv.Itoa(q.Waiting), strconv.Itoa(q.Running), rounded(q.AverageHoldTime)})
	}
	return t
}

func wakeTable(s operator.Status) table {
	t := table{header: []string{"WAKE", "SERVER", "CALLERS", "SINCE"}}
	for _, w := range s.ColdStarts {
		t.rows = append(t.rows, []string{string(w.Model), dash(string(w.Server)), strconv.Itoa(w.Callers), rounded(w.Since)})
	}
	return t
}

func breakerTable(s operator.Status) table {
	t := table{header: []string{"LEFT OUT", "FAILURES", "FOR"}}
	for _, b := range s.Ejections {
		t.rows = append(t.rows, []string{string(b.Server), strconv.Itoa(b.Failures), rounded(b.Remaining)})
	}
	return t
}

func suspectTable(s operator.Status) table {
	t := table{header: []string{"SUSPECTED CONTENT", "REFUSED", "CRASHES", "FOR"}}
	for _, c := range s.Suspects {
		t.rows = append(t.rows, []string{c.Content, strconv.FormatBool(c.Refused), strconv.Itoa(c.Crashes), rounded(c.Remaining)})
	}
	return t
}
