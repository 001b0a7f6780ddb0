package bench

import (
	"io/fs"
	"os"
	"testing"

	"github.com/pkg/errors"
)

// recordVariable makes the benchmarks keep their figures in slopesPath.
const (
	recordVariable = "PARSLEYLUG_RECORD_SLOPES"
	slopesPath     = "slopes.json"
)

// record reports a figure and keeps it where that is asked for.
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
