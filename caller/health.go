package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/retries"
)

// health records the results of this node's own attempts: retry budgets, circuit breakers
// of servers and first token latencies of models. The zero health is ready for use.
type health struct {
	mu         sync.Mutex
	nodeBudget retries.Budget
	models     map[domain.ModelName]*modelHealth
	breakers   retries.Breakers
}

type modelHealth struct {
	budget  retries.Budget
	latency retries.FirstTokenLatency
}

// countRequest counts a first attempt, which adds to the retry budgets.
func (h *health) countRequest(now time.Time, m domain.ModelName) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeBudget.CountRequest(now)
	h.model(m).budget.CountRequest(now)
}

// spendHedge takes a hedge from the budgets of the model and the node, and reports
// whether both permit it.
func (h *health) spendHedge(now time.Time, m domain.ModelName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model(m).budget.SpendHedge(now) && h.nodeBudget.SpendHedge(now)
}

// spendRetry takes a retry from the budgets of the model and the node, and reports
// whether both permit it.
func (h *health) spendRetry(now time.Time, m domain.ModelName) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model(m).budget.Spend(now) && h.nodeBudget.Spend(now)
}

// recordSuccess records that a server returned a first token.
func (h *health) recordSuccess(now time.Time, s domain.ServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakers.RecordSuccess(now, s)
}

func (h *health) recordFailure(now time.Time, s domain.ServerID, f failure) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakers.RecordFailure(now, s, f == unreached)
}

// isEjected reports whether a server is ejected now.
func (h *health) isEjected(s domain.ServerID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.breakers.IsEjected(time.Now(), s)
}

// recordFirstToken records how long a model took to return its first token.
func (h *health) recordFirstToken(m domain.ModelName, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.model(m).latency.Record(d)
}

func (h *health) hedgeDelay(m domain.ModelName) (time.Duration, bool) {
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
