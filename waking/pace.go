package waking

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// QueuedLoad is a load that waits for the weight store.
type QueuedLoad struct {
	Model domain.ModelName
	// Waiters is the number of requests that wait for it; zero for a pre-warming load.
	Waiters int
	// TransferTime is the expected duration of the transfer.
	TransferTime time.Duration
	// Deadline is the time by which the waiters need their replica.
	Deadline domain.Deadline
	// QueuedAt breaks ties between loads; the oldest goes first.
	QueuedAt time.Time
}

// NextLoad returns the index of the load to start next, or -1 if none waits. To meet as many
// deadlines as possible, loads that can still meet theirs go first, by waiters per second of
// transfer; then loads that are late; then pre-warming loads.
func NextLoad(waiting []QueuedLoad, now time.Time) int {
	best := -1
	for i := range waiting {
		if best < 0 || loadsBefore(&waiting[i], &waiting[best], now) {
			best = i
		}
	}
	return best
}

// loadsBefore reports whether a goes before b.
func loadsBefore(a, b *QueuedLoad, now time.Time) bool {
	if x, y := a.priorityClass(now), b.priorityClass(now); x != y {
		return x < y
	}
	x := float64(a.Waiters) * b.TransferTime.Seconds()
	y := float64(b.Waiters) * a.TransferTime.Seconds()
	if x != y {
		return x > y
	}
	if !a.QueuedAt.Equal(b.QueuedAt) {
		return a.QueuedAt.Before(b.QueuedAt)
	}
	return a.Model < b.Model
}

// priorityClass returns 0 for a load that can meet its deadline, 1 for a late one and 2 for
// a pre-warming load.
func (l *QueuedLoad) priorityClass(now time.Time) int {
	switch {
	case l.Waiters == 0:
		return 2
	case !l.Deadline.At.IsZero() && now.Add(l.TransferTime).After(l.Deadline.At):
		return 1
	}
	return 0
}

// EstimateColdStart returns the remaining time of a cold start: the transfers ahead of it,
// spread over the slots of the weight store, and its own transfer minus the elapsed part.
// ahead is empty for a load that does not use the store.
func EstimateColdStart(transfer, elapsed time.Duration, ahead []time.Duration, slots int) time.Duration {
	var queue time.Duration
	for _, d := range ahead {
		queue += d
	}
	return queue/time.Duration(max(1, slots)) + max(0, transfer-elapsed)
}
