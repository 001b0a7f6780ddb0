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
	// hasPermit is true if the server has a permit for the model that is not revoked.
	hasPermit bool
	// excluded is true if the request rules the server out, since the last attempt there
	// failed or the server has the model already.
	excluded bool
	// freeMemory is neither loaded nor reserved, fits is whether the model goes into it
	// without an eviction, sameRegion whether the server is in the requester's region.
	freeMemory domain.Bytes
	fits       bool
	sameRegion bool
	// permitCount is the number of permits attached to the server.
	permitCount int
}

// candidates lists the servers that may load the model, the best first: not excluded,
// permit attached, room without an eviction, the requester's region, few permits, much free
// memory.
func (c *Coordinator) candidates(w peer.Wake) []candidate {
	now := time.Now()
	vms := c.deps.Directory.OfKind(vmlist.Engine)
	var out []candidate
	c.deps.State.View(func(s *fold.State) {
		size := s.PermitSize(w.Model)
		attached := serversWithPermit(s, w.Model)
		for _, v := range vms {
			target := candidate{server: domain.ServerID(v.ID), sameRegion: v.Region == w.Region}
			l, leased := s.Lease(target.server)
			r, seen := c.deps.Reports.UsableReport(target.server, now)
			if !leased || !seen || v.Leaving || s.IsServerDrained(target.server, v.Zone) {
				continue
			}
			target.excluded = slices.Contains(w.Exclude, target.server)
			target.owner = l.Owner
			target.hasPermit = attached[target.server]
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

// canGetPermit reports whether a permit can be attached now or after an eviction.
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

// preferWhere returns the comparison result that sorts a before b if condition holds for a,
// and after it otherwise.
func preferWhere(condition bool) int {
	if condition {
		return -1
	}
	return 1
}
