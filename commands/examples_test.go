package commands

import (
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// TestHelpExamplesParse checks that every example in the help of every command is a valid
// command line.
func TestHelpExamplesParse(t *testing.T) {
	k, err := newParser(&commandTree{}, &Deps{Out: t.Output(), ErrOut: t.Output()})
	if err != nil {
		t.Fatal(err)
	}
	commands := 0
	var walk func(n *kong.Node)
	walk = func(n *kong.Node) {
		if n.Detail != "" {
			commands++
			parseExamples(t, n)
		}
		for _, c := range n.Children {
			walk(c)
		}
	}
	walk(k.Model.Node)
	if got, least := commands, 12; got < least {
		t.Errorf("got %d commands with examples, want at least %d", got, least)
	}
}

func parseExamples(t *testing.T, n *kong.Node) {
	t.Helper()
	for line := range strings.Lines(n.Detail) {
		words := strings.Fields(line)
		if len(words) == 0 || words[0] != "parsleylug" {
			continue
		}
		k, err := newParser(&commandTree{}, &Deps{Out: t.Output(), ErrOut: t.Output()})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := k.Parse(words[1:]); err != nil {
			t.Errorf("%s: %v", strings.TrimSpace(line), err)
		}
	}
}
