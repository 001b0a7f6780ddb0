package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/peer"
	"github.com/parsleylug/parsleylug/retries"
	"github.com/parsleylug/parsleylug/suspects"
)

// Queue is the admission queue of one model at this node.
type Queue struct {
	Model   domain.ModelName
	Waiting int
	Running int
	// AverageHoldTime is how long a request keeps its slot, as learned so far.
	AverageHoldTime time.Duration
}

// Queues lists the queues with requests that run or wait, the longest first.
func (a *API) Queues() []Queue {
	a.gates.mu.Lock()
	defer a.gates.mu.Unlock()
	var out []Queue
	for n, g := range a.gates.models {
		if g.queue.Waiting()+g.queue.Running() == 0 {
			continue
		}
		out = append(out, Queue{Model: n, Waiting: g.queue.Waiting(), Running: g.queue.Running(), AverageHoldTime: g.queue.AverageHoldTime()})
	}
	slices.SortFunc(out, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// Ejections lists the backend servers that this node leaves out now.
func (a *API) Ejections() []retries.Ejection {
	a.health.mu.Lock()
	defer a.health.mu.Unlock()
	return a.health.breakers.Ejections(time.Now())
}

// Suspects lists the contents that this node runs apart or refuses because backend
// servers crashed while they ran them.
func (a *API) Suspects() []suspects.Entry {
	a.isolation.mu.Lock()
	defer a.isolation.mu.Unlock()
	return a.isolation.list.Entries(time.Now())
}

// ClearSuspect clears a content of suspicion here and at the other nodes.
func (a *API) ClearSuspect(content [32]byte) {
	cleared := []peer.Suspect{{Content: content}}
	a.ApplySuspects(cleared)
	a.BroadcastSuspects(cleared)
}
