package suspects

import (
	"bytes"
	"slices"
	"time"
)

// Entry is one content under suspicion.
type Entry struct {
	Content  Content
	Standing Standing
	// Crashes counts the servers that crashed while they ran it.
	Crashes int
	// RefusedFor is how long a refused content is still refused.
	RefusedFor time.Duration
}

// Entries lists the contents that are suspected or refused now, the refused ones
// first.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	for c, e := range l.contents {
		standing, left := l.Standing(now, c)
		if standing != Clean {
			out = append(out, Entry{Content: c, Standing: standing, Crashes: len(e.crashes), RefusedFor: left})
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
