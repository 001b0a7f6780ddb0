package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// publishReport sends a changed report of this owner's server to every node, and the load
// counts to the nodes that subscribe to them.
func (c *serverController) publishReport() {
	r, ok, changed := c.nextReport(time.Now())
	if !ok {
		return
	}
	if changed {
		c.deps.Gossip.PublishReport(r)
	} else {
		// Adding the same version again confirms it at this node, as of the server's last
		// response.
		c.deps.Reports.Add(r.WithoutLoads(), c.lastStateReadAt())
	}
	c.deps.Gossip.PublishLoads(r.Loads())
}

func (c *serverController) lastStateReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateReadAt
}

// nextReport returns the report to publish, if the server was polled, and whether it
// differs from the last one in more than load counts.
func (c *serverController) nextReport(now time.Time) (r peer.ServerReport, ok, changed bool) {
	known := c.deps.Reports.Version(c.lease.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseLost || c.stateReadAt.IsZero() {
		return peer.ServerReport{}, false, false
	}
	r = c.buildReport(now)
	changed = reports.NeedsBroadcast(c.lastPublished, r)
	r.Sequence = c.lastPublished.Sequence
	if known.Fence == r.Fence && known.Sequence > r.Sequence {
		r.Sequence, changed = known.Sequence, true
	}
	if !changed {
		sent := c.lastPublished
		sent.Models = r.Models
		return sent, true, false
	}
	r.Sequence++
	c.lastPublished = r
	return r, true, true
}

// buildReport builds a report from the last polled state; the caller holds mu.
func (c *serverController) buildReport(now time.Time) peer.ServerReport {
	vm, listed := c.deps.Directory.Server(c.lease.Server)
	r := peer.ServerReport{
		Server:     c.lease.Server,
		Fence:      c.lease.Fence,
		Alive:      now.Sub(c.stateReadAt) < unresponsiveAfter,
		Leaving:    !listed || vm.Leaving,
		FreeMemory: c.account.FreeMemory(),
	}
	for _, x := range c.state.Replicas {
		if c.unloading[x.Model] {
			continue
		}
		r.Models = append(r.Models, peer.ModelReport{
			Model:    x.Model,
			Running:  x.Running,
			Waiting:  x.Waiting,
			Loading:  x.Loading,
			Adapters: slices.Sorted(slices.Values(x.Adapters)),
		})
	}
	// Engines list their replicas in no order; sorting keeps that from looking like a
	// change.
	slices.SortFunc(r.Models, func(a, b peer.ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return r
}
