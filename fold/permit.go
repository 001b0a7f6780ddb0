package fold

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// Permit allows the owner of a server to load one replica of a model there.
type Permit struct {
	Model  domain.ModelName
	Server domain.ServerID
	// AttachedAt is the offset of the decision that attached the permit.
	AttachedAt domain.Offset
	// Size is the most memory that a replica under the permit may use, including its
	// adapters. It does not shrink while the permit is attached.
	Size domain.Bytes
	// Revoked is true if the permit allows no further loads of the model or its adapters.
	// Until it is released, it still counts towards the copies of the model and the memory
	// of the server.
	Revoked bool
}

// permit is the internal state of an attached Permit.
type permit struct {
	model  domain.ModelName
	server *server
	// attachedAt is the decision offset of the attachment. attachNumber numbers permits in
	// the order of their attachment, also within a batch.
	attachedAt   domain.Offset
	attachNumber uint64
	// memory is the largest memory of the model since the permit was attached.
	// adapterMemory is the memory of the model's adapters at that time plus all their
	// growth since. Neither grows once the permit is outgrown.
	memory, adapterMemory domain.Bytes
	// outgrown becomes true when the permit no longer fits its server, and stays true.
	outgrown bool
	// surplus is true if the permit is outgrown, exceeds the copies of the model, or is
	// outside the model's regions. Every permit of a paused model is surplus.
	surplus bool
}

func (p *permit) size() domain.Bytes { return p.memory + p.adapterMemory }

func (p *permit) toPermit() Permit {
	return Permit{Model: p.model, Server: p.server.Server, AttachedAt: p.attachedAt, Size: p.size(),
		Revoked: p.outgrown || p.surplus}
}

// grow raises the size of a permit if the server has room and otherwise marks the permit
// as outgrown. The size then stays at the memory that a loaded replica may already use.
func (p *permit) grow(memoryIncrease, adapterIncrease domain.Bytes) {
	if p.outgrown || memoryIncrease+adapterIncrease == 0 {
		return
	}
	if !p.server.fits(p.size()+memoryIncrease+adapterIncrease, memoryIncrease+adapterIncrease) {
		p.outgrown = true
		return
	}
	p.memory += memoryIncrease
	p.adapterMemory += adapterIncrease
	p.server.reserved += memoryIncrease + adapterIncrease
}

// fits reports whether the server has room for a permit of the given size if the reserved
// memory rises by increase. The permits of a server that checks fencing tokens may together
// exceed its memory, because only the current owner can load there, and its owner.Account
// limits the loads.
func (v *server) fits(size, increase domain.Bytes) bool {
	if size > v.Facts.Memory || v.reserved+increase > maximumMemorySum {
		return false
	}
	return v.Facts.ChecksFences || v.reserved+increase <= v.Facts.Memory
}

// markOutgrown marks each permit that is larger than the server's memory. On a server that
// ignores fencing tokens it also marks each permit whose sum with all earlier permits
// exceeds that memory.
func (v *server) markOutgrown() {
	var sum domain.Bytes
	for _, p := range v.permits {
		sum += p.size()
		overMemory := !v.Facts.ChecksFences && sum > v.Facts.Memory
		p.outgrown = p.outgrown || overMemory || p.size() > v.Facts.Memory
	}
}

// Permits returns the permits of a model, earliest first.
func (s *State) Permits(n domain.ModelName) []Permit { return toPermits(s.permits[n]) }

// ServerPermits returns the permits attached to a server, earliest first.
func (s *State) ServerPermits(n domain.ServerID) []Permit {
	v := s.servers[n]
	if v == nil {
		return nil
	}
	return toPermits(v.permits)
}

func toPermits(permits []*permit) []Permit {
	all := make([]Permit, 0, len(permits))
	for _, p := range permits {
		all = append(all, p.toPermit())
	}
	return all
}

// PermitSize returns the size of a new permit: the memory of the model and of all its
// adapters.
func (s *State) PermitSize(n domain.ModelName) domain.Bytes {
	return s.objects.models[n].value.Memory + s.objects.adapterMemory[n]
}

// CheckAttach returns Accepted if the owner of a server could attach a permit for a model
// now. Otherwise it returns the reason why not.
func (s *State) CheckAttach(n domain.ModelName, server domain.ServerID) Rejection {
	v := s.servers[server]
	m, ok := s.objects.models[n]
	if v == nil || v.goneAt != 0 || !ok {
		return UnknownObject
	}
	switch {
	case m.value.Paused:
		return ModelPaused
	case s.IsServerDrained(server, v.Facts.Zone):
		return ServerDrained
	case !s.isRegionAllowed(n, v):
		return OutsideRegions
	case slices.ContainsFunc(v.permits, func(p *permit) bool { return p.model == n }):
		return AlreadyAttached
	case len(s.permits[n]) >= int(m.value.Copies):
		return OverCopies
	case !v.fits(s.PermitSize(n), s.PermitSize(n)):
		return OverMemory
	}
	return Accepted
}

// isRegionAllowed reports whether a model may be loaded in the region of a server.
func (s *State) isRegionAllowed(n domain.ModelName, v *server) bool {
	regions := s.objects.models[n].value.Regions
	return len(regions) == 0 || slices.Contains(regions, v.Facts.Region)
}

func (s *State) attach(o domain.Offset, n domain.NodeID, r PermitAttached) Rejection {
	v, rejection := s.serverOwnedBy(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	if rejection := s.CheckAttach(r.Model, r.Server); rejection != Accepted {
		return rejection
	}
	s.attachCount++
	p := &permit{model: r.Model, server: v, attachedAt: o, attachNumber: s.attachCount,
		memory: s.objects.models[r.Model].value.Memory, adapterMemory: s.objects.adapterMemory[r.Model]}
	s.insert(p)
	return Accepted
}

// insert appends a permit to the permits of its model and of its server. p must be the
// most recently attached permit.
func (s *State) insert(p *permit) {
	put(&s.permits, p.model, append(s.permits[p.model], p))
	p.server.permits = append(p.server.permits, p)
	p.server.reserved += p.size()
}

func (s *State) release(n domain.NodeID, r PermitReleased) Rejection {
	v, rejection := s.serverOwnedBy(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	i := slices.IndexFunc(v.permits, func(p *permit) bool { return p.model == r.Model })
	if i < 0 {
		return NotHeld
	}
	p := v.permits[i]
	if v.isInDoubt(p) {
		return StillInDoubt
	}
	s.detach(p)
	s.updateSurplus(p.model)
	return Accepted
}

// isInDoubt reports whether an earlier owner may still load a replica under a permit.
func (v *server) isInDoubt(p *permit) bool {
	return slices.ContainsFunc(v.Doubts, func(d Doubt) bool { return p.attachedAt < d.LeaseLostAt })
}

// IsInDoubt reports whether an earlier owner of a server may still load a model there, so
// that its permit cannot be released.
func (s *State) IsInDoubt(server domain.ServerID, n domain.ModelName) bool {
	v := s.servers[server]
	if v == nil {
		return false
	}
	return slices.ContainsFunc(v.permits, func(p *permit) bool { return p.model == n && v.isInDoubt(p) })
}

// detach removes a permit from its model and server.
func (s *State) detach(p *permit) {
	same := func(q *permit) bool { return q == p }
	s.permits[p.model] = slices.DeleteFunc(s.permits[p.model], same)
	if len(s.permits[p.model]) == 0 {
		delete(s.permits, p.model)
	}
	p.server.permits = slices.DeleteFunc(p.server.permits, same)
	p.server.reserved -= p.size()
}

// updateSurplus sets surplus for all permits of a model. It is false for the earliest
// permits that are not outgrown and are in an allowed region, up to the copies of the model,
// and true for all others. A paused model has no copies.
func (s *State) updateSurplus(n domain.ModelName) {
	m := s.objects.models[n].value
	remainingCopies := int(m.Copies)
	if m.Paused {
		remainingCopies = 0
	}
	for _, p := range s.permits[n] {
		usable := !p.outgrown && s.isRegionAllowed(n, p.server)
		p.surplus = !usable || remainingCopies <= 0
		if usable {
			remainingCopies--
		}
	}
}
