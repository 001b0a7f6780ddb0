package node

import (
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/fold"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/vmlist"
)

// candidate is a server on which a coordinator can try to load a model.
type candidate struct {
	server domain.ServerID
	owner  domain.NodeID
	// hasPermit is true if the server has a permit for the model that is not revoked.
	hasPermit bool
	// excluded is true if the Wake excludes the server, because the requester's attempt there
	// failed or the server has the model already.
	excluded bool
	// freeMemory is the free memory in the server's report.
	freeMemory domain.Bytes
	// fits is true if the model fits into freeMemory, so that nothing has to be evicted.
	fits bool
	// sameRegion is true if the server is in the requester's region.
	sameRegion bool
	// permitCount is the number of permits attached to the server.
	permitCount int
}

// candidates lists the servers on which the model can be loaded, the best first. It compares
// two servers by these criteria, in this order: not excluded, has a permit, fits without an
// eviction, in the requester's region, fewer permits, more free memory.
func (c *Coordinator) candidates(w peer.Wake) []candidate {
	now := time.Now()
	vms := c.deps.Directory.VMsOfKind(vmlist.Engine)
	var out []candidate
	c.deps.State.View(func(s *fold.State) {
		size := s.PermitSize(w.Model)
		withPermit := serversWithPermit(s, w.Model)
		for _, v := range vms {
			target := candidate{server: domain.ServerID(v.ID), sameRegion: v.Region == w.Region}
			l, leased := s.Lease(target.server)
			r, hasReport := c.deps.Reports.UsableReport(target.server, now)
			if !leased || !hasReport || v.Leaving || s.IsServerDrained(target.server, v.Zone) {
				continue
			}
			target.excluded = slices.Contains(w.Exclude, target.server)
			target.owner = l.Owner
			target.hasPermit = withPermit[target.server]
			target.freeMemory = r.FreeMemory
			target.fits = r.FreeMemory >= size
			target.permitCount = len(s.ServerPermits(target.server))
			if !target.hasPermit && !canGetPermit(s.CheckAttach(w.Model, target.server)) {
				continue
			}
			out = append(out, target)
		}
	})
	slices.SortStableFunc(out, compareCandidates)
	return out
}

// serversWithPermit returns the servers with a permit for the model that is not revoked.
func serversWithPermit(s *fold.State, m domain.ModelName) map[domain.ServerID]bool {
	out := make(map[domain.ServerID]bool)
	for _, p := range s.Permits(m) {
		if !p.Revoked {
			out[p.Server] = true
		}
	}
	return out
}

// canGetPermit reports whether a permit for which CheckAttach returned r can be attached now
// or after an eviction.
func canGetPermit(r fold.Rejection) bool {
	return r == fold.Accepted || r == fold.OverMemory
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.excluded != b.excluded:
		return preferIf(b.excluded)
	case a.hasPermit != b.hasPermit:
		return preferIf(a.hasPermit)
	case a.fits != b.fits:
		return preferIf(a.fits)
	case a.sameRegion != b.sameRegion:
		return preferIf(a.sameRegion)
	case a.permitCount != b.permitCount:
		return a.permitCount - b.permitCount
	case a.freeMemory != b.freeMemory:
		return preferIf(a.freeMemory > b.freeMemory)
	}
	return compareServerIDs(a.server, b.server)
}

// preferIf returns the result of a comparison of a and b: -1, which sorts a first, if a is
// better, and 1 otherwise.
func preferIf(aIsBetter bool) int {
	if aIsBetter {
		return -1
	}
	return 1
}
