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

// Queue is the state of a model's admission queue at this node, for operators.
type Queue struct {
	Model   domain.ModelName
	Waiting int
	Running int
	// AverageHoldTime is how long a request holds its slot on average.
	AverageHoldTime time.Duration
}

// Queues returns the queues with running or waiting requests, those with the most waiting
// first.
func (a *API) Queues() []Queue {
	a.queues.mu.Lock()
	defer a.queues.mu.Unlock()
	var out []Queue
	for n, queue := range a.queues.byModel {
		if queue.queue.Waiting()+queue.queue.Running() == 0 {
			continue
		}
		out = append(out, Queue{Model: n, Waiting: queue.queue.Waiting(), Running: queue.queue.Running(), AverageHoldTime: queue.queue.AverageHoldTime()})
	}
	slices.SortFunc(out, func(a, b Queue) int {
		return cmp.Or(cmp.Compare(b.Waiting, a.Waiting), cmp.Compare(a.Model, b.Model))
	})
	return out
}

// Ejections returns the backend servers that this node's circuit breakers eject now.
func (a *API) Ejections() []retries.Ejection {
	a.health.mu.Lock()
	defer a.health.mu.Unlock()
	return a.health.breakers.Ejections(time.Now())
}

// Suspects returns the contents that this node runs in isolation or refuses because
// backend servers crashed while running them.
func (a *API) Suspects() []suspects.Entry {
	a.isolation.mu.Lock()
	defer a.isolation.mu.Unlock()
	return a.isolation.suspects.Entries(time.Now())
}

// ClearSuspect clears a content of suspicion at this node and at the others.
func (a *API) ClearSuspect(content [32]byte) {
	cleared := []peer.Suspect{{Content: content}}
	a.ApplySuspects(cleared)
	a.BroadcastSuspects(cleared)
}
