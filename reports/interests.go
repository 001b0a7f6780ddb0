package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumInterests is the maximum number of servers to whose loads a node
	// subscribes: those of the highest priority and, at the same priority, those that
	// it uses most.
	MaximumInterests = 16
	// interestLifetime is how long the node renews its subscription to a server after
	// it last used the server.
	interestLifetime = RenewInterval
)

// FollowPriority ranks the servers to whose loads a node subscribes. A smaller value is
// a higher priority.
type FollowPriority int

// The priorities, the highest first.
const (
	// Coordinated servers have a replica of a model that this node coordinates.
	Coordinated FollowPriority = iota
	// SameZone and SameRegion servers are in this node's availability zone, or in
	// another zone of its region; routing prefers them.
	SameZone
	SameRegion
	// OtherRegion servers are in another region.
	OtherRegion
)

// Interests are the servers whose loads a node uses, because it routes requests to them
// or coordinates a model on them. The node subscribes to the loads of up to
// MaximumInterests of them. The zero Interests has none. It is not safe for concurrent
// use.
type Interests struct {
	servers map[domain.ServerID]*interest
}

// interest records how this node uses one server and when it last subscribed to the
// server's loads.
type interest struct {
	priority FollowPriority
	usedAt   time.Time
	// recentUses is the number of uses of the server. It is halved at each renewal.
	recentUses int
	// owner is the node to which the subscription was last sent, at renewedAt.
	owner     domain.NodeID
	renewedAt time.Time
}

// RecordUse records that the node used the loads of a server at now.
func (s *Interests) RecordUse(server domain.ServerID, priority FollowPriority, now time.Time) {
	if s.servers == nil {
		s.servers = make(map[domain.ServerID]*interest)
	}
	i := s.servers[server]
	if i == nil {
		i = &interest{priority: priority}
		s.servers[server] = i
	}
	i.priority = min(i.priority, priority)
	i.usedAt = now
	i.recentUses++
}

// DueRenewals returns, by owner, the servers whose subscriptions must be renewed at
// now, and records them as renewed. If a server has a new owner, its subscription must
// be renewed at once. owner returns "" for a server without an owner.
func (s *Interests) DueRenewals(now time.Time, owner func(domain.ServerID) domain.NodeID) map[domain.NodeID][]domain.ServerID {
	out := make(map[domain.NodeID][]domain.ServerID)
	for _, id := range s.followedServers(now) {
		i := s.servers[id]
		o := owner(id)
		if o == "" || o == i.owner && now.Sub(i.renewedAt) < RenewInterval {
			continue
		}
		i.owner, i.renewedAt = o, now
		// Halve the count at each renewal, so that recent uses weigh more.
		i.recentUses /= 2
		out[o] = append(out[o], id)
	}
	return out
}

// followedServers returns the servers to whose loads the node subscribes, at most
// MaximumInterests, and removes all servers that were not used for interestLifetime.
func (s *Interests) followedServers(now time.Time) []domain.ServerID {
	ids := make([]domain.ServerID, 0, len(s.servers))
	for id, i := range s.servers {
		if now.Sub(i.usedAt) > interestLifetime {
			delete(s.servers, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b domain.ServerID) int {
		x, y := s.servers[a], s.servers[b]
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(y.recentUses, x.recentUses), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), MaximumInterests)]
}
