package node

import (
	"reflect"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
)

// report sends what this owner knows of its server, when it changed or has not
// been sent for reportInterval.
func (k *keeper) report() {
	r, send := k.nextReport(time.Now())
	if !send {
		return
	}
	k.deps.Reports.Add(r, time.Now())
	k.deps.Mesh.Broadcast(peer.Reports{Servers: []peer.ServerReport{r}})
}

func (k *keeper) nextReport(now time.Time) (peer.ServerReport, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired || k.seen.IsZero() {
		return peer.ServerReport{}, false
	}
	r := k.currentReport(now)
	r.Sequence = k.sent.Sequence
	if reflect.DeepEqual(r, k.sent) && now.Sub(k.sentAt) < reportInterval {
		return peer.ServerReport{}, false
	}
	r.Sequence++
	k.sent = r
	k.sentAt = now
	return r, true
}

// currentReport builds the report; the caller holds mu.
func (k *keeper) currentReport(now time.Time) peer.ServerReport {
	vm, listed := k.deps.Directory.Server(k.lease.Server)
	r := peer.ServerReport{
		Server:     k.lease.Server,
		Fence:      k.lease.Fence,
		Alive:      now.Sub(k.seen) < deadAfter,
		Leaving:    !listed || vm.Leaving,
		FreeMemory: k.account.Free(),
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
			Adapters: append([]domain.AdapterName(nil), x.Adapters...),
		})
	}
	return r
}
