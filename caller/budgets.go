package caller

import (
	"sync"
	"time"

	"github.com/parsleylug/parsleylug/domain"
	"github.com/parsleylug/parsleylug/retries"
)

// budgets holds the retry budgets of the node and of each model.
type budgets struct {
	mu     sync.Mutex
	node   retries.Budget
	models map[domain.ModelName]*retries.Budget
}

// request counts a first attempt.
func (b *budgets) request(now time.Time, m domain.ModelName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.node.Request(now)
	b.model(m).Request(now)
}

// spend takes a retry from both budgets.
func (b *budgets) spend(now time.Time, m domain.ModelName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.model(m).Spend(now) && b.node.Spend(now)
}

func (b *budgets) model(m domain.ModelName) *retries.Budget {
	if b.models == nil {
		b.models = make(map[domain.ModelName]*retries.Budget)
	}
	if b.models[m] == nil {
		b.models[m] = new(retries.Budget)
	}
	return b.models[m]
}
