package objective

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Burn rates that alert. A rate of 1 spends the budget exactly over the window.
const (
	// FastRate over 5 minutes and 1 hour spends a fifth of the 3-day budget an
	// hour.
	FastRate = 14.4
	// SlowRate over 6 hours and 3 days leaves no budget at the end.
	SlowRate = 1.0
	// MinimumMissed is how many events must have missed in an alert's longer
	// window, so that one bad answer of a rarely used model wakes nobody.
	MinimumMissed = 5
)

// Report says how fast each budget burns.
type Report struct {
	At time.Time
	// Nodes is how many nodes' counts are in the report, Silent how many did not
	// answer.
	Nodes, Unresponsive int
	// Lines are sorted: the most urgent first, then by budget left.
	Lines []Line
	// Latencies are sorted by model and measure.
	Latencies []Quantiles
}

// Line is the burn of one measure of one team and model. Total lines, over all
// teams and models, have an empty Key.
type Line struct {
	Key     Key
	Measure Measure
	Goal    Goal
	// Windows stand in the order of the function Windows.
	Windows [windows]WindowBurn
	Alert   Alert
	// BudgetLeft is the part of the budget over the longest window that is not
	// spent; it is negative where more was spent.
	BudgetLeft float64
}

// WindowBurn is the burn over one window.
type WindowBurn struct {
	Length time.Duration
	Count  Count
	// Rate is the missed part over the part that may miss.
	Rate float64
	// History is the rate in each bucket of the window, oldest first, for plots.
	History []float64
}

// Quantiles are the latencies of one model and measure in the last hour at most.
type Quantiles struct {
	Model   domain.ModelName
	Measure Measure
	Count   int64
	// P50, P95, P99 and Most are the latencies in whole milliseconds.
	P50, P95, P99, Most time.Duration
}

// Report returns the burn at now of this recorder alone.
func (r *Recorder) Report(now time.Time) Report {
	return r.Snapshot(now).Report(now, r.goal)
}

// Report returns the burn at now. Goals may be nil, which means DefaultGoal.
func (s Snapshot) Report(now time.Time, goals func(Key, Measure) Goal) Report {
	if goals == nil {
		goals = func(_ Key, m Measure) Goal { return DefaultGoal(m) }
	}
	report := Report{At: now, Nodes: s.Nodes, Unresponsive: s.Unresponsive}
	total := Series{}
	for _, one := range s.Series {
		report.addLines(one, now, goals)
		for i := range total.Windows {
			total.Windows[i] = mergeBuckets(total.Windows[i], one.Windows[i])
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
		longest := line.Windows[windows-1]
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
	first := w.firstIndex(now)
	for _, bucket := range buckets {
		at := bucket.Index - first
		if at < 0 || at >= int64(len(b.History)) {
			continue
		}
		b.Count.add(bucket.Counts[m])
		b.History[at] = rate(bucket.Counts[m], g)
	}
	b.Rate = rate(b.Count, g)
	return b
}

// rate is zero where nothing happened.
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
	q.P50 = l.at(q.Count, 0.50)
	q.P95 = l.at(q.Count, 0.95)
	q.P99 = l.at(q.Count, 0.99)
	q.Most = l.at(q.Count, 1)
	return q
}

// at returns the smallest value that at least part of count values do not pass.
func (l Latency) at(count int64, part float64) time.Duration {
	seen := int64(0)
	for _, v := range l.Values {
		seen += v.Count
		if float64(seen) >= part*float64(count) {
			return time.Duration(v.Milliseconds) * time.Millisecond
		}
	}
	return 0
}
