package waking

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Server is a backend server that a model may be loaded on.
type Server struct {
	ID     domain.ServerID
	Region domain.Region
	// Free is the memory that is neither in use nor reserved.
	Free domain.Bytes
	// IdleReplicas are the replicas that may be evicted.
	IdleReplicas []EvictionCandidate
	// ColdStart is the expected duration of the load there, which depends on where the
	// checkpoint is cached and on the loads ahead of it.
	ColdStart time.Duration
	// DisplacementCost is the expected wait, in seconds, that the load causes by displacing a
	// checkpoint from the server's cache.
	DisplacementCost float64
	// HasPermit is set where a permit for the model is attached to the server.
	HasPermit bool
}

// PlacementRequest is the model to place.
type PlacementRequest struct {
	Model domain.ModelName
	Size  domain.Bytes
	// Waiters is the expected number of requests that wait for the model; values below one
	// count as one.
	Waiters float64
	// CallerRegion is the region of the callers. A server in another region adds
	// CrossRegionLatency to each response.
	CallerRegion       domain.Region
	CrossRegionLatency time.Duration
}

// placement is a possible placement with its expected cost.
type placement struct {
	id domain.ServerID
	// cost is in seconds of waiting, summed over requests.
	cost          float64
	needsEviction bool
	freeAfter     domain.Bytes
	hasPermit     bool
}

// maxPlacements is the number of servers that RankServers returns at most. If the load fails
// on all of them, the caller ranks the servers again.
const maxPlacements = 16

// RankServers returns the servers that the model fits on, the best first and at most
// maxPlacements. It orders them by the expected wait of the requests for the model and for
// the replicas that would be evicted; at equal cost, servers without an eviction, servers
// that hold a permit and servers with less memory left over go first. It leaves out servers
// on which the model does not fit even after the eviction of every idle replica.
func RankServers(servers []Server, r PlacementRequest) []domain.ServerID {
	best := make([]placement, 0, maxPlacements+1)
	// Servers with enough free memory go first: an eviction only adds cost, so that most
	// other servers are skipped without choosing evictions.
	for _, needsEviction := range []bool{false, true} {
		for i := range servers {
			s := &servers[i]
			if s.Free < r.Size != needsEviction {
				continue
			}
			p := placementWithoutEviction(s, r)
			if len(best) == maxPlacements && comparePlacements(p, best[maxPlacements-1]) >= 0 {
				continue
			}
			if !needsEviction || p.addEvictions(s.IdleReplicas) {
				best = insertPlacement(best, p)
			}
		}
	}
	out := make([]domain.ServerID, 0, len(best))
	for _, p := range best {
		out = append(out, p.id)
	}
	return out
}

// insertPlacement inserts p in order and keeps the best maxPlacements.
func insertPlacement(best []placement, p placement) []placement {
	i, _ := slices.BinarySearchFunc(best, p, comparePlacements)
	best = slices.Insert(best, i, p)
	return best[:min(len(best), maxPlacements)]
}

// placementWithoutEviction returns the placement on s with its cost before evictions;
// freeAfter is negative where the load needs one.
func placementWithoutEviction(s *Server, r PlacementRequest) placement {
	wait := s.ColdStart
	if s.Region != r.CallerRegion {
		wait += r.CrossRegionLatency
	}
	left := s.Free - r.Size
	return placement{
		id: s.ID, hasPermit: s.HasPermit, freeAfter: left, needsEviction: left < 0,
		cost: max(1, r.Waiters)*wait.Seconds() + s.DisplacementCost,
	}
}

// addEvictions adds the cost of the evictions that the load needs. It reports false if all
// idle replicas together are too small.
func (p *placement) addEvictions(idle []EvictionCandidate) bool {
	var total domain.Bytes
	for _, c := range idle {
		total += c.Size
	}
	if total < -p.freeAfter {
		return false
	}
	evicted := ChooseEvictions(idle, -p.freeAfter)
	for _, c := range idle {
		if slices.Contains(evicted, c.Model) {
			p.cost += c.expectedWaitSeconds()
			p.freeAfter += c.Size
		}
	}
	return true
}

func comparePlacements(a, b placement) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		compareBool(a.needsEviction, b.needsEviction),
		compareBool(b.hasPermit, a.hasPermit),
		cmp.Compare(a.freeAfter, b.freeAfter),
		cmp.Compare(a.id, b.id),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
