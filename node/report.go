package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/reports"
)

// report tells every node what changed of this owner's server, and the nodes that
// route to it how much it has to do.
func (k *keeper) report() {
	r, ok, news := k.nextReport(time.Now())
	if !ok {
		return
	}
	if news {
		k.deps.News.Publish(r)
	} else {
		// The same version again confirms it here, as of the last answer of the
		// server.
		k.deps.Reports.Add(r.WithoutLoads(), k.seenAt())
	}
	k.deps.News.Offer(r.Loads())
}

func (k *keeper) seenAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.seen
}

// nextReport returns the report of this moment, if there is one, and whether it is
// news to others.
func (k *keeper) nextReport(now time.Time) (r peer.ServerReport, ok, news bool) {
	known := k.deps.Reports.Version(k.lease.Server)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired || k.seen.IsZero() {
		return peer.ServerReport{}, false, false
	}
	r = k.currentReport(now)
	news = reports.NeedsBroadcast(k.sent, r)
	r.Sequence = k.sent.Sequence
	if known.Fence == r.Fence && known.Sequence > r.Sequence {
		r.Sequence, news = known.Sequence, true
	}
	if !news {
		sent := k.sent
		sent.Models = r.Models
		return sent, true, false
	}
	r.Sequence++
	k.sent = r
	return r, true, true
}

// currentReport builds the report; the caller holds mu.
func (k *keeper) currentReport(now time.Time) peer.ServerReport {
	vm, listed := k.deps.Directory.Server(k.lease.Server)
	r := peer.ServerReport{
		Server:     k.lease.Server,
		Fence:      k.lease.Fence,
		Alive:      now.Sub(k.seen) < deadAfter,
		Leaving:    !listed || vm.Leaving,
		FreeMemory: k.account.FreeMemory(),
	}
	for _, x := range k.state.Replicas {
		if k.unloading[x.Model] {
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
