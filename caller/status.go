package caller

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/retries"
)

// Queue is the admission queue of one model at this node.
type Queue struct {
	Model   domain.ModelName
	Waiting int
	Running int
	// Hold is how long a request keeps its slot, as learned so far.
	Hold time.Duration
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
		out = append(out, Queue{Model: n, Waiting: g.queue.Waiting(), Running: g.queue.Running(), Hold: g.queue.Hold()})
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
