package wakereplay

import (
	"testing"

	"github.com/parsleylug/parsleylug/arrivals"
)

func generate(t testing.TB, name string, seed uint64) *arrivals.Trace {
	trace, err := arrivals.Generate(name, seed)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestFrontier prints all strategies.
func TestFrontier(t *testing.T) {
	for _, name := range []string{"imnar", "coral"} {
		trace := generate(t, name, 1)
		var results []Result
		for _, s := range Strategies() {
			results = append(results, Run(trace, s))
		}
		if err := WriteText(t.Output(), results); err != nil {
			t.Fatal(err)
		}
	}
}
