package retries

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Ejection is a server that is ejected now, for status pages.
type Ejection struct {
	Server domain.ServerID
	// Failures is the number of consecutive failures.
	Failures int
	// Remaining is the time until the server is used again.
	Remaining time.Duration
}

// Ejections lists the servers that are ejected now, sorted by ID.
func (b *Breakers) Ejections(now time.Time) []Ejection {
	var out []Ejection
	for s, k := range b.servers {
		if now.Before(k.ejectedUntil) {
			out = append(out, Ejection{Server: s, Failures: k.failures, Remaining: k.ejectedUntil.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
