package operator

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestProblemsNamePagesThatExist makes every problem and looks its page up.
func TestProblemsNamePagesThatExist(t *testing.T) {
	const long = time.Hour
	down := Status{Log: LogStatus{LagRecords: maximumLagRecords + 1, Configuration: 2},
		Nodes: []NodeStatus{{}, {Alive: true}},
		Servers: []ServerStatus{{Kind: "Engine"}, {Alive: true, Memory: 1, Used: 2, Owner: "n"},
			{Alive: true, Memory: 100, Used: 99, Owner: "n"}},
		UnknownOutcomes: []UnknownOutcomeStatus{{Since: long}}, ColdStarts: []ColdStartStatus{{Since: long}}, Ejections: []EjectionStatus{{}}, Suspects: []SuspectStatus{{Refused: true}, {}},
	}
	slow := Status{Ready: true, Log: LogStatus{Up: true, SinceResponse: long}}
	problems := append(Diagnose(down), Diagnose(slow)...)
	if got, want := len(problems), 14; got != want {
		t.Errorf("got %d problems, want %d: %+v", got, want, problems)
	}
	for _, p := range problems {
		if _, err := os.Stat(filepath.Join("..", "docs", "operating", p.Page)); err != nil {
			t.Errorf("%s: %v", p.Message, err)
		}
	}
}
