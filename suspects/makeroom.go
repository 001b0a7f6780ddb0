package suspects

import (
	"slices"
	"time"
)

// evictionDivisor sets how many entries of a full map are removed at once:
// 1/evictionDivisor of them.
const evictionDivisor = 8

// makeRoom removes the oldest entries of a map that has reached its largest size. timeOf
// returns the time of a value.
func makeRoom[K comparable, V any](m map[K]V, size int, timeOf func(V) time.Time) {
	if len(m) < size {
		return
	}
	times := make([]time.Time, 0, len(m))
	for _, v := range m {
		times = append(times, timeOf(v))
	}
	slices.SortFunc(times, time.Time.Compare)
	surplus := max(1, size/evictionDivisor)
	newest := times[min(surplus, len(times))-1]
	for k, v := range m {
		if surplus > 0 && !timeOf(v).After(newest) {
			delete(m, k)
			surplus--
		}
	}
}

func timeItself(t time.Time) time.Time { return t }
