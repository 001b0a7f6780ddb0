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
	// holds is true where the server has a permit for the model.
	holds bool
	// failed is true where the asker's last attempt there failed.
	failed bool
	// free is the memory neither loaded nor reserved, fits whether the model
	// goes into it without an eviction, near whether the asker's region has it.
	free domain.Bytes
	fits bool
	near bool
	// permits counts permits attached to the server.
	permits int
}

// candidates lists servers that may load the model, the best first: a permit
// held, room without an eviction, the asker's region, few permits, much memory.
func (h *Home) candidates(w peer.Wake) []candidate {
	now := time.Now()
	vms := h.deps.Directory.OfKind(vmlist.Engine)
	var out []candidate
	h.deps.Agreement.View(func(s *fold.State) {
		size := s.PermitSize(w.Model)
		held := heldBy(s, w.Model)
		for _, v := range vms {
			c := candidate{server: domain.ServerID(v.ID), near: v.Region == w.Region}
			l, leased := s.Lease(c.server)
			r, seen := h.deps.Reports.Server(c.server, now)
			if !leased || !seen || v.Leaving || s.ServerDrained(c.server, v.Zone) {
				continue
			}
			c.failed = slices.Contains(w.Exclude, c.server)
			c.owner = l.Owner
			c.holds = held[c.server]
			c.free = r.FreeMemory
			c.fits = r.FreeMemory >= size
			c.permits = len(s.ServerPermits(c.server))
			if !c.holds && !attachable(s.CheckAttach(w.Model, c.server)) {
				continue
			}
			out = append(out, c)
		}
	})
	slices.SortStableFunc(out, compareCandidates)
	return out
}

func heldBy(s *fold.State, m domain.ModelName) map[domain.ServerID]bool {
	out := make(map[domain.ServerID]bool)
	for _, p := range s.Permits(m) {
		if !p.Revoked {
			out[p.Server] = true
		}
	}
	return out
}

// attachable tells whether a permit can be had now or after an eviction.
func attachable(r fold.Rejection) bool {
	return r == fold.Accepted || r == fold.OverMemory
}

func compareCandidates(a, b candidate) int {
	switch {
	case a.failed != b.failed:
		return first(b.failed)
	case a.holds != b.holds:
		return first(a.holds)
	case a.fits != b.fits:
		return first(a.fits)
	case a.near != b.near:
		return first(a.near)
	case a.permits != b.permits:
		return a.permits - b.permits
	case a.free != b.free:
		return first(a.free > b.free)
	}
	return compare(a.server, b.server)
}

// first orders the side for which a condition holds before the other.
func first(holds bool) int {
	if holds {
		return -1
	}
	return 1
}
