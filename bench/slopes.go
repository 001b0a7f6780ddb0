// Package bench holds the measured slopes behind docs/CAPACITY.md and the
// arithmetic that multiplies them by the planned counts.
package bench

import (
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Slope is one measured figure.
type Slope struct {
	Name  string
	Unit  string
	Value float64
}

// Slopes are recorded figures, sorted by name.
type Slopes []Slope

// ReadSlopes reads recorded figures.
func ReadSlopes(path string) (Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	var s Slopes
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode slopes")
}

// Write writes the figures.
func (s Slopes) Write(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write slopes")
}

// Set returns the slopes with one replaced or added.
func (s Slopes) Set(added Slope) Slopes {
	added.Value = round(added.Value)
	i, found := slices.BinarySearchFunc(s, added.Name, func(s Slope, name string) int { return strings.Compare(s.Name, name) })
	if found {
		s[i] = added
		return s
	}
	return slices.Insert(s, i, added)
}

// Value returns a figure by name.
func (s Slopes) Value(name string) (float64, bool) {
	for _, one := range s {
		if one.Name == name {
			return one.Value, true
		}
	}
	return 0, false
}

// round keeps three significant digits, which is more than a measurement on a
// shared machine can tell.
func round(v float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
	if err != nil {
		return 0
	}
	return rounded
}
