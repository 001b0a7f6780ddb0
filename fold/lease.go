package fold

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// MaximumGoneServers is the number of servers that the State keeps after ServerGone. A
// server that returns to the platform's list still has its fencing token and doubts if the
// State has kept it.
const MaximumGoneServers = 1024

// Doubt states that orders of an earlier owner of a server may still take effect.
type Doubt struct {
	// Fence is the fencing token of the earlier owner.
	Fence domain.Fence
	Owner domain.NodeID
	// LeaseLostAt is the decision offset at which Owner lost the lease. Owner may have ordered
	// loads only under permits attached before this offset.
	LeaseLostAt domain.Offset
}

// Lease is the ownership of a backend server by a node.
type Lease struct {
	Server domain.ServerID
	Owner  domain.NodeID
	Fence  domain.Fence
	Facts  ServerFacts
	// Doubts has one entry for each earlier fencing token in doubt, oldest first.
	Doubts []Doubt
}

// server is a backend server that has or had an owner.
type server struct {
	Lease
	// goneAt is the decision offset of ServerGone, or 0 if the server is not gone.
	goneAt domain.Offset
	// permits are attached to the server, earliest first.
	permits []*permit
	// reserved is the sum of the permits' sizes.
	reserved domain.Bytes
}

// Lease returns the lease of a server. It returns false if the server never had an owner
// or is gone.
func (s *State) Lease(n domain.ServerID) (Lease, bool) {
	v := s.servers[n]
	if v == nil || v.goneAt != 0 {
		return Lease{}, false
	}
	return v.lease(), true
}

// lease returns a copy of the lease that does not share Doubts with v.
func (v *server) lease() Lease {
	l := v.Lease
	l.Doubts = slices.Clone(v.Doubts)
	return l
}

// LastFence returns the newest fencing token of a server, even after ServerGone. It
// returns 0 for a server that the State does not have. LeaseTaken is valid only with this
// token as Expect.
func (s *State) LastFence(n domain.ServerID) domain.Fence {
	if v := s.servers[n]; v != nil {
		return v.Fence
	}
	return 0
}

// Leases returns all leases, sorted by server.
func (s *State) Leases() []Lease {
	all := make([]Lease, 0, len(s.servers))
	for _, v := range sorted(s.servers) {
		if v.goneAt == 0 {
			all = append(all, v.lease())
		}
	}
	return all
}

func (s *State) acquireLease(o domain.Offset, r LeaseTaken) Rejection {
	if r.Server == "" || r.Owner == "" || !validMemory(r.Facts.Memory) {
		return Malformed
	}
	// A LeaseTaken accepted earlier in this batch already used the fencing token o.
	if r.Expect != s.LastFence(r.Server) || r.Expect == domain.Fence(o) {
		return LostRace
	}
	v := s.servers[r.Server]
	if v == nil {
		v = &server{Lease: Lease{Server: r.Server}}
		put(&s.servers, r.Server, v)
	}
	if v.Fence != 0 {
		v.addDoubt(o)
	}
	v.Owner, v.Fence, v.Facts, v.goneAt = r.Owner, domain.Fence(o), r.Facts, 0
	v.markOutgrown()
	for _, p := range v.permits {
		s.updateSurplus(p.model)
	}
	return Accepted
}

// addDoubt adds a doubt about the owner that loses its lease at offset o.
func (v *server) addDoubt(o domain.Offset) {
	v.Doubts = append(v.Doubts, Doubt{Fence: v.Fence, Owner: v.Owner, LeaseLostAt: o})
}

// serverOwnedBy returns a server if node n owns it under fencing token f. Otherwise it
// returns the reason why n does not own it.
func (s *State) serverOwnedBy(server domain.ServerID, n domain.NodeID, f domain.Fence) (*server, Rejection) {
	v := s.servers[server]
	if v == nil || v.goneAt != 0 {
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
	i := slices.IndexFunc(v.Doubts, func(d Doubt) bool { return d.Fence == r.EarlierFence })
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
		return s.clearDoubtsAsOwner(n, r, i)
	case ServerRestarted:
		return WeakProof
	}
	return Malformed
}

// clearDoubtsAsOwner clears doubts on a proof by the current owner n. OwnerVMGone clears
// every doubt about the earlier owner at index i. BarrierPassed clears the doubts up to
// index i, because a barrier invalidates every older token.
func (s *State) clearDoubtsAsOwner(n domain.NodeID, r DoubtCleared, i int) Rejection {
	v, rejection := s.serverOwnedBy(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	if r.Proof == OwnerVMGone {
		goneOwner := v.Doubts[i].Owner
		v.Doubts = slices.DeleteFunc(v.Doubts, func(d Doubt) bool { return d.Owner == goneOwner })
		return Accepted
	}
	if !v.Facts.ChecksFences {
		return WeakProof
	}
	v.Doubts = slices.Delete(v.Doubts, 0, i+1)
	return Accepted
}

func (s *State) removeServer(r ServerGone) Rejection {
	v := s.servers[r.Server]
	if v == nil || v.goneAt != 0 {
		return UnknownObject
	}
	if v.Fence != r.Fence {
		return LostRace
	}
	for _, p := range slices.Clone(v.permits) {
		s.detach(p)
		s.updateSurplus(p.model)
	}
	v.goneAt = s.offset
	s.evictOldestGoneServer()
	return Accepted
}

// evictOldestGoneServer deletes the server with the earliest ServerGone if more than
// MaximumGoneServers are gone.
func (s *State) evictOldestGoneServer() {
	var oldest *server
	count := 0
	for _, v := range sorted(s.servers) {
		if v.goneAt == 0 {
			continue
		}
		count++
		if oldest == nil || v.goneAt < oldest.goneAt {
			oldest = v
		}
	}
	if count > MaximumGoneServers {
		delete(s.servers, oldest.Server)
	}
}
