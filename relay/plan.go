// Package relay passes the records of the decision stream on within an
// availability zone, so that the platform's log has one reader a zone and not
// one a node. Who reads is pure: Plan ranks the zone's nodes into a tree, Watch
// says when a node must read itself. Runner puts both to work over a mesh.
package relay

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/membership"
	"github.com/parsleylug/parsleylug/rendezvous"
)

const (
	// HeartbeatInterval is how often a relay that can read the log says so where
	// there are no records.
	HeartbeatInterval = time.Second
	// minimumPatience is how long the second node in rank waits for the relay.
	// It is longer than one heartbeat that is late.
	minimumPatience = 1500 * time.Millisecond
	// rankPatience is how much longer each further rank waits, so that the
	// nodes do not all turn to the log at once.
	rankPatience = 250 * time.Millisecond
	// maximumPatience leaves time to read a record within 3 s of its append.
	maximumPatience = 2500 * time.Millisecond
	// FanOut is how many nodes each one passes records to. The ranks form a tree,
	// so that no node pays for its whole zone.
	FanOut = 4
)

// ZoneRanking is who reads the log for the members of one zone.
type ZoneRanking struct {
	// Ranked are the zone's nodes, the relay first. Leaving nodes come last.
	Ranked []domain.NodeID
	// Rank is the place of this node, from 0.
	Rank int
}

// NewZoneRanking ranks the members of the zone of self. Every node with the same view
// gets the same ranks.
func NewZoneRanking(self domain.NodeID, members []membership.Member) ZoneRanking {
	i := slices.IndexFunc(members, func(m membership.Member) bool { return m.Node == self })
	if i < 0 {
		return ZoneRanking{Ranked: []domain.NodeID{self}}
	}
	own := members[i]
	var staying, leaving []domain.NodeID
	for _, m := range members {
		switch {
		case m.Region != own.Region || m.Zone != own.Zone:
		case m.Leaving:
			leaving = append(leaving, m.Node)
		default:
			staying = append(staying, m.Node)
		}
	}
	key := "relay/" + string(own.Region) + "/" + string(own.Zone)
	ranked := append(rendezvous.Rank(key, staying), rendezvous.Rank(key, leaving)...)
	return ZoneRanking{Ranked: ranked, Rank: slices.Index(ranked, self)}
}

// Targets are the nodes that this one passes records to, its children in the
// tree of ranks.
func (p ZoneRanking) Targets() []domain.NodeID {
	first := min(p.Rank*FanOut+1, len(p.Ranked))
	return p.Ranked[first:min(first+FanOut, len(p.Ranked))]
}

// Patience is how long this node waits for a better one before it reads itself.
func (p ZoneRanking) Patience() time.Duration {
	if p.Rank == 0 {
		return 0
	}
	return min(minimumPatience+time.Duration(p.Rank-1)*rankPatience, maximumPatience)
}

// Watch says whether a node must read the log itself. The zero Watch works once
// it has a plan.
type Watch struct {
	plan    ZoneRanking
	heardAt time.Time
}

// Follow takes in a new plan. A new relay has the patience of this node to say
// something.
func (w *Watch) Follow(now time.Time, p ZoneRanking) {
	if len(w.plan.Ranked) == 0 || len(p.Ranked) > 0 && w.plan.Ranked[0] != p.Ranked[0] {
		w.heardAt = now
	}
	w.plan = p
}

// Heard takes in that a node passed records or a heartbeat on and tells whether
// to pass them on too. Only nodes of a better rank count: of two that read, the
// worse one stops, and nothing goes round in a circle.
func (w *Watch) Heard(now time.Time, from domain.NodeID) bool {
	i := slices.Index(w.plan.Ranked, from)
	if i < 0 || i >= w.plan.Rank {
		return false
	}
	w.heardAt = now
	return true
}

// Reads tells whether this node must read the log itself at now.
func (w *Watch) Reads(now time.Time) bool {
	return now.Sub(w.heardAt) >= w.plan.Patience()
}

// Plan returns the plan in force.
func (w *Watch) Plan() ZoneRanking { return w.plan }
