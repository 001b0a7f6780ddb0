package configuration

import (
	"fmt"
	"strings"
)

// Fault is one error in a configuration record or file.
type Fault struct {
	// File is the name passed to DecodeFile; empty for a single record.
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, for example "Records[3].Model.Copies".
	Field string
	// Message describes the error in one sentence without a full stop. Its subject is the
	// field.
	Message string
	// Suggestion describes a correction, or is empty.
	Suggestion string
}

// String returns the fault in the format of compiler errors, which editors can parse:
// FILE:LINE: FIELD: MESSAGE (SUGGESTION).
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:", f.File)
	}
	fmt.Fprintf(&b, "%d: ", f.Line)
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	b.WriteString(f.Message)
	if f.Suggestion != "" {
		fmt.Fprintf(&b, " (%s)", f.Suggestion)
	}
	return b.String()
}

// Faults is an error that lists every fault found.
type Faults []Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// closestName returns the candidate with the smallest edit distance to name, or "" if even
// that is more than half the length of name and hence probably no typing error.
func closestName(name string, candidates []string) string {
	if len(name) > maximumSuggestionBytes {
		return ""
	}
	best, bestDistance := "", len(name)/2+1
	for _, c := range candidates {
		if strings.EqualFold(c, name) {
			return c
		}
		d := editDistance(strings.ToLower(name), strings.ToLower(c))
		if d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// maximumSuggestionBytes is the length of the longest name for which closestName computes
// edit distances.
const maximumSuggestionBytes = 64

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	current := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := previous[j-1]
			if a[i-1] != b[j-1] {
				substitution++
			}
			current[j] = min(substitution, previous[j]+1, current[j-1]+1)
		}
		previous, current = current, previous
	}
	return previous[len(b)]
}
