package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// codeNames are the names of metrics and log events in the source code.
type codeNames struct {
	metrics, events map[string]bool
	// filesMissingEvents are files in which at least one log line has no Event.
	filesMissingEvents []string
}

// TestMetricsAndEventsAreDocumented compares the names in the code with the tables
// of docs/metrics-and-events.md.
func TestMetricsAndEventsAreDocumented(t *testing.T) {
	raw, err := os.ReadFile("docs/metrics-and-events.md")
	if err != nil {
		t.Fatal(err)
	}
	metricsSection, eventsSection, ok := strings.Cut(string(raw), "## Events")
	if !ok {
		t.Fatal("docs/metrics-and-events.md has no Events section")
	}
	code := collectCodeNames(t)
	compareNames(t, "metrics", code.metrics, tableNames(metricsSection))
	compareNames(t, "events", code.events, tableNames(eventsSection))
	for _, path := range code.filesMissingEvents {
		t.Errorf("%s: a log line has no Event", path)
	}
}

// tableNames returns the quoted names in the first column of a page's tables.
func tableNames(page string) map[string]bool {
	names := map[string]bool{}
	for _, row := range regexp.MustCompile("(?m)^\\| (`[^|]*) \\|").FindAllStringSubmatch(page, -1) {
		for _, name := range regexp.MustCompile("`(\\w+)`").FindAllStringSubmatch(row[1], -1) {
			names[name[1]] = true
		}
	}
	return names
}

func compareNames(t *testing.T, kind string, code, page map[string]bool) {
	t.Helper()
	if len(code) == 0 {
		t.Errorf("found no %s in the code", kind)
	}
	for _, name := range slices.Sorted(maps.Keys(code)) {
		if !page[name] {
			t.Errorf("%s: %s is not in docs/metrics-and-events.md", kind, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(page)) {
		if !code[name] {
			t.Errorf("%s: %s is in docs/metrics-and-events.md and not in the code", kind, name)
		}
	}
}

func collectCodeNames(t *testing.T) codeNames {
	t.Helper()
	f := codeNames{metrics: map[string]bool{}, events: map[string]bool{}}
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		f.collect(path, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// collect adds the names of one source file.
func (f *codeNames) collect(path string, file *ast.File) {
	logLines, logEvents := 0, 0
	ast.Inspect(file, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		switch method.Sel.Name {
		case "Counter", "Gauge", "Timer", "Histogram":
			if name := stringLiteral(call, 0); name != "" {
				f.metrics[name] = true
			}
		case "Msg", "Msgf":
			logLines++
		case "Str":
			if name := stringLiteral(call, 1); stringLiteral(call, 0) == "Event" {
				f.events[name] = true
				logEvents++
			}
		}
		return true
	})
	if logEvents < logLines {
		f.filesMissingEvents = append(f.filesMissingEvents, path)
	}
}

// stringLiteral returns the value of argument i if it is a string literal, else "".
func stringLiteral(call *ast.CallExpr, i int) string {
	if i >= len(call.Args) {
		return ""
	}
	l, ok := call.Args[i].(*ast.BasicLit)
	if !ok {
		return ""
	}
	s, err := strconv.Unquote(l.Value)
	if err != nil {
		return ""
	}
	return s
}
