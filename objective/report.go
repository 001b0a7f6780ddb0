package objective

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Alert thresholds. A burn rate of 1 spends the budget exactly over its 3 days.
const (
	// FastRate is the burn rate that spends a fifth of the 3-day budget per hour. The
	// alert FastBurn requires this rate over 5 minutes and over 1 hour.
	FastRate = 14.4
	// SlowRate is the burn rate that spends the whole 3-day budget in 3 days.
	// The alert SlowBurn requires this rate over 6 hours and over 3 days.
	SlowRate = 1.0
	// MinimumMissed is the number of missed events that an alert requires in the longer
	// of its two windows, so that one slow response of a rarely used model does not
	// page an operator.
	MinimumMissed = 5
)

// Report holds the burn rate of every error budget.
type Report struct {
	At time.Time
	// Nodes is the number of nodes whose counts are in the report, Unresponsive the
	// number that did not respond.
	Nodes, Unresponsive int
	// Lines is sorted by descending urgency, then by ascending budget left.
	Lines []Line
	// Latencies is sorted by model and measure.
	Latencies []Quantiles
}

// Line is the burn of one measure for one team and model. The lines with an empty Key are
// totals over all teams and models.
type Line struct {
	Key     Key
	Measure Measure
	Goal    Goal
	// Windows holds the burn over each window, shortest first, in the order that the
	// function Windows returns.
	Windows [windowCount]WindowBurn
	Alert   Alert
	// BudgetLeft is the unspent fraction of the budget over the longest window. It is
	// negative where the budget is overspent.
	BudgetLeft float64
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Length time.Duration
	Count  Count
	// Rate is the fraction of events that missed, divided by the fraction that is
	// permitted to miss.
	Rate float64
	// History is the rate in each bucket of the window, oldest first.
	History []float64
}

// Quantiles summarizes the latencies of one model and measure over the current and the
// previous half hour.
type Quantiles struct {
	Model   domain.ModelName
	Measure Measure
	Count   int64
	// P50, P95, P99 and Most, the maximum, have a resolution of one millisecond.
	P50, P95, P99, Most time.Duration
}

// Report returns the burn at now, from the events of this recorder alone.
func (r *Recorder) Report(now time.Time) Report {
	return r.Snapshot(now).Report(now, r.goal)
}

// Report returns the burn at now. A nil goals function means DefaultGoal.
func (s Snapshot) Report(now time.Time, goals func(Key, Measure) Goal) Report {
	if goals == nil {
		goals = func(_ Key, m Measure) Goal { return DefaultGoal(m) }
	}
	report := Report{At: now, Nodes: s.Nodes, Unresponsive: s.Unresponsive}
	total := Series{}
	for _, series := range s.Series {
		report.addLines(series, now, goals)
		for i := range total.Windows {
			total.Windows[i] = mergeBuckets(total.Windows[i], series.Windows[i])
		}
	}
	report.addLines(total, now, goals)
	for _, l := range s.Latencies {
		report.Latencies = append(report.Latencies, l.quantiles())
	}
	slices.SortStableFunc(report.Lines, compareLines)
	return report
}

func (r *Report) addLines(s Series, now time.Time, goals func(Key, Measure) Goal) {
	for _, m := range Measures() {
		line := Line{Key: s.Key, Measure: m, Goal: goals(s.Key, m)}
		for i, w := range Windows() {
			line.Windows[i] = burn(s.Windows[i], w, now, m, line.Goal)
		}
		longest := line.Windows[windowCount-1]
		if longest.Count.Total == 0 {
			continue
		}
		line.BudgetLeft = 1 - longest.Rate
		line.Alert = line.alert()
		r.Lines = append(r.Lines, line)
	}
}

func burn(buckets []Bucket, w Window, now time.Time, m Measure, g Goal) WindowBurn {
	b := WindowBurn{Length: w.Length, History: make([]float64, w.steps())}
	firstIndex := w.firstIndex(now)
	for _, bucket := range buckets {
		at := bucket.Index - firstIndex
		if at < 0 || at >= int64(len(b.History)) {
			continue
		}
		b.Count.add(bucket.Counts[m])
		b.History[at] = rate(bucket.Counts[m], g)
	}
	b.Rate = rate(b.Count, g)
	return b
}

// rate returns the burn rate of a count, or zero where there are no events or the goal
// permits no misses.
func rate(c Count, g Goal) float64 {
	allowed := 1 - g.Share
	if c.Total == 0 || allowed <= 0 {
		return 0
	}
	return float64(c.Missed) / float64(c.Total) / allowed
}

func (l Line) alert() Alert {
	shortest, hour, sixHours, longest := l.Windows[0], l.Windows[1], l.Windows[2], l.Windows[3]
	switch {
	case shortest.Rate >= FastRate && hour.Rate >= FastRate && hour.Count.Missed >= MinimumMissed:
		return FastBurn
	case sixHours.Rate >= SlowRate && longest.Rate >= SlowRate && longest.Count.Missed >= MinimumMissed:
		return SlowBurn
	}
	return Quiet
}

func compareLines(a, b Line) int {
	if a.Alert != b.Alert {
		return int(b.Alert) - int(a.Alert)
	}
	if a.BudgetLeft != b.BudgetLeft {
		if a.BudgetLeft < b.BudgetLeft {
			return -1
		}
		return 1
	}
	if c := compareKeys(a.Key, b.Key); c != 0 {
		return c
	}
	return int(a.Measure) - int(b.Measure)
}

func (l Latency) quantiles() Quantiles {
	q := Quantiles{Model: l.Model, Measure: l.Measure}
	for _, v := range l.Values {
		q.Count += v.Count
	}
	q.P50 = l.quantile(q.Count, 0.50)
	q.P95 = l.quantile(q.Count, 0.95)
	q.P99 = l.quantile(q.Count, 0.99)
	q.Most = l.quantile(q.Count, 1)
	return q
}

// quantile returns the smallest recorded latency that is not exceeded by the given
// fraction of count values.
func (l Latency) quantile(count int64, fraction float64) time.Duration {
	cumulativeCount := int64(0)
	for _, v := range l.Values {
		cumulativeCount += v.Count
		if float64(cumulativeCount) >= fraction*float64(count) {
			return time.Duration(v.Milliseconds) * time.Millisecond
		}
	}
	return 0
}
