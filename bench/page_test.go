package bench

import (
	"math"
	"os"
	"testing"
)

// pageVariable is the environment variable that makes TestPageShowsTheRecordedSlopes write the
// page instead of comparing it.
const (
	pageVariable = "PARSLEYLUG_WRITE_CAPACITY"
	pagePath     = "../docs/CAPACITY.md"
)

func readRecordedSlopes(t *testing.T) Slopes {
	t.Helper()
	s, err := ReadSlopes(slopesPath)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestPageShowsTheRecordedSlopes(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	tables, err := Page(Rows(), readRecordedSlopes(t))
	if err != nil {
		t.Fatal(err)
	}
	want, err := Replace(string(data), tables)
	if err != nil {
		t.Fatal(err)
	}
	if os.Getenv(pageVariable) != "" {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if got := string(data); got != want {
		t.Errorf("got a page that differs from %s and the rows; run the test with %s=1 to write the page, and check its changes", slopesPath, pageVariable)
	}
}

func TestOverBudgetMatchesTheFigures(t *testing.T) {
	s := readRecordedSlopes(t)
	for _, r := range Rows() {
		got, ok := r.Product(s)
		if !ok {
			t.Errorf("%s, %s: got no slope recorded", r.Role, r.Measure)
			continue
		}
		if r.Budget == 0 {
			continue
		}
		if isOver := got > r.Budget; isOver != r.OverBudget {
			t.Errorf("%s, %s: got %.3g %s of %.3g, want OverBudget %v", r.Role, r.Measure, got, r.Unit, r.Budget, isOver)
		}
		if r.OverBudget && r.Change == "" {
			t.Errorf("%s, %s: got an empty Change, want what would make the row fit", r.Role, r.Measure)
		}
	}
}

func TestProductIsTheSumOfTheTerms(t *testing.T) {
	s := Slopes{}.Set(Slope{Name: "B", Value: 3}).Set(Slope{Name: "A", Value: 2.0004})
	r := Row{Terms: []Term{{"A", 10, ""}, {"B", 100, ""}, {"", 1, ""}}}
	got, ok := r.Product(s)
	if want := 321.0; !ok || math.Abs(got-want) > 1e-9 {
		t.Errorf("got %v %v, want %v", got, ok, want)
	}
	r.Terms = append(r.Terms, Term{"C", 1, ""})
	if _, ok := r.Product(s); ok {
		t.Error("got a product although a slope is not recorded")
	}
}

func TestEverySlopeIsRecordedOnce(t *testing.T) {
	s := readRecordedSlopes(t)
	for i := range s[1:] {
		if s[i].Name >= s[i+1].Name {
			t.Errorf("got %s before %s, want sorted names", s[i].Name, s[i+1].Name)
		}
	}
	for _, slope := range s {
		if slope.Value <= 0 || slope.Unit == "" {
			t.Errorf("got %+v, want a figure and a unit", slope)
		}
	}
}
