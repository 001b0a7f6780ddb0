// Package bench computes the tables of docs/CAPACITY.md. It multiplies recorded costs per unit,
// such as bytes a message, by the planned counts and compares the products with the budgets of
// a node. Its benchmarks measure the costs and record them in slopes.json, and a test compares
// the page with the tables. The running system never uses it.
package bench

import (
	"encoding/json"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Slope is the measured cost of one unit, for example of one message or one node.
type Slope struct {
	Name  string
	Unit  string
	Value float64
}

// Slopes are recorded slopes, sorted by name.
type Slopes []Slope

// ReadSlopes reads slopes from a JSON file.
func ReadSlopes(path string) (Slopes, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	var s Slopes
	return s, errors.Wrap(json.Unmarshal(data, &s), "decode slopes")
}

// Write writes the slopes to a JSON file.
func (s Slopes) Write(path string) error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode slopes")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o644), "write slopes")
}

// Set returns the slopes with one added, or replaced if the name exists.
func (s Slopes) Set(added Slope) Slopes {
	added.Value = round(added.Value)
	i, found := slices.BinarySearchFunc(s, added.Name, func(s Slope, name string) int { return strings.Compare(s.Name, name) })
	if found {
		s[i] = added
		return s
	}
	return slices.Insert(s, i, added)
}

// Value returns the value of the slope with a name and whether it is recorded.
func (s Slopes) Value(name string) (float64, bool) {
	for _, slope := range s {
		if slope.Name == name {
			return slope.Value, true
		}
	}
	return 0, false
}

// round keeps three significant digits. The noise of a shared machine is larger than that.
func round(v float64) float64 {
	rounded, err := strconv.ParseFloat(strconv.FormatFloat(v, 'e', 2, 64), 64)
	if err != nil {
		return 0
	}
	return rounded
}
