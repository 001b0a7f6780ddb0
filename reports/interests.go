package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MaximumInterests bounds the servers to whose loads a node subscribes: the
	// nearest ones and, at the same distance, those that it uses most.
	MaximumInterests = 16
	// interestLifetime is how long after its last use a server is followed.
	interestLifetime = RenewInterval
)

// FollowPriority orders the servers that a node could follow, the most important first.
type FollowPriority int

// The distances.
const (
	// Coordinated means that this node coordinates the model and places its replicas.
	Coordinated FollowPriority = iota
	// SameZone and SameRegion servers are the first choice for requests.
	SameZone
	SameRegion
	OtherRegion
)

// Interests are the servers that a node routes to and whose loads it subscribes to.
// The zero Interests has none. It is not safe for concurrent use.
type Interests struct {
	servers map[domain.ServerID]*interest
}

type interest struct {
	distance FollowPriority
	usedAt   time.Time
	uses     int
	// owner is the node that was sent the subscription at renewedAt.
	owner     domain.NodeID
	renewedAt time.Time
}

// RecordUse records that the node may route a request to the server.
func (s *Interests) RecordUse(server domain.ServerID, d FollowPriority, now time.Time) {
	if s.servers == nil {
		s.servers = make(map[domain.ServerID]*interest)
	}
	i := s.servers[server]
	if i == nil {
		i = &interest{distance: d}
		s.servers[server] = i
	}
	i.distance = min(i.distance, d)
	i.usedAt = now
	i.uses++
}

// DueRenewals returns, by owner, the servers whose subscriptions must be renewed at
// now, and records them as renewed. A subscription moves to a new owner at once.
// owner returns "" where there is none.
func (s *Interests) DueRenewals(now time.Time, owner func(domain.ServerID) domain.NodeID) map[domain.NodeID][]domain.ServerID {
	out := make(map[domain.NodeID][]domain.ServerID)
	for _, id := range s.followedServers(now) {
		i := s.servers[id]
		o := owner(id)
		if o == "" || o == i.owner && now.Sub(i.renewedAt) < RenewInterval {
			continue
		}
		i.owner, i.renewedAt = o, now
		// Old uses decay, so that servers in recent use take precedence.
		i.uses /= 2
		out[o] = append(out[o], id)
	}
	return out
}

// followedServers returns the servers to follow and removes those no longer in use.
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
		return cmp.Or(cmp.Compare(x.distance, y.distance), cmp.Compare(y.uses, x.uses), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), MaximumInterests)]
}
