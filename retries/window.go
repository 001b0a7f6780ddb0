package retries

import "time"

// windowBuckets is the number of buckets that a window is divided into; it slides by
// whole buckets.
const windowBuckets = 10

// hedgeShare is the fraction of the budget that hedged requests may use.
const hedgeShare = 0.5

// WindowBudget is a retry budget over a sliding window: it bounds the retries of one node.
// The zero WindowBudget allows none. It is not safe for concurrent use.
type WindowBudget struct {
	Length time.Duration
	// Ratio is the number of retries allowed for each request in the window.
	Ratio float64
	// Reserve is the number of retries allowed besides these.
	Reserve float64

	buckets [windowBuckets]windowBucket
}

type windowBucket struct {
	sequence                int64
	requests, extraAttempts int
}

// bucketAt returns the bucket of a time, emptied if it held an earlier one.
func (w *WindowBudget) bucketAt(now time.Time) *windowBucket {
	sequence := now.UnixNano() / max(1, int64(w.Length)/windowBuckets)
	p := &w.buckets[int(sequence%windowBuckets)]
	if p.sequence != sequence {
		*p = windowBucket{sequence: sequence}
	}
	return p
}

// CountRequest counts a first attempt.
func (w *WindowBudget) CountRequest(now time.Time) { w.bucketAt(now).requests++ }

// Spend counts a retry if the budget allows it, and reports whether it does.
func (w *WindowBudget) Spend(now time.Time) bool { return w.spend(now, 1) }

// SpendHedge is Spend for a hedged request, sent while the first attempt may still
// get a response. It leaves half of the budget to failed requests.
func (w *WindowBudget) SpendHedge(now time.Time) bool { return w.spend(now, hedgeShare) }

func (w *WindowBudget) spend(now time.Time, share float64) bool {
	current := w.bucketAt(now)
	requests, extraAttempts := 0, 0
	for _, p := range w.buckets {
		if p.sequence > current.sequence-windowBuckets && p.sequence <= current.sequence {
			requests += p.requests
			extraAttempts += p.extraAttempts
		}
	}
	if float64(extraAttempts+1) > share*(w.Ratio*float64(requests)+w.Reserve) {
		return false
	}
	current.extraAttempts++
	return true
}
