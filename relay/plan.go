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
	// HeartbeatInterval is how often a node that reads the log sends a heartbeat while
	// there are no records and its last read of the log succeeded.
	HeartbeatInterval = time.Second
	// minimumFailoverTimeout is the failover timeout of the node with rank 1. It allows
	// for one late heartbeat.
	minimumFailoverTimeout = 1500 * time.Millisecond
	// failoverTimeoutPerRank is the difference between the failover timeouts of two
	// successive ranks, so that the nodes do not all start to read the log at once.
	failoverTimeoutPerRank = 250 * time.Millisecond
	// maximumFailoverTimeout is the longest failover timeout. It leaves time to read a
	// record within 3 s of its append.
	maximumFailoverTimeout = 2500 * time.Millisecond
	// FanOut is the maximum number of children of each node in the tree of a zone, so
	// that no node sends records to its whole zone.
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
	var notLeaving, leaving []domain.NodeID
	for _, m := range members {
		switch {
		case m.Region != selfMember.Region || m.Zone != selfMember.Zone:
		case m.Leaving:
			leaving = append(leaving, m.Node)
		default:
			notLeaving = append(notLeaving, m.Node)
		}
	}
	key := "relay/" + string(selfMember.Region) + "/" + string(selfMember.Zone)
	ranked := append(rendezvous.Rank(key, notLeaving), rendezvous.Rank(key, leaving)...)
	return ZoneRanking{Ranked: ranked, Rank: slices.Index(ranked, self)}
}

// Children returns the nodes to which this node forwards records: its children in the
// tree that Ranked forms as an array, in which each node has up to FanOut children.
func (r ZoneRanking) Children() []domain.NodeID {
	firstChild := min(r.Rank*FanOut+1, len(r.Ranked))
	return r.Ranked[firstChild:min(firstChild+FanOut, len(r.Ranked))]
}

// FailoverTimeout returns the time without a message from a better-ranked node after
// which this node reads the log itself. It is zero for the relay.
func (r ZoneRanking) FailoverTimeout() time.Duration {
	if r.Rank == 0 {
		return 0
	}
	return min(minimumFailoverTimeout+time.Duration(r.Rank-1)*failoverTimeoutPerRank, maximumFailoverTimeout)
}

// Monitor decides whether a node must read the log itself. SetRanking must be called
// before the other methods of a zero Monitor.
type Monitor struct {
	ranking ZoneRanking
	// lastMessageAt is the time of the last message from a better-ranked node, or of
	// the last change of the relay if that is later.
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

// RecordMessage records that a node sent records or a heartbeat and reports whether to
// forward the message. It ignores messages from worse-ranked nodes: so of two nodes that
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
