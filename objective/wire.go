package objective

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/parsleylug/parsleylug/domain"
)

// WireReport is the JSON form of Report.
type WireReport struct {
	At        string
	Nodes     int
	Silent    int
	Lines     []WireLine
	Latencies []WireQuantiles
}

// WireLine is the JSON form of Line. Team and Model are empty for the totals.
type WireLine struct {
	Team               string
	Model              string
	Measure            string
	WithinMilliseconds int64
	Share              float64
	Alert              string
	BudgetLeft         float64
	Windows            []WireWindow
}

// WireWindow is the JSON form of WindowBurn.
type WireWindow struct {
	Seconds int64
	Total   uint64
	Missed  uint64
	Rate    float64
	History []float64
}

// WireQuantiles is the JSON form of Quantiles.
type WireQuantiles struct {
	Model            string
	Measure          string
	Count            int64
	P50Milliseconds  int64
	P95Milliseconds  int64
	P99Milliseconds  int64
	MostMilliseconds int64
}

// WireOf converts a report to its JSON form.
func WireOf(r Report) WireReport {
	w := WireReport{At: r.At.UTC().Format(time.RFC3339), Nodes: r.Nodes, Silent: r.Unresponsive, Lines: []WireLine{}, Latencies: []WireQuantiles{}}
	for _, l := range r.Lines {
		w.Lines = append(w.Lines, wireOfLine(l))
	}
	for _, q := range r.Latencies {
		w.Latencies = append(w.Latencies, WireQuantiles{
			Model:            string(q.Model),
			Measure:          q.Measure.String(),
			Count:            q.Count,
			P50Milliseconds:  q.P50.Milliseconds(),
			P95Milliseconds:  q.P95.Milliseconds(),
			P99Milliseconds:  q.P99.Milliseconds(),
			MostMilliseconds: q.Most.Milliseconds(),
		})
	}
	return w
}

func wireOfLine(l Line) WireLine {
	w := WireLine{
		Team:               string(l.Key.Team),
		Model:              string(l.Key.Model),
		Measure:            l.Measure.String(),
		WithinMilliseconds: l.Goal.Within.Milliseconds(),
		Share:              l.Goal.Share,
		Alert:              l.Alert.String(),
		BudgetLeft:         l.BudgetLeft,
	}
	for _, b := range l.Windows {
		w.Windows = append(w.Windows, WireWindow{
			Seconds: int64(b.Length / time.Second),
			Total:   b.Count.Total,
			Missed:  b.Count.Missed,
			Rate:    b.Rate,
			History: b.History,
		})
	}
	return w
}

// Value converts the JSON form back to a report.
func (w WireReport) Value() Report {
	at, err := time.Parse(time.RFC3339, w.At)
	if err != nil {
		at = time.Time{}
	}
	r := Report{At: at, Nodes: w.Nodes, Unresponsive: w.Silent}
	for _, l := range w.Lines {
		r.Lines = append(r.Lines, l.value())
	}
	for _, q := range w.Latencies {
		r.Latencies = append(r.Latencies, Quantiles{
			Model:   domain.ModelName(q.Model),
			Measure: measureOf(q.Measure),
			Count:   q.Count,
			P50:     milliseconds(q.P50Milliseconds),
			P95:     milliseconds(q.P95Milliseconds),
			P99:     milliseconds(q.P99Milliseconds),
			Most:    milliseconds(q.MostMilliseconds),
		})
	}
	return r
}

func (w WireLine) value() Line {
	l := Line{
		Key:        Key{Team: domain.TeamName(w.Team), Model: domain.ModelName(w.Model)},
		Measure:    measureOf(w.Measure),
		Goal:       Goal{Within: milliseconds(w.WithinMilliseconds), Share: w.Share},
		Alert:      alertOf(w.Alert),
		BudgetLeft: w.BudgetLeft,
	}
	for i := range min(len(w.Windows), windowCount) {
		b := w.Windows[i]
		l.Windows[i] = WindowBurn{
			Length:  time.Duration(b.Seconds) * time.Second,
			Count:   Count{Total: b.Total, Missed: b.Missed},
			Rate:    b.Rate,
			History: b.History,
		}
	}
	return l
}

func milliseconds(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

// measureOf returns the measure with a name, or InTime if there is none.
func measureOf(s string) Measure {
	for _, m := range Measures() {
		if m.String() == s {
			return m
		}
	}
	return InTime
}

// alertOf returns Quiet for an unknown alert.
func alertOf(s string) Alert {
	for _, a := range []Alert{Quiet, SlowBurn, FastBurn} {
		if a.String() == s {
			return a
		}
	}
	return Quiet
}

// wireSnapshot is the JSON form of Snapshot between nodes.
type wireSnapshot struct {
	Series    []wireSeries
	Latencies []wireLatency
}

type wireSeries struct {
	Team    string
	Model   string
	Windows [][]wireBucket
}

// wireBucket holds the counts of one bucket. Counts alternates the total and the missed
// count of each measure.
type wireBucket struct {
	Index  int64
	Counts []uint64
}

type wireLatency struct {
	Model   string
	Measure string
	// Values alternates the milliseconds and the count of each slot.
	Values []int64
}

// MaximumSnapshotSize is the largest encoded snapshot that DecodeSnapshot accepts, in
// bytes.
const MaximumSnapshotSize = 16 << 20

// Encode encodes the snapshot for another node.
func (s Snapshot) Encode() ([]byte, error) {
	w := wireSnapshot{}
	for _, series := range s.Series {
		out := wireSeries{Team: string(series.Key.Team), Model: string(series.Key.Model)}
		for _, buckets := range series.Windows {
			out.Windows = append(out.Windows, wireBuckets(buckets))
		}
		w.Series = append(w.Series, out)
	}
	for _, l := range s.Latencies {
		out := wireLatency{Model: string(l.Model), Measure: l.Measure.String()}
		for _, v := range l.Values {
			out.Values = append(out.Values, v.Milliseconds, v.Count)
		}
		w.Latencies = append(w.Latencies, out)
	}
	raw, err := json.Marshal(w)
	return raw, errors.Wrap(err, "encode burn snapshot")
}

func wireBuckets(buckets []Bucket) []wireBucket {
	var out []wireBucket
	for _, b := range buckets {
		w := wireBucket{Index: b.Index}
		for _, c := range b.Counts {
			w.Counts = append(w.Counts, c.Total, c.Missed)
		}
		out = append(out, w)
	}
	return out
}

// DecodeSnapshot decodes a snapshot of one node, as encoded by Encode.
func DecodeSnapshot(raw []byte) (Snapshot, error) {
	if len(raw) > MaximumSnapshotSize {
		return Snapshot{}, errors.New("burn snapshot is too large")
	}
	var w wireSnapshot
	if err := json.Unmarshal(raw, &w); err != nil {
		return Snapshot{}, errors.Wrap(err, "decode burn snapshot")
	}
	s := Snapshot{Nodes: 1}
	for _, one := range w.Series {
		series, err := one.value()
		if err != nil {
			return Snapshot{}, err
		}
		s.Series = append(s.Series, series)
	}
	for _, l := range w.Latencies {
		latency, err := l.value()
		if err != nil {
			return Snapshot{}, err
		}
		s.Latencies = append(s.Latencies, latency)
	}
	s.sort()
	return s, nil
}

func (w wireSeries) value() (Series, error) {
	s := Series{Key: Key{Team: domain.TeamName(w.Team), Model: domain.ModelName(w.Model)}}
	if len(w.Windows) != windowCount {
		return s, errors.Errorf("burn snapshot has %d windows, not %d", len(w.Windows), windowCount)
	}
	for i, window := range Windows() {
		buckets, err := bucketsOf(w.Windows[i], window)
		if err != nil {
			return s, err
		}
		s.Windows[i] = buckets
	}
	return s, nil
}

func bucketsOf(in []wireBucket, w Window) ([]Bucket, error) {
	if len(in) > w.steps() {
		return nil, errors.New("burn snapshot has more buckets than fit in a window")
	}
	var out []Bucket
	for i, bucket := range in {
		if len(bucket.Counts) != 2*measureCount {
			return nil, errors.New("burn snapshot has a bucket with the wrong number of counts")
		}
		if i > 0 && bucket.Index <= in[i-1].Index {
			return nil, errors.New("burn snapshot has buckets out of order")
		}
		b := Bucket{Index: bucket.Index}
		for m := range b.Counts {
			b.Counts[m] = Count{Total: bucket.Counts[2*m], Missed: bucket.Counts[2*m+1]}
		}
		out = append(out, b)
	}
	return out, nil
}

func (w wireLatency) value() (Latency, error) {
	l := Latency{Model: domain.ModelName(w.Model), Measure: measureOf(w.Measure)}
	if len(w.Values)%2 != 0 {
		return l, errors.New("burn snapshot has a value without a count")
	}
	for i := 0; i < len(w.Values); i += 2 {
		v := ValueCount{Milliseconds: w.Values[i], Count: w.Values[i+1]}
		if v.Count < 0 || i > 0 && v.Milliseconds <= w.Values[i-2] {
			return l, errors.New("burn snapshot has values out of order")
		}
		l.Values = append(l.Values, v)
	}
	return l, nil
}

// ForTeam returns the series of one team. It leaves out the latencies, which cover all
// teams.
func (s Snapshot) ForTeam(t domain.TeamName) Snapshot {
	out := Snapshot{Nodes: s.Nodes, Unresponsive: s.Unresponsive}
	for _, one := range s.Series {
		if one.Key.Team == t {
			out.Series = append(out.Series, one)
		}
	}
	return out
}
