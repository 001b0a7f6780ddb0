package waking

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// Server is a backend server that may load a model.
type Server struct {
	ID     domain.ServerID
	Region domain.Region
	// Free is the memory neither loaded nor reserved.
	Free domain.Bytes
	// Idle are the replicas that may be taken down for room.
	Idle []Candidate
	// ColdStart is how long the load would take there, from where the checkpoint is
	// cached and what waits before it.
	ColdStart time.Duration
	// Displaces is what the load would push out of the server's cache of checkpoints: the
	// expected wait, in seconds, of the callers who would miss it.
	Displaces float64
	// Holds is true where a permit for the model is attached.
	Holds bool
}

// Need is the model to place.
type Need struct {
	Model domain.ModelName
	Size  domain.Bytes
	// Callers wait for it; fewer than one count as one.
	Callers float64
	// Region is where the callers are. A server elsewhere adds Distance to each answer.
	Region   domain.Region
	Distance time.Duration
}

// placing is a server with the expected cost of loading there.
type placing struct {
	id domain.ServerID
	// cost is in seconds of callers' waiting.
	cost  float64
	evict bool
	left  domain.Bytes
	holds bool
}

// mostPlaced is how many servers Place names: a load that fails on all of them is asked for again.
const mostPlaced = 16

// Place orders the servers on which m fits, the best first and mostPlaced at most: the least expected
// wait of its callers and of those of replicas that would have to go, then without an eviction, where a
// permit rests, and where least memory is left over. A server whose memory, with every idle
// replica gone, would be passed is never named.
func Place(servers []Server, m Need) []domain.ServerID {
	best := make([]placing, 0, mostPlaced+1)
	// Servers with room go first: an eviction only adds to the cost, so that most others need no look.
	for _, evict := range []bool{false, true} {
		for i := range servers {
			s := &servers[i]
			if s.Free < m.Size != evict {
				continue
			}
			p := direct(s, m)
			if len(best) == mostPlaced && comparePlacings(p, best[mostPlaced-1]) >= 0 {
				continue
			}
			if !evict || p.makeRoom(s.Idle) {
				best = insert(best, p)
			}
		}
	}
	out := make([]domain.ServerID, 0, len(best))
	for _, p := range best {
		out = append(out, p.id)
	}
	return out
}

// insert keeps the best mostPlaced in order.
func insert(best []placing, p placing) []placing {
	i, _ := slices.BinarySearchFunc(best, p, comparePlacings)
	best = slices.Insert(best, i, p)
	return best[:min(len(best), mostPlaced)]
}

// direct is the cost without what an eviction adds; left is negative where one is needed.
func direct(s *Server, m Need) placing {
	wait := s.ColdStart
	if s.Region != m.Region {
		wait += m.Distance
	}
	left := s.Free - m.Size
	return placing{
		id: s.ID, holds: s.Holds, left: left, evict: left < 0,
		cost: max(1, m.Callers)*wait.Seconds() + s.Displaces,
	}
}

// makeRoom adds the cost of the replicas that have to go; it returns false where they don't make the
// room.
func (p *placing) makeRoom(idle []Candidate) bool {
	var all domain.Bytes
	for _, c := range idle {
		all += c.Size
	}
	if all < -p.left {
		return false
	}
	gone := Evict(idle, -p.left)
	for _, c := range idle {
		if slices.Contains(gone, c.Model) {
			p.cost += c.value()
			p.left += c.Size
		}
	}
	return true
}

func comparePlacings(a, b placing) int {
	return cmp.Or(
		cmp.Compare(a.cost, b.cost),
		compareBool(a.evict, b.evict),
		compareBool(b.holds, a.holds),
		cmp.Compare(a.left, b.left),
		cmp.Compare(a.id, b.id),
	)
}

// compareBool puts false first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
