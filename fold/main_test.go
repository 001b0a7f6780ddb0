package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives properties the same seed every run, unless the command line
// names another.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
