package decisions

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

func TestJournalDropsTheOldestRequest(t *testing.T) {
	j := Journal{Capacity: 3}
	for i := range 5 {
		j.Record(domain.RequestID(fmt.Sprint(i)), "coral", Step{Kind: Admitted})
	}
	for i, want := range []bool{false, false, true, true, true} {
		if _, got := j.Find(domain.RequestID(fmt.Sprint(i))); got != want {
			t.Errorf("request %d found: got %v, want %v", i, got, want)
		}
	}
	if got, want := j.Len(), 3; got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

func TestJournalKeepsFirstAndLastSteps(t *testing.T) {
	var j Journal
	const steps = MaximumSteps + 10
	for i := range steps {
		j.Record("r", "coral", Step{At: time.Unix(int64(i), 0), Detail: strings.Repeat("x", MaximumDetail+1)})
	}
	e, _ := j.Find("r")
	if got, want := len(e.Steps), MaximumSteps; got != want {
		t.Fatalf("got %d steps, want %d", got, want)
	}
	if got, want := e.Dropped, steps-MaximumSteps; got != want {
		t.Errorf("got %d dropped, want %d", got, want)
	}
	if got, want := e.Steps[0].At.Unix(), int64(0); got != want {
		t.Errorf("first step: got %d, want %d", got, want)
	}
	if got, want := e.Steps[MaximumSteps-1].At.Unix(), int64(steps-1); got != want {
		t.Errorf("last step: got %d, want %d", got, want)
	}
	if got, want := len(e.Steps[0].Detail), MaximumDetail; got != want {
		t.Errorf("got a detail of %d bytes, want %d", got, want)
	}
}

func TestLongRequestIDsAreNotRecorded(t *testing.T) {
	var j Journal
	j.Record(domain.RequestID(strings.Repeat("x", MaximumIDLength+1)), "", Step{})
	if got, want := j.Len(), 0; got != want {
		t.Errorf("got %d requests, want %d", got, want)
	}
}

func TestMergeOrdersStepsByTime(t *testing.T) {
	got := Merge(
		Entry{Request: "r", Team: "coral", Steps: []Step{{At: time.Unix(1, 0)}, {At: time.Unix(4, 0)}}},
		Entry{Request: "r", Steps: []Step{{At: time.Unix(2, 0)}}, Dropped: 1},
	)
	if got.Team != "coral" || got.Dropped != 1 || len(got.Steps) != 3 || got.Steps[1].At.Unix() != 2 {
		t.Errorf("got %+v, want three steps in order of time", got)
	}
}
