// Package relay distributes the decision stream within an availability zone. One node
// per zone, the relay, reads the platform's log and forwards the records down a tree
// of the zone's nodes, so that the log has one reader per zone and not one per node:
// ZoneRanking ranks the nodes, Monitor decides when a node must read the log itself,
// and Forwarder applies both over a mesh. BatchedLog sends the appends of a zone
// through its relay, which batches them. Tree is the broadcast tree for the reports
// about backend servers. Package node calls all of them. The relay only saves reads
// and appends: it never decides what is in the log, and a node whose relay fails uses
// the log directly.
package relay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/rendezvous"
)

const (
	// HeartbeatInterval is how often a relay that can read the log sends a heartbeat
	// while there are no records.
	HeartbeatInterval = time.Second
	// minimumFailoverTimeout is the failover timeout of the second node in rank. It
	// allows for one late heartbeat.
	minimumFailoverTimeout = 1500 * time.Millisecond
	// failoverTimeoutPerRank is how much longer each further rank waits, so that the
	// nodes do not all start to read the log at once.
	failoverTimeoutPerRank = 250 * time.Millisecond
	// maximumFailoverTimeout leaves time to read a record within 3 s of its append.
	maximumFailoverTimeout = 2500 * time.Millisecond
	// FanOut is the number of children of each node in the tree of ranks, so that no
	// node sends records to its whole zone.
	FanOut = 4
)

// ZoneRanking ranks the nodes of one zone: the first is the relay, which reads the
// log, and the others take over from it in this order.
type ZoneRanking struct {
	// Ranked are the zone's nodes, the relay first and leaving nodes last.
	Ranked []domain.NodeID
	// Rank is the index of this node in Ranked; the relay has rank 0.
	Rank int
}

// NewZoneRanking ranks the members of the zone of self. All nodes with the same view
// compute the same ranks.
func NewZoneRanking(self domain.NodeID, members []membership.Member) ZoneRanking {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Node == self })
	if i < 0 {
		return ZoneRanking{Ranked: []domain.NodeID{self}}
	}
	selfMember := members[i]
	var remaining, leaving []domain.NodeID
	for _, m := range members {
		switch {
		case m.Region != selfMember.Region || m.Zone != selfMember.Zone:
		case m.Leaving:
			leaving = append(leaving, m.Node)
		default:
			remaining = append(remaining, m.Node)
		}
	}
	key := "relay/" + string(selfMember.Region) + "/" + string(selfMember.Zone)
	ranked := append(rendezvous.Rank(key, remaining), rendezvous.Rank(key, leaving)...)
	return ZoneRanking{Ranked: ranked, Rank: slices.Index(ranked, self)}
}

// Children returns the nodes that this one forwards records to.
func (r ZoneRanking) Children() []domain.NodeID {
	first := min(r.Rank*FanOut+1, len(r.Ranked))
	return r.Ranked[first:min(first+FanOut, len(r.Ranked))]
}

// FailoverTimeout returns how long this node waits for a message from a better-ranked
// one before it reads the log itself.
func (r ZoneRanking) FailoverTimeout() time.Duration {
	if r.Rank == 0 {
		return 0
	}
	return min(minimumFailoverTimeout+time.Duration(r.Rank-1)*failoverTimeoutPerRank, maximumFailoverTimeout)
}

// Monitor decides whether a node must read the log itself. The zero Monitor works
// once it has a ranking.
type Monitor struct {
	ranking       ZoneRanking
	lastMessageAt time.Time
}

// SetRanking replaces the ranking. If the relay changed, the failover timeout starts
// again.
func (m *Monitor) SetRanking(now time.Time, r ZoneRanking) {
	if len(m.ranking.Ranked) == 0 || len(r.Ranked) > 0 && m.ranking.Ranked[0] != r.Ranked[0] {
		m.lastMessageAt = now
	}
	m.ranking = r
}

// RecordMessage records that a node sent records or a heartbeat and reports whether
// to forward them. Only messages from a better-ranked node count: of two nodes that
// read the log the worse-ranked one stops, and no message is forwarded in a circle.
func (m *Monitor) RecordMessage(now time.Time, from domain.NodeID) bool {
	i := slices.Index(m.ranking.Ranked, from)
	if i < 0 || i >= m.ranking.Rank {
		return false
	}
	m.lastMessageAt = now
	return true
}

// ShouldRead reports whether this node must read the log itself at now.
func (m *Monitor) ShouldRead(now time.Time) bool {
	return now.Sub(m.lastMessageAt) >= m.ranking.FailoverTimeout()
}

// Ranking returns the current ranking.
func (m *Monitor) Ranking() ZoneRanking { return m.ranking }
