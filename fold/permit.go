package fold

import (
	"slices"

	"github.com/parsleylug/parsleylug/domain"
)

// Permit lets the owner of a server load one replica of a model there.
type Permit struct {
	Model  domain.ModelName
	Server domain.ServerID
	// AttachedAt is the decision that attached it.
	AttachedAt domain.Offset
	// Size is the most memory that a replica under the permit may take, with its
	// adapters. It does not shrink while the permit is attached.
	Size domain.Bytes
	// Revoked permits allow no load of a model or adapter. They count until they
	// are released.
	Revoked bool
}

// permit is an attached permit.
type permit struct {
	model  domain.ModelName
	server *server
	// attachedAt and number order permits; number breaks ties within a batch.
	attachedAt domain.Offset
	number     uint64
	// memory is the largest memory of the model since the permit was attached,
	// adapters the sum of what adapters grew by since.
	memory, adapters domain.Bytes
	// outgrown permits no longer fit their server.
	outgrown bool
	// surplus permits pass the operators' limit or regions.
	surplus bool
}

func (p *permit) size() domain.Bytes { return p.memory + p.adapters }

func (p *permit) public() Permit {
	return Permit{Model: p.model, Server: p.server.Server, AttachedAt: p.attachedAt, Size: p.size(),
		Revoked: p.outgrown || p.surplus}
}

// grow raises the permit's size where the server has room and else marks it
// outgrown; the size then stays what a loaded replica may take already.
func (p *permit) grow(memory, adapters domain.Bytes) {
	if p.outgrown || memory+adapters == 0 {
		return
	}
	if !p.server.fits(p.size()+memory+adapters, memory+adapters) {
		p.outgrown = true
		return
	}
	p.memory += memory
	p.adapters += adapters
	p.server.reserved += memory + adapters
}

// fits tells whether a permit may have a size that adds more to what is reserved.
func (v *server) fits(size, more domain.Bytes) bool {
	if size > v.Facts.Memory || v.reserved+more > maximumSum {
		return false
	}
	return v.Facts.ChecksFences || v.reserved+more <= v.Facts.Memory
}

// reviewMemory marks the latest permits that do not fit new facts.
func (v *server) reviewMemory() {
	var sum domain.Bytes
	for _, p := range v.permits {
		sum += p.size()
		over := !v.Facts.ChecksFences && sum > v.Facts.Memory
		p.outgrown = p.outgrown || over || p.size() > v.Facts.Memory
	}
}

// Permits returns the permits of a model, earliest first.
func (s *State) Permits(n domain.ModelName) []Permit { return public(s.permits[n]) }

// ServerPermits returns the permits attached to a server, earliest first.
func (s *State) ServerPermits(n domain.ServerID) []Permit {
	v := s.servers[n]
	if v == nil {
		return nil
	}
	return public(v.permits)
}

func public(permits []*permit) []Permit {
	all := make([]Permit, 0, len(permits))
	for _, p := range permits {
		all = append(all, p.public())
	}
	return all
}

// PermitSize returns the memory that a new permit of a model takes: its own and
// that of all its adapters.
func (s *State) PermitSize(n domain.ModelName) domain.Bytes {
	return s.objects.models[n].value.Memory + s.objects.adapterMemory[n]
}

// CheckAttach tells whether the owner of a server could attach a permit now.
func (s *State) CheckAttach(n domain.ModelName, server domain.ServerID) Rejection {
	v := s.servers[server]
	m, ok := s.objects.models[n]
	if v == nil || v.gone != 0 || !ok {
		return UnknownObject
	}
	switch {
	case m.value.Paused:
		return ModelPaused
	case s.ServerDrained(server, v.Facts.Zone):
		return ServerDrained
	case !s.allowed(n, v):
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

// allowed tells whether a model may be loaded in the region of a server.
func (s *State) allowed(n domain.ModelName, v *server) bool {
	regions := s.objects.models[n].value.Regions
	return len(regions) == 0 || slices.Contains(regions, v.Facts.Region)
}

func (s *State) attach(o domain.Offset, n domain.NodeID, r PermitAttached) Rejection {
	v, rejection := s.owned(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	if rejection := s.CheckAttach(r.Model, r.Server); rejection != Accepted {
		return rejection
	}
	s.attached++
	p := &permit{model: r.Model, server: v, attachedAt: o, number: s.attached,
		memory: s.objects.models[r.Model].value.Memory, adapters: s.objects.adapterMemory[r.Model]}
	s.insert(p)
	return Accepted
}

// insert adds a permit that was attached after all others.
func (s *State) insert(p *permit) {
	put(&s.permits, p.model, append(s.permits[p.model], p))
	p.server.permits = append(p.server.permits, p)
	p.server.reserved += p.size()
}

func (s *State) release(n domain.NodeID, r PermitReleased) Rejection {
	v, rejection := s.owned(r.Server, n, r.Fence)
	if rejection != Accepted {
		return rejection
	}
	i := slices.IndexFunc(v.permits, func(p *permit) bool { return p.model == r.Model })
	if i < 0 {
		return NotHeld
	}
	p := v.permits[i]
	if v.inDoubt(p) {
		return StillInDoubt
	}
	s.detach(p)
	s.review(p.model)
	return Accepted
}

// inDoubt tells whether an earlier owner may still load under a permit.
func (v *server) inDoubt(p *permit) bool {
	return slices.ContainsFunc(v.Doubts, func(d Doubt) bool { return p.attachedAt < d.Until })
}

// InDoubt tells whether an earlier owner of a server may still load a model
// there, so that its permit cannot be released.
func (s *State) InDoubt(server domain.ServerID, n domain.ModelName) bool {
	v := s.servers[server]
	if v == nil {
		return false
	}
	return slices.ContainsFunc(v.permits, func(p *permit) bool { return p.model == n && v.inDoubt(p) })
}

// detach takes a permit off its model and server.
func (s *State) detach(p *permit) {
	same := func(q *permit) bool { return q == p }
	s.permits[p.model] = slices.DeleteFunc(s.permits[p.model], same)
	if len(s.permits[p.model]) == 0 {
		delete(s.permits, p.model)
	}
	p.server.permits = slices.DeleteFunc(p.server.permits, same)
	p.server.reserved -= p.size()
}

// review decides which permits of a model are surplus: the earliest ones that
// fit stay.
func (s *State) review(n domain.ModelName) {
	m := s.objects.models[n].value
	left := int(m.Copies)
	if m.Paused {
		left = 0
	}
	for _, p := range s.permits[n] {
		usable := !p.outgrown && s.allowed(n, p.server)
		p.surplus = !usable || left <= 0
		if usable {
			left--
		}
	}
}
