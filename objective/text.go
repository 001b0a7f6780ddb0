package objective

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// name returns the key for display: TEAM/MODEL, or "all" for the totals.
func (k Key) name() string {
	if k == (Key{}) {
		return "all"
	}
	team := k.Team
	if team == "" {
		team = "-"
	}
	return string(team) + "/" + string(k.Model)
}

// goalText returns the goal as text.
func (l Line) goalText() string {
	share := strings.TrimSuffix(fmt.Sprintf("%.1f", 100*l.Goal.Share), ".0") + "%"
	switch l.Measure {
	case FirstToken:
		return share + " first token in " + l.Goal.Within.String()
	case BetweenTokens:
		return share + " gaps under " + l.Goal.Within.String()
	case ColdStart:
		return share + " cold starts in " + l.Goal.Within.String()
	case InTime:
	}
	return share + " ended in time"
}

// windowName formats a window's length, for example "5m", "1h" or "3d".
func windowName(d time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case d >= day && d%day == 0:
		return fmt.Sprintf("%dd", d/day)
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dm", d/time.Minute)
}

// Counts returns the number of lines with each alert.
func (r Report) Counts() map[Alert]int {
	counts := map[Alert]int{}
	for _, l := range r.Lines {
		counts[l.Alert]++
	}
	return counts
}

// Headline returns a one-sentence summary of the alerts.
func (r Report) Headline() string {
	counts := r.Counts()
	if len(r.Lines) == 0 {
		return "No request has ended in the last three days."
	}
	if counts[FastBurn] == 0 && counts[SlowBurn] == 0 {
		return fmt.Sprintf("All %d objectives are kept.", len(r.Lines))
	}
	return fmt.Sprintf("%d of %d objectives burn fast and %d slowly.", counts[FastBurn], len(r.Lines), counts[SlowBurn])
}

// coverage returns a sentence on how many nodes the report covers.
func (r Report) coverage() string {
	if r.Unresponsive > 0 {
		return fmt.Sprintf("PARTIAL: %d nodes counted, %d did not answer.", r.Nodes, r.Unresponsive)
	}
	return fmt.Sprintf("Nodes counted: %d.", r.Nodes)
}

// WriteText writes the report as text tables.
func (r Report) WriteText(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn at %s. %s\n\n", r.At.UTC().Format(time.RFC3339), r.Headline()+" "+r.coverage())
	b.WriteString("ALERT\tTEAM/MODEL\tPROMISE\tBUDGET LEFT")
	for _, window := range Windows() {
		fmt.Fprintf(&b, "\tBURN %s", windowName(window.Length))
	}
	b.WriteString("\tMISSED 3d\n")
	for _, l := range r.Lines {
		l.writeText(&b)
	}
	r.writeLatencies(&b)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, b.String()); err != nil {
		return errors.Wrap(err, "lay out report")
	}
	return errors.Wrap(t.Flush(), "write report")
}

func (l Line) writeText(b *strings.Builder) {
	fmt.Fprintf(b, "%s\t%s\t%s\t%.0f%%", l.Alert, l.Key.name(), l.goalText(), 100*l.BudgetLeft)
	for _, window := range l.Windows {
		fmt.Fprintf(b, "\t%.1f", window.Rate)
	}
	longest := l.Windows[windowCount-1].Count
	fmt.Fprintf(b, "\t%d of %d\n", longest.Missed, longest.Total)
}

func (r Report) writeLatencies(b *strings.Builder) {
	if len(r.Latencies) == 0 {
		return
	}
	b.WriteString("\nMODEL\tMEASURE\tCOUNT\tP50\tP95\tP99\tMOST\n")
	for _, q := range r.Latencies {
		fmt.Fprintf(b, "%s\t%s\t%d\t%s\t%s\t%s\t%s\n", q.Model, q.Measure, q.Count, q.P50, q.P95, q.P99, q.Most)
	}
}
