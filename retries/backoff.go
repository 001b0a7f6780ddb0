package retries

import "time"

// Bounds of the delay before a retry.
const (
	firstBackoff   = 20 * time.Millisecond
	longestBackoff = time.Second
)

// Backoff returns the delay before the retry that follows the given number of attempts.
// The longest delay is firstBackoff after the first attempt, doubles with each attempt
// up to the fifth, and is longestBackoff from the sixth on. The number random, in
// [0,1), selects a delay between half of the longest and the longest.
func Backoff(attempts int, random float64) time.Duration {
	longest := longestBackoff
	if attempts < 6 {
		longest = min(longest, firstBackoff<<max(0, attempts-1))
	}
	return longest/2 + time.Duration(random*float64(longest/2))
}
