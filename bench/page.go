package bench

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Markers of the generated part of docs/CAPACITY.md.
const (
	pageBegin = "<!-- Begin of the tables that package bench writes. -->"
	pageEnd   = "<!-- End of the tables that package bench writes. -->"
)

// Total returns the sum of all rows with this unit and budget that are not over budget. It is
// the figure of a node that has all roles at once.
func Total(rows []Row, unit string, budget float64) Row {
	t := Row{Role: "one node", Measure: "every role above that fits", Unit: unit, Budget: budget, Mechanism: "the sum of the rows"}
	for _, r := range rows {
		if r.Unit == unit && r.Budget == budget && !r.OverBudget {
			t.Terms = append(t.Terms, r.Terms...)
		}
	}
	return t
}

// Page returns the generated part of docs/CAPACITY.md.
func Page(rows []Row, s Slopes) (string, error) {
	var b strings.Builder
	b.WriteString("| Role | Figure | Formula | Product | Budget | Fits | Mechanism |\n|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		line, err := r.tableLine(s)
		if err != nil {
			return "", err
		}
		b.WriteString(line)
	}
	b.WriteString("\nThe rows that do not fit, and what would change:\n\n")
	for _, r := range rows {
		if r.OverBudget {
			fmt.Fprintf(&b, "- %s, %s (%s): %s.\n", r.Role, r.Measure, r.Unit, r.Change)
		}
	}
	b.WriteString("\n| Slope | Value | Unit |\n|---|---|---|\n")
	for _, slope := range s {
		fmt.Fprintf(&b, "| %s | %s | %s |\n", slope.Name, number(slope.Value), slope.Unit)
	}
	return b.String(), nil
}

func (r Row) tableLine(s Slopes) (string, error) {
	product, ok := r.Product(s)
	if !ok {
		return "", errors.Errorf("row %s, %s has a term without a recorded slope", r.Role, r.Measure)
	}
	budget, fits := "none", "-"
	if r.Budget > 0 {
		budget = number(r.Budget)
		fits = "yes"
	}
	if r.OverBudget {
		fits = "**no**"
	}
	return fmt.Sprintf("| %s | %s, %s | %s | %s | %s | %s | %s |\n",
		r.Role, r.Measure, r.Unit, r.formula(), number(product), budget, fits, r.Mechanism), nil
}

func (r Row) formula() string {
	if r.Parts != "" {
		return r.Parts
	}
	if len(r.Terms) > maximumTerms {
		return "sum of the rows above"
	}
	parts := make([]string, len(r.Terms))
	for i, t := range r.Terms {
		parts[i] = number(t.Count) + " " + t.Of
		if t.Slope != "" {
			parts[i] = t.Slope + " × " + parts[i]
		}
	}
	return strings.Join(parts, " + ")
}

// maximumTerms is the number of terms that a formula shows.
const maximumTerms = 4

// number formats three significant digits without an exponent.
func number(v float64) string { return strconv.FormatFloat(round(v), 'f', -1, 64) }

// Replace replaces the generated part of a page by tables.
func Replace(page, tables string) (string, error) {
	before, rest, beginFound := strings.Cut(page, pageBegin)
	_, after, endFound := strings.Cut(rest, pageEnd)
	if !beginFound || !endFound {
		return "", errors.New("the page lacks the markers of the generated part")
	}
	return before + pageBegin + "\n" + tables + pageEnd + after, nil
}
