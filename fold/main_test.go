package fold

import (
	"flag"
	"os"
	"testing"
)

// TestMain runs the property tests with the same seed every time. A flag on the command
// line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
