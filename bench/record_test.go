package bench

import (
	"io/fs"
	"os"
	"testing"

	"github.com/pkg/errors"
)

// recordVariable is the environment variable that makes the benchmarks write their figures to
// slopesPath.
const (
	recordVariable = "PARSLEYLUG_RECORD_SLOPES"
	slopesPath     = "slopes.json"
)

// record reports a figure, and writes it to slopesPath if recordVariable is set.
func record(b *testing.B, name, unit string, value float64) {
	b.Helper()
	b.ReportMetric(value, name+":"+unit)
	if os.Getenv(recordVariable) == "" {
		return
	}
	s, err := ReadSlopes(slopesPath)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		b.Fatal(err)
	}
	if err := s.Set(Slope{Name: name, Unit: unit, Value: value}).Write(slopesPath); err != nil {
		b.Fatal(err)
	}
}
