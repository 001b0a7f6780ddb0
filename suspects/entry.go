package suspects

import (
	"bytes"
	"slices"
	"time"
)

// Entry is the state of one content, for operators.
type Entry struct {
	Content  Content
	Standing Standing
	// Crashes counts the recorded crashes of servers that ran the content.
	Crashes int
	// RemainingRefusal is the time until a refused content is permitted again.
	RemainingRefusal time.Duration
}

// Entries returns the contents that are suspected or refused now, refused ones first.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for c, e := range l.contents {
		standing, left := l.Standing(now, c)
		if standing != Clean {
			out = append(out, Entry{Content: c, Standing: standing, Crashes: len(e.crashes), RemainingRefusal: left})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if a.Standing != b.Standing {
			return int(b.Standing) - int(a.Standing)
		}
		return bytes.Compare(a.Content[:], b.Content[:])
	})
	return out
}
