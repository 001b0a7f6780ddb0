package retries

import "time"

// Bounds of the wait before a retry.
const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
)

// Backoff returns the wait before the retry that follows the given number of
// attempts. Random is in [0,1); it spreads the retries of many callers.
func Backoff(attempts int, random float64) time.Duration {
	most := longestBackoff
	if attempts < 6 {
		most = min(most, firstBackoff<<max(0, attempts-1))
	}
	return most/2 + time.Duration(random*float64(most/2))
}
