package retries

import "time"

// Bounds of the delay before a retry.
const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
)

// Backoff returns the delay before the retry after the given number of attempts:
// exponential, with half of it jitter. Random is in [0,1) and selects the jitter.
func Backoff(attempts int, random float64) time.Duration {
	longest := longestBackoff
	if attempts < 6 {
		longest = min(longest, firstBackoff<<max(0, attempts-1))
	}
	return longest/2 + time.Duration(random*float64(longest/2))
}
