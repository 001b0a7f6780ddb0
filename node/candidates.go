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
func (c *Coordinator) candidates(w peer.Wake) []candidate {
	now := time.Now()
	vms := c.deps.Directory.OfKind(vmlist.Engine)
	var out []candidate
	c.deps.State.View(func(s *fold.State) {
		size := s.PermitSize(w.Model)
		held := serversWithPermit(s, w.Model)
		for _, v := range vms {
			target := candidate{server: domain.ServerID(v.ID), sameRegion: v.Region == w.Region}
			l, leased := s.Lease(target.server)
			r, seen := c.deps.Reports.Current(target.server, now)
			if !leased || !seen || v.Leaving || s.ServerDrained(target.server, v.Zone) {
				continue
			}
			target.excluded = slices.Contains(w.Exclude, target.server)
			target.owner = l.Owner
			target.hasPermit = held[target.server]
			target.freeMemory = r.FreeMemory
			target.fits = r.FreeMemory >= size
			target.permitCount = len(s.ServerPermits(target.server))
			if !target.hasPermit && !canGetPermit(s.CanAttach(w.Model, target.server)) {
				continue
			}
			out = append(out, target)
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
