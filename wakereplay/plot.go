package wakereplay

import (
	"fmt"
	"image/color"
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// plotWidth and plotHeight are the size of the picture.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
	// leastHours stands for no idle time on the logarithmic axis.
	leastHours = .1
	// legendRoom widens the axis to the right of the results.
	legendRoom = 300
)

// quantiles are the plotted quantiles of the wait.
var quantiles = []struct {
	share float64
	name  string
	color color.RGBA
}{
	{.95, "p95", color.RGBA{R: 0x1b, G: 0x7a, B: 0x43, A: 0xff}},
	{.99, "p99", color.RGBA{R: 0x1f, G: 0x4e, B: 0x9e, A: 0xff}},
	{.999, "p99.9", color.RGBA{R: 0xa8, G: 0x2c, B: 0x2c, A: 0xff}},
}

// WritePNG draws the results: cold-start wait over idle hours. Lower and further
// left is better.
func WritePNG(w io.Writer, results []Result) error {
	p := plot.New()
	p.Title.Text = "Cold-start wait and idle accelerator hours"
	p.X.Label.Text = "idle accelerator hours"
	p.Y.Label.Text = "cold-start wait, s"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Add(plotter.NewGrid())
	for _, q := range quantiles {
		points := make(plotter.XYs, 0, len(results))
		for i := range results {
			points = append(points, plotter.XY{
				X: max(leastHours, results[i].Idle.Hours()),
				Y: results[i].Quantile(q.share).Seconds(),
			})
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return errors.WithStack(err)
		}
		s.Color = q.color
		p.Add(s)
		p.Legend.Add(q.name, s)
	}
	if err := addNames(p, results); err != nil {
		return err
	}
	c, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.WriteTo(w)
	return errors.WithStack(err)
}

// addNames numbers each result at its 99th percentile and puts the names into the legend.
func addNames(p *plot.Plot, results []Result) error {
	var numbers plotter.XYLabels
	for i := range results {
		r := &results[i]
		numbers.XYs = append(numbers.XYs, plotter.XY{X: max(leastHours, r.Idle.Hours()), Y: r.Quantile(.99).Seconds()})
		numbers.Labels = append(numbers.Labels, fmt.Sprintf(" %d", i+1))
		p.Legend.Add(fmt.Sprintf("%d %s: %s", i+1, r.Trace, r.Strategy))
	}
	labels, err := plotter.NewLabels(numbers)
	if err != nil {
		return errors.WithStack(err)
	}
	p.Add(labels)
	p.Legend.Top = true
	p.X.Max *= legendRoom
	return nil
}
