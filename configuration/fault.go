package configuration

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with a configuration record or file.
type Fault struct {
	// File is the name that the operator gave; empty for a single record.
	File string
	// Line counts from 1.
	Line int
	// Field is the path of the field, for example "Records[3].Model.Copies".
	Field string
	// Message says what is wrong, in one sentence without a full stop.
	Message string
	// Suggestion says what to write instead, or is empty.
	Suggestion string
}

// String returns the fault in the form that editors understand:
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

// Faults is an error that holds every fault found.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// closestName returns the candidate that looks most like name, or "" where none is
// near enough to be a slip of the keyboard.
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

// maximumSuggestionBytes is the longest name, in bytes, that a suggestion is sought
// for.
const maximumSuggestionBytes = 64

// editDistance is the Levenshtein distance of a and b in bytes.
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
