package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/retries"
)

// health is what this node learned of servers and models from its own attempts.
// The zero health is ready for use.
type health struct {
	mu       sync.Mutex
	node     retries.Budget
	models   map[domain.ModelName]*modelHealth
	breakers retries.Breakers
}

type modelHealth struct {
	budget  retries.Budget
	latency retries.FirstTokenLatency
}

// request counts a first attempt.
func (h *health) request(now time.Time, m domain.ModelName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node.CountRequest(now)
	h.model(m).budget.CountRequest(now)
}

// spendHedge takes a hedge from the budgets of the model and the node.
func (h *health) spendHedge(now time.Time, m domain.ModelName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model(m).budget.SpendHedge(now) && h.node.SpendHedge(now)
}

// spend takes a retry from the budgets of the model and the node.
func (h *health) spend(now time.Time, m domain.ModelName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model(m).budget.Spend(now) && h.node.Spend(now)
}

// succeeded counts a server that gave a first token.
func (h *health) succeeded(now time.Time, s domain.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakers.RecordSuccess(now, s)
}

func (h *health) failed(now time.Time, s domain.ServerID, f failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakers.RecordFailure(now, s, f == unreached)
}

// ejected tells whether a server is left out now.
func (h *health) ejected(s domain.ServerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breakers.IsEjected(time.Now(), s)
}

// firstToken learns how long a model takes to a first token.
func (h *health) firstToken(m domain.ModelName, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.model(m).latency.Record(d)
}

func (h *health) hedgeAfter(m domain.ModelName) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model(m).latency.HedgeDelay()
}

func (h *health) model(m domain.ModelName) *modelHealth {
	if h.models == nil {
		h.models = make(map[domain.ModelName]*modelHealth)
	}
	if h.models[m] == nil {
		h.models[m] = new(modelHealth)
	}
	return h.models[m]
}
