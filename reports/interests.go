package reports

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// MostInterests bounds the servers whose loads a node follows; those that it
	// uses most among the nearest are followed.
	MostInterests = 16
	// interestLifetime is how long after the last use a server is followed.
	interestLifetime = RenewInterval
)

// Distance orders the servers that a node could follow.
type Distance int

// The distances.
const (
	// Coordinated means that the node decides over the replicas as their home.
	Coordinated Distance = iota
	// SameZone and SameRegion are where requests go first.
	SameZone
	SameRegion
	Far
)

// Interests are the servers that a node routes to. The zero Interests has none. It
// is not safe for concurrent use.
type Interests struct {
	servers map[domain.ServerID]*interest
}

type interest struct {
	distance Distance
	usedAt   time.Time
	uses     int
	// owner was asked at askedAt.
	owner   domain.NodeID
	askedAt time.Time
}

// RecordUse counts that the node may route to a server.
func (s *Interests) RecordUse(server domain.ServerID, d Distance, now time.Time) {
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

// DueRenewals returns, for each owner, the servers for which to renew the subscription at
// now, and counts them as asked for. A new owner is asked at once. owner returns ""
// where there is none.
func (s *Interests) DueRenewals(now time.Time, owner func(domain.ServerID) domain.NodeID) map[domain.NodeID][]domain.ServerID {
	out := make(map[domain.NodeID][]domain.ServerID)
	for _, id := range s.followed(now) {
		i := s.servers[id]
		o := owner(id)
		if o == "" || o == i.owner && now.Sub(i.askedAt) < RenewInterval {
			continue
		}
		i.owner, i.askedAt = o, now
		// Uses count afresh, so that what was used long ago gives way.
		i.uses /= 2
		out[o] = append(out[o], id)
	}
	return out
}

// followed returns the servers to follow and forgets those not in use any more.
func (s *Interests) followed(now time.Time) []domain.ServerID {
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
	return ids[:min(len(ids), MostInterests)]
}
