package wakereplay

import (
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/waking"
)

// Result holds the figures of one replay's measured part.
type Result struct {
	Trace    string
	Strategy string
	Weights  waking.Weights
	// Waits are the cold-start waits of all requests, sorted; most are zero. A refused
	// request waited for its timeout.
	Waits []time.Duration
	// Idle is how long replicas were loaded, or being loaded, for nobody.
	Idle    time.Duration
	Refused int
	// Loads counts loads, Ahead those that nobody waited for, StoreLoads those from the weight
	// store, which were StoreBusy together.
	Loads      int
	Ahead      int
	StoreLoads int
	StoreBusy  time.Duration
}

func (r *Result) wait(d time.Duration) { r.Waits = append(r.Waits, d) }

func (r *Result) finish() { slices.Sort(r.Waits) }

// Quantile is the wait that a share q of requests did not pass.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(r.Waits)))) - 1
	return r.Waits[max(0, i)]
}

// Cold counts the requests that waited.
func (r *Result) Cold() int {
	n, _ := slices.BinarySearch(r.Waits, 1)
	return len(r.Waits) - n
}

// Cost is the weighted sum of all waits and idle time.
func (r *Result) Cost() float64 {
	var waited time.Duration
	for _, w := range r.Waits {
		waited += w
	}
	return r.Weights.Cost(waited, r.Idle)
}

// WriteText writes a table of results.
func WriteText(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "TRACE\tSTRATEGY\tP50 s\tP95 s\tP99 s\tP99.9 s\tIDLE h\tCOST\tCOLD\tREFUSED\tREQUESTS\tLOADS\tAHEAD\tSTORE\tSTORE s\t")
	for i := range results {
		r := &results[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n",
			r.Trace, r.Strategy, r.Quantile(.5).Seconds(), r.Quantile(.95).Seconds(), r.Quantile(.99).Seconds(), r.Quantile(.999).Seconds(),
			r.Idle.Hours(), r.Cost(), r.Cold(), r.Refused, len(r.Waits), r.Loads, r.Ahead, r.StoreLoads, r.StoreBusy.Seconds())
	}
	return errors.WithStack(t.Flush())
}
