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

// Result holds the figures of one replay, taken from the measured part of the trace.
type Result struct {
	Trace    string
	Strategy string
	Weights  waking.Weights
	// Waits are the cold-start waits of all requests, sorted; most are zero. The wait of a
	// request that timed out is its timeout.
	Waits []time.Duration
	// Idle is the total time that replicas were loaded or loading without a request.
	Idle     time.Duration
	TimedOut int
	// Loads counts all loads, Prewarms those that began without a waiting request, and
	// StoreLoads those from the weight store, whose transfers took StoreTransferTime in total.
	Loads             int
	Prewarms          int
	StoreLoads        int
	StoreTransferTime time.Duration
}

func (r *Result) addWait(d time.Duration) { r.Waits = append(r.Waits, d) }

func (r *Result) sortWaits() { slices.Sort(r.Waits) }

// Quantile returns the wait that a share q of the requests did not exceed.
func (r *Result) Quantile(q float64) time.Duration {
	if len(r.Waits) == 0 {
		return 0
	}
	i := int(math.Ceil(q*float64(len(r.Waits)))) - 1
	return r.Waits[max(0, i)]
}

// Cold counts the requests that waited for a cold start.
func (r *Result) Cold() int {
	n, _ := slices.BinarySearch(r.Waits, 1)
	return len(r.Waits) - n
}

// Cost returns the weighted sum of all waits and the idle time.
func (r *Result) Cost() float64 {
	var totalWait time.Duration
	for _, w := range r.Waits {
		totalWait += w
	}
	return r.Weights.Cost(totalWait, r.Idle)
}

// WriteText writes the results as a table.
func WriteText(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "TRACE\tSTRATEGY\tP50 s\tP95 s\tP99 s\tP99.9 s\tIDLE h\tCOST\tCOLD\tREFUSED\tREQUESTS\tLOADS\tAHEAD\tSTORE\tSTORE s\t")
	for i := range results {
		r := &results[i]
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t\n",
			r.Trace, r.Strategy, r.Quantile(.5).Seconds(), r.Quantile(.95).Seconds(), r.Quantile(.99).Seconds(), r.Quantile(.999).Seconds(),
			r.Idle.Hours(), r.Cost(), r.Cold(), r.TimedOut, len(r.Waits), r.Loads, r.Prewarms, r.StoreLoads, r.StoreTransferTime.Seconds())
	}
	return errors.WithStack(t.Flush())
}
