package platformlog

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives property tests a fixed seed and number of checks, which flags on
// the command line override.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
