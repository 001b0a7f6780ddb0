package objective

import (
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// mixedReport returns a report with a fast burn, a slow burn and objectives that are met.
func mixedReport() Report {
	var r Recorder
	now := start()
	for i := range 400 {
		at := now.Add(time.Duration(i) * time.Second)
		firstToken := time.Second
		if i%4 == 0 {
			firstToken = 3 * time.Second
		}
		r.Record(event(at, firstToken))
		r.Record(Event{Team: "imnar", Model: "<script>", At: at, FirstToken: time.Second, BetweenTokens: []time.Duration{10 * time.Millisecond}})
		r.Record(Event{Team: "imnar", Model: "cold", At: at, FirstToken: 9 * time.Second, Cold: true})
	}
	return r.Report(now.Add(400 * time.Second))
}

func TestPageIsSelfContained(t *testing.T) {
	var b strings.Builder
	if err := mixedReport().WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, unwanted := range []string{"<script", "http://", "https://", "src=", "@import", "url("} {
		if strings.Contains(page, unwanted) {
			t.Errorf("the page holds %q", unwanted)
		}
	}
	for _, wanted := range []string{`<tr class="FastBurn">`, "coral/m", "99% first token in 1.6s", "<polyline points=", "Nodes counted: 1."} {
		if !strings.Contains(page, wanted) {
			t.Errorf("the page does not hold %q", wanted)
		}
	}
	checkTags(t, page)
}

// checkTags checks that the page parses as lenient XML, in which meta needs no end tag.
func checkTags(t *testing.T, page string) {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(page))
	d.Strict = false
	d.AutoClose = []string{"meta"}
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

func TestTextListsTheMostUrgentLineFirst(t *testing.T) {
	var b strings.Builder
	if err := mixedReport().WriteText(&b); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(b.String(), "\n")
	if got, want := lines[0], "1 of 11 objectives burn fast and 1 slowly."; !strings.Contains(got, want) {
		t.Errorf("got %q, want it to hold %q", got, want)
	}
	if got, want := lines[3], "FastBurn  coral/m"; !strings.HasPrefix(got, want) {
		t.Errorf("got %q, want it to start with %q", got, want)
	}
}

func TestReportJSONRoundTrip(t *testing.T) {
	want := mixedReport()
	raw, err := json.Marshal(WireOf(want))
	if err != nil {
		t.Fatal(err)
	}
	var wire WireReport
	if err := json.Unmarshal(raw, &wire); err != nil {
		t.Fatal(err)
	}
	if got := wire.Value(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestForTeamReturnsOnlyTheTeamsLines(t *testing.T) {
	var r Recorder
	r.Record(event(start(), time.Second))
	r.Record(Event{Team: "imnar", Model: "m", At: start(), FirstToken: time.Second})
	report := r.Snapshot(start()).ForTeam("imnar").Report(start(), nil)
	for _, l := range report.Lines {
		if l.Key.Team == domain.TeamName("coral") {
			t.Errorf("got a line of another team: %+v", l)
		}
	}
	if got, want := len(report.Lines), 4; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
}
