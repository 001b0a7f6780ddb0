package waking

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/parsleylug/parsleylug/domain"
)

var monday = time.Date(2026, 9, 7, 0, 0, 0, 0, time.UTC)

func TestKeepAliveWithoutHistoryIsBreakEven(t *testing.T) {
	var p Policy
	w := Weights{ColdStart: 1, Idle: 60}
	got := p.KeepAlive("m", 20*time.Second, w, monday)
	if want := 20 * time.Minute; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

// TestKeepAliveFollowsHistory records arrivals at fixed intervals: 9 hours for the model
// "rare", which is longer than its break-even time, and 15 minutes for "steady".
func TestKeepAliveFollowsHistory(t *testing.T) {
	var p Policy
	w := Weights{ColdStart: 1, Idle: 60}
	for i := range 400 {
		p.RecordArrivals("rare", monday.Add(time.Duration(i)*9*time.Hour), 1)
		p.RecordArrivals("steady", monday.Add(time.Duration(i)*15*time.Minute), 1)
	}
	now := monday.Add(400 * 9 * time.Hour)
	if got, want := p.KeepAlive("rare", 20*time.Second, w, now), 10*time.Minute; got > want {
		t.Errorf("rare: got %v, want at most %v", got, want)
	}
	now = monday.Add(400 * 15 * time.Minute)
	if got, want := p.KeepAlive("steady", 20*time.Second, w, now), 15*time.Minute; got < want {
		t.Errorf("steady: got %v, want at least %v", got, want)
	}
}

// TestKeepAliveCostIsBounded checks that one idle time never costs more than
// CompetitiveRatio times the best choice in hindsight, whatever the history is.
func TestKeepAliveCostIsBounded(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var p Policy
		w := Weights{ColdStart: rapid.Float64Range(.1, 10).Draw(r, "ColdStart"), Idle: rapid.Float64Range(1, 500).Draw(r, "Idle")}
		coldStart := time.Duration(rapid.IntRange(1, 60).Draw(r, "cold")) * time.Second
		at := monday
		for range rapid.IntRange(0, 200).Draw(r, "arrivals") {
			at = at.Add(time.Duration(rapid.IntRange(1, 100000).Draw(r, "gap")) * time.Second)
			p.RecordArrivals("m", at, 1)
		}
		keepAlive := p.KeepAlive("m", coldStart, w, at).Seconds()
		breakEven := w.BreakEven(coldStart, p.ExpectedWaiters("m", coldStart)).Seconds()
		gap := rapid.Float64Range(1, 1000000).Draw(r, "next")
		got := gap
		if gap > keepAlive {
			got = keepAlive + breakEven
		}
		if want := CompetitiveRatio * min(gap, breakEven); got > want*1.001 {
			t.Errorf("got a cost of %v, want at most %v (keep-alive %v, break-even %v, idle time %v)", got, want, keepAlive, breakEven, gap)
		}
	})
}

func TestPrewarmBeforeWeeklyArrival(t *testing.T) {
	p := Policy{Weights: Weights{ColdStart: 1, Idle: 20}}
	coldStart := func(domain.ModelName) time.Duration { return 30 * time.Second }
	for week := range 4 {
		p.RecordArrivals("liturgy", monday.AddDate(0, 0, 7*week+6).Add(9*time.Hour+50*time.Minute), 20)
		p.KeepAlive("liturgy", 30*time.Second, Weights{}, monday.AddDate(0, 0, 7*week+6).Add(10*time.Hour))
	}
	sunday := monday.AddDate(0, 0, 7*4+6)
	p.ModelsToPrewarm(sunday.Add(9*time.Hour+44*time.Minute), coldStart)
	got := p.ModelsToPrewarm(sunday.Add(9*time.Hour+45*time.Minute), coldStart)
	if want := []domain.ModelName{"liturgy"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := p.ModelsToPrewarm(sunday.Add(12*time.Hour), coldStart); len(got) > 0 {
		t.Errorf("got %v to pre-warm outside the weekly arrival, want none", got)
	}
}

func TestMemoryPerModel(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	p := newTrainedPolicy()
	runtime.GC()
	runtime.ReadMemStats(&after)
	got := (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / testModelCount
	if want := int64(1024); got > want {
		t.Errorf("got %d bytes per model, want at most %d", got, want)
	}
	t.Logf("%d bytes per model", got)
	runtime.KeepAlive(p)
}

const testModelCount = 1500

func newTrainedPolicy() *Policy {
	p := &Policy{Weights: Weights{ColdStart: 1, Idle: 10}}
	for h := range 14 * 24 {
		for i := range testModelCount {
			if (h*7+i*13)%23 < 3 {
				p.RecordArrivals(testModelName(i), monday.Add(time.Duration(h)*time.Hour+time.Duration(i)*time.Second), 1+i%7)
			}
		}
	}
	return p
}

var testModelNames = func() []domain.ModelName {
	var out []domain.ModelName
	for i := range testModelCount {
		out = append(out, domain.ModelName(fmt.Sprintf("m%04d", i)))
	}
	return out
}()

func testModelName(i int) domain.ModelName { return testModelNames[i%testModelCount] }

func BenchmarkKeepAlive(b *testing.B) {
	p := newTrainedPolicy()
	now := monday.AddDate(0, 0, 14)
	var i int
	for b.Loop() {
		p.KeepAlive(testModelName(i*7), 20*time.Second, Weights{ColdStart: 1, Idle: 10}, now)
		i++
	}
}

func BenchmarkRecordArrivals(b *testing.B) {
	p := newTrainedPolicy()
	now := monday.AddDate(0, 0, 14)
	var i int
	for b.Loop() {
		p.RecordArrivals(testModelName(i*7), now.Add(time.Duration(i)*time.Second), 1)
		i++
	}
}

// BenchmarkModelsToPrewarm advances virtual time by one second per iteration.
func BenchmarkModelsToPrewarm(b *testing.B) {
	p := newTrainedPolicy()
	now := monday.AddDate(0, 0, 14)
	for b.Loop() {
		now = now.Add(time.Second)
		p.ModelsToPrewarm(now, func(domain.ModelName) time.Duration { return 20 * time.Second })
	}
}
