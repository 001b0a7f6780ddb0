package main

import (
	"encoding/json"
	"fmt"
	"os"
)

// main runs one case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
func main() {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE ROOT RECORD")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review3-")
	must(err)
	code := run(os.Args[2], dir, newRecord(os.Args[3]), os.Getenv("TROUBLE") != "0")
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// cases returns an exit status each. The directory is a temporary one; trouble is false without the
// disruption.
var cases = map[string]func(root, dir string, log *record, trouble bool) int{}

func asJSON(v any) string {
	data, err := json.Marshal(v)
	must(err)
	return string(data)
}
