package objective

import (
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/parsleylug/parsleylug/domain"
)

// Snapshot is what recorders hold, in a form that nodes can add up exactly.
type Snapshot struct {
	// Nodes is how many recorders were added up, Silent how many nodes were asked
	// in vain.
	Nodes, Unresponsive int
	// Series is sorted by team and model.
	Series []Series
	// Latencies is sorted by model and measure.
	Latencies []Latency
}

// Series holds the buckets of one team and model.
type Series struct {
	Key Key
	// Windows stand in the order of the function Windows; their buckets are
	// sorted by index.
	Windows [windows][]Bucket
}

// Latency is the histogram of one model and measure over the current and the
// previous half hour.
type Latency struct {
	Model   domain.ModelName
	Measure Measure
	// Values counts latencies in milliseconds; it is sorted by Milliseconds.
	Values []ValueCount
}

// ValueCount counts the latencies in one slot of a histogram.
type ValueCount struct {
	// Milliseconds is the slot's highest value.
	Milliseconds int64
	Count        int64
}

// Snapshot returns a copy of what the recorder holds at now.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.swept = time.Time{}
	r.sweep(now)
	out := Snapshot{Nodes: 1}
	for k, s := range r.series {
		copied := Series{Key: k}
		for i := range s.rings {
			copied.Windows[i] = slices.Clone(s.rings[i].buckets)
		}
		out.Series = append(out.Series, copied)
	}
	for m, h := range r.histograms {
		out.Latencies = append(out.Latencies, h.latencies(m, now)...)
	}
	out.sort()
	return out
}

func (h *histograms) latencies(model domain.ModelName, now time.Time) []Latency {
	h.turn(now)
	var out []Latency
	for _, m := range Measures() {
		sum := newHistogram()
		for _, one := range []*hdrhistogram.Histogram{h.current[m], h.previous[m]} {
			if one != nil {
				sum.Merge(one)
			}
		}
		if sum.TotalCount() == 0 {
			continue
		}
		out = append(out, Latency{Model: model, Measure: m, Values: values(sum)})
	}
	return out
}

func values(h *hdrhistogram.Histogram) []ValueCount {
	var out []ValueCount
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			out = append(out, ValueCount{Milliseconds: bar.To, Count: bar.Count})
		}
	}
	return out
}

func compareKeys(a, b Key) int {
	if c := strings.Compare(string(a.Team), string(b.Team)); c != 0 {
		return c
	}
	return strings.Compare(string(a.Model), string(b.Model))
}

func (s *Snapshot) sort() {
	slices.SortFunc(s.Series, func(a, b Series) int { return compareKeys(a.Key, b.Key) })
	slices.SortFunc(s.Latencies, func(a, b Latency) int {
		if c := strings.Compare(string(a.Model), string(b.Model)); c != 0 {
			return c
		}
		return int(a.Measure) - int(b.Measure)
	})
}

// Merge adds snapshots up. The order of its arguments does not matter.
func Merge(snapshots ...Snapshot) Snapshot {
	series := map[Key]*Series{}
	type place struct {
		model   domain.ModelName
		measure Measure
	}
	latencies := map[place]map[int64]int64{}
	var out Snapshot
	for _, s := range snapshots {
		out.Nodes += s.Nodes
		out.Unresponsive += s.Unresponsive
		for _, one := range s.Series {
			merged, ok := series[one.Key]
			if !ok {
				merged = &Series{Key: one.Key}
				series[one.Key] = merged
			}
			for i := range one.Windows {
				merged.Windows[i] = mergeBuckets(merged.Windows[i], one.Windows[i])
			}
		}
		for _, l := range s.Latencies {
			p := place{l.Model, l.Measure}
			if latencies[p] == nil {
				latencies[p] = map[int64]int64{}
			}
			for _, v := range l.Values {
				latencies[p][v.Milliseconds] += v.Count
			}
		}
	}
	for _, s := range series {
		out.Series = append(out.Series, *s)
	}
	for p, counts := range latencies {
		out.Latencies = append(out.Latencies, Latency{Model: p.model, Measure: p.measure, Values: sortedValues(counts)})
	}
	out.sort()
	return out
}

func sortedValues(counts map[int64]int64) []ValueCount {
	out := make([]ValueCount, 0, len(counts))
	for v, c := range counts {
		out = append(out, ValueCount{Milliseconds: v, Count: c})
	}
	slices.SortFunc(out, func(a, b ValueCount) int { return int(a.Milliseconds - b.Milliseconds) })
	return out
}

// mergeBuckets adds two sorted lists of buckets.
func mergeBuckets(a, b []Bucket) []Bucket {
	var out []Bucket
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].Index < b[0].Index:
			out = append(out, a[0])
			a = a[1:]
		case len(a) == 0 || b[0].Index < a[0].Index:
			out = append(out, b[0])
			b = b[1:]
		default:
			sum := a[0]
			sum.add(b[0])
			out = append(out, sum)
			a, b = a[1:], b[1:]
		}
	}
	return out
}
