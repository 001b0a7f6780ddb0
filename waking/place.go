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

// Place orders the servers on which m fits, the best first: the least expected wait of
// its callers and of those of replicas that would have to go, then without an eviction, where a
// permit rests, and where least memory is left over. A server whose memory, with every idle
// replica gone, would be passed is never named.
func Place(servers []Server, m Need) []domain.ServerID {
	var all []placing
	for _, s := range servers {
		if p, ok := place(s, m); ok {
			all = append(all, p)
		}
	}
	slices.SortFunc(all, comparePlacings)
	out := make([]domain.ServerID, 0, len(all))
	for _, p := range all {
		out = append(out, p.id)
	}
	return out
}

func place(s Server, m Need) (placing, bool) {
	p := placing{id: s.ID, holds: s.Holds, left: s.Free - m.Size}
	wait := s.ColdStart
	if s.Region != m.Region {
		wait += m.Distance
	}
	p.cost = max(1, m.Callers) * wait.Seconds()
	if p.left >= 0 {
		return p, true
	}
	gone := Evict(s.Idle, -p.left)
	if len(gone) == 0 {
		return p, false
	}
	p.evict = true
	for _, c := range s.Idle {
		if slices.Contains(gone, c.Model) {
			p.cost += c.value()
			p.left += c.Size
		}
	}
	return p, true
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
