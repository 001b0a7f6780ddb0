package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// publishReport tells every node what changed of this owner's server, and the nodes that
// route to it how much it has to do.
func (c *serverController) publishReport() {
	r, ok, news := c.nextReport(time.Now())
	if !ok {
		return
	}
	if news {
		c.deps.Gossip.PublishReport(r)
	} else {
		// The same version again confirms it here, as of the last answer of the
		// server.
		c.deps.Reports.Add(r.WithoutCounts(), c.lastStateReadAt())
	}
	c.deps.Gossip.PublishLoads(r.Counts())
}

func (c *serverController) lastStateReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateReadAt
}

// nextReport returns the report of this moment, if there is one, and whether it is
// news to others.
func (c *serverController) nextReport(now time.Time) (r peer.ServerReport, ok, news bool) {
	known := c.deps.Reports.Version(c.lease.Server)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaseLost || c.stateReadAt.IsZero() {
		return peer.ServerReport{}, false, false
	}
	r = c.buildReport(now)
	news = reports.IsNews(c.lastPublished, r)
	r.Sequence = c.lastPublished.Sequence
	if known.Fence == r.Fence && known.Sequence > r.Sequence {
		r.Sequence, news = known.Sequence, true
	}
	if !news {
		sent := c.lastPublished
		sent.Models = r.Models
		return sent, true, false
	}
	r.Sequence++
	c.lastPublished = r
	return r, true, true
}

// buildReport builds the report; the caller holds mu.
func (c *serverController) buildReport(now time.Time) peer.ServerReport {
	vm, listed := c.deps.Directory.Server(c.lease.Server)
	r := peer.ServerReport{
		Server:     c.lease.Server,
		Fence:      c.lease.Fence,
		Alive:      now.Sub(c.stateReadAt) < unresponsiveAfter,
		Leaving:    !listed || vm.Leaving,
		FreeMemory: c.account.Free(),
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
	// Engines list their replicas in no order, which is no news.
	slices.SortFunc(r.Models, func(a, b peer.ModelReport) int { return cmp.Compare(a.Model, b.Model) })
	return r
}
