package retries

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Ejection is a server that is left out for now.
type Ejection struct {
	Server   domain.ServerID
	Failures int
	// Remaining is how long the server is still left out.
	Remaining time.Duration
}

// Ejections lists the servers that are left out, by ServerID.
func (b *Breakers) Ejections(now time.Time) []Ejection {
	var out []Ejection
	for s, k := range b.servers {
		if now.Before(k.until) {
			out = append(out, Ejection{Server: s, Failures: k.failures, Remaining: k.until.Sub(now)})
		}
	}
	slices.SortFunc(out, func(a, b Ejection) int { return cmp.Compare(a.Server, b.Server) })
	return out
}
