package fold

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// MaximumGoneServers is how many servers are remembered after they left the
// platform's list, so that one that comes back after all keeps its fence and
// doubts.
const MaximumGoneServers = 1024

// Doubt is an earlier owner of a server whose orders may still take effect.
type Doubt struct {
	Fence domain.Fence
	Owner domain.NodeID
	// Until is the offset at which the owner lost the lease. It can order loads
	// under permits attached before.
	Until domain.Offset
}

// Lease is the ownership of a backend server.
type Lease struct {
	Server domain.ServerID
	Owner  domain.NodeID
	Fence  domain.Fence
	Facts  ServerFacts
	// Doubts are earlier owners, one entry for each fence, oldest first.
	Doubts []Doubt
}

// server is a backend server that has or had an owner.
type server struct {
	Lease
	// gone is the offset of ServerGone, or 0.
	gone domain.Offset
	// permits are in the order in which they were attached.
	permits []*permit
	// reserved is the sum of the permits' sizes.
	reserved domain.Bytes
}

// Lease returns the ownership of a server.
func (s *State) Lease(n domain.ServerID) (Lease, bool) {
	v := s.servers[n]
	if v == nil || v.gone != 0 {
		return Lease{}, false
	}
	return v.lease(), true
}

func (v *server) lease() Lease {
	l := v.Lease
	l.Doubts = slices.Clone(v.Doubts)
	return l
}

// LastFence returns the newest fence of a server, also after it was gone. It is
// what LeaseTaken.Expect must be.
func (s *State) LastFence(n domain.ServerID) domain.Fence {
	if v := s.servers[n]; v != nil {
		return v.Fence
	}
	return 0
}

// Leases returns all leases by server.
func (s *State) Leases() []Lease {
	all := make([]Lease, 0, len(s.servers))
	for _, v := range sorted(s.servers) {
		if v.gone == 0 {
			all = append(all, v.lease())
		}
	}
	return all
}

func (s *State) takeLease(o domain.Offset, r LeaseTaken) Rejection {
	if r.Server == "" || r.Owner == "" || !validMemory(r.Facts.Memory) {
		return Malformed
	}
	if r.Expect != s.LastFence(r.Server) || r.Expect == domain.Fence(o) {
		return LostRace
	}
	v := s.servers[r.Server]
	if v == nil {
		v = &server{Lease: Lease{Server: r.Server}}
		put(&s.servers, r.Server, v)
	}
	if v.Fence != 0 {
		v.doubt(o)
	}
	v.Owner, v.Fence, v.Facts, v.gone = r.Owner, domain.Fence(o), r.Facts, 0
	v.reviewMemory()
	for _, p := range v.permits {
		s.review(p.model)
	}
	return Accepted
}

// doubt puts the owner that loses its lease at offset o in doubt.
func (v *server) doubt(o domain.Offset) {
	v.Doubts = append(v.Doubts, Doubt{Fence: v.Fence, Owner: v.Owner, Until: o})
}

// owned finds a server where n is the owner under fence f.
func (s *State) owned(server domain.ServerID, n domain.NodeID, f domain.Fence) (*server, Rejection) {
	v := s.servers[server]
	if v == nil || v.gone != 0 {
		return nil, UnknownObject
	}
	if v.Fence != f || v.Owner != n {
		return nil, StaleFence
	}
	return v, Accepted
}

func (s *State) clearDoubt(n domain.NodeID, r DoubtCleared) Rejection {
	v := s.servers[r.Server]
	if v == nil {
		return UnknownObject
	}
	i := slices.IndexFunc(v.Doubts, func(d Doubt) bool { return d.Fence == r.Earlier })
	if i < 0 {
		return NotHeld
	}
	switch r.Proof {
	case OwnerAcknowledged:
		if v.Doubts[i].Owner != n {
			return NotHeld
		}
		v.Doubts = slices.Delete(v.Doubts, i, i+1)
		return Accepted
	case BarrierPassed, OwnerVMGone:
		return s.clearAsOwner(n, r, i)
	case ServerRestarted:
		return WeakProof
	}
	return Malformed
}

// clearAsOwner clears every doubt about the owner at index i, or those through it
// where a barrier stops every earlier owner.
func (s *State) clearAsOwner(n domain.NodeID, r DoubtCleared, i int) Rejection {
	v, rejection := s.owned(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	if r.Proof == OwnerVMGone {
		gone := v.Doubts[i].Owner
		v.Doubts = slices.DeleteFunc(v.Doubts, func(d Doubt) bool { return d.Owner == gone })
		return Accepted
	}
	if !v.Facts.ChecksFences {
		return WeakProof
	}
	v.Doubts = slices.Delete(v.Doubts, 0, i+1)
	return Accepted
}

func (s *State) serverGone(r ServerGone) Rejection {
	v := s.servers[r.Server]
	if v == nil || v.gone != 0 {
		return UnknownObject
	}
	if v.Fence != r.Fence {
		return LostRace
	}
	for _, p := range slices.Clone(v.permits) {
		s.detach(p)
		s.review(p.model)
	}
	v.gone = s.offset
	s.forgetGone()
	return Accepted
}

// forgetGone drops the server that is gone longest.
func (s *State) forgetGone() {
	var oldest *server
	count := 0
	for _, v := range sorted(s.servers) {
		if v.gone == 0 {
			continue
		}
		count++
		if oldest == nil || v.gone < oldest.gone {
			oldest = v
		}
	}
	if count > MaximumGoneServers {
		delete(s.servers, oldest.Server)
	}
}
