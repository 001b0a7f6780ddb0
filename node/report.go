package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// publishReport sends the server's report to every node if it has changed, and the load
// counts to the nodes that subscribe to them.
func (c *serverController) publishReport() {
	r, ok, changed := c.nextReport(time.Now())
	if !ok {
		return
	}
	if changed {
		c.deps.Gossip.PublishReport(r)
	} else {
		// Adding the same version again confirms the report at this node, as of the time of
		// the server's last response.
		c.deps.Reports.Add(r.WithoutLoads(), c.lastStateReadAt())
	}
	c.deps.Gossip.PublishLoads(r.Loads())
}

func (c *serverController) lastStateReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateReadAt
}

// nextReport returns the report to publish. If it must go to every node, changed is true, and
// the report has a new sequence and becomes lastPublishedReport. ok is false before the
// first poll and after the loss of the lease.
func (c *serverController) nextReport(now time.Time) (r peer.ServerReport, ok, changed bool) {
	storedVersion := c.deps.Reports.Version(c.lease.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseLost || c.stateReadAt.IsZero() {
		return peer.ServerReport{}, false, false
	}
	r = c.buildReport(now)
	changed = reports.NeedsBroadcast(c.lastPublishedReport, r)
	r.Sequence = c.lastPublishedReport.Sequence
	if storedVersion.Fence == r.Fence && storedVersion.Sequence > r.Sequence {
		r.Sequence, changed = storedVersion.Sequence, true
	}
	if !changed {
		unchangedReport := c.lastPublishedReport
		unchangedReport.Models = r.Models
		return unchangedReport, true, false
	}
	r.Sequence++
	c.lastPublishedReport = r
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
	for _, replica := range c.state.Replicas {
		if c.unloadsInProgress[replica.Model] {
			continue
		}
		r.Models = append(r.Models, peer.ModelReport{
			Model:    replica.Model,
			Running:  replica.Running,
			Waiting:  replica.Waiting,
			Loading:  replica.Loading,
			Adapters: slices.Sorted(slices.Values(replica.Adapters)),
		})
	}
	// Engines list their replicas in any order. Sort them, so that a new order does not count
	// as a change.
	slices.SortFunc(r.Models, func(a, b peer.ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return r
}
