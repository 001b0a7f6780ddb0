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

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
	// minimumIdleHours replaces smaller values, because a logarithmic axis cannot show zero.
	minimumIdleHours = .1
	// legendScale is the factor that extends the logarithmic idle axis to make room for the
	// legend.
	legendScale = 300
)

var quantiles = []struct {
	share float64
	name  string
	color color.RGBA
}{
	{.95, "p95", color.RGBA{R: 0x1b, G: 0x7a, B: 0x43, A: 0xff}},
	{.99, "p99", color.RGBA{R: 0x1f, G: 0x4e, B: 0x9e, A: 0xff}},
	{.999, "p99.9", color.RGBA{R: 0xa8, G: 0x2c, B: 0x2c, A: 0xff}},
}

// WritePNG plots the cold-start wait of the results against their idle hours. Lower and further
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
				X: max(minimumIdleHours, results[i].Idle.Hours()),
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
	if err := labelResults(p, results); err != nil {
		return err
	}
	c, err := p.WriterTo(plotWidth, plotHeight, "png")
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = c.WriteTo(w)
	return errors.WithStack(err)
}

// labelResults writes the number of each result beside its 99th percentile and lists the
// numbers in the legend.
func labelResults(p *plot.Plot, results []Result) error {
	var numbers plotter.XYLabels
	for i := range results {
		r := &results[i]
		numbers.XYs = append(numbers.XYs, plotter.XY{X: max(minimumIdleHours, r.Idle.Hours()), Y: r.Quantile(.99).Seconds()})
		numbers.Labels = append(numbers.Labels, fmt.Sprintf(" %d", i+1))
		p.Legend.Add(fmt.Sprintf("%d %s: %s", i+1, r.Trace, r.Strategy))
	}
	labels, err := plotter.NewLabels(numbers)
	if err != nil {
		return errors.WithStack(err)
	}
	p.Add(labels)
	p.Legend.Top = true
	p.X.Max *= legendScale
	return nil
}
