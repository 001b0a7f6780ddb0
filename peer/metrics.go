package peer

import "github.com/uber-go/tally/v4"

type metrics struct {
	dropped, silent, dials, dialsFailed tally.Counter
	members, links                      tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("peer")
	return metrics{
		dropped:     s.Counter("dropped_messages"),
		silent:      s.Counter("silent_links"),
		dials:       s.Counter("dials"),
		dialsFailed: s.Counter("dials_failed"),
		members:     s.Gauge("members"),
		links:       s.Gauge("links"),
	}
}
