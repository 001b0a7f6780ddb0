package waking

import (
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

// QueuedLoad is a load that waits for the weight store.
type QueuedLoad struct {
	Model domain.ModelName
	// Waiters is the number of requests that wait for the load; zero for a pre-warming
	// load.
	Waiters int
	// TransferTime is the expected duration of the transfer.
	TransferTime time.Duration
	// Deadline is the time by which the waiting requests need the replica.
	Deadline domain.Deadline
	// QueuedAt breaks ties between loads; the oldest goes first.
	QueuedAt time.Time
}

// NextLoad returns the index of the load to start next, or -1 if waiting is empty. To meet
// as many deadlines as possible, it prefers loads that can still meet their deadline,
// then late loads, then pre-warming loads. Within each class, the load with the most
// waiters per second of transfer goes first.
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
	if classOfA, classOfB := a.priorityClass(now), b.priorityClass(now); classOfA != classOfB {
		return classOfA < classOfB
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

// EstimateColdStart returns the remaining time of a cold start: the sum of the transfers
// ahead of it, divided by the slots of the weight store, plus its own transfer minus the
// elapsed part. transfersAhead is empty for a load that does not use the weight store.
func EstimateColdStart(transfer, elapsed time.Duration, transfersAhead []time.Duration, slots int) time.Duration {
	var transferTimeAhead time.Duration
	for _, d := range transfersAhead {
		transferTimeAhead += d
	}
	return transferTimeAhead/time.Duration(max(1, slots)) + max(0, transfer-elapsed)
}
