package retries

import "time"

// Bounds of the delay before a retry.
const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
)

// Backoff returns the delay before the retry that follows the given number of attempts.
// Its maximum doubles with each attempt; the delay is between half the maximum and the
// maximum, selected by random, which is in [0,1).
func Backoff(attempts int, random float64) time.Duration {
	longest := longestBackoff
	if attempts < 6 {
		longest = min(longest, firstBackoff<<max(0, attempts-1))
	}
	return longest/2 + time.Duration(random*float64(longest/2))
}
