package retries

import "time"

// windowParts is into how many parts a window is cut; its counts are as old as
// one part at most.
const windowParts = 10

// hedgeShare is the part of the budget that hedges may use.
const hedgeShare = 0.5

// WindowBudget bounds what one node sends beyond the first attempts, over a sliding
// window of time. The zero Window allows nothing. It is not safe for concurrent
// use.
type WindowBudget struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the share of the requests in the window that may be sent again.
	Ratio float64
	// Reserve may be sent again beside that.
	Reserve float64

	parts [windowParts]windowPart
}

type windowPart struct {
	number          int64
	requests, extra int
}

func (w *WindowBudget) part(now time.Time) *windowPart {
	number := now.UnixNano() / max(1, int64(w.Length)/windowParts)
	p := &w.parts[int(number%windowParts)]
	if p.number != number {
		*p = windowPart{number: number}
	}
	return p
}

// CountRequest counts a first attempt.
func (w *WindowBudget) CountRequest(now time.Time) { w.part(now).requests++ }

// Spend counts a further attempt where the budget has room for it.
func (w *WindowBudget) Spend(now time.Time) bool { return w.spend(now, 1) }

// SpendHedge counts a further attempt in place of one that may still be answered.
// It leaves half of the budget to work that failed.
func (w *WindowBudget) SpendHedge(now time.Time) bool { return w.spend(now, hedgeShare) }

func (w *WindowBudget) spend(now time.Time, share float64) bool {
	current := w.part(now)
	requests, extra := 0, 0
	for _, p := range w.parts {
		if p.number > current.number-windowParts && p.number <= current.number {
			requests += p.requests
			extra += p.extra
		}
	}
	if float64(extra+1) > share*(w.Ratio*float64(requests)+w.Reserve) {
		return false
	}
	current.extra++
	return true
}
