package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed, number of checks and number of steps, which
// flags on the command line override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
