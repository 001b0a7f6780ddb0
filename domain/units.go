package domain

import "time"

// Bytes is an amount of memory, storage or traffic in bytes.
type Bytes int64

// Units of Bytes.
const (
	Kibibyte Bytes = 1 << 10
	Mebibyte Bytes = 1 << 20
	Gibibyte Bytes = 1 << 30
)

// Tokens is a number of prompt tokens or generated tokens.
type Tokens int64

// ReplicaCount is a number of loaded replicas of one model.
type ReplicaCount int

// Priority orders waiting requests. Those with the largest value are served first.
type Priority int

// Deadline is the time by which a caller needs its response. The zero Deadline is unset and
// never passes.
type Deadline struct {
	// At is the time on the clock of this process.
	At time.Time
}

// Remaining returns the time left at now. It returns zero for a deadline that has passed and
// for one that is unset.
func (d Deadline) Remaining(now time.Time) time.Duration {
	if d.At.IsZero() || !d.At.After(now) {
		return 0
	}
	return d.At.Sub(now)
}

// HasPassed reports whether the deadline has passed at now.
func (d Deadline) HasPassed(now time.Time) bool {
	return !d.At.IsZero() && !now.Before(d.At)
}
