package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// idleExpiry is how long the Registry keeps a limit after its last use.
const idleExpiry = 2 * time.Minute

// Name identifies a limit; it is the same at all nodes, for example
// "team/coral/requests".
type Name string

// Counter is the demand and use of one limit at one node, as Limit.Rates returns them.
type Counter struct {
	Name         Name
	Demand, Used float64
}

// Registry holds the limits of one node by name. The zero value is ready for use; it is
// not safe for concurrent use.
type Registry struct {
	limits map[Name]*entry
}

type entry struct {
	Limit
	usedAt time.Time
}

// Limit returns the limit with the name n and creates it if necessary.
func (s *Registry) Limit(now time.Time, n Name) *Limit {
	if s.limits == nil {
		s.limits = make(map[Name]*entry)
	}
	e := s.limits[n]
	if e == nil {
		e = new(entry)
		s.limits[n] = e
	}
	e.usedAt = now
	return &e.Limit
}

// Counters returns the counters to report to the other nodes, sorted by name, and
// removes idle limits. It omits limits without demand, because their earlier reports
// expire at the other nodes.
func (s *Registry) Counters(now time.Time) []Counter {
	var c []Counter
	for n, e := range s.limits {
		if now.Sub(e.usedAt) > idleExpiry && len(e.reports) == 0 {
			delete(s.limits, n)
			continue
		}
		if demand, used := e.Rates(now); demand > 0 {
			c = append(c, Counter{Name: n, Demand: demand, Used: used})
		}
	}
	slices.SortFunc(c, func(a, b Counter) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return c
}

// ApplyCounters applies the counters that another node reported.
func (s *Registry) ApplyCounters(now time.Time, from domain.NodeID, counters []Counter) {
	for _, c := range counters {
		if s.limits == nil {
			s.limits = make(map[Name]*entry)
		}
		e := s.limits[c.Name]
		if e == nil {
			e = &entry{usedAt: now}
			s.limits[c.Name] = e
		}
		e.ApplyReport(now, from, c.Demand)
	}
}
