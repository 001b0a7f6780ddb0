// Package retries decides whether and when a failed or slow request is attempted
// again, and which backend servers are ejected after failures: retry budgets, backoff,
// hedge delays and circuit breakers. Packages caller and dispatch call it around each
// attempt. The package never reads a clock, does no I/O and starts no goroutines.
package retries

import "time"

// Ratio is the number of retries that each first attempt adds to the budget.
const Ratio = 0.1

// Parameters of a Budget. Its token bucket holds at most reserveTokens. Each first
// attempt adds Ratio tokens, and each secondsPerToken one more, so that a model with few requests
// can still retry.
const (
	reserveTokens   = 10.0
	secondsPerToken = 10.0
)

// Budget is the retry budget of one node or one model, as a token bucket. The zero
// Budget is full. It is not safe for concurrent use.
type Budget struct {
	// started is false until the first call fills the bucket.
	started    bool
	tokens     float64
	refilledAt time.Time
}

// CountRequest adds Ratio to the budget for the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(reserveTokens, b.tokens+Ratio)
}

// Spend takes one retry from the budget and reports whether it had one.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendHedge takes one retry from the budget for a hedged request, if at least half of
// reserveTokens are left, and reports whether it did. So hedges never use up the retries
// of failed requests.
func (b *Budget) SpendHedge(now time.Time) bool {
	b.refill(now)
	if b.tokens < reserveTokens/2 {
		return false
	}
	return b.Spend(now)
}

// refill adds one token for every secondsPerToken since the last refill. The first
// refill fills the bucket.
func (b *Budget) refill(now time.Time) {
	if !b.started {
		b.started, b.tokens, b.refilledAt = true, reserveTokens, now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(reserveTokens, b.tokens+elapsed.Seconds()/secondsPerToken)
		b.refilledAt = now
	}
}
