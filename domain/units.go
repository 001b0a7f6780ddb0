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

// Tokens is a number of generated or prompt tokens.
type Tokens int64

// Copies is a number of loaded replicas of one model.
type Copies int

// Priority orders waiting requests; a larger Priority goes first.
type Priority int

// Deadline is the absolute time by which a caller needs its answer. The zero
// Deadline means that none was set.
type Deadline struct {
	// At is the instant in the clock of this process.
	At time.Time
}

// Remaining returns how long is left at now; it is never negative.
func (d Deadline) Remaining(now time.Time) time.Duration {
	if d.At.IsZero() || !d.At.After(now) {
		return 0
	}
	return d.At.Sub(now)
}

// Passed tells whether the deadline is over at now.
func (d Deadline) Passed(now time.Time) bool {
	return !d.At.IsZero() && !now.Before(d.At)
}
