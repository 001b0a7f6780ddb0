package objective

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

func start() time.Time { return time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC) }

func event(at time.Time, firstToken time.Duration) Event {
	return Event{Team: "coral", Model: "m", At: at, FirstToken: firstToken}
}

func line(t *testing.T, r Report, k Key, m Measure) Line {
	t.Helper()
	for _, l := range r.Lines {
		if l.Key == k && l.Measure == m {
			return l
		}
	}
	t.Fatalf("no line for %v %v", k, m)
	return Line{}
}

func TestFastBurnAlertsUntilTheWindowEnds(t *testing.T) {
	var r Recorder
	now := start()
	for i := range 100 {
		firstToken := time.Second
		if i%5 == 0 {
			firstToken = 2 * time.Second
		}
		r.Record(event(now.Add(time.Duration(i)*time.Second), firstToken))
	}
	now = now.Add(100 * time.Second)
	key := Key{Team: "coral", Model: "m"}
	got := line(t, r.Report(now), key, FirstToken)
	if want := (Count{Total: 100, Missed: 20}); got.Windows[0].Count != want {
		t.Errorf("got %v, want %v", got.Windows[0].Count, want)
	}
	if got.Alert != FastBurn {
		t.Errorf("got %v, want FastBurn", got.Alert)
	}
	later := line(t, r.Report(now.Add(10*time.Minute)), key, FirstToken)
	if got, want := later.Windows[0].Count.Total, uint64(0); got != want {
		t.Errorf("after ten minutes: got %d events in the short window, want %d", got, want)
	}
	if later.Alert != SlowBurn {
		t.Errorf("after ten minutes: got %v, want SlowBurn", later.Alert)
	}
	if got, want := len(r.Report(now.Add(96*time.Hour)).Lines), 0; got != want {
		t.Errorf("after four days: got %d lines, want %d", got, want)
	}
}

func TestOneSlowResponseDoesNotAlert(t *testing.T) {
	var r Recorder
	r.Record(event(start(), 10*time.Second))
	got := line(t, r.Report(start()), Key{Team: "coral", Model: "m"}, FirstToken)
	if got.Alert != Quiet {
		t.Errorf("got %v, want Quiet", got.Alert)
	}
}

func TestEachMeasureCountsItsEvents(t *testing.T) {
	var r Recorder
	e := event(start(), 9*time.Second)
	e.Cold = true
	e.BetweenTokens = []time.Duration{10 * time.Millisecond, 50 * time.Millisecond}
	r.Record(e)
	r.Record(Event{Team: "coral", Model: "m", At: start(), Outcome: RefusedInTime})
	r.Record(Event{Team: "coral", Model: "m", At: start(), Outcome: RefusedLate})
	r.Record(Event{Team: "coral", Model: "m", At: start(), Outcome: Broken})
	r.Record(Event{Team: "coral", Model: "m", At: start(), Outcome: CallerLeft})
	report := r.Report(start())
	key := Key{Team: "coral", Model: "m"}
	for m, want := range map[Measure]Count{
		ColdStart:     {Total: 1},
		BetweenTokens: {Total: 2, Missed: 1},
		InTime:        {Total: 4, Missed: 2},
	} {
		if got := line(t, report, key, m).Windows[0].Count; got != want {
			t.Errorf("%v: got %v, want %v", m, got, want)
		}
	}
}

// TestMergeEqualsOneRecorder records events at random nodes and compares the merged
// snapshot with that of one recorder of all events.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := make([]*Recorder, 3)
		for i := range nodes {
			nodes[i] = &Recorder{}
		}
		var single Recorder
		now := start()
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second)
			e := event(now, time.Duration(rapid.IntRange(0, 100_000).Draw(t, "first"))*time.Millisecond)
			e.Model = domain.ModelName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model"))
			e.Cold = rapid.Bool().Draw(t, "cold")
			e.BetweenTokens = []time.Duration{time.Duration(rapid.IntRange(0, 90).Draw(t, "gap")) * time.Millisecond}
			rapid.SampledFrom(nodes).Draw(t, "node").Record(e)
			single.Record(e)
		}
		got := Merge(nodes[2].Snapshot(now), nodes[0].Snapshot(now), nodes[1].Snapshot(now))
		if got.Nodes != len(nodes) {
			t.Fatalf("got %d nodes, want %d", got.Nodes, len(nodes))
		}
		got.Nodes = 1
		if want := single.Snapshot(now); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func TestCardinalityIsBounded(t *testing.T) {
	var r Recorder
	for i := range 5 * MaximumSeries {
		r.Record(Event{Team: "coral", Model: domain.ModelName(fmt.Sprint(i)), At: start(), FirstToken: time.Second})
	}
	if got, want := len(r.series), MaximumSeries; got != want {
		t.Errorf("got %d series, want %d", got, want)
	}
	if got, want := len(r.histograms), MaximumHistograms; got != want {
		t.Errorf("got %d histograms, want %d", got, want)
	}
}
