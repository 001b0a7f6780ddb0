// Package retries decides whether and when failed work is tried again. It has no
// input, output or clock.
package retries

import "time"

// Ratio is how much load retries may add to the first attempts.
const Ratio = 0.1

// Bounds of a budget: it saves up to its reserve, which also fills up slowly, so
// that a quiet model may still retry.
const (
	reserve        = 10.0
	reserveSeconds = 10.0
)

// Budget bounds the retries of one node or one model. The zero Budget holds its
// full reserve. It is not safe for concurrent use.
type Budget struct {
	started bool
	tokens  float64
	at      time.Time
}

// CountRequest counts a first attempt, which earns a part of a retry.
func (b *Budget) CountRequest(now time.Time) {
	b.refill(now)
	b.tokens = min(reserve, b.tokens+Ratio)
}

// Spend takes one retry and tells whether the budget allowed it.
func (b *Budget) Spend(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpendHedge takes a retry for a hedge, which leaves half of the reserve to work
// that failed.
func (b *Budget) SpendHedge(now time.Time) bool {
	b.refill(now)
	if b.tokens < reserve/2 {
		return false
	}
	return b.Spend(now)
}

// refill brings a poor budget back to its reserve over time.
func (b *Budget) refill(now time.Time) {
	if !b.started {
		b.started, b.tokens, b.at = true, reserve, now
		return
	}
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens = min(reserve, b.tokens+elapsed.Seconds()/reserveSeconds)
		b.at = now
	}
}
