package objective

import (
	_ "embed" // for burn.html.tmpl
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

//go:embed burn.html.tmpl
var pageTemplate string

// page is the data of the template, which looks up its fields and those of pageLine and
// pageCell by name.
type page struct {
	At       string
	Headline string
	Coverage string
	Alert    string
	Windows  []string
	Lines    []pageLine
	// Hidden is the number of lines beyond maximumPageLines.
	Hidden    int
	Latencies []Quantiles
}

type pageLine struct {
	Alert   string
	Name    string
	Promise string
	// Budget is the budget left, in percent; Bar is the same as a number limited to the
	// range 0 to 100.
	Budget string
	Bar    int
	Spent  bool
	Cells  []pageCell
	Missed string
}

type pageCell struct {
	Rate  string
	Level string
	// Points holds the coordinates of an SVG polyline of the window's history.
	Points string
	// Line is the y coordinate of a burn rate of 1.
	Line string
}

// maximumPageLines bounds the size of the page. The most urgent lines come first, so the
// page leaves out the least urgent.
const maximumPageLines = 200

// Size of a plot in SVG units.
const (
	plotWidth  = 90.0
	plotHeight = 26.0
	// plotMaximumRate is the burn rate at the top of a plot.
	plotMaximumRate = FastRate
)

// WriteHTML writes the report as a self-contained page, without scripts, fonts or external
// links.
func (r Report) WriteHTML(w io.Writer) error {
	t, err := template.New("burn").Parse(pageTemplate)
	if err != nil {
		return errors.Wrap(err, "parse page")
	}
	return errors.Wrap(t.Execute(w, r.page()), "write page")
}

func (r Report) page() page {
	p := page{At: r.At.UTC().Format("2006-01-02 15:04:05 MST"), Headline: r.Headline(), Coverage: r.coverage(), Alert: Quiet.String(), Latencies: r.Latencies}
	for _, w := range Windows() {
		p.Windows = append(p.Windows, windowName(w.Length))
	}
	for i, l := range r.Lines {
		if i == 0 {
			p.Alert = l.Alert.String()
		}
		if i >= maximumPageLines {
			p.Hidden = len(r.Lines) - i
			break
		}
		p.Lines = append(p.Lines, l.page())
	}
	return p
}

func (l Line) page() pageLine {
	longest := l.Windows[windowCount-1].Count
	p := pageLine{
		Alert:   l.Alert.String(),
		Name:    l.Key.name(),
		Promise: l.goalText(),
		Budget:  fmt.Sprintf("%.0f%%", 100*l.BudgetLeft),
		Bar:     int(100 * min(max(l.BudgetLeft, 0), 1)),
		Spent:   l.BudgetLeft <= 0,
		Missed:  fmt.Sprintf("%d of %d", longest.Missed, longest.Total),
	}
	for _, w := range l.Windows {
		p.Cells = append(p.Cells, w.cell())
	}
	return p
}

func (w WindowBurn) cell() pageCell {
	c := pageCell{Rate: fmt.Sprintf("%.1f", w.Rate), Level: "ok", Points: w.points(), Line: fmt.Sprintf("%.1f", plotY(1))}
	switch {
	case w.Rate >= FastRate:
		c.Level = "fast"
	case w.Rate >= SlowRate:
		c.Level = "slow"
	}
	return c
}

// plotY returns the y coordinate of a rate in a plot; 0 is the top.
func plotY(rate float64) float64 {
	return plotHeight - 1 - min(rate, plotMaximumRate)/plotMaximumRate*(plotHeight-2)
}

func (w WindowBurn) points() string {
	var b strings.Builder
	for i, rate := range w.History {
		x := plotWidth * float64(i) / float64(max(len(w.History)-1, 1))
		fmt.Fprintf(&b, "%.1f,%.1f ", x, plotY(rate))
	}
	return strings.TrimSpace(b.String())
}

// Seconds formats a latency. The template calls it.
func (q Quantiles) Seconds(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
