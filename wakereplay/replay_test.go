package wakereplay

import (
	"bytes"
	"image/png"
	"strings"
	"testing"

	"github.com/parsleylug/parsleylug/arrivals"
)

func generateTrace(t testing.TB, name string, seed uint64) *arrivals.Trace {
	trace, err := arrivals.Generate(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestFrontier replays one trace with all strategies, and writes the table and the plot.
func TestFrontier(t *testing.T) {
	t.Parallel()
	trace := generateTrace(t, "imnar", 1)
	var results []Result
	for _, s := range Strategies() {
		results = append(results, Run(trace, s))
	}
	for i := range results {
		if got, want := len(results[i].Waits), len(results[0].Waits); got != want {
			t.Errorf("%s: got %d requests completed or timed out, want %d", results[i].Strategy, got, want)
		}
	}
	var table, plot bytes.Buffer
	if err := WriteText(&table, results); err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", &table)
	if got, want := strings.Count(table.String(), "\n"), len(results)+1; got != want {
		t.Errorf("got %d lines, want %d", got, want)
	}
	if err := WritePNG(&plot, results); err != nil {
		t.Fatal(err)
	}
	if _, err := png.Decode(&plot); err != nil {
		t.Error(err)
	}
}
