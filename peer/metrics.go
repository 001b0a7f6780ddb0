package peer

import "github.com/uber-go/tally/v4"

type metrics struct {
	droppedMessages, unresponsiveLinks, dials, dialsFailed tally.Counter
	members, links                                         tally.Gauge
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("peer")
	return metrics{
		droppedMessages:   s.Counter("dropped_messages"),
		unresponsiveLinks: s.Counter("silent_links"),
		dials:             s.Counter("dials"),
		dialsFailed:       s.Counter("dials_failed"),
		members:           s.Gauge("members"),
		links:             s.Gauge("links"),
	}
}
