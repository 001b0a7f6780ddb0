package limits

import (
	"slices"
	"strings"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// idle is after how long without demand a limit is forgotten.
const idle = 2 * time.Minute

// Name names a limit over all nodes, for example "team/coral/requests".
type Name string

// Counter is the demand and use of one limit at one node, a second.
type Counter struct {
	Name         Name
	Demand, Used float64
}

// Registry are the limits of one node by name. The zero Shares are ready for use;
// they are not safe for concurrent use.
type Registry struct {
	limits map[Name]*entry
}

type entry struct {
	Limit
	usedAt time.Time
}

// Limit returns the limit of a name.
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

// Counters returns what the other nodes should learn, in the order of the names.
// A limit is left out where its demand is zero, which they learn by its absence.
func (s *Registry) Counters(now time.Time) []Counter {
	var c []Counter
	for n, e := range s.limits {
		if now.Sub(e.usedAt) > idle && len(e.others) == 0 {
			delete(s.limits, n)
			continue
		}
		if demand, used := e.Report(now); demand > 0 {
			c = append(c, Counter{Name: n, Demand: demand, Used: used})
		}
	}
	slices.SortFunc(c, func(a, b Counter) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return c
}

// ApplyCounters takes in the counters of another node.
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
