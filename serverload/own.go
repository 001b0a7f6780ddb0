package serverload

import "time"

// maximumHistory bounds the changes of the number of attempts in flight that are kept for a server.
// A node sends a server a few requests a second, and reports are at most ReportLifetime old.
const maximumHistory = 8

// ownAttempts are the attempts of this node in flight at one server.
type ownAttempts struct {
	count int
	// tokens is the sum of their sizes.
	tokens float64
	// history holds the latest changes of count, the newest last.
	history []countChange
}

// countChange is the number of attempts in flight from a time on.
type countChange struct {
	at    time.Time
	count int
}

func (o *ownAttempts) begin(now time.Time, tokens float64) {
	o.tokens += tokens
	o.set(now, o.count+1)
}

// end removes one attempt. The sum of the tokens starts anew when no attempt is left: the mean size
// that stands for an unknown one may differ between Send and End.
func (o *ownAttempts) end(now time.Time, tokens float64) {
	o.set(now, max(0, o.count-1))
	o.tokens = max(0, o.tokens-tokens)
	if o.count == 0 {
		o.tokens = 0
	}
}

func (o *ownAttempts) set(now time.Time, count int) {
	if len(o.history) == maximumHistory {
		copy(o.history, o.history[1:])
		o.history = o.history[:maximumHistory-1]
	}
	if o.history == nil {
		o.history = make([]countChange, 0, maximumHistory)
	}
	o.history = append(o.history, countChange{at: now, count: count})
	o.count = count
}

// countAt returns the number of attempts that were in flight at a time. Before the oldest change of
// the history, that number is not known, and the one after that change is returned.
func (o *ownAttempts) countAt(at time.Time) int {
	for i := len(o.history) - 1; i >= 0; i-- {
		if !o.history[i].at.After(at) {
			return o.history[i].count
		}
	}
	if len(o.history) < maximumHistory {
		return 0
	}
	return o.history[0].count
}
