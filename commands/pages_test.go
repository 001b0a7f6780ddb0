package commands

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// pagesScript writes a test script that runs every command in the sh blocks of the
// operators' pages against one started node. A json block after a line with a file name
// becomes that file.
func pagesScript(t *testing.T) string {
	t.Helper()
	pages, err := filepath.Glob("../docs/operating/*.md")
	if err != nil {
		t.Fatal(err)
	}
	text, commands := "serve\nexec eventually '^engine-2 .* up ' status\n", 0
	files := ""
	for _, name := range pages {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := pageCommands(t, name, string(raw))
		text += "# " + filepath.Base(name) + "\n" + strings.Join(lines, "\n") + "\n"
		files += pageFiles(string(raw))
		commands += len(lines)
	}
	if least := 40; commands < least {
		t.Errorf("got %d commands, want at least %d", commands, least)
	}
	script := filepath.Join(t.TempDir(), "pages.txtar")
	if err := os.WriteFile(script, []byte(text+files), 0o600); err != nil {
		t.Fatal(err)
	}
	return script
}

func pageCommands(t *testing.T, name, page string) []string {
	t.Helper()
	var commands []string
	for _, block := range regexp.MustCompile("(?s) *```sh\n(.*?)```").FindAllStringSubmatch(page, -1) {
		for line := range strings.Lines(block[1]) {
			line = strings.TrimSpace(line)
			if line == "" {
				continue
			}
			if !strings.HasPrefix(line, "parsleylug ") {
				t.Errorf("%s: got %q, want a parsleylug command", name, line)
			}
			commands = append(commands, "exec "+line)
		}
	}
	return commands
}

func pageFiles(page string) string {
	files := ""
	for _, block := range regexp.MustCompile("(?s)`(\\S+\\.json)`:\n\n```json\n(.*?)```").FindAllStringSubmatch(page, -1) {
		files += fmt.Sprintf("-- %s --\n%s", block[1], block[2])
	}
	return files
}

// TestLinksBetweenPagesResolve checks that the target of every link in the operators' pages
// exists.
func TestLinksBetweenPagesResolve(t *testing.T) {
	pages, err := filepath.Glob("../docs/operating/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range pages {
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, link := range regexp.MustCompile(`\]\(([^)]+\.md)\)`).FindAllStringSubmatch(string(raw), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(name), link[1])); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}
