package node

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// candidate is a server that may load a model.
type candidate struct {
	server domain.ServerID
	owner  domain.NodeID
	// hasPermit is true where the server has a permit for the model.
	hasPermit bool
	// excluded is true where the asker's last attempt there failed.
	excluded bool
	// freeMemory is the memory neither loaded nor reserved, fits whether the model
	// goes into it without an eviction, near whether the asker's region has it.
	freeMemory domain.Bytes
	fits       bool
	sameRegion bool
	// permitCount counts permits attached to the server.
	permitCount int
}

// candidates lists servers that may load the model, the best first: a permit
// held, room without an eviction, the asker's region, few permits, much memory.
func (h *Coordinator) candidates(w peer.Wake) []candidate {
	now := time.Now()
	vms := h.deps.Directory.OfKind(vmlist.Engine)
	var out []candidate
	h.deps.State.View(func(s *fold.State) {
		size := s.PermitSize(w.Model)
		held := serversWithPermit(s, w.Model)
		for _, v := range vms {
			c := candidate{server: domain.ServerID(v.ID), sameRegion: v.Region == w.Region}
			l, leased := s.Lease(c.server)
			r, seen := h.deps.Reports.Current(c.server, now)
			if !leased || !seen || v.Leaving || s.ServerDrained(c.server, v.Zone) {
				continue
			}
			c.excluded = slices.Contains(w.Exclude, c.server)
			c.owner = l.Owner
			c.hasPermit = held[c.server]
			c.freeMemory = r.FreeMemory
			c.fits = r.FreeMemory >= size
			c.permitCount = len(s.ServerPermits(c.server))
			if !c.hasPermit && !canGetPermit(s.CanAttach(w.Model, c.server)) {
				continue
			}
			out = append(out, c)
		}
	})
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func serversWithPermit(s *fold.State, m domain.ModelName) map[domain.ServerID]bool {
	out := make(map[domain.ServerID]bool)
	for _, p := range s.Permits(m) {
		if !p.Revoked {
			out[p.Server] = true
		}
	}
	return out
}

// canGetPermit tells whether a permit can be had now or after an eviction.
func canGetPermit(r fold.Rejection) bool {
	return r == fold.Accepted || r == fold.OverMemory
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.excluded != b.excluded:
		return preferWhere(b.excluded)
	case a.hasPermit != b.hasPermit:
		return preferWhere(a.hasPermit)
	case a.fits != b.fits:
		return preferWhere(a.fits)
	case a.sameRegion != b.sameRegion:
		return preferWhere(a.sameRegion)
	case a.permitCount != b.permitCount:
		return a.permitCount - b.permitCount
	case a.freeMemory != b.freeMemory:
		return preferWhere(a.freeMemory > b.freeMemory)
	}
	return compareServerIDs(a.server, b.server)
}

// preferWhere orders the side for which a condition holds before the other.
func preferWhere(holds bool) int {
	if holds {
		return -1
	}
	return 1
}
