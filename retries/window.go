package retries

import "time"

// windowBuckets is the number of buckets that a window is divided into; it slides by
// whole buckets.
const windowBuckets = 10

// hedgeShare is the fraction of the budget that hedged requests may use.
const hedgeShare = 0.5

// WindowBudget is a retry budget over a sliding window: it bounds the retries of one node.
// The zero WindowBudget allows no retries. It is not safe for concurrent use.
type WindowBudget struct {
	// Length is the length of the window.
	Length time.Duration
	// Ratio is the number of retries allowed for each request in the window.
	Ratio float64
	// Reserve is the number of retries allowed in the window besides those that its
	// requests allow.
	Reserve float64

	buckets [windowBuckets]windowBucket
}

// windowBucket holds the counts of one tenth of the window's length.
type windowBucket struct {
	// sequence is the number of the bucket, counted from the Unix epoch.
	sequence int64
	// requests is the number of first attempts. extraAttempts is the number of retries
	// and hedged requests.
	requests, extraAttempts int
}

// bucketAt returns the bucket that contains now, and first clears it if it still holds
// counts of an earlier window.
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

// Spend reports whether the budget allows a retry, and counts the retry if so.
func (w *WindowBudget) Spend(now time.Time) bool { return w.spend(now, 1) }

// SpendHedge reports whether the budget allows a hedged request, and counts it if so.
// Hedged requests may use only hedgeShare of the budget; the rest is left to retries of
// failed requests.
func (w *WindowBudget) SpendHedge(now time.Time) bool { return w.spend(now, hedgeShare) }

// spend reports whether the given share of the budget allows one more attempt in the
// window, and counts the attempt if so. All retries and hedged requests in the window
// count against this share.
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
